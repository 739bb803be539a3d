/** Sends one request to one backend server and reads its whole answer. */
import type { Dispatcher } from 'undici'
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { recordReply, estimateRoundTrip } from '@lynxcourse/placement'
import type { LostReason, Placement, SendOutcome } from '@lynxcourse/placement'
import type { HeaderMap } from '../../types/answers.js'
import { getCurrentTime } from '../../utils/clock.js'
import { removeHopByHopHeaders } from '../../utils/headers.js'
import { recordIteration } from '../../utils/loopMonitor.js'
import { afterPoll } from '../../utils/pollPhase.js'
import { closeConnection, closeSilentConnection, recordUnansweredReset, recordConnectionProgress, releaseConnection, acquireConnection } from '../entry/connectionPool.js'
import type { Connection } from '../entry/connectionPool.js'
import type { Call } from './call.js'
import { startExchange } from './exchange.js'
import type { Exchange, Received } from './exchange.js'
import type { Gateway } from './gateway.js'

/** How sending ended, with what came. */
export type SendResult =
  | Extract<SendOutcome, { type: 'answered' }> & { readonly headers: HeaderMap, readonly body: Buffer }
  | Extract<SendOutcome, { type: 'notRun' }> & { readonly status: number | undefined }
  | Extract<SendOutcome, { type: 'lost' }> & { readonly detail: string }

/** How a send went, with what tells later when its bytes left and over which connection. */
export interface SendReport {
  readonly result: SendResult
  /** When the request began to be written; undefined if it never was. */
  readonly writtenAt: Millis | undefined
  /** How long its connection had rested; undefined for a new one. */
  readonly restedMs: Millis | undefined
}

/** A reset that comes within the way there and back and this much more answers the request itself, not work that it began. */
const soonMs: Millis = 30

/** A connection that opens this much after its time-out opened while the VM stood still; its request is placed anew. */
const openSlackMs: Millis = 650

/** How long to wait for one server while the caller still waits. */
export interface Patience {
  /** When to ask once whether another server takes it over; undefined for never. */
  readonly leaveAt: Millis | undefined
  /** Asked then; work goes on at the server unless this is so. */
  readonly mayLeave: () => boolean
  /** From when on to ask, again and again, whether it is stranded. */
  readonly overdueAt: Millis
  readonly isStranded: () => boolean
}

/** How often an overdue request is looked at. */
const strandedCheckMs: Millis = 250

/**
 * Sends a request.
 *
 * @param patience when to stop waiting although the caller still waits
 */
export async function sendOnce (gateway: Gateway, call: Call, placed: Placement, patience: Patience): Promise<SendReport> {
  const now = getCurrentTime()
  const { facts } = placed.server
  const connection = acquireConnection(gateway.pool, facts.address, !call.route.isIdempotent, now)
  const restedMs = connection.isReused ? connection.restedMs : undefined
  const leftMs = Math.max(1, Math.floor(call.deadline - now))
  const headers = { ...call.headers, ...gateway.servers.buildRequestHeaders(call.facts, facts.id, leftMs) }
  const options: Dispatcher.DispatchOptions = { method: call.method as Dispatcher.HttpMethod, path: call.path, headers, body: call.body }
  const exchange = startExchange(connection.client, options, now + gateway.pool.connectTimeoutMs + openSlackMs, () => {
    recordIteration(gateway.loop)
    recordConnectionProgress(gateway.pool, connection, getCurrentTime())
  })
  const result = await endOf(gateway, call, placed, { connection, exchange, startedAt: now, patience })
  return { result, writtenAt: exchange.startedAt, restedMs }
}

/** A send that is under way over a connection. */
interface OpenSend {
  readonly connection: Connection
  readonly exchange: Exchange
  readonly startedAt: Millis
  readonly patience: Patience
}

async function endOf (gateway: Gateway, call: Call, placed: Placement, { connection, exchange, startedAt, patience }: OpenSend): Promise<SendResult> {
  const { facts } = placed.server
  const stop = watchSend(gateway, call, patience, startedAt, exchange.abort)
  try {
    const received = await exchange.answer
    return takeAnswer(gateway, call, placed, connection, received, (exchange.startedAt ?? startedAt) - startedAt)
  } catch (err) {
    const now = getCurrentTime()
    const wentSilent = connection.isReused && silentEnds.has(stop.reason())
    if (wentSilent) closeSilentConnection(gateway.pool, connection, startedAt, now)
    else closeConnection(gateway.pool, connection, 'close')
    const isSoon = now - startedAt < soonMs + estimateRoundTrip(gateway.fleet, facts.region)
    if (stop.reason() === 'failed' && isSoon) recordUnansweredReset(gateway.pool, connection, now)
    if (stop.reason() === 'gone') return { type: 'lost', reason: 'gone', detail: getErrorMessage(err) }
    // What was never begun to be written can't have run.
    if (exchange.startedAt === undefined) return { type: 'notRun', reason: 'unreached', status: undefined }
    return { type: 'lost', reason: stop.reason(), detail: getErrorMessage(err) }
  } finally {
    stop.end()
  }
}

function takeAnswer (gateway: Gateway, call: Call, placed: Placement, connection: Connection, received: Received, openMs: Millis): SendResult {
  const { status, headers: raw, body } = received
  const kind = gateway.servers.classifyAnswer(call.facts, status, raw)
  const isCut = connection.wasReset && !isFramed(raw)
  if (body === undefined || isCut || kind === 'spoiled') {
    // An answer to another request, or one that is not the server's own: what follows on this connection can't be trusted either.
    closeConnection(gateway.pool, connection, 'close')
    return { type: 'lost', reason: 'spoiled', detail: body === undefined ? 'answer is too large' : isCut ? 'connection was reset in the body' : 'answer does not belong to the request' }
  }
  releaseConnection(gateway.pool, connection, getCurrentTime())
  // It comes from another server and is no sign of life of the one that was asked.
  if (kind === 'elsewhere') return { type: 'notRun', reason: 'elsewhere', status }
  recordReply(gateway, placed.server, gateway.servers.parseQueueDepth(raw), getCurrentTime())
  if (kind === 'notRun') return { type: 'notRun', reason: 'full', status }
  return { type: 'answered', status, headers: removeHopByHopHeaders(raw), body, connectMs: openMs }
}

/** Whether the head tells where the body ends. */
function isFramed (headers: HeaderMap): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/** Ends of a send in which nothing was heard of its server. */
const silentEnds = new Set<LostReason>(['slow', 'stranded', 'deadline'])

interface SendWatch {
  readonly reason: () => LostReason
  readonly end: () => void
}

/**
 * Ends sending at the deadline, when the caller goes, or when it is time to try elsewhere. Timers run before sockets are read, so
 * what a timer decides waits for a look: the answer may lie unread.
 */
function watchSend ({ loop: { polls: looks } }: Gateway, call: Call, patience: Patience, now: Millis, abort: () => void): SendWatch {
  let reason: LostReason = 'failed'
  let isOver = false
  const stop = (why: typeof reason): void => {
    if (isOver) return
    reason = why
    abort()
  }
  const onGone = (): void => stop('gone')
  call.gone.on('abort', onGone)
  if (call.gone.aborted) onGone()
  const deadlineTimer = setTimeout(afterPoll(looks, () => stop('deadline')), Math.max(1, call.deadline - now))
  const leave = afterPoll(looks, () => { if (!isOver && patience.mayLeave()) stop('slow') })
  const patienceTimer = patience.leaveAt === undefined ? undefined : setTimeout(leave, Math.max(1, patience.leaveAt - now))
  const lookAgain = afterPoll(looks, () => {
    if (isOver) return
    if (patience.isStranded()) stop('stranded')
    else strandedTimer = setTimeout(lookAgain, strandedCheckMs)
  })
  let strandedTimer = setTimeout(lookAgain, Math.max(1, patience.overdueAt - now))
  return {
    reason: () => reason,
    end: () => {
      isOver = true
      clearTimeout(deadlineTimer)
      clearTimeout(patienceTimer)
      clearTimeout(strandedTimer)
      call.gone.off('abort', onGone)
    }
  }
}
