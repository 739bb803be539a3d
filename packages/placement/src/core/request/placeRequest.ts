/**
 * Selects the server with the shortest expected time to completion of a request: the round trip, the wait for a slot, and the
 * work, which is shorter if the object is warm. Refuses at once a request that can't be served in time.
 */
import type { Millis, ServiceId } from '@lynxcourse/base'
import { isClosedToRequests } from '@lynxcourse/limits'
import { mayAdmit } from '../admission/concurrencyLimit.js'
import type { ConcurrencyLimit } from '../admission/concurrencyLimit.js'
import { isCold } from '../server/coldRateLimit.js'
import { estimateRequestDelay } from '../server/limitedServers.js'
import { workKey } from './fleet.js'
import type { Fleet } from './fleet.js'
import { getConcurrency } from './slotShares.js'
import type { HashRank } from '../object/hashRanks.js'
import { listVersionGroups } from '../rollout/versionChoice.js'
import type { FleetServer } from '../server/fleetServer.js'
import { selectBestServer, canServe } from './scoring.js'
import type { ServerChoice } from './scoring.js'
import type { PlacementRequest } from '../../types/placementRequest.js'
import { getWorkTimes } from '../object/workModel.js'

/** The server that a request is sent to, and the expected times there. */
export interface Placement {
  readonly type: 'send'
  readonly server: FleetServer
  /** The server that the request would have without limits. */
  readonly wanted: FleetServer
  /** Whether this VM recently saw the server handle the object. */
  readonly wasWarm: boolean
  /** Hash rank of the server for the object; undefined if it has none. */
  readonly place: HashRank | undefined
  /** Whether the server is in its warm-up. */
  readonly isCold: boolean
  readonly waitMs: Millis
  /** Round-trip time to the server. */
  readonly roundTripMs: Millis
  readonly workMs: Millis
  /** Longest expected time: the round trip, the wait, and the longest work for an object that is cold at the server. */
  readonly maxExpectedMs: Millis
}

/** Why a request is not sent to any server now. */
export interface Refusal {
  readonly type: 'refuse'
  readonly reason: 'noServer' | 'noTime' | 'busy' | 'endsServers' | 'limited' | 'paused'
  /** Time until the request is expected to be served. */
  readonly retryAfterMs: Millis
  /** Time until a server takes requests again, if the request may wait for it; callers return later, spread over some time. */
  readonly pausedMs?: Millis
}

/** Accepted wait beyond the latency objective, by rank, as a factor of the time without the wait: the most urgent wait longest. */
const maxWaitFactors = [1.5, 0.8, 0.5]
/** Bounds of the retry time that a refused caller receives. */
const minRetryAfterMs = 100
const maxRetryAfterMs = 5000
/** Retry time if no server exists: about the interval at which servers announce themselves. */
const noServerRetryAfterMs = 500
/** Time over which callers return after a pause: a fraction of the pause, and at least `minPauseSpreadMs`. */
const pauseSpreadFraction = 0.5
const minPauseSpreadMs = 500

/** Selects a server for a request, or refuses it with a time for the retry. */
export function placeRequest (fleet: Fleet, request: PlacementRequest, now: Millis): Placement | Refusal {
  const concurrency = getConcurrency(fleet, request.service)
  if (!mayAdmit(concurrency, request.route.rank, missesLatencyObjective(fleet, request, now))) return createRefusal(fleet, 'busy', estimateTimeToCapacity(fleet, request.service, concurrency))
  const groups = listVersionGroups(fleet, request, now)
  let placement: Placement | Refusal = { type: 'refuse', reason: 'noServer', retryAfterMs: noServerRetryAfterMs }
  for (const [index, servers] of groups.entries()) {
    placement = placeAmong(fleet, request, { servers, needsHealth: index < groups.length - 1 }, concurrency, now)
    if (placement.type === 'send') break
  }
  return placement
}

function placeAmong (fleet: Fleet, request: PlacementRequest, choice: ServerChoice, concurrency: ConcurrencyLimit, now: Millis): Placement | Refusal {
  const best = selectBestServer(fleet, request, choice, now)
  if (best === undefined) return refuseWithoutServer(fleet, request, choice.servers, concurrency, now)
  const { server, wanted, waitMs, roundTripMs, workMs, maxWorkMs, wasWarm, place } = best
  const endsAt = now + roundTripMs + waitMs + workMs
  if (endsAt > request.deadline) return createRefusal(fleet, 'noTime', endsAt - request.deadline)
  const excessWaitMs = waitMs - computeMaxWait(request, roundTripMs + workMs, now)
  if (excessWaitMs > 0) return createRefusal(fleet, 'busy', excessWaitMs)
  return { type: 'send', server, wanted, wasWarm, place, isCold: isCold(server, now), waitMs, roundTripMs, workMs, maxExpectedMs: roundTripMs + waitMs + Math.max(workMs, maxWorkMs) }
}

/** Returns whether a request misses its latency objective even at a server that is warm for its object and has a free slot. */
function missesLatencyObjective (fleet: Fleet, { route, service, arrivedAt }: PlacementRequest, now: Millis): boolean {
  return now - arrivedAt + getWorkTimes(fleet.workModel, workKey({ route, service }), route.aimMs).warmMs > route.aimMs
}

/**
 * Refuses a request that no server can take: there is none, or all servers that may serve it are full at the moment, have used up
 * their limits or want no requests.
 */
function refuseWithoutServer (fleet: Fleet, request: PlacementRequest, candidates: readonly FleetServer[], concurrency: ConcurrencyLimit, now: Millis): Refusal {
  const { service } = request
  const servers = candidates.filter(server => canServe(request, server))
  if (servers.length > 0) return refuseWhileClosed(fleet, servers, now) ?? createRefusal(fleet, 'busy', estimateTimeToCapacity(fleet, service, concurrency))
  return refuseAfterSends(fleet, request, now) ?? { type: 'refuse', reason: 'noServer', retryAfterMs: noServerRetryAfterMs }
}

/** Refuses a request that is not sent again, if all servers are paused, also those that it was sent to. */
export function refuseAfterSends (fleet: Fleet, request: PlacementRequest, now: Millis): Refusal | undefined {
  const refusal = refuseWhileClosed(fleet, listServersFor(fleet, { ...request, tried: new Set() }, now), now)
  if (refusal?.reason !== 'paused') return undefined
  // The request itself can't wait: it goes to no server twice.
  return { type: 'refuse', reason: 'paused', retryAfterMs: refusal.retryAfterMs }
}

function listServersFor (fleet: Fleet, request: PlacementRequest, now: Millis): FleetServer[] {
  return listVersionGroups(fleet, request, now).flat().filter(server => canServe(request, server))
}

/** Refuses a request until one of these servers takes requests; returns undefined if one takes them now. */
function refuseWhileClosed (fleet: Fleet, servers: readonly FleetServer[], now: Millis): Refusal | undefined {
  const delayMs = estimateRequestDelay(fleet, servers, now)
  if (servers.length === 0 || delayMs === 0) return undefined
  const arePaused = Number.isFinite(delayMs) && servers.every(({ notice }) => isClosedToRequests(notice, now))
  return arePaused ? refuseUntil(fleet, delayMs) : createRefusal(fleet, 'limited', delayMs)
}

/** Estimates the time until the requests in flight complete, from the present response times. */
function estimateTimeToCapacity (fleet: Fleet, service: ServiceId, concurrency: ConcurrencyLimit): Millis {
  return (fleet.meanSlotTimes.get(service) ?? minRetryAfterMs) * Math.max(1, concurrency.meanSlowdown)
}

/**
 * Computes how long a request may wait for a slot. Under load all slots are busy whatever the queue depth: short queues serve as
 * many requests as long ones, and serve them in time. The wait beyond the latency objective is therefore short, and longest for
 * the most urgent requests.
 */
function computeMaxWait (request: PlacementRequest, serviceMs: Millis, now: Millis): Millis {
  const slack = request.route.aimMs - (now - request.arrivedAt) - serviceMs
  const factor = maxWaitFactors[Math.min(request.route.rank, maxWaitFactors.length - 1)] ?? 0
  return Math.max(slack * (factor >= 1 ? 1 : factor), serviceMs * factor)
}

/** Refuses a request until a server takes requests again. Callers return after that time, and not all at once. */
function refuseUntil (fleet: Fleet, delayMs: Millis): Refusal {
  const spreadMs = Math.max(minPauseSpreadMs, delayMs * pauseSpreadFraction)
  return { type: 'refuse', reason: 'paused', retryAfterMs: Math.max(minRetryAfterMs, delayMs + fleet.setup.random() * spreadMs), pausedMs: delayMs }
}

function createRefusal (fleet: Fleet, reason: Refusal['reason'], afterMs: Millis): Refusal {
  // The retries are spread over 0.5 to 2 times the time, since slots become free one by one.
  const spread = afterMs * (0.5 + fleet.setup.random() * 1.5)
  return { type: 'refuse', reason, retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, spread)) }
}
