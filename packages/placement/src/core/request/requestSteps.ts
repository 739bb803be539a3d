/**
 * One request from its first try to its final answer.
 *
 * A request is sent again only where that can't make it run twice although it must not: after proof that it did not run, or where
 * its route says that it may be repeated. The VM that holds the caller's connection decides alone, so nobody else sends it.
 */
import type { Millis, ServerId } from '@lynxcourse/base'
import { isServerError } from '../../types/sendOutcome.js'
import type { SendOutcome } from '../../types/sendOutcome.js'
import { mustLook } from '../admission/callerView.js'
import type { CallerView } from '../admission/callerView.js'
import { isCalm } from '../admission/concurrency.js'
import { expectsRoom, lookPause, waitEnd } from '../admission/roomWait.js'
import { noteDemand } from '../board/loadReport.js'
import { noteRequest, spendRepeat } from '../retries/retryShare.js'
import { isCold, takeColdToken } from '../server/coldRateLimit.js'
import { noteStart, noteStop, patienceFor } from '../server/fleetServer.js'
import type { Running } from '../server/fleetServer.js'
import type { EntryState, DecisionConditions } from './entryState.js'
import { getConcurrency, slotTimeOf } from './fleet.js'
import { noteLoad, noteResult } from './learning.js'
import { placeRequest } from './placeRequest.js'
import type { Placement, Refusal } from './placeRequest.js'
import type { PlacementRequest } from './scoring.js'

/** Most servers without room that one request asks; each ask costs a round trip and a place in the retry budget. */
const maxFull = 2
/** A repeatable request is tried elsewhere once its server is doubted, and this much later. */
const slowSlackMs: Millis = 200
/** Time until a server that had no room is worth another try. */
const fullRetryMs: Millis = 150

/** A request and its tries so far. */
export interface RequestState {
  readonly request: PlacementRequest
  readonly tried: Set<ServerId>
  readonly caller: CallerView
  /** Until when it may wait for room. */
  readonly waitsUntil: Millis
  /** Servers at which it ran or may have run. */
  runs: number
  /** Servers that had no room for it. */
  full: number
  sends: number
  last: SendOutcome | undefined
}

/** What to do next. */
export type RequestStep =
  | { readonly type: 'send', readonly placement: Placement }
  /** Look at the caller's connection, note that look, and ask again. */
  | { readonly type: 'look' }
  /** Look for room again after this. */
  | { readonly type: 'wait', readonly pauseMs: Millis }
  /** It has not run and will not; the caller may come back. */
  | { readonly type: 'refuse', readonly refused: Refusal }
  /** The last server's answer is the caller's. */
  | { readonly type: 'answer' }
  /** Some server may have run it, and none answered. */
  | { readonly type: 'fail', readonly reason: 'deadline' | 'unanswered' | 'serverFailed' }
  | { readonly type: 'gone' }

/** A send that is under way. */
export interface InFlightSend {
  readonly placement: Placement
  readonly running: Running
  readonly startedAt: Millis
  /** When to ask whether to leave the server although the caller still waits; undefined to wait for the deadline. */
  readonly failoverAt: Millis | undefined
  /** From then on it is longer under way than its work can explain. */
  readonly overdueAt: Millis
}

/** Begins with a request, and counts it. */
export function startRequest (entry: EntryState, request: Omit<PlacementRequest, 'tried'>, caller: CallerView, terms: DecisionConditions, now: Millis): RequestState {
  const { fleet, load, retries } = entry
  const { service, route, object, deadline } = request
  noteRequest(retries, terms.retryBudget, service, now)
  noteDemand(load, service, slotTimeOf(fleet, request, object))
  const tried = new Set<ServerId>()
  return { request: { ...request, tried }, tried, caller, waitsUntil: waitEnd(route.aimMs, deadline, now), runs: 0, full: 0, sends: 0, last: undefined }
}

/** Decides what becomes of a request that is not under way at a server now. */
export function decideNextStep (entry: EntryState, run: RequestState, terms: DecisionConditions, now: Millis): RequestStep {
  if (run.last !== undefined && isFinal(run, run.last)) return stepAfterLast(run, run.last)
  if (now >= run.request.deadline) return run.runs === 0 ? refusal('noTime') : { type: 'fail', reason: 'deadline' }
  if (mustLook(run.caller, now)) return { type: 'look' }
  const placement = placeRequest(entry.fleet, run.request, now)
  if (placement.type === 'refuse') {
    if (mayWaitForRoom(entry, run, placement, terms, now)) return { type: 'wait', pauseMs: lookPause(entry.fleet.setup.random) }
    return run.runs > 0 ? stepAfterRuns(run) : { type: 'refuse', refused: placement }
  }
  const { retries, fleet } = entry
  const isFirst = run.sends === 0
  if (!isFirst && !spendRepeat(retries, terms.retryBudget, run.request.service, fleet.vms.length, now)) return stepAfterRuns(run)
  return { type: 'send', placement }
}

/** Counts a request as waiting for room, or as not waiting any more. */
export function updateWaitingCount ({ waitingForCapacity: waitingForRoom }: EntryState, { request: { service } }: RequestState, change: 1 | -1): void {
  waitingForRoom.set(service, (waitingForRoom.get(service) ?? 0) + change)
}

/** Begins a send as it was decided. */
export function beginSend ({ fleet }: EntryState, run: RequestState, placed: Placement, now: Millis): InFlightSend {
  const { route, service } = run.request
  const { server, roundTripMs: travelMs, waitMs, workMs, longestMs } = placed
  run.sends += 1
  run.tried.add(server.facts.id)
  if (isCold(server, now)) takeColdToken(server)
  const expectedMs = travelMs + waitMs + workMs
  const running = noteStart(server, expectedMs, longestMs, now)
  const concurrency = getConcurrency(fleet, service)
  // Where all servers are slow, work given up half done only adds to the load of the next one.
  const mayLeave = route.isIdempotent && run.runs + 1 < route.maxAttempts && isCalm(concurrency)
  concurrency.underWay += 1
  const overdueAt = now + patienceFor(expectedMs, longestMs) + slowSlackMs
  return { placement: placed, running, startedAt: now, failoverAt: mayLeave ? overdueAt : undefined, overdueAt }
}

/**
 * Whether another server would take the request now. Work given up with nobody to take it over ends in a
 * failure in place of a late answer; and a VM that stops must not break off what it has passed on.
 */
export function mayFailOver ({ fleet }: EntryState, run: RequestState, { isStopping: isLeaving }: DecisionConditions, now: Millis): boolean {
  return !isLeaving && placeRequest(fleet, run.request, now).type === 'send'
}

/**
 * Whether a send is overdue at a server that takes no more work and has not answered anything since it began.
 *
 * What was written while the network was cut may arrive long after the cut, when nothing may reach the server's failure domain any
 * more. Whether it is still on its way or its server works on it can't be seen, so a late answer is given up for it.
 */
export function isServerUnresponsive ({ fleet }: EntryState, { placement: { server }, startedAt, overdueAt }: InFlightSend, { isStopping: isLeaving }: DecisionConditions, now: Millis): boolean {
  if (isLeaving || now < overdueAt || server.lastAnsweredAt > startedAt) return false
  return server.facts.isClosed || fleet.byId.get(server.facts.id) !== server
}

/** Takes the end of a send, and learns from it. */
export function endSend (entry: EntryState, run: RequestState, { placement: placed, running, startedAt }: InFlightSend, end: SendOutcome, now: Millis): void {
  getConcurrency(entry.fleet, run.request.service).underWay -= 1
  noteStop(placed.server, running)
  // Opening a connection takes a way there and back; taken for the server's time, it showed far servers as overloaded.
  const atServerMs = now - startedAt - (end.type === 'answered' ? end.connectMs : 0)
  noteResult(entry, run.request, placed, end, atServerMs, now)
  noteLoad(entry, run.request, placed, end, atServerMs, now)
  if (end.type === 'answered' || end.type === 'lost') run.runs += 1
  if (end.type === 'notRun' && end.reason === 'full') run.full += 1
  run.last = end
}

function isFinal (run: RequestState, end: SendOutcome): boolean {
  const { route } = run.request
  if (end.type === 'notRun') return run.full > maxFull
  if (end.type === 'lost' && (end.reason === 'gone' || end.reason === 'deadline')) return true
  const isFailure = end.type === 'lost' || isServerError(end.status)
  return !isFailure || !route.isIdempotent || run.runs >= route.maxAttempts
}

function stepAfterLast (run: RequestState, end: SendOutcome): RequestStep {
  switch (end.type) {
    case 'answered': return { type: 'answer' }
    case 'notRun': return stepAfterRuns(run)
    case 'lost':
      if (end.reason === 'gone') return { type: 'gone' }
      return { type: 'fail', reason: end.reason === 'deadline' || end.reason === 'stranded' ? 'unanswered' : 'serverFailed' }
  }
}

/** The step when there is no further try: what is known of the tries so far. */
function stepAfterRuns ({ last, runs }: RequestState): RequestStep {
  if (last?.type === 'answered') return { type: 'answer' }
  return runs > 0 ? { type: 'fail', reason: 'serverFailed' } : refusal('busy')
}

function refusal (reason: Refusal['reason']): RequestStep {
  return { type: 'refuse', refused: { type: 'refuse', reason, retryAfterMs: fullRetryMs } }
}

function mayWaitForRoom ({ fleet, waitingForCapacity: waitingForRoom }: EntryState, { request, waitsUntil }: RequestState, refused: Refusal, { isStopping: isLeaving }: DecisionConditions, now: Millis): boolean {
  if (refused.reason !== 'busy' || isLeaving || fleet.setup.disabledMechanisms.has('roomWait')) return false
  const { route, service } = request
  const { limit } = getConcurrency(fleet, service)
  const pace = { limit, meanMs: fleet.meanWork.get(service) ?? route.aimMs, waiting: waitingForRoom.get(service) ?? 0 }
  return expectsRoom(pace, waitsUntil, now)
}
