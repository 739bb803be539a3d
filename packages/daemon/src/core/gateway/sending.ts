/** Sends one request to one backend server and reads its whole answer, or forwards it while it is received. */
import type { Dispatcher } from 'undici'
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { isClosedToRequests } from '@lynxcourse/limits'
import { isClosedByState, isClosedByVersion, maxRetryIdleMs, recordReply, estimateRoundTrip } from '@lynxcourse/placement'
import type { LostReason, Placement, SendOutcome } from '@lynxcourse/placement'
import type { HeaderMap } from '../../types/answers.js'
import { getCurrentTime, readClocks } from '../../utils/clock.js'
import { removeHopByHopHeaders } from '../../utils/headers.js'
import { log } from '../../utils/logging.js'
import { recordIteration } from '../../utils/loopMonitor.js'
import { afterPoll } from '../../utils/pollPhase.js'
import { closeConnection, closeSilentConnection, isReused, recordUnansweredReset, recordConnectionProgress, releaseConnection, acquireConnection } from '../entry/connectionPool.js'
import type { Connection } from '../entry/connectionPool.js'
import { acceptAnswer, deliverRest, dropAnswer, isHeldBack, receivePart } from './answerStream.js'
import type { Call } from './call.js'
import type { EchoedId } from './dialects.js'
import { canBePaused, hasBodyFraming, hasMergedHead, startExchange } from './exchange.js'
import type { BodyReceiver, ExcessiveAnswer, Exchange, ReceivedAnswer } from './exchange.js'
import type { Gateway } from './gateway.js'
import type { SendProof } from './runLedger.js'
import { observeStatements } from './serverNotices.js'
import { mayUseState } from './stateWait.js'

/** The outcome of a send, with the answer or the details of the failure. */
export type SendResult =
  | Extract<SendOutcome, { type: 'answered' }> & { readonly headers: HeaderMap, readonly body: Buffer }
  | Extract<SendOutcome, { type: 'notRun' }> & { readonly status: number | undefined, readonly proof: SendProof | undefined }
  | Extract<SendOutcome, { type: 'lost' }> & { readonly detail: string }

/** The result of a send, with the time of writing and the idle time of the connection for the log. */
export interface SendReport {
  readonly result: SendResult
  /** When writing of the request began; undefined if the request was never written. */
  readonly writtenAt: Millis | undefined
  /** Idle time of the connection before the request; undefined for a new connection. */
  readonly restedMs: Millis | undefined
  /** Number of requests that the connection carried before. */
  readonly earlierRequests: number
  /** Whose request id the answer bears; undefined without a final answer. */
  readonly echo: EchoedId | undefined
}

/**
 * A reset that arrives within the round-trip time plus this time is a reaction to the request itself, not a failure of
 * the work that the request started.
 */
const promptResetMs: Millis = 30

/**
 * If a connection opens later than its timeout plus this time, the VM was suspended meanwhile, and the request is
 * placed again.
 */
const lateConnectionMs: Millis = 650

/** When to give up one server while the caller still waits. */
export interface SendTimeouts {
  /** When to call `reserveFailover`, once; undefined for never. */
  readonly failoverAt: Millis | undefined
  /** Reserves another server for the request; returns false if the request stays at its server. */
  readonly reserveFailover: () => boolean
  /** Time from which `isUnresponsive` is called periodically. */
  readonly overdueAt: Millis
  readonly isUnresponsive: () => boolean
}

/** Answers up to this size are read whole and can be replaced by another server's; they occupy a link of 5.8 Mbit/s for 23 ms. */
const minStreamedBytes = 16_384
const firstRedirectStatus = 300

/** Interval of the checks whether the server of an overdue request is unresponsive. */
const unresponsiveCheckMs: Millis = 250

/**
 * Sends a request to the server of its placement. Failures of the connection or the server are part of the report; they
 * are not thrown.
 *
 * @param timeouts when to give up the server while the caller still waits
 * @param isRetry whether the request may have reached another server before
 */
export async function sendOnce (gateway: Gateway, call: Call, placement: Placement, timeouts: SendTimeouts, isRetry: boolean): Promise<SendReport> {
  const now = getCurrentTime()
  const { facts } = placement.server
  const connection = acquireConnection(gateway.pool, facts.address, !call.route.isIdempotent, now, isRetry ? maxRetryIdleMs : Infinity)
  const restedMs = isReused(connection) ? connection.restedMs : undefined
  const remainingMs = Math.max(1, Math.floor(call.deadline - now))
  const headers = { ...call.headers, ...gateway.servers.buildRequestHeaders(call.facts, facts.id, remainingMs, call.caller?.name) }
  const options: Dispatcher.DispatchOptions = { method: call.method as Dispatcher.HttpMethod, path: call.path, headers, body: call.body }
  const writeDeadline = now + gateway.pool.connectTimeoutMs + lateConnectionMs
  let isWithdrawn = false
  const mayWrite = (at: Millis): boolean => {
    isWithdrawn = isClosedToRequests(placement.server.notice, at) || isClosedByVersion(gateway.fleet.rollouts, placement.server, at) || isClosedByState(gateway.fleet, placement.server) || !mayUseState(gateway, readClocks())
    return !isWithdrawn && at <= writeDeadline
  }
  const { earlierRequests } = connection
  let echo: EchoedId | undefined
  const exchange = startExchange(connection.client, options, mayWrite, head => {
    echo = gateway.servers.parseEchoedId(call.facts, head.headers)
    recordIteration(gateway.loop)
    recordConnectionProgress(gateway.pool, connection, getCurrentTime())
    observeStatements(gateway, call, placement.server, head)
  }, createReceiver(gateway, call, !isReused(connection), () => watch.pin()), { budget: gateway.answerBudget, getBytesRead: () => connection.socket?.bytesRead ?? 0 })
  connection.onReadable = exchange.checkReceived
  connection.onEnd = exchange.endPause
  const watch = watchSend(gateway, call, timeouts, now, exchange.abort)
  const result = await awaitResult(gateway, call, placement, { connection, exchange, startedAt: now, watch, wasWithdrawn: () => isWithdrawn })
  return { result, writtenAt: exchange.startedAt, restedMs, earlierRequests, echo }
}

/**
 * Creates the receiver of large answers of a call; undefined if the call's answers are read whole. Only answers of the
 * server itself with a status of success are forwarded before they are complete.
 *
 * @param isFirst whether the answer is the first on its connection
 * @param onAccept called when an answer is accepted: no other server may replace it from then on
 */
function createReceiver ({ servers }: Gateway, { stream, facts }: Call, isFirst: boolean, onAccept: () => void): BodyReceiver | undefined {
  if (stream === undefined) return undefined
  return {
    minBytes: minStreamedBytes,
    accept: (head, flow) => {
      if (head.status >= firstRedirectStatus || (!isFirst && hasMergedHead(head.headers)) || servers.classifyAnswer(facts, head.status, head.headers, isFirst) !== 'answered' || !canBePaused(head.headers)) return false
      onAccept()
      acceptAnswer(stream, head, flow)
      return true
    },
    receive: part => receivePart(stream, part)
  }
}

/** A send in flight over a connection. */
interface ActiveSend {
  readonly connection: Connection
  readonly exchange: Exchange
  readonly startedAt: Millis
  readonly watch: SendWatch
  /** Whether the request was not written because its server wants no requests any more. */
  readonly wasWithdrawn: () => boolean
}

async function awaitResult (gateway: Gateway, call: Call, placement: Placement, { connection, exchange, startedAt, watch, wasWithdrawn }: ActiveSend): Promise<SendResult> {
  const { facts } = placement.server
  try {
    const received = await exchange.answer
    watch.end()
    const result = handleAnswer(gateway, call, placement, connection, received, (exchange.startedAt ?? startedAt) - startedAt)
    return await finishStream(call, result)
  } catch (err) {
    const now = getCurrentTime()
    const wasHeldBack = call.stream !== undefined && isHeldBack(call.stream, now)
    if (call.stream !== undefined) dropAnswer(call.stream)
    const wasSilent = isReused(connection) && silentReasons.has(watch.reason())
    if (wasSilent) closeSilentConnection(gateway.pool, connection, startedAt, now)
    else closeConnection(gateway.pool, connection, 'close')
    const isPrompt = now - startedAt < promptResetMs + estimateRoundTrip(gateway.fleet, facts.region)
    if (watch.reason() === 'failed' && isPrompt) recordUnansweredReset(gateway.pool, connection, now)
    // A server that had to wait for the caller or the link is not late.
    if (watch.reason() === 'gone' || (watch.reason() === 'deadline' && wasHeldBack)) return { type: 'lost', reason: 'gone', detail: getErrorMessage(err) }
    // A request that was never written can't have run.
    if (exchange.startedAt === undefined) return { type: 'notRun', reason: wasWithdrawn() ? 'withdrawn' : 'unreached', status: undefined, proof: 'unwritten' }
    return { type: 'lost', reason: watch.reason(), detail: getErrorMessage(err) }
  } finally {
    watch.end()
  }
}

/**
 * Waits until the caller has the whole of an answer that is forwarded while it is received. The time for which the server
 * waited for the caller or the link is not the server's.
 */
async function finishStream ({ stream, gone, giveUpAt }: Call, result: SendResult): Promise<SendResult> {
  if (stream === undefined || stream.state === 'idle') return result
  if (result.type !== 'answered') {
    dropAnswer(stream)
    return result
  }
  await deliverRest(stream, gone, giveUpAt)
  return { ...result, connectMs: result.connectMs + stream.heldMs }
}

function handleAnswer (gateway: Gateway, call: Call, placement: Placement, connection: Connection, received: ReceivedAnswer | ExcessiveAnswer, connectMs: Millis): SendResult {
  if (received.type === 'excessive') {
    closeConnection(gateway.pool, connection, 'close')
    log(gateway.node.logs, 'route', 'warn', 'Answer of a server exceeds the limits.', { id: call.facts.id, server: placement.server.facts.id, address: placement.server.facts.address, detail: received.detail })
    return { type: 'lost', reason: 'spoiled', detail: received.detail }
  }
  const { status, headers: rawHeaders, body } = received
  const isFirst = !isReused(connection)
  const kind = gateway.servers.classifyAnswer(call.facts, status, rawHeaders, isFirst)
  // On a connection that carried requests before, a rejection may be a second or late answer to one of them.
  const proof: SendProof | undefined = isFirst ? 'rejected' : undefined
  const isUnproved = kind !== 'answered' && proof === undefined && !call.route.isIdempotent
  const isMerged = !isFirst && hasMergedHead(rawHeaders)
  const isTruncated = connection.wasReset && !hasBodyFraming(rawHeaders)
  if (isTruncated || isMerged || isUnproved || kind === 'spoiled') {
    // The answer is incomplete, belongs to another request or is not the server's own, so the rest of this connection
    // can't be trusted.
    closeConnection(gateway.pool, connection, 'close')
    return { type: 'lost', reason: 'spoiled', detail: isTruncated ? 'the connection was reset while the body was read' : 'the answer does not belong to the request' }
  }
  releaseConnection(gateway.pool, connection, getCurrentTime())
  // Another server sent this answer, so it doesn't show that the intended server is alive.
  if (kind === 'elsewhere') return { type: 'notRun', reason: 'elsewhere', status, proof }
  recordReply(gateway, placement.server, gateway.servers.parseQueueDepth(rawHeaders), getCurrentTime())
  if (kind === 'notRun') return { type: 'notRun', reason: 'full', status, proof }
  return { type: 'answered', status, headers: removeHopByHopHeaders(rawHeaders), body, connectMs }
}

/** Reasons for ending a send to which the server has sent no answer. */
const silentReasons = new Set<LostReason>(['slow', 'stranded', 'deadline'])

interface SendWatch {
  readonly reason: () => LostReason
  /** Keeps the request at its server until the deadline. */
  readonly pin: () => void
  readonly end: () => void
}

/**
 * Ends a send when its time is over, when the caller disconnects, or when another server should take over. Timers run before
 * sockets are read, so a timer's decision waits for a poll: the answer may already be in the kernel.
 */
function watchSend ({ loop: { polls } }: Gateway, call: Call, timeouts: SendTimeouts, now: Millis, abort: () => void): SendWatch {
  let reason: LostReason = 'failed'
  let hasEnded = false
  let isPinned = false
  const stop = (stopReason: typeof reason): void => {
    if (hasEnded) return
    reason = stopReason
    abort()
  }
  const onGone = (): void => stop('gone')
  call.open.giveUp = () => stop('deadline')
  call.gone.on('abort', onGone)
  if (call.gone.aborted) onGone()
  const giveUp = afterPoll(polls, () => {
    const leftMs = call.giveUpAt - getCurrentTime()
    // Timers count from the start of their event loop iteration, so that they run early.
    if (leftMs > 0 && !hasEnded) giveUpTimer = setTimeout(giveUp.run, Math.ceil(leftMs))
    else stop('deadline')
  })
  let giveUpTimer = setTimeout(giveUp.run, Math.max(1, call.giveUpAt - now))
  const tryFailover = afterPoll(polls, () => { if (!hasEnded && !isPinned && timeouts.reserveFailover()) stop('slow') })
  const failoverTimer = timeouts.failoverAt === undefined ? undefined : setTimeout(tryFailover.run, Math.max(1, timeouts.failoverAt - now))
  const checkUnresponsive = afterPoll(polls, () => {
    if (hasEnded || isPinned) return
    if (timeouts.isUnresponsive()) stop('stranded')
    else unresponsiveTimer = setTimeout(checkUnresponsive.run, unresponsiveCheckMs)
  })
  let unresponsiveTimer = setTimeout(checkUnresponsive.run, Math.max(1, timeouts.overdueAt - now))
  return {
    reason: () => reason,
    pin: () => {
      isPinned = true
      clearTimeout(failoverTimer)
      clearTimeout(unresponsiveTimer)
    },
    end: () => {
      hasEnded = true
      call.open.giveUp = undefined
      for (const callback of [giveUp, tryFailover, checkUnresponsive]) callback.clear()
      clearTimeout(giveUpTimer)
      clearTimeout(failoverTimer)
      clearTimeout(unresponsiveTimer)
      call.gone.off('abort', onGone)
    }
  }
}
