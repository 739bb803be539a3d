/**
 * Serves one request: places it, sends it, and sends it again only where that can't make a request
 * run twice that must not: after proof that it did not run, or where the route says it may repeat.
 * This VM alone holds the request's connection, so nobody else can send the same attempt.
 */
import type { Millis, ServerId } from '@lynxcourse/base'
import {
  concurrencyOf, isCalm, isCold, learnConcurrency, learnHomeWarmth, learnSlowness, learnWork, noteBad, noteFull, noteGood, noteHandled, noteReport, noteRequest, noteStart, noteStop, placeRequest, slotShare,
  spendRepeat, takeColdToken, travelTo, workKey, workOf
} from '@lynxcourse/routing'
import type { Placed, Refused } from '@lynxcourse/routing'
import { presentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import type { LogFields } from '../../utils/logging.js'
import type { Call, CallAnswer } from './call.js'
import type { Gateway } from './gateway.js'
import { sendOnce } from './sending.js'
import type { SendResult } from './sending.js'

const statusBadGateway = 502
const statusUnavailable = 503
const statusTimeout = 504
const firstServerError = 500
/** Most servers without room that one request asks; each ask costs a round trip and a place in the retry budget. */
const maxFull = 2
/** A repeatable request is tried elsewhere once it takes this many times what was expected, and this much more. */
const slowFactor = 3
const slowSlackMs: Millis = 200
/** Smoothing of the mean time in a slot. */
const meanSmoothing = 0.05

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
  const run: Run = { call, tried: new Set(), runs: 0, full: 0, sends: 0, last: undefined }
  for (;;) {
    const now = presentTime()
    if (call.gone.aborted) return undefined
    if (now >= call.deadline) return giveUp(gateway, run, statusTimeout, 'deadline passed')
    const placement = placeRequest(gateway.fleet, requestOf(call, run), now)
    if (placement.type === 'refuse') return refuse(gateway, run, placement)
    if (run.sends > 0 && !mayRepeat(gateway, call, now)) return giveUpAfter(gateway, run)
    const result = await sendPlaced(gateway, run, placement, now)
    run.last = result
    if (isFinalResult(run, result)) return answerOf(gateway, run, result)
  }
}

/** Objects of different routes are different, although their keys may be alike. */
function objectOf (call: Call): string {
  return `${call.route.name}|${call.facts.object}`
}

function requestOf (call: Call, run: Run): Parameters<typeof placeRequest>[1] {
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
  const running = noteStart(server, expectedMs, now)
  const concurrency = concurrencyOf(gateway.fleet, call.service)
  // Where all servers are slow, work given up half done only adds to the load of the next one.
  const mayLeave = call.route.isIdempotent && run.runs + 1 < call.route.maxAttempts && isCalm(concurrency)
  const giveUpAt = mayLeave ? now + expectedMs * slowFactor + slowSlackMs : Infinity
  concurrency.underWay += 1
  const result = await sendOnce(gateway, call, placed, giveUpAt)
  concurrency.underWay -= 1
  noteStop(server, running)
  const endedAt = presentTime()
  noteResult(gateway, call, placed, result, endedAt - now, endedAt)
  noteLoad(gateway, call, placed, result, endedAt - now, endedAt)
  logSend(gateway, run, placed, result, endedAt - now)
  if (result.type === 'answered' || result.type === 'lost') run.runs += 1
  if (result.type === 'notRun' && result.reason === 'full') run.full += 1
  return result
}

/** Learns from how sending ended. */
function noteResult (gateway: Gateway, call: Call, placed: Placed, result: SendResult, tookMs: Millis, now: Millis): void {
  const { server } = placed
  switch (result.type) {
    case 'answered':
      if (result.status >= firstServerError) noteBad(server, false, now)
      else noteAnswer(gateway, call, placed, tookMs, now)
      break
    case 'notRun':
      if (result.reason === 'full') noteFull(server, now)
      else noteBad(server, true, now)
      break
    case 'lost':
      if (result.reason === 'slow' || result.reason === 'deadline') noteBad(server, true, now)
      else if (result.reason !== 'gone') noteBad(server, false, now)
      break
  }
}

/** Learns how many requests of the service may be under way. */
function noteLoad (gateway: Gateway, call: Call, placed: Placed, result: SendResult, tookMs: Millis, now: Millis): void {
  const { fleet } = gateway
  const isLate = result.type === 'lost' && (result.reason === 'deadline' || result.reason === 'slow')
  const isWork = result.type === 'answered' && result.status < firstServerError
  if (!isLate && !isWork) return
  const ratio = isLate ? Infinity : inServerMs(gateway, placed, tookMs) / expectedInServer(gateway, call, placed)
  learnConcurrency(concurrencyOf(fleet, call.service), ratio, slotShare(fleet, call.service), now)
}

/** Time that a request spent at its server, waiting or working. */
function inServerMs (gateway: Gateway, placed: Placed, tookMs: Millis): Millis {
  return Math.max(1, tookMs - travelTo(gateway.fleet, placed.server.facts.region))
}

/** Time that the work alone was expected to take, by whether the object was warm. */
function expectedInServer (gateway: Gateway, call: Call, placed: Placed): Millis {
  const times = workOf(gateway.fleet.work, workKey(call), call.route.aimMs)
  return placed.wasWarm ? times.warmMs : times.coldMs
}

/** A ratio below this tells of chance and not of a slow server. */
const leastSlowRatio = 1.6

function noteAnswer (gateway: Gateway, call: Call, placed: Placed, tookMs: Millis, now: Millis): void {
  const { fleet } = gateway
  const { server, wasWarm, waitMs } = placed
  const times = workOf(fleet.work, workKey(call), call.route.aimMs)
  const inServer = inServerMs(gateway, placed, tookMs)
  const expected = expectedInServer(gateway, call, placed) + waitMs
  const ratio = inServer / expected
  noteGood(server, ratio < leastSlowRatio ? 1 : ratio, now)
  learnSlowness(fleet, call.service, ratio < leastSlowRatio ? 1 : ratio)
  if (placed.isHome && !wasWarm) learnHomeWarmth(fleet, call, server.facts.region !== fleet.setup.region, inServer - waitMs < (times.warmMs + times.coldMs) / 2)
  if (!placed.isCold && waitMs === 0) learnWork(times, wasWarm, inServer)
  const mean = fleet.meanWork.get(call.service) ?? times.coldMs
  fleet.meanWork.set(call.service, mean + (Math.min(inServer, times.coldMs) - mean) * meanSmoothing)
  if (call.facts.object !== '') noteHandled(fleet.warmth, server.facts.id, objectOf(call), now)
}

/** Takes a server's report of its load, from any answer. */
export function takeReport (server: Parameters<typeof noteReport>[0], ahead: number, now: Millis): void {
  noteReport(server, ahead, now)
}

function isFinalResult (run: Run, result: SendResult): boolean {
  const { route } = run.call
  if (result.type === 'notRun') return run.full > maxFull
  if (result.type === 'lost' && (result.reason === 'gone' || result.reason === 'deadline')) return true
  const isFailure = result.type === 'lost' || result.status >= firstServerError
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
  logRefusal(gateway, run, refused)
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
  log(gateway.node.logs, 'route', 'warn', 'Failed.', { id: call.facts.id, route: call.route.name, status, detail, sends: run.sends, tookMs: Math.round(presentTime() - call.arrivedAt) })
  return { status, headers: {}, body: Buffer.from(`${detail}\n`) }
}

function logSend (gateway: Gateway, run: Run, placed: Placed, result: SendResult, tookMs: Millis): void {
  const { call } = run
  const { facts, reportedAt } = placed.server
  const reportAge = presentTime() - reportedAt
  const outcome = result.type === 'answered' ? String(result.status) : result.reason
  gateway.node.metrics.attempts.inc({ end: outcome })
  const level = result.type === 'answered' && result.status < firstServerError ? 'info' : 'warn'
  log(gateway.node.logs, 'route', level, 'Sent.', {
    id: call.facts.id,
    route: call.route.name,
    service: call.service,
    server: facts.id,
    region: facts.region,
    try: run.sends,
    warm: placed.wasWarm,
    expectedMs: Math.round(placed.travelMs + placed.waitMs + placed.workMs),
    waitMs: Math.round(placed.waitMs),
    reportAgeMs: Number.isFinite(reportAge) ? Math.round(reportAge) : undefined,
    ...stateFields(gateway),
    leftMs: Math.round(call.deadline - presentTime()),
    outcome,
    tookMs: Math.round(tookMs)
  })
}

/** Version of the state that decided, and how long ago it was known to be the present one. */
function stateFields (gateway: Gateway): LogFields {
  const { node } = gateway
  return { stateVersion: node.config.version, stateAgeMs: Math.round(presentTime() - node.freshAt) }
}

function logRefusal (gateway: Gateway, run: Run, refused: Refused): void {
  const { call } = run
  gateway.node.metrics.refusals.inc({ reason: refused.reason })
  log(gateway.node.logs, 'route', 'info', 'Refused.', {
    id: call.facts.id,
    route: call.route.name,
    service: call.service,
    reason: refused.reason,
    retryAfterMs: Math.round(refused.retryAfterMs),
    sends: run.sends,
    leftMs: Math.round(call.deadline - presentTime()),
    ...stateFields(gateway)
  })
}
