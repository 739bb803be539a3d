/**
 * Decides whether a request can be answered by its deadline at its object's primary server.
 *
 * While nearly all slots are busy, requests go to the primary servers of their objects only, since work elsewhere is cold. If a
 * route's timeout is hardly longer than its cold work, the requests of a primary server with a queue then time out one after
 * another, although servers in other regions have free slots. The load is a start of traffic, or a return of power, with all
 * objects cold.
 */
import type { Millis } from '@lynxcourse/base'
import { isWarm } from '../object/warmObjects.js'
import { getWorkTimes } from '../object/workModel.js'
import { estimateSharedQueueDepth } from '../server/fleetServer.js'
import type { FleetServer } from '../server/fleetServer.js'
import { estimateRoundTrip, workKey } from './fleet.js'
import type { Fleet } from './fleet.js'
import type { PlacementRequest } from '../../types/placementRequest.js'

/** Returns whether a server that is cold for the request's object is expected to answer by the deadline. */
function canMeetDeadline (fleet: Fleet, request: PlacementRequest, server: FleetServer, now: Millis): boolean {
  const { facts } = server
  const times = getWorkTimes(fleet.workModel, workKey(request), request.route.aimMs)
  const waitMs = estimateQueueWait(estimateSharedQueueDepth(server, now), facts.slots, fleet.meanSlotTimes.get(request.service) ?? times.coldMs)
  return now + estimateRoundTrip(fleet, facts.region) + waitMs + times.coldMs <= request.deadline
}

/**
 * Returns the servers that a request may use while nearly all slots are busy: the primary one, or all if it can't answer by the
 * deadline. A request waits for a primary server that is full at the moment or warm for its object: elsewhere the object would be
 * cold.
 */
export function selectReachable (fleet: Fleet, request: PlacementRequest, primary: readonly FleetServer[], all: readonly FleetServer[], now: Millis): readonly FleetServer[] {
  if (fleet.setup.disabledMechanisms.has('deadlineReach')) return primary
  if (primary.length === 0 || primary.some(({ facts: { id } }) => isWarm(fleet.warmObjects, id, request.object, now))) return primary
  return primary.some(server => canMeetDeadline(fleet, request, server, now)) ? primary : all
}

/** Estimates the wait of a request for a slot at a server with the given queue depth. */
export function estimateQueueWait (queueDepth: number, slots: number, meanSlotMs: Millis): Millis {
  return queueDepth < slots ? 0 : (queueDepth - slots + 1) * meanSlotMs / slots
}
