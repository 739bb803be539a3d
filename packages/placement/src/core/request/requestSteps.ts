/**
 * The course of one request from its arrival to its final outcome.
 *
 * A request is sent again only if it certainly did not run, or if its route is idempotent. The VM that holds the caller's
 * connection alone decides this, so no other VM sends the request. A request under which servers ended is sent again only as
 * a trial.
 */
import type { Millis, ServerId } from '@lynxcourse/base'
import { isServerError } from '../../types/sendOutcome.js'
import type { SendOutcome } from '../../types/sendOutcome.js'
import type { RequestRestriction, TrialAnswer } from '../admission/crashingRequests.js'
import { needsPoll } from '../admission/callerLiveness.js'
import type { CallerLiveness } from '../admission/callerLiveness.js'
import { hasNormalLatency } from '../admission/concurrencyLimit.js'
import { expectsCapacity, computeRecheckDelay, computeWaitEnd } from '../admission/capacityWait.js'
import { recordDemand } from '../board/loadObservations.js'
import { recordBudgetedRequest, refundRetry, settleRetry, trySpendRetry } from '../retries/retryBudget.js'
import type { RetryCharge } from '../retries/retryBudget.js'
import { getRetryCause } from '../retries/retryCounts.js'
import type { RetryCause } from '../retries/retryCounts.js'
import { consumeLimitToken } from '@lynxcourse/limits'
import { recordVersionEvidence, spendExposure } from '../rollout/sendEvidence.js'
import { drawVersion } from '../rollout/versionChoice.js'
import { recordServerDemand } from '../server/limitedServers.js'
import { isCold, consumeColdToken } from '../server/coldRateLimit.js'
import { recordRequestStart, recordRequestEnd, computeResponseTimeout } from '../server/fleetServer.js'
import type { FleetServer, RunningRequest } from '../server/fleetServer.js'
import type { EntryState, DecisionConditions } from './entryState.js'
import { estimateSlotTime, getSlackShare } from './fleet.js'
import type { Fleet } from './fleet.js'
import { getConcurrency } from './slotShares.js'
import { updateConcurrencyLimit, recordSendOutcome } from './learning.js'
import { placeRequest, refuseAfterSends } from './placeRequest.js'
import type { Placement, Refusal } from './placeRequest.js'
import type { PlacementRequest } from '../../types/placementRequest.js'

/** Number of full servers after which a request is still sent again: each send costs a round trip and a unit of the retry budget. */
const maxFullServers = 2
/** Number of servers that couldn't be reached after which a request is still sent again: each send may take a connect timeout. */
const maxUnreachedServers = 3
/** Delay after the response timeout before an idempotent request may fail over to another server. */
const failoverSlackMs: Millis = 200
/** Retry time for the caller of a request that is refused after it waited or met full servers. */
const fullRetryAfterMs: Millis = 150

/** A request and the results of its sends so far. */
export interface RequestState {
  readonly request: PlacementRequest
  /** Servers to which the request was sent; `request.tried` is the same set. */
  readonly tried: Set<ServerId>
  readonly caller: CallerLiveness
  /** Time until which the request may wait for capacity. */
  readonly maxWaitUntil: Millis
  /** Number of servers that ran the request or may have run it. */
  possibleRuns: number
  /** Number of servers that rejected the request because they were full. */
  full: number
  sends: number
  /** Number of sends that may have reached a server. */
  arrivals: number
  /** The retry of the budget that the next send uses; undefined if it needs none. */
  charge: RetryCharge | undefined
  /** The server that takes the request over from the one that is given up; undefined unless it fails over. */
  failover: Placement | undefined
  /** The leader's answer for a restricted request; undefined if it was not asked. */
  trial: TrialAnswer | undefined
  /** Outcome of the last send. */
  last: SendOutcome | undefined
  /** Why the request was sent again, or would have been with a larger budget; undefined before. */
  retryCause: RetryCause | undefined
  /** Whether the request was not sent again for lack of a retry in the budget. */
  isOverBudget: boolean
}

/** The next step for a request. */
export type RequestStep =
  | { readonly type: 'send', readonly placement: Placement }
  /** Poll the caller's connection, record that poll, and call `decideNextStep` again. */
  | { readonly type: 'poll' }
  /** Ask the leader for a trial, pass its answer to `recordTrialAnswer`, and call `decideNextStep` again. */
  | { readonly type: 'claimTrial' }
  /** Obtain a permit of the caller's team and call `decideNextStep` again. */
  | { readonly type: 'takePermit' }
  /** Wait for capacity and call `decideNextStep` again after `pauseMs`. */
  | { readonly type: 'wait', readonly pauseMs: Millis }
  /** The request has not run and will not run; the caller may retry it. */
  | { readonly type: 'refuse', readonly refused: Refusal }
  /** The caller gets the answer of the last server. */
  | { readonly type: 'answer' }
  /** Some server may have run the request, and no answer can be returned. */
  | { readonly type: 'fail', readonly reason: 'deadline' | 'unanswered' | 'serverFailed' }
  /** The caller disconnected. */
  | { readonly type: 'gone' }

/** A send in flight. */
export interface InFlightSend {
  readonly placement: Placement
  readonly running: RunningRequest
  /** The retry of the budget that this send uses; undefined if it needs none. */
  readonly charge: RetryCharge | undefined
  readonly startedAt: Millis
  /** Whether this is the only send of a restricted request in the fleet. */
  readonly isTrial: boolean
  /** When to check `reserveFailover`; undefined if the request must stay at its server until the deadline. */
  readonly failoverAt: Millis | undefined
  /** Time from which the expected work no longer explains the duration of the send. */
  readonly overdueAt: Millis
}

/** Creates the state of a request that has arrived, and counts it in the retry budget and the demand. */
export function startRequest (entry: EntryState, request: Omit<PlacementRequest, 'tried'>, caller: CallerLiveness, conditions: DecisionConditions, now: Millis): RequestState {
  const { fleet, load, retries } = entry
  const { service, route, object, arrivedAt, deadline } = request
  recordBudgetedRequest(retries, conditions.retryBudget, service, arrivedAt, now)
  recordDemand(load, service, estimateSlotTime(fleet, request, object))
  const tried = new Set<ServerId>()
  return { request: { ...request, tried, versionDraw: drawVersion(fleet, request) }, tried, caller, maxWaitUntil: computeWaitEnd(route.aimMs, deadline, now), possibleRuns: 0, full: 0, sends: 0, arrivals: 0, charge: undefined, failover: undefined, trial: undefined, last: undefined, retryCause: undefined, isOverBudget: false }
}

/** Decides the next step for a request that is not in flight at a server. */
export function decideNextStep (entry: EntryState, state: RequestState, conditions: DecisionConditions, now: Millis): RequestStep {
  if (state.last !== undefined && isFinalOutcome(state, state.last)) return stepAfterOutcome(entry, state, state.last, now)
  if (now >= state.request.deadline) return state.possibleRuns === 0 ? createRefuseStep('noTime') : { type: 'fail', reason: 'deadline' }
  if (needsPoll(state.caller, now)) return { type: 'poll' }
  const restricted = conditions.restriction === undefined ? undefined : stepByRestriction(entry, state, conditions.restriction, now)
  if (restricted !== undefined) return restricted
  // The send that was given up lowers the limits by which the request would be placed again.
  const placement = state.failover ?? placeRequest(entry.fleet, state.request, now)
  if (placement.type === 'refuse') {
    if (mayWaitForCapacity(entry, state, placement, conditions, now)) return { type: 'wait', pauseMs: computeRecheckDelay(entry.fleet.setup.random) }
    return state.possibleRuns > 0 ? stepWithoutRetry(entry, state, now) : { type: 'refuse', refused: placement }
  }
  if (conditions.needsPermit === true) return { type: 'takePermit' }
  const needsRetry = state.arrivals > 0 && state.charge === undefined
  if (needsRetry && state.last !== undefined && !spendRetry(entry, state, getRetryCause(state.last), conditions, now)) return stepWithoutRetry(entry, state, now)
  return { type: 'send', placement }
}

/** Uses a retry of the budget for the next send of a request that may have reached a server; returns whether one was left. */
function spendRetry ({ retries, fleet }: EntryState, state: RequestState, cause: RetryCause, { retryBudget }: DecisionConditions, now: Millis): boolean {
  state.retryCause = cause
  state.charge = trySpendRetry(retries, retryBudget, state.request.service, cause, getSlackShare(fleet, retryBudget), now)
  state.isOverBudget = state.charge === undefined
  return !state.isOverBudget
}

/** Returns the step that the restriction of a request requires; undefined if it may be sent as a trial. */
function stepByRestriction (entry: EntryState, state: RequestState, restriction: RequestRestriction, now: Millis): RequestStep | undefined {
  if (state.possibleRuns > 0) return stepWithoutRetry(entry, state, now)
  if (restriction.type === 'blocked') return createRefuseStep('endsServers', restriction.retryAfterMs)
  if (state.trial === undefined) return { type: 'claimTrial' }
  return state.trial.isGranted ? undefined : createRefuseStep('endsServers', state.trial.retryAfterMs)
}

/** Records the leader's answer to a claim of a trial. */
export function recordTrialAnswer (state: RequestState, answer: TrialAnswer): void {
  state.trial = answer
}

/** Whether the leader granted a trial in which no server may have run the request. */
export function isUnusedTrial ({ trial, possibleRuns }: RequestState): boolean {
  return trial?.isGranted === true && possibleRuns === 0
}

/** Adds a request to the number of those that wait for capacity, or removes it. */
export function updateWaitingCount ({ waitingForCapacity }: EntryState, { request: { service } }: RequestState, change: 1 | -1): void {
  waitingForCapacity.set(service, (waitingForCapacity.get(service) ?? 0) + change)
}

/** Records the start of a send and returns its timeouts. */
export function beginSend ({ fleet }: EntryState, state: RequestState, placement: Placement, now: Millis): InFlightSend {
  const { route, service } = state.request
  const { server, roundTripMs, waitMs, workMs, maxExpectedMs } = placement
  state.sends += 1
  state.arrivals += 1
  const { charge } = state
  state.charge = undefined
  state.failover = undefined
  state.tried.add(server.facts.id)
  if (isCold(server, now)) consumeColdToken(server)
  consumeLimitToken(server.notice.limit)
  spendExposure(fleet, server)
  recordServerDemand(placement.wanted, now)
  const expectedMs = roundTripMs + waitMs + workMs
  const running = recordRequestStart(server, expectedMs, maxExpectedMs, now)
  const concurrency = getConcurrency(fleet, service)
  // If all servers are slow, abandoning unfinished work only adds load at the next server.
  const canFailOver = route.isIdempotent && state.trial === undefined && state.possibleRuns + 1 < route.maxAttempts && hasNormalLatency(concurrency)
  concurrency.underWay += 1
  const overdueAt = now + computeResponseTimeout(expectedMs, maxExpectedMs) + failoverSlackMs
  return { placement, running, charge, startedAt: now, isTrial: state.trial?.isGranted === true, failoverAt: canFailOver ? overdueAt : undefined, overdueAt }
}

/**
 * Reserves the server and the retry of the budget with which a request can fail over now. Returns false if it must stay at its server: without
 * another server or a retry, failing over would replace a late answer by a failure, and a VM that is stopping must not abort requests in
 * flight.
 */
export function reserveFailover (entry: EntryState, state: RequestState, conditions: DecisionConditions, now: Millis): boolean {
  if (conditions.isStopping || conditions.restriction !== undefined) return false
  const placement = placeRequest(entry.fleet, state.request, now)
  if (placement.type !== 'send' || !spendRetry(entry, state, 'slow', conditions, now)) return false
  state.failover = placement
  return true
}

/** Takes back the retry that a request has not used for a send. Called at its end. */
export function releaseRetry ({ retries }: EntryState, state: RequestState): void {
  if (state.charge !== undefined) refundRetry(retries, state.charge)
  state.charge = undefined
}

/**
 * Returns whether a send is overdue at a server that takes no more work and has answered nothing since the send started.
 *
 * Data that was written during a network partition may arrive long after it, when requests must no longer reach the server's
 * failure domain. The VM can't see whether the request is still in transit or already running, so it abandons the request even if
 * that loses a late answer.
 */
export function isServerUnresponsive ({ fleet }: EntryState, { placement: { server }, startedAt, overdueAt }: InFlightSend, { isStopping }: DecisionConditions, now: Millis): boolean {
  if (isStopping || now < overdueAt || server.lastAnsweredAt > startedAt) return false
  return isClosedByState(fleet, server)
}

/** Returns whether a server drains, has ended, is evacuated or was replaced since a request was placed there. */
export function isClosedByState (fleet: Fleet, server: FleetServer): boolean {
  return server.facts.isClosed || fleet.byId.get(server.facts.id) !== server
}

/** Records the outcome of a send and learns from it. */
export function endSend (entry: EntryState, state: RequestState, { placement, running, charge, startedAt, isTrial }: InFlightSend, outcome: SendOutcome, now: Millis): void {
  getConcurrency(entry.fleet, state.request.service).underWay -= 1
  recordRequestEnd(placement.server, running)
  // Opening a connection takes a round trip. Counted as server time, it would make servers in remote regions look overloaded.
  const tookMs = now - startedAt - (outcome.type === 'answered' ? outcome.connectMs : 0)
  // A request under which servers ended shows nothing about their version.
  if (!isTrial) recordVersionEvidence(entry.fleet, state.request, placement, outcome, tookMs, now)
  recordSendOutcome(entry, state.request, placement, outcome, tookMs, now)
  updateConcurrencyLimit(entry, state.request, placement, outcome, tookMs, now)
  if (outcome.type === 'answered' || outcome.type === 'lost') state.possibleRuns += 1
  if (outcome.type === 'notRun' && outcome.reason === 'full') state.full += 1
  if (outcome.type === 'notRun' && outcome.reason === 'withdrawn') state.sends -= 1
  endCharge(entry, state, charge, outcome, now)
  state.last = outcome
}

/** A request that was never written reached no server, so it used no retry, and the next send may still be the first to reach one. */
function endCharge ({ retries }: EntryState, state: RequestState, charge: RetryCharge | undefined, outcome: SendOutcome, now: Millis): void {
  const wasWritten = outcome.type !== 'notRun' || (outcome.reason !== 'unreached' && outcome.reason !== 'withdrawn')
  if (!wasWritten) state.arrivals -= 1
  if (charge === undefined) return
  if (wasWritten) settleRetry(charge, now)
  else refundRetry(retries, charge)
}

function isFinalOutcome (state: RequestState, outcome: SendOutcome): boolean {
  const { route } = state.request
  if (outcome.type === 'notRun') return state.full > maxFullServers || state.sends - state.arrivals > maxUnreachedServers
  if (outcome.type === 'lost' && (outcome.reason === 'gone' || outcome.reason === 'deadline')) return true
  const isFailure = outcome.type === 'lost' || isServerError(outcome.status)
  return !isFailure || !route.isIdempotent || state.possibleRuns >= route.maxAttempts
}

function stepAfterOutcome (entry: EntryState, state: RequestState, outcome: SendOutcome, now: Millis): RequestStep {
  switch (outcome.type) {
    case 'answered': return { type: 'answer' }
    case 'notRun': return stepWithoutRetry(entry, state, now)
    case 'lost':
      if (outcome.reason === 'gone') return { type: 'gone' }
      return { type: 'fail', reason: outcome.reason === 'deadline' || outcome.reason === 'stranded' ? 'unanswered' : 'serverFailed' }
  }
}

/** Returns the step for a request that is not sent again, from the results of its sends so far. */
function stepWithoutRetry ({ fleet }: EntryState, { request, last, possibleRuns }: RequestState, now: Millis): RequestStep {
  if (last?.type === 'answered') return { type: 'answer' }
  if (possibleRuns > 0) return { type: 'fail', reason: 'serverFailed' }
  const refused = refuseAfterSends(fleet, request, now)
  return refused === undefined ? createRefuseStep('busy') : { type: 'refuse', refused }
}

function createRefuseStep (reason: Refusal['reason'], retryAfterMs = fullRetryAfterMs): RequestStep {
  return { type: 'refuse', refused: { type: 'refuse', reason, retryAfterMs } }
}

function mayWaitForCapacity ({ fleet, waitingForCapacity }: EntryState, { request, maxWaitUntil }: RequestState, refusal: Refusal, { isStopping }: DecisionConditions, now: Millis): boolean {
  if (isStopping || fleet.setup.disabledMechanisms.has('roomWait')) return false
  const { route, service } = request
  const waiting = waitingForCapacity.get(service) ?? 0
  if (refusal.reason === 'limited') return now + refusal.retryAfterMs * (1 + waiting) <= maxWaitUntil
  if (refusal.reason === 'paused') return refusal.pausedMs !== undefined && now + refusal.pausedMs * (1 + waiting) <= maxWaitUntil
  if (refusal.reason !== 'busy') return false
  const { limit } = getConcurrency(fleet, service)
  const pace = { limit, meanMs: fleet.meanSlotTimes.get(service) ?? route.aimMs, waiting }
  return expectsCapacity(pace, maxWaitUntil, now)
}
