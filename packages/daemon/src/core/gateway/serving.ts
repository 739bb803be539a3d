/** Serves one request: does what its run asks for, until there is a final answer. */
import type { Millis } from '@lynxcourse/base'
import { beginSend, endSend, isServerUnresponsive, mayFailOver, decideNextStep, recordPoll, updateWaitingCount, startRequest } from '@lynxcourse/placement'
import type { DecisionConditions, Placement, PlacementRequest, Refusal, RequestState, RequestStep } from '@lynxcourse/placement'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { waitForPoll } from '../../utils/pollPhase.js'
import { delay } from '../node/timers.js'
import { objectOf } from './call.js'
import type { Call, CallAnswer } from './call.js'
import type { Gateway } from './gateway.js'
import { logRefusal, logSend, timeFields } from './requestLog.js'
import { sendOnce } from './sending.js'
import type { Patience, SendResult } from './sending.js'

const statusUnavailable = 503

type Failure = Extract<RequestStep, { type: 'fail' }>['reason']

/** What a caller is told of a request that some server may have run. */
const failures: Record<Failure, { readonly status: number, readonly detail: string }> = {
  deadline: { status: 504, detail: 'deadline passed' },
  unanswered: { status: 504, detail: 'no answer before the deadline' },
  serverFailed: { status: 502, detail: 'the server failed' }
}

/** Serves a request to its final answer; undefined when the caller is gone. */
export async function serveCall (gateway: Gateway, call: Call): Promise<CallAnswer | undefined> {
  const run = startRequest(gateway, requestOf(call), call.caller, termsOf(gateway), getCurrentTime())
  let last: SendResult | undefined
  for (;;) {
    if (call.gone.aborted) return undefined
    const step = decideNextStep(gateway, run, termsOf(gateway), getCurrentTime())
    switch (step.type) {
      case 'send':
        last = await sendPlaced(gateway, call, run, step.placement)
        break
      case 'look':
        recordPoll(call.caller, (await waitForPoll(gateway.loop.polls)).beganAt)
        break
      case 'wait':
        await waitForRoom(gateway, run, step.pauseMs)
        break
      case 'answer': return answerOf(last)
      case 'refuse': return refuse(gateway, call, run, step.refused)
      case 'fail': return fail(gateway, call, run, step.reason)
      case 'gone': return undefined
    }
  }
}

function requestOf (call: Call): Omit<PlacementRequest, 'tried'> {
  const { route, service, facts, arrivedAt, deadline } = call
  return { route, service, object: facts.object === '' ? '' : objectOf(call), arrivedAt, deadline }
}

function termsOf ({ node }: Gateway): DecisionConditions {
  return { retryBudget: node.cfg.retryBudget, isStopping: node.isLeaving }
}

async function waitForRoom (gateway: Gateway, run: RequestState, pauseMs: Millis): Promise<void> {
  updateWaitingCount(gateway, run, 1)
  await delay(pauseMs)
  updateWaitingCount(gateway, run, -1)
}

async function sendPlaced (gateway: Gateway, call: Call, run: RequestState, placed: Placement): Promise<SendResult> {
  const sending = beginSend(gateway, run, placed, getCurrentTime())
  const { startedAt, failoverAt: leaveAt, overdueAt } = sending
  const patience: Patience = {
    leaveAt,
    mayLeave: () => mayFailOver(gateway, run, termsOf(gateway), getCurrentTime()),
    overdueAt,
    isStranded: () => isServerUnresponsive(gateway, sending, termsOf(gateway), getCurrentTime())
  }
  const report = await sendOnce(gateway, call, placed, patience)
  const { result } = report
  const now = getCurrentTime()
  endSend(gateway, run, sending, result, now)
  logSend(gateway, call, run.sends, placed, report, startedAt, now)
  return result
}

function answerOf (last: SendResult | undefined): CallAnswer | undefined {
  return last?.type === 'answered' ? { status: last.status, headers: last.headers, body: last.body } : undefined
}

function refuse (gateway: Gateway, call: Call, run: RequestState, refused: Refusal): CallAnswer {
  logRefusal(gateway, call, run.sends, refused)
  return { status: statusUnavailable, headers: gateway.callers.buildRefusalHeaders(refused.retryAfterMs), body: Buffer.from(`not run: ${refused.reason}\n`) }
}

function fail (gateway: Gateway, call: Call, run: RequestState, reason: Failure): CallAnswer {
  const { status, detail } = failures[reason]
  log(gateway.node.logs, 'route', 'warn', 'Failed.', { id: call.facts.id, route: call.route.name, status, detail, sends: run.sends, ...timeFields(call) })
  return { status, headers: {}, body: Buffer.from(`${detail}\n`) }
}
