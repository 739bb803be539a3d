/**
 * What one VM may send a cold server.
 *
 * What can go wrong: a server that has just started bears few requests a second and crashes well
 * above that; each VM alone keeps the bound, and all together pass it. So a few VMs own each cold
 * server by rendezvous hashing and each holds an equal slice of its rate. Nothing is asked of anyone,
 * so a lost message can't break the bound.
 */
import { rankByHash } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import type { FleetServer } from './fleetServer.js'

/** VMs that may warm one server; enough that the loss of two leaves it some. */
export const warmingVms = 4
/** Part of the rate that is given out; the rest covers VMs that disagree on who owns it. */
const usedPart = 0.7
const burst = 1

/** Whether this VM is one of those that may send to a cold server. */
export function isWarmingVm (server: FleetServer, self: string, vms: readonly string[]): boolean {
  if (vms.length <= warmingVms) return true
  return rankByHash(server.facts.id, vms).slice(0, warmingVms).includes(self)
}

export function isCold (server: FleetServer, now: Millis): boolean {
  return now < server.coldUntil
}

/** Whether there is a token for a request now. */
export function hasColdToken (server: FleetServer, perSecond: number, now: Millis): boolean {
  refill(server, perSecond, now)
  return server.coldTokens >= 1
}

/** Takes a token. */
export function takeColdToken (server: FleetServer): void {
  server.coldTokens -= 1
}

function refill (server: FleetServer, perSecond: number, now: Millis): void {
  const rate = perSecond * usedPart / warmingVms
  const seconds = Math.max(0, now - server.coldTokensAt) / 1000
  server.coldTokens = Number.isFinite(seconds) ? Math.min(burst, server.coldTokens + seconds * rate) : burst
  server.coldTokensAt = now
}
