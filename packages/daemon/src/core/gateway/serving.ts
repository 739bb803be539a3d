/** Serves one request: carries out the steps that placement decides on, until there is a final answer. */
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { beginSend, endSend, isServerError, isServerUnresponsive, isUnusedTrial, reserveFailover, decideNextStep, recordPoll, recordTrialAnswer, releaseRetry, updateWaitingCount, startRequest } from '@lynxcourse/placement'
import type { DecisionConditions, InFlightSend, Placement, PlacementRequest, Refusal, RequestState, RequestStep, SendOutcome } from '@lynxcourse/placement'
import { isKnownKey } from '@lynxcourse/routing'
import { getCurrentTime, readClocks } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { waitForPoll } from '../../utils/pollPhase.js'
import { cancelTrial, claimTrial, findRestriction, inspectFailedSend, reportAnswered } from '../crashes/crashWatch.js'
import type { WatchedRequest } from '../crashes/crashWatch.js'
import { hasRoom } from '../entry/connectionPool.js'
import { delay } from '../node/timers.js'
import { createRateRefusal, createRefusal, createServerAnswer, createStreamedAnswer, createTextAnswer, unconfirmedStateRetryMs } from './answers.js'
import type { OwnStatus } from './answers.js'
import { hasBegun } from './answerStream.js'
import type { AnswerStream } from './answerStream.js'
import { answerUnknownKey, isStillAuthorized } from './authentication.js'
import { createObjectKey } from './call.js'
import type { Call, CallAnswer } from './call.js'
import type { Gateway } from './gateway.js'
import { consumePermit, createPermitHolder, fetchPermit, maySendAgain, needsPermit, releasePermit } from './permitHolder.js'
import type { PermitHolder } from './permitHolder.js'
import type { PermitRefusal } from './permitState.js'
import { refuseLargeAnswer } from './linkPacer.js'
import { enterServer, enterStep, leaveServer } from './openRequests.js'
import { getRetryFields } from './retryReport.js'
import { logRefusal, logSend, getTimeFields } from './requestLog.js'
import type { VmRefusal } from './requestLog.js'
import { maySend, recordSendEnd, recordSendStart } from './runLedger.js'
import { sendOnce } from './sending.js'
import { mayUseState, waitForState } from './stateWait.js'
import type { SendTimeouts, SendResult } from './sending.js'

/** Shortest retry time for callers of a VM that has no connections to servers left; other VMs may have some now. */
const noConnectionsRetryMs: Millis = 150
/** Retry time for callers whose key was given to another team: it can be used at once. */
const teamChangeRetryMs: Millis = 20

type FailureReason = Extract<RequestStep, { type: 'fail' }>['reason']

/** Answers to requests that some server may have run. */
const failureAnswers: Record<FailureReason, { readonly status: OwnStatus, readonly detail: string }> = {
  deadline: { status: 504, detail: 'deadline passed' },
  unanswered: { status: 504, detail: 'no answer before the deadline' },
  serverFailed: { status: 502, detail: 'the server failed' }
}

/** Refusal of a request that waited in vain for a state by which this VM may decide. */
const stateRefusal: VmRefusal = { type: 'refuse', reason: 'unconfirmedState', retryAfterMs: unconfirmedStateRetryMs }

/** Refuses a request for which this VM has no connection to a server. Retry times are spread, so that callers don't return at the same moment. */
function createConnectionRefusal ({ node }: Gateway): VmRefusal {
  return { type: 'refuse', reason: 'noConnections', retryAfterMs: noConnectionsRetryMs * (1 + node.random()) }
}

/** Serves a request until its final answer; returns undefined if the caller disconnects. */
export async function serveCall (gateway: Gateway, call: Call): Promise<CallAnswer | undefined> {
  const state = startRequest(gateway, buildPlacementRequest(call), call.liveness, getConditions(gateway, call), getCurrentTime())
  const largeAnswers = call.stream?.pacer
  const refusal = largeAnswers === undefined ? undefined : refuseLargeAnswer(largeAnswers, call.deadline, getCurrentTime())
  if (refusal !== undefined) return refuse(gateway, call, state, refusal)
  const holder = createPermitHolder(call)
  if (largeAnswers !== undefined) largeAnswers.demand.inFlight += 1
  try {
    return await performSteps(gateway, call, state, holder)
  } finally {
    if (largeAnswers !== undefined) largeAnswers.demand.inFlight -= 1
    releasePermit(gateway, holder, getCurrentTime())
    releaseRetry(gateway, state)
    if (isUnusedTrial(state)) cancelTrial(gateway.crashes, getWatchedRequest(call)).catch(logFailure(gateway, call))
  }
}

/** Performs the steps of a request until its final answer. */
async function performSteps (gateway: Gateway, call: Call, state: RequestState, holder: PermitHolder): Promise<CallAnswer | undefined> {
  let lastResult: SendResult | undefined
  for (;;) {
    if (call.gone.aborted) return undefined
    // Without a wait there is no pause here: the admission of other requests reckons with the processor time of this one.
    if (!mayUseState(gateway, readClocks()) && !await waitForUsableState(gateway, call)) {
      return call.gone.aborted ? undefined : answerFromSends(gateway, call, state, lastResult) ?? refuse(gateway, call, state, stateRefusal)
    }
    if (!isStillAuthorized(gateway, call.caller)) return answerFromSends(gateway, call, state, lastResult) ?? rejectRevoked(gateway, call)
    const now = getCurrentTime()
    const step = decideNextStep(gateway, state, { ...getConditions(gateway, call), needsPermit: needsPermit(gateway, holder, now) }, now)
    switch (step.type) {
      case 'send':
        if (!maySend(call.open.ledger)) return fail(gateway, call, state, 'serverFailed')
        if (!hasRoom(gateway.pool)) return answerFromSends(gateway, call, state, lastResult) ?? refuse(gateway, call, state, createConnectionRefusal(gateway))
        lastResult = await sendToServer(gateway, call, state, step.placement, holder)
        if (lastResult.type !== 'notRun') consumePermit(holder)
        if (call.stream !== undefined && hasBegun(call.stream)) return describeStreamed(call.stream)
        break
      case 'takePermit': {
        const refusal = await fetchPermit(gateway, holder, now)
        if (refusal !== undefined) return answerFromSends(gateway, call, state, lastResult) ?? refuse(gateway, call, state, refusal)
        break
      }
      case 'poll':
        recordPoll(call.liveness, (await waitForPoll(gateway.loop.polls)).beganAt)
        break
      case 'claimTrial':
        recordTrialAnswer(state, await claimTrial(gateway.crashes, getWatchedRequest(call), getCurrentTime()))
        break
      case 'wait':
        await waitForCapacity(gateway, call, state, step.pauseMs)
        break
      case 'answer': return buildAnswer(call, lastResult)
      case 'refuse': return refuse(gateway, call, state, step.refused)
      case 'fail': return fail(gateway, call, state, step.reason)
      // A large answer may have been dropped for a caller that is still connected. Without an answer, later ones of its connection would wait for good.
      case 'gone': return call.gone.aborted ? undefined : fail(gateway, call, state, 'unanswered')
    }
  }
}

/** Returns the answer of which the caller has got all or a part. */
function describeStreamed ({ status, state }: AnswerStream): CallAnswer {
  return createStreamedAnswer(status, state === 'complete' ? 'complete' : 'broken')
}

/** Answers a request that can't be sent any more by its sends so far; returns undefined if no server may have run it. */
function answerFromSends (gateway: Gateway, call: Call, state: RequestState, lastResult: SendResult | undefined): CallAnswer | undefined {
  if (state.possibleRuns === 0) return undefined
  return buildAnswer(call, lastResult) ?? fail(gateway, call, state, 'serverFailed')
}

/** Answers a request that did not run and whose key was taken away, or given to another team, while it waited. */
function rejectRevoked (gateway: Gateway, call: Call): CallAnswer {
  const isKnown = call.caller !== undefined && isKnownKey(gateway.teams, call.caller.digest)
  log(gateway.node.logs, 'route', 'info', isKnown ? 'Key belongs to another team since the request arrived.' : 'Key was taken away before the request was sent.', { id: call.facts.id, route: call.route.name, team: call.caller?.name, stateVersion: gateway.node.config.version, ...getTimeFields(call) })
  // Sent again, the request is served as one of that team.
  if (isKnown) return createRefusal(gateway.callers, call.open.ledger, 'the key belongs to another team now', teamChangeRetryMs)
  return answerUnknownKey(gateway)
}

function buildPlacementRequest (call: Call): Omit<PlacementRequest, 'tried'> {
  const { route, service, facts, arrivedAt, deadline } = call
  return { route, service, object: facts.object === '' ? '' : createObjectKey(call), arrivedAt, deadline }
}

function getConditions (gateway: Gateway, call: Call): DecisionConditions {
  const { node, crashes } = gateway
  return { retryBudget: node.cfg.retryBudget, isStopping: node.isLeaving, restriction: findRestriction(crashes, call, getCurrentTime()) }
}

function getWatchedRequest ({ facts, route, callerAddress, deadline, getFingerprint }: Call): WatchedRequest {
  return { id: facts.id, route: route.name, callerAddress, deadline, getFingerprint }
}

/** Waits for the state in a step of its own. */
async function waitForUsableState (gateway: Gateway, { open, gone, deadline }: Call): Promise<boolean> {
  const now = getCurrentTime()
  enterStep(open, 'state', now)
  const isUsable = await waitForState(gateway, gone, deadline - now)
  enterStep(open, 'decision', getCurrentTime())
  return isUsable
}

async function waitForCapacity (gateway: Gateway, { open }: Call, state: RequestState, pauseMs: Millis): Promise<void> {
  // A request that waits on keeps the time at which it began to wait.
  if (open.step !== 'capacity') enterStep(open, 'capacity', getCurrentTime())
  updateWaitingCount(gateway, state, 1)
  await delay(pauseMs)
  updateWaitingCount(gateway, state, -1)
}

async function sendToServer (gateway: Gateway, call: Call, state: RequestState, placement: Placement, holder: PermitHolder): Promise<SendResult> {
  const sending = beginSend(gateway, state, placement, getCurrentTime())
  const { startedAt, failoverAt, overdueAt } = sending
  const timeouts: SendTimeouts = {
    failoverAt,
    reserveFailover: () => mayUseState(gateway, readClocks()) && maySendAgain(gateway, holder, getCurrentTime()) && reserveFailover(gateway, state, getConditions(gateway, call), getCurrentTime()),
    overdueAt,
    isUnresponsive: () => isServerUnresponsive(gateway, sending, getConditions(gateway, call), getCurrentTime())
  }
  enterServer(call.open, placement.server.facts.id, startedAt)
  recordSendStart(call.open.ledger)
  const report = await sendOnce(gateway, call, placement, timeouts, sending.charge !== undefined)
  const { result } = report
  recordSendEnd(call.open.ledger, result.type === 'notRun' ? result.proof : undefined)
  const now = getCurrentTime()
  leaveServer(call.open)
  enterStep(call.open, 'decision', now)
  endSend(gateway, state, sending, describeOutcome(result), now)
  logSend(gateway, call, state, placement, report, startedAt, now)
  learnOfEnds(gateway, call, sending, result).catch(logFailure(gateway, call))
  return result
}

/** Returns an outcome without the body of the answer, which the state of a request would keep in memory. */
function describeOutcome (result: SendResult): SendOutcome {
  return result.type === 'answered' ? { type: 'answered', status: result.status, connectMs: result.connectMs } : result
}

/** Returns a handler for errors of work that the answer does not wait for. */
function logFailure (gateway: Gateway, call: Call): (err: unknown) => void {
  return err => log(gateway.node.logs, 'route', 'error', 'Reporting a send failed.', { id: call.facts.id, error: getErrorMessage(err) })
}

/** Reports what a send shows about requests that end servers. */
async function learnOfEnds ({ crashes }: Gateway, call: Call, { placement, isTrial }: InFlightSend, result: SendResult): Promise<void> {
  if (result.type === 'lost' && result.reason === 'failed') await inspectFailedSend(crashes, getWatchedRequest(call), placement.server.facts, isTrial)
  if (result.type === 'answered' && !isServerError(result.status)) await reportAnswered(crashes, call)
}

function buildAnswer ({ open: { ledger } }: Call, lastResult: SendResult | undefined): CallAnswer | undefined {
  return lastResult?.type === 'answered' ? createServerAnswer(ledger, lastResult.status, lastResult.headers, lastResult.body) : undefined
}

function refuse (gateway: Gateway, call: Call, state: RequestState, refusal: Refusal | VmRefusal | PermitRefusal): CallAnswer {
  logRefusal(gateway, call, state, refusal)
  const { reason, retryAfterMs } = refusal
  const { ledger } = call.open
  return reason === 'overRate' ? createRateRefusal(gateway.callers, ledger, reason, retryAfterMs) : createRefusal(gateway.callers, ledger, reason, retryAfterMs)
}

function fail (gateway: Gateway, call: Call, state: RequestState, reason: FailureReason): CallAnswer {
  const { status, detail } = failureAnswers[reason]
  log(gateway.node.logs, 'route', 'warn', 'Failed.', { id: call.facts.id, route: call.route.name, status, detail, sends: state.sends, ...getRetryFields(gateway, call.service, state, getCurrentTime()), ...getTimeFields(call) })
  return createTextAnswer(status, detail)
}
