/** Servers that name a limit for the requests of all VMs together, and the time until servers take requests again. */
import type { Millis, RegionId } from '@lynxcourse/base'
import { computeEqualShare, limitWindowMs, getRequestDelay, permitsRequest } from '@lynxcourse/limits'
import { computeHashRanks } from '../object/hashRanks.js'
import type { Fleet } from '../request/fleet.js'
import { reducedPart } from '../../types/loads.js'
import type { LimitDemand } from '../../types/loads.js'
import type { FleetServer } from './fleetServer.js'
import { rankVms } from './vmRanking.js'

/** Time constant of the demand for a server. */
const demandSmoothingMs: Millis = 4000
/**
 * Part of its fraction that a VM uses when the leader may have given all of it to others, so that it hears whether the limit
 * lasts. Full buckets leave more than this of what the bound allows.
 */
const leastPart = 0.05
/** Primary servers of an object that are passed over before any server that has a token may take the request. */
const maxPassedOver = 4

/** The servers that may get a request under their limits. */
export interface UsableServers {
  readonly servers: FleetServer[]
  /** The primary server of the request's object without limits; undefined if no limit matters or there is no object. */
  readonly wanted: FleetServer | undefined
}

/**
 * Leaves out the servers whose limits don't permit a request of this VM. A limited server gets requests only for objects whose
 * primary server it is, or would be without the servers that are left out: all VMs then warm the same servers, and the tokens of
 * a server are left to its own objects.
 *
 * @param hashKey key of the request's object in rendezvous hashing; undefined if it has none
 * @param region the region that the plan assigns to the object
 */
export function selectUnderLimits (fleet: Fleet, servers: FleetServer[], hashKey: string | undefined, region: RegionId | undefined, now: Millis): UsableServers {
  if (!servers.some(isLimited)) return { servers, wanted: undefined }
  const permitted = servers.filter(server => permitsRequest(server.notice, getLimitShare(fleet, server), now))
  if (hashKey === undefined) return { servers: permitted, wanted: undefined }
  const wanted = findPrimary(servers, hashKey, region)
  let primary = wanted
  let remaining = servers
  for (let passedOver = 0; primary !== undefined && passedOver < maxPassedOver; passedOver++) {
    const chosen = primary
    if (permitted.includes(chosen)) return { servers: remaining.filter(server => server === chosen || !isLimited(server)), wanted }
    remaining = remaining.filter(server => server !== chosen)
    primary = findPrimary(remaining, hashKey, region)
  }
  return { servers: permitted, wanted }
}

function isLimited ({ notice: { limit } }: FleetServer): boolean {
  return limit.perSecond !== undefined
}

function findPrimary (servers: readonly FleetServer[], hashKey: string, region: RegionId | undefined): FleetServer | undefined {
  const ranks = computeHashRanks(servers, hashKey, region)
  return servers.find(({ facts }) => ranks.get(facts.id) === 'primary')
}

/** Records a request that would be sent to a server without limits. */
export function recordServerDemand (server: FleetServer, now: Millis): void {
  server.demandPerSecond = getDemand(server, now) + 1000 / demandSmoothingMs
  server.demandUpdatedAt = now
}

/** Lists this VM's requests per second for servers with limits. */
export function listLimitDemand ({ byId }: Fleet, now: Millis): LimitDemand {
  return [...byId.values()].filter(isLimited).map(server => [server.facts.id, Math.round(getDemand(server, now) * 100) / 100])
}

function getDemand ({ demandPerSecond, demandUpdatedAt }: FleetServer, now: Millis): number {
  return demandPerSecond * Math.exp(-Math.max(0, now - demandUpdatedAt) / demandSmoothingMs)
}

/**
 * Returns the fraction of a server's limit that this VM may use: the leader's word while it is confirmed, or an equal part once
 * this VM knows the others.
 */
export function getLimitShare (fleet: Fleet, server: FleetServer): number {
  const { setup, vms, mayUseShare } = fleet
  const { limit } = server.notice
  if (limit.perSecond === undefined) return 1
  if (limit.share !== undefined) return limit.share * getUsablePart(fleet)
  return mayUseShare(limitWindowMs) ? computeEqualShare(limit.perSecond, setup.self, rankVms(server, vms)) : 0
}

/** Returns the part of the fractions given by the leader that it does not give to others meanwhile. */
function getUsablePart ({ mayUseShare, mayUseReducedShare }: Fleet): number {
  if (mayUseShare(undefined)) return 1
  return mayUseReducedShare() ? reducedPart : leastPart
}

/** Returns the time until one of these servers takes a request of this VM, by what they have said; Infinity if none will. */
export function estimateRequestDelay (fleet: Fleet, servers: readonly FleetServer[], now: Millis): Millis {
  return Math.min(...servers.map(server => getRequestDelay(server.notice, getLimitShare(fleet, server), now)))
}

/** Returns the number of slots that requests can occupy at a server under its limit. */
export function countUsableSlots ({ facts: { slots }, notice: { limit: { perSecond } } }: FleetServer, meanSlotMs: Millis | undefined): number {
  return perSecond === undefined || meanSlotMs === undefined ? slots : Math.min(slots, perSecond * meanSlotMs / 1000)
}
