/** What an entry VM learns from how a send ended: of the server, of the work, and of the load. */
import type { Millis } from '@lynxcourse/base'
import { isServerError } from '../../types/sendOutcome.js'
import type { LostReason, SendOutcome } from '../../types/sendOutcome.js'
import { learnConcurrency } from '../admission/concurrency.js'
import { noteAhead, noteFailedServer } from '../board/loadReport.js'
import { noteHandled } from '../object/warmth.js'
import { learnCutWork, learnWork, workOf } from '../object/workModel.js'
import { noteAnswered, noteBad, noteFull, noteGood, noteReport, owedFor } from '../server/fleetServer.js'
import type { FleetServer } from '../server/fleetServer.js'
import type { EntryState } from './entryState.js'
import { getConcurrency, learnSlowness, learnWarmChance, slotShare, estimateRoundTrip, workKey } from './fleet.js'
import type { Placement } from './placeRequest.js'
import type { PlacementRequest } from './scoring.js'

/**
 * Notes that a server answered.
 *
 * @param ahead requests running and waiting there by its own word; undefined if it told none
 */
export function recordReply ({ load }: EntryState, server: FleetServer, ahead: number | undefined, now: Millis): void {
  noteAnswered(server, now)
  if (ahead === undefined) return
  noteReport(server, ahead, now)
  noteAhead(load, server.facts.id, ahead)
}

/** Smoothing of the mean time in a slot. */
const meanSmoothing = 0.05

/**
 * Learns from how sending ended.
 *
 * @param tookMs time since the request was on an open connection
 */
export function noteResult (entry: EntryState, request: PlacementRequest, placed: Placement, end: SendOutcome, tookMs: Millis, now: Millis): void {
  const { server } = placed
  switch (end.type) {
    case 'answered':
      if (isServerError(end.status)) noteBad(server, false, now)
      else noteAnswer(entry, request, placed, tookMs, now)
      break
    case 'notRun':
      if (end.reason === 'full') {
        noteFull(server, now)
        break
      }
      noteBad(server, true, now)
      noteFailedServer(entry.load, server.facts.id)
      break
    case 'lost':
      noteLost(entry, request, placed, end.reason, tookMs, now)
      break
  }
}

/** Part of the longest expected time beyond which a request without an answer tells of its server by itself. */
const overduePart = 1.3

/**
 * Learns from a request that got no answer.
 *
 * What can go wrong: a route's timeout is hardly longer than the work for a cold object, so requests for objects that have just
 * moved end by it. Taken for a failure of the server, each of them shut it out, its other objects moved in turn, and ended the
 * same way. It shows as servers that are left alone while they answer others. So a request counts only where the server had the
 * time that the longest work takes: for the request itself, or for all that it owed this VM meanwhile.
 */
function noteLost (entry: EntryState, request: PlacementRequest, placed: Placement, reason: LostReason, tookMs: Millis, now: Millis): void {
  const { server } = placed
  // Whether a stranded request ever reached its server is not known, and the server takes no more work.
  if (reason === 'gone' || reason === 'stranded') return
  const ranOut = reason === 'slow' || reason === 'deadline'
  const enoughMs = placed.longestMs * overduePart
  const isOverdue = ranOut && tookMs > enoughMs
  if (ranOut && !isOverdue && owedFor(server, now) <= enoughMs) {
    learnCutWork(workOf(entry.fleet.work, workKey(request), request.route.aimMs), inServerMs(entry, placed, tookMs))
    return
  }
  noteBad(server, isOverdue, now)
  if (reason !== 'spoiled') noteFailedServer(entry.load, server.facts.id)
}

/** Learns how many requests of the service may be under way. */
export function noteLoad (entry: EntryState, request: PlacementRequest, placed: Placement, end: SendOutcome, tookMs: Millis, now: Millis): void {
  const { fleet } = entry
  const isLate = end.type === 'lost' && (end.reason === 'deadline' || end.reason === 'slow')
  const isWork = end.type === 'answered' && !isServerError(end.status)
  if (!isLate && !isWork) return
  const ratio = isLate ? Infinity : inServerMs(entry, placed, tookMs) / expectedInServer(entry, request, placed)
  learnConcurrency(getConcurrency(fleet, request.service), ratio, slotShare(fleet, request.service), now)
}

/** Time that a request spent at its server, waiting or working. */
function inServerMs (entry: EntryState, placed: Placement, tookMs: Millis): Millis {
  return Math.max(1, tookMs - estimateRoundTrip(entry.fleet, placed.server.facts.region))
}

/** Time that the work alone was expected to take, by whether the object was warm. */
function expectedInServer (entry: EntryState, request: PlacementRequest, placed: Placement): Millis {
  const times = workOf(entry.fleet.work, workKey(request), request.route.aimMs)
  return placed.wasWarm ? times.warmMs : times.coldMs
}

/** A ratio below this tells of chance and not of a slow server. */
const leastSlowRatio = 1.6

function noteAnswer (entry: EntryState, request: PlacementRequest, placed: Placement, tookMs: Millis, now: Millis): void {
  const { fleet } = entry
  const { server, wasWarm, waitMs } = placed
  const times = workOf(fleet.work, workKey(request), request.route.aimMs)
  const inServer = inServerMs(entry, placed, tookMs)
  const expected = expectedInServer(entry, request, placed) + waitMs
  const ratio = inServer / expected
  const wasFast = inServer - waitMs < (times.warmMs + times.coldMs) / 2
  noteGood(server, ratio < leastSlowRatio ? 1 : ratio, now)
  learnSlowness(fleet, request.service, ratio < leastSlowRatio ? 1 : ratio)
  if (placed.place !== undefined && !wasWarm) learnWarmChance(fleet, request, placed.place, wasFast)
  // What this VM has seen doesn't tell warm from cold: of many VMs, another one may have warmed the object.
  if (!placed.isCold && waitMs === 0) learnWork(times, wasFast, inServer)
  const mean = fleet.meanWork.get(request.service) ?? times.coldMs
  fleet.meanWork.set(request.service, mean + (Math.min(inServer, times.coldMs) - mean) * meanSmoothing)
  if (request.object !== '') noteHandled(fleet.warmth, server.facts.id, request.object, now)
}
