/**
 * Chooses the server of a request by the least expected time to completion: the way there and back,
 * the wait for a slot, and the work, which is shorter where the object is warm. Refuses at once what
 * can't be served in time.
 */
import type { Millis, ServiceId } from '@lynxcourse/base'
import { mayStart } from '../admission/concurrency.js'
import type { Concurrency } from '../admission/concurrency.js'
import { isCold } from '../server/coldRateLimit.js'
import { getConcurrency, workKey } from './fleet.js'
import type { Fleet } from './fleet.js'
import type { HashPlace } from '../object/hashPlaces.js'
import type { FleetServer } from '../server/fleetServer.js'
import { findBest, mayServe } from './scoring.js'
import type { PlacementRequest } from './scoring.js'
import { workOf } from '../object/workModel.js'

/** Where a request goes, and what is expected of it there. */
export interface Placement {
  readonly type: 'send'
  readonly server: FleetServer
  readonly wasWarm: boolean
  /** What hashing says of the server for the object; undefined if nothing. */
  readonly place: HashPlace | undefined
  readonly isCold: boolean
  readonly waitMs: Millis
  readonly roundTripMs: Millis
  readonly workMs: Millis
  /** Time that the request takes at most as far as is known: the way, the wait, and the work for an object that is cold there. */
  readonly longestMs: Millis
}

/** Why a request goes nowhere now. */
export interface Refusal {
  readonly type: 'refuse'
  readonly reason: 'noServer' | 'noTime' | 'busy'
  /** After which a slot will have come. */
  readonly retryAfterMs: Millis
}

/** Waits that are accepted beyond the aim, in parts of the work, by rank: the most urgent wait longest. */
const patience = [1.5, 0.8, 0.5]
/** Least and longest time that a refused caller is told to stay away. */
const minRetryAfterMs = 100
const maxRetryAfterMs = 5000
/** Without any server, those that announce themselves come about this often. */
const noServerRetryMs = 500

/** Chooses a server for a request, or says when to come back. */
export function placeRequest (fleet: Fleet, request: PlacementRequest, now: Millis): Placement | Refusal {
  const concurrency = getConcurrency(fleet, request.service)
  if (!mayStart(concurrency, request.route.rank, isLate(fleet, request, now))) return refuse(fleet, 'busy', timeToRoom(fleet, request.service, concurrency))
  const best = findBest(fleet, request, now)
  if (best === undefined) return refuseUnplaced(fleet, request, concurrency)
  const { server, waitMs, travelMs, workMs, longestWorkMs, wasWarm, place } = best
  const endsAt = now + travelMs + waitMs + workMs
  if (endsAt > request.deadline) return refuse(fleet, 'noTime', endsAt - request.deadline)
  const tooLong = waitMs - allowedWait(request, travelMs + workMs, now)
  if (tooLong > 0) return refuse(fleet, 'busy', tooLong)
  return { type: 'send', server, wasWarm, place, isCold: isCold(server, now), waitMs, roundTripMs: travelMs, workMs, longestMs: travelMs + waitMs + Math.max(workMs, longestWorkMs) }
}

/** Whether a request misses its latency objective even where its object is warm and a slot is free. */
function isLate (fleet: Fleet, { route, service, arrivedAt }: PlacementRequest, now: Millis): boolean {
  return now - arrivedAt + workOf(fleet.work, workKey({ route, service }), route.aimMs).warmMs > route.aimMs
}

/** No server is open to a request: those that it may go to are without room for a moment, or there is none. */
function refuseUnplaced (fleet: Fleet, request: PlacementRequest, concurrency: Concurrency): Refusal {
  const { service } = request
  const isBusy = (fleet.byService.get(service) ?? []).some(server => mayServe(request, server))
  if (isBusy) return refuse(fleet, 'busy', timeToRoom(fleet, service, concurrency))
  return { type: 'refuse', reason: 'noServer', retryAfterMs: noServerRetryMs }
}

/** About the time in which what is under way now ends, at the pace at which answers come now. */
function timeToRoom (fleet: Fleet, service: ServiceId, concurrency: Concurrency): Millis {
  return (fleet.meanWork.get(service) ?? minRetryAfterMs) * Math.max(1, concurrency.meanRatio)
}

/**
 * How long a request may wait. Under load all slots are busy whatever the length of the queues; short
 * ones serve as many and serve them in time, so a wait beyond the aim is kept small and is longest for
 * the most urgent.
 */
function allowedWait (request: PlacementRequest, restMs: Millis, now: Millis): Millis {
  const slack = request.route.aimMs - (now - request.arrivedAt) - restMs
  const part = patience[Math.min(request.route.rank, patience.length - 1)] ?? 0
  return Math.max(slack * (part >= 1 ? 1 : part), restMs * part)
}

function refuse (fleet: Fleet, reason: Refusal['reason'], afterMs: Millis): Refusal {
  // Spread over twice the time, since slots come one by one and not all at its end.
  const spread = afterMs * (0.5 + fleet.setup.random() * 1.5)
  return { type: 'refuse', reason, retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, spread)) }
}
