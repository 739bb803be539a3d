/**
 * Serves one request: places it, sends it, and sends it again only where that can't make a request
 * run twice that must not: after proof that it did not run, or where the route says it may repeat.
 * This VM alone holds the request's connection, so nobody else can send the same attempt.
 */
import type { Millis, ServerId } from '@lynxcourse/base'
import { concurrencyOf, isCalm, isCold, noteDemand, noteRequest, noteStart, noteStop, patienceFor, placeRequest, slotTimeOf, spendRepeat, takeColdToken } from '@lynxcourse/placement'
import type { Placed, PlaceRequest, Refused } from '@lynxcourse/placement'
import { presentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { objectOf } from './call.js'
import type { Call, CallAnswer } from './call.js'
import type { Gateway } from './gateway.js'
import { noteLoad, noteResult } from './learning.js'
import { logRefusal, logSend, timeFields } from './requestLog.js'
import { mayWaitForRoom, waitEnd, waitForRoom } from './roomWait.js'
import { isServerError, sendOnce } from './sending.js'
import type { SendResult } from './sending.js'

const statusBadGateway = 502
const statusUnavailable = 503
const statusTimeout = 504
/** Most servers without room that one request asks; each ask costs a round trip and a place in the retry budget. */
const maxFull = 2
/** A repeatable request is tried elsewhere once its server is doubted, and this much later. */
const slowSlackMs: Millis = 200

interface Run {
  readonly call: Call
  readonly tried: Set<ServerId>
  /** Servers at which it ran or may have run. */
  runs: number
  full: number
  sends: number
  last: SendResult | undefined
}

/** Serves a request to its final answer; undefined when the caller is gone. */
export async function serveCall (gateway: Gateway, call: Call): Promise<CallAnswer | undefined> {
  noteRequest(gateway.retries, gateway.node.cfg.retryBudget, call.service, presentTime())
  noteDemand(gateway.node.load, call.service, slotTimeOf(gateway.fleet, call, call.facts.object))
  const run: Run = { call, tried: new Set(), runs: 0, full: 0, sends: 0, last: undefined }
  const waitsUntil = waitEnd(call, presentTime())
  for (;;) {
    const now = presentTime()
    if (call.gone.aborted) return undefined
    if (now >= call.deadline) return giveUp(gateway, run, statusTimeout, 'deadline passed')
    const placement = placeRequest(gateway.fleet, requestOf(call, run), now)
    if (placement.type === 'refuse') {
      if (!mayWaitForRoom(gateway, call, placement, waitsUntil, now)) return refuse(gateway, run, placement)
      await waitForRoom(gateway, call)
      continue
    }
    if (run.sends > 0 && !mayRepeat(gateway, call, now)) return giveUpAfter(gateway, run)
    const result = await sendPlaced(gateway, run, placement, now)
    run.last = result
    if (isFinalResult(run, result)) return answerOf(gateway, run, result)
  }
}

function requestOf (call: Call, run: Run): PlaceRequest {
  const { route, service, facts, arrivedAt, deadline } = call
  const object = facts.object === '' ? '' : objectOf(call)
  return { route, service, object, tried: run.tried, arrivedAt, deadline }
}

function mayRepeat (gateway: Gateway, call: Call, now: Millis): boolean {
  return spendRepeat(gateway.retries, gateway.node.cfg.retryBudget, call.service, gateway.node.entryNames.length, now)
}

async function sendPlaced (gateway: Gateway, run: Run, placed: Placed, now: Millis): Promise<SendResult> {
  const { call } = run
  const { server } = placed
  run.sends += 1
  run.tried.add(server.facts.id)
  if (isCold(server, now)) takeColdToken(server)
  const expectedMs = placed.travelMs + placed.waitMs + placed.workMs
  const running = noteStart(server, expectedMs, placed.longestMs, now)
  const concurrency = concurrencyOf(gateway.fleet, call.service)
  // Where all servers are slow, work given up half done only adds to the load of the next one.
  const mayLeave = call.route.isIdempotent && run.runs + 1 < call.route.maxAttempts && isCalm(concurrency)
  const patience = mayLeave ? { until: now + patienceFor(expectedMs, placed.longestMs) + slowSlackMs, mayGiveUp: () => hasOtherServer(gateway, run) } : undefined
  concurrency.underWay += 1
  const result = await sendOnce(gateway, call, placed, patience)
  concurrency.underWay -= 1
  noteStop(server, running)
  const endedAt = presentTime()
  // Opening a connection takes a way there and back; taken for the server's time, it showed far servers as overloaded.
  const atServerMs = endedAt - now - (result.type === 'answered' ? result.openMs : 0)
  noteResult(gateway, call, placed, result, atServerMs, endedAt)
  noteLoad(gateway, call, placed, result, atServerMs, endedAt)
  logSend(gateway, call, run.sends, placed, result, endedAt - now)
  if (result.type === 'answered' || result.type === 'lost') run.runs += 1
  if (result.type === 'notRun' && result.reason === 'full') run.full += 1
  return result
}

/**
 * Whether another server would take the request now. Work given up with nobody to take it over ends in a
 * failure in place of a late answer; and a VM that stops must not break off what it has passed on.
 */
function hasOtherServer (gateway: Gateway, run: Run): boolean {
  if (gateway.node.isLeaving) return false
  return placeRequest(gateway.fleet, requestOf(run.call, run), presentTime()).type === 'send'
}

function isFinalResult (run: Run, result: SendResult): boolean {
  const { route } = run.call
  if (result.type === 'notRun') return run.full > maxFull
  if (result.type === 'lost' && (result.reason === 'gone' || result.reason === 'deadline')) return true
  const isFailure = result.type === 'lost' || isServerError(result.status)
  return !isFailure || !route.isIdempotent || run.runs >= route.maxAttempts
}

function answerOf (gateway: Gateway, run: Run, result: SendResult): CallAnswer | undefined {
  switch (result.type) {
    case 'answered': return { status: result.status, headers: result.headers, body: result.body }
    case 'notRun': return giveUpAfter(gateway, run)
    case 'lost':
      if (result.reason === 'gone') return undefined
      if (result.reason === 'deadline') return giveUp(gateway, run, statusTimeout, 'no answer before the deadline')
      return giveUp(gateway, run, statusBadGateway, 'the server failed')
  }
}

function refuse (gateway: Gateway, run: Run, refused: Refused): CallAnswer {
  if (run.runs > 0) return giveUpAfter(gateway, run)
  logRefusal(gateway, run.call, run.sends, refused)
  return { status: statusUnavailable, headers: gateway.callers.refusalHeaders(refused.retryAfterMs), body: Buffer.from(`not run: ${refused.reason}\n`) }
}

/** Time until a server that had no room is worth another try. */
const fullRetryMs: Millis = 150

/** The answer when there is no further try: what is known of the tries so far. */
function giveUpAfter (gateway: Gateway, run: Run): CallAnswer {
  const { last } = run
  if (last?.type === 'answered') return { status: last.status, headers: last.headers, body: last.body }
  if (run.runs > 0) return giveUp(gateway, run, statusBadGateway, 'the server failed')
  return refuse(gateway, run, { type: 'refuse', reason: 'busy', retryAfterMs: fullRetryMs })
}

function giveUp (gateway: Gateway, run: Run, status: number, detail: string): CallAnswer {
  const { call } = run
  if (status === statusTimeout && run.runs === 0) {
    return refuse(gateway, run, { type: 'refuse', reason: 'noTime', retryAfterMs: fullRetryMs })
  }
  log(gateway.node.logs, 'route', 'warn', 'Failed.', { id: call.facts.id, route: call.route.name, status, detail, sends: run.sends, ...timeFields(call) })
  return { status, headers: {}, body: Buffer.from(`${detail}\n`) }
}
