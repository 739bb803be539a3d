/** Updates an entry VM's estimates of servers, work times and load from the outcomes of sends. */
import type { Millis } from '@lynxcourse/base'
import { noStatements, recordStatements } from '@lynxcourse/limits'
import type { NoticeChange, ServerStatements } from '@lynxcourse/limits'
import { isServerError } from '../../types/sendOutcome.js'
import type { LostReason, SendOutcome } from '../../types/sendOutcome.js'
import { adaptConcurrencyLimit } from '../admission/concurrencyLimit.js'
import { recordLimit, recordQueueDepth, recordFailedServer } from '../board/loadObservations.js'
import { recordObjectUse } from '../object/warmObjects.js'
import { recordTimedOutWork, recordWorkTime, getWorkTimes } from '../object/workModel.js'
import { isUnderObservation } from '../rollout/activeRollouts.js'
import { recordAnswer, recordFailure, recordServerFull, recordSuccess, recordLoadReport, getUnansweredMs } from '../server/fleetServer.js'
import type { FleetServer } from '../server/fleetServer.js'
import type { EntryState } from './entryState.js'
import { updateMeanSlowdown, updateWarmProbability, estimateRoundTrip, workKey } from './fleet.js'
import { computeSlotShare, getConcurrency } from './slotShares.js'
import type { Placement } from './placeRequest.js'
import type { PlacementRequest } from '../../types/placementRequest.js'

/**
 * Records that a server answered, whatever the status.
 *
 * @param queueDepth running and waiting requests that the server reported; undefined if it reported none
 */
export function recordReply ({ load }: EntryState, server: FleetServer, queueDepth: number | undefined, now: Millis): void {
  recordAnswer(server, now)
  if (queueDepth === undefined) return
  recordLoadReport(server, queueDepth, now)
  recordQueueDepth(load, server.facts.id, queueDepth)
}

/** Records what a server's answer says about the server; returns what changed. */
export function recordAnswerStatements ({ fleet, load }: EntryState, { facts, notice }: FleetServer, statements: ServerStatements, now: Millis): NoticeChange[] {
  const heard = fleet.setup.disabledMechanisms.has('serverPauses') ? { ...statements, pause: noStatements.pause } : statements
  const changes = recordStatements(notice, heard, now)
  const { perSecond } = notice.limit
  if (perSecond !== undefined) recordLimit(load, facts.id, perSecond)
  else if (changes.some(change => change.type === 'limit')) recordLimit(load, facts.id, null)
  return changes
}

/** Smoothing factor of the mean slot time. */
const meanSlotTimeSmoothing = 0.05

/**
 * Updates the health of the server and the learned estimates with the outcome of a send.
 *
 * @param tookMs time from when the connection was open until the outcome
 */
export function recordSendOutcome (entry: EntryState, request: PlacementRequest, placement: Placement, outcome: SendOutcome, tookMs: Millis, now: Millis): void {
  const { server } = placement
  switch (outcome.type) {
    case 'answered':
      if (isServerError(outcome.status)) recordFailure(server, false, now)
      else learnFromAnswer(entry, request, placement, tookMs, now)
      break
    case 'notRun':
      if (outcome.reason === 'full') {
        recordServerFull(server, now)
        break
      }
      if (outcome.reason === 'withdrawn') break
      recordFailure(server, true, now)
      recordFailedServer(entry.load, server.facts.id)
      break
    case 'lost':
      recordUnanswered(entry, request, placement, outcome.reason, tookMs, now)
      break
  }
}

/** Factor of the longest expected time after which an unanswered request by itself counts as a certain failure of its server. */
const overdueFactor = 1.3

/**
 * Learns from a request that got no answer.
 *
 * If a route's timeout is hardly longer than the work for a cold object, requests for objects that have just moved run into it.
 * Counting each such timeout as a server failure would eject the server, move its other objects to cold servers, and make their
 * requests time out in turn; the symptom is ejected servers that still answer other requests. A timeout therefore counts only if
 * the server had the time of the longest work: for this request, or since it last answered this VM.
 */
function recordUnanswered (entry: EntryState, request: PlacementRequest, placement: Placement, reason: LostReason, tookMs: Millis, now: Millis): void {
  const { server } = placement
  // It is unknown whether a stranded request reached its server, and the server takes no more work anyway.
  if (reason === 'gone' || reason === 'stranded') return
  const isTimeout = reason === 'slow' || reason === 'deadline'
  const overdueMs = placement.maxExpectedMs * overdueFactor
  const isOverdue = isTimeout && tookMs > overdueMs
  if (isTimeout && !isOverdue && getUnansweredMs(server, now) <= overdueMs) {
    if (isUnderObservation(entry.fleet.rollouts, server)) return
    recordTimedOutWork(getWorkTimes(entry.fleet.workModel, workKey(request), request.route.aimMs), estimateServerTime(entry, placement, tookMs))
    return
  }
  recordFailure(server, isOverdue, now)
  if (reason !== 'spoiled') recordFailedServer(entry.load, server.facts.id)
}

/** Updates the limit of the service's requests in flight with the outcome of a send. */
export function updateConcurrencyLimit (entry: EntryState, request: PlacementRequest, placement: Placement, outcome: SendOutcome, tookMs: Millis, now: Millis): void {
  const { fleet } = entry
  if (isUnderObservation(fleet.rollouts, placement.server)) return
  const isTimeout = outcome.type === 'lost' && (outcome.reason === 'deadline' || outcome.reason === 'slow')
  const isSuccess = outcome.type === 'answered' && !isServerError(outcome.status)
  if (!isTimeout && !isSuccess) return
  const ratio = isTimeout ? Infinity : estimateServerTime(entry, placement, tookMs) / getExpectedWorkTime(entry, request, placement)
  adaptConcurrencyLimit(getConcurrency(fleet, request.service), ratio, computeSlotShare(fleet, request.service), now)
}

/** Estimates the time that a request spent at its server, waiting or running. */
function estimateServerTime (entry: EntryState, placement: Placement, tookMs: Millis): Millis {
  return Math.max(1, tookMs - estimateRoundTrip(entry.fleet, placement.server.facts.region))
}

/** Returns the expected time of the work alone, for a warm or a cold object. */
function getExpectedWorkTime (entry: EntryState, request: PlacementRequest, placement: Placement): Millis {
  const times = getWorkTimes(entry.fleet.workModel, workKey(request), request.route.aimMs)
  return placement.wasWarm ? times.warmMs : times.coldMs
}

/** A smaller ratio is random variation, not a slow server. */
const minSlowRatio = 1.6

function learnFromAnswer (entry: EntryState, request: PlacementRequest, placement: Placement, tookMs: Millis, now: Millis): void {
  const { fleet } = entry
  const { server, wasWarm, waitMs } = placement
  const times = getWorkTimes(fleet.workModel, workKey(request), request.route.aimMs)
  const serverMs = estimateServerTime(entry, placement, tookMs)
  const expectedMs = getExpectedWorkTime(entry, request, placement) + waitMs
  const ratio = serverMs / expectedMs
  const wasFast = serverMs - waitMs < (times.warmMs + times.coldMs) / 2
  recordSuccess(server, ratio < minSlowRatio ? 1 : ratio, now)
  if (request.object !== '') recordObjectUse(fleet.warmObjects, server.facts.id, request.object, now)
  // The expectations of the service must not adapt to a version that may be slow.
  if (isUnderObservation(fleet.rollouts, server)) return
  updateMeanSlowdown(fleet, request.service, ratio < minSlowRatio ? 1 : ratio)
  if (placement.place !== undefined && !wasWarm) updateWarmProbability(fleet, request, placement.place, wasFast)
  // `wasWarm` doesn't show whether the object was warm: another VM may have warmed it. The time of the answer does.
  if (!placement.isCold && waitMs === 0) recordWorkTime(times, wasFast, serverMs)
  const mean = fleet.meanSlotTimes.get(request.service) ?? times.coldMs
  fleet.meanSlotTimes.set(request.service, mean + (Math.min(serverMs, times.coldMs) - mean) * meanSlotTimeSmoothing)
}
