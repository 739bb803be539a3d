/**
 * Rate limit of the requests that one VM sends to a cold server.
 *
 * A server that has just started handles few requests per second and crashes well above that rate. A limit that each VM
 * enforces by itself is exceeded by all VMs together. Rendezvous hashing therefore assigns a few VMs to each cold server, and
 * each of them may use an equal share of its rate. The VMs exchange no messages for this, so a lost message can't break the limit.
 */
import type { Millis } from '@lynxcourse/base'
import type { FleetServer } from './fleetServer.js'
import { rankVms } from './vmRanking.js'

/** Number of VMs that may send to one cold server: two remain after the loss of two. */
export const warmingVmCount = 4
/** Fraction of the rate that is handed out; the rest covers VMs that disagree on which of them warm the server. */
const usedFraction = 0.7
const burstTokens = 1

/** Returns whether VM `self` may send requests to the server while it is cold. */
export function isWarmingVm (server: FleetServer, self: string, vms: readonly string[]): boolean {
  if (vms.length <= warmingVmCount) return true
  const rank = rankVms(server, vms).indexOf(self)
  return rank >= 0 && rank < warmingVmCount
}

/** Returns whether a server is still in its warm-up. */
export function isCold (server: FleetServer, now: Millis): boolean {
  return now < server.coldUntil
}

/** Refills the token bucket and returns whether it holds a token for a request. */
export function hasColdToken (server: FleetServer, perSecond: number, now: Millis): boolean {
  refillColdTokens(server, perSecond, now)
  return server.coldTokens >= 1
}

/** Removes one token. */
export function consumeColdToken (server: FleetServer): void {
  server.coldTokens -= 1
}

function refillColdTokens (server: FleetServer, perSecond: number, now: Millis): void {
  const rate = perSecond * usedFraction / warmingVmCount
  const seconds = Math.max(0, now - server.coldTokensAt) / 1000
  server.coldTokens = Number.isFinite(seconds) ? Math.min(burstTokens, server.coldTokens + seconds * rate) : burstTokens
  server.coldTokensAt = now
}
