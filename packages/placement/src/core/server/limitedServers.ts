/** Servers that name a limit for the requests of all VMs together. */
import { rankByHash } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { computeEqualShare, expireLimit, getTokenDelay, hasLimitToken } from '@lynxcourse/limits'
import type { Fleet } from '../request/fleet.js'
import type { FleetServer } from './fleetServer.js'

/** Whether the limit of a server, if it names one, permits a request of this VM now. */
export function permitsRequest (fleet: Fleet, server: FleetServer, now: Millis): boolean {
  if (server.limit.perSecond === undefined) return true
  expireLimit(server.limit, now)
  return hasLimitToken(server.limit, getLimitShare(fleet, server), now)
}

/** Returns the fraction of a server's limit that this VM may use. */
export function getLimitShare ({ setup, vms }: Fleet, { facts, limit }: FleetServer): number {
  if (limit.perSecond === undefined) return 1
  return limit.share ?? computeEqualShare(limit.perSecond, setup.self, rankByHash(facts.id, vms))
}

/** Returns the time until the limit of one of these servers permits a request of this VM; Infinity if none will. */
export function estimateLimitDelay (fleet: Fleet, servers: readonly FleetServer[], now: Millis): Millis {
  return Math.min(...servers.map(server => getTokenDelay(server.limit, getLimitShare(fleet, server), now)))
}

/** Returns the number of slots that requests can occupy at a server under its limit. */
export function countUsableSlots ({ facts: { slots }, limit: { perSecond } }: FleetServer, meanSlotMs: Millis | undefined): number {
  return perSecond === undefined || meanSlotMs === undefined ? slots : Math.min(slots, perSecond * meanSlotMs / 1000)
}
