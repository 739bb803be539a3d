/** Runs one attempt: sends a request to a backend server over one connection and reads the answer. */
import type { Readable } from 'node:stream'
import type { Dispatcher } from 'undici'
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { isClosedToRequests } from '@lynxcourse/limits'
import { isSilent, recordReportedLoad } from '@lynxcourse/routing'
import { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import { afterPoll } from '../../utils/pollPhase.js'
import { removeHopByHopHeaders } from '../../utils/headers.js'
import { deadlineHeader, loadHeader, notStartedHeader, requestIdHeader } from '../../types/answers.js'
import type { HeaderMap } from '../../types/answers.js'
import { closeConnection, closeSilentConnection, isConnectError, isReused, recordConnectionProgress, releaseConnection, acquireConnection } from './connectionPool.js'
import type { Connection } from './connectionPool.js'
import type { EntryState } from './entry.js'
import { observeStatements } from './serviceNotices.js'
import type { ServiceRequest } from './serviceRequest.js'
import type { Slot } from './serviceQueue.js'

/**
 * Answers with a declared length up to this are read completely before the caller receives any of them; others are
 * streamed.
 */
const maxBufferedAnswerBytes = 65_536

/** Result of an attempt. */
export type AttemptResult =
  | { readonly type: 'answered', readonly status: number, readonly headers: HeaderMap, readonly body: Buffer | Readable }
  /** The server states that it did not start the request, or wanted no requests before this one was written. */
  | { readonly type: 'shed' }
  /** No byte of the request was written to a connection. */
  | { readonly type: 'notSent', readonly detail: string }
  /** The request was sent, and no complete answer arrived. */
  | { readonly type: 'lost', readonly detail: string, readonly reason: 'failed' | 'deadline' | 'gone' | 'silent' }

/**
 * Runs an attempt. The calling function releases the slot: when the promise resolves or, for a streamed body, when the
 * body closes.
 *
 * @param signal aborted when the caller disconnects or another attempt of the request gets an answer first
 */
export async function runAttempt (entry: EntryState, request: ServiceRequest, slot: Slot, signal: CancelSignal): Promise<AttemptResult> {
  const now = getCurrentTime()
  const connection = acquireConnection(entry.pool, slot.observed.backend.address, !request.isIdempotent, now)
  const watch = watchAttempt(entry, request, connection, signal, now)
  // Only a new connection shows by opening that nothing was written yet.
  connection.onOpen = isReused(connection) ? undefined : () => { if (isClosedToRequests(slot.observed.notice, getCurrentTime())) watch.withdraw() }
  try {
    const res = await connection.client.request({ ...buildRequestOptions(request, now), signal: watch.signal })
    watch.onHeaders()
    recordConnectionProgress(entry.pool, connection, getCurrentTime())
    const load = Number(res.headers[loadHeader])
    if (res.headers[loadHeader] !== undefined) recordReportedLoad(slot.observed, load, getCurrentTime())
    observeStatements(entry, request, slot.observed, res.statusCode, res.headers)
    if (isShed(res)) {
      await res.body.dump()
      watch.stop()
      releaseConnection(entry.pool, connection, getCurrentTime())
      return { type: 'shed' }
    }
    return await readAnswer(entry, connection, res, watch)
  } catch (err) {
    watch.stop()
    const wasSent = !isConnectError(err)
    if (watch.reason() === 'silent') closeSilentConnection(entry.pool, connection, now, getCurrentTime())
    else closeConnection(entry.pool, connection, 'close')
    const reason = watch.reason()
    if (reason === 'withdrawn') return { type: 'shed' }
    if (!wasSent) return { type: 'notSent', detail: getErrorMessage(err) }
    return { type: 'lost', detail: getErrorMessage(err), reason }
  }
}

function buildRequestOptions (request: ServiceRequest, now: Millis): Dispatcher.RequestOptions {
  const headers: HeaderMap = { ...request.headers, [deadlineHeader]: String(Math.max(1, Math.floor(request.deadline - now))) }
  if (request.id !== undefined) headers[requestIdHeader] = request.id
  return { method: request.method as Dispatcher.HttpMethod, path: request.path, headers, body: request.body ?? null }
}

function isShed (res: Dispatcher.ResponseData): boolean {
  return res.statusCode === 503 && res.headers[notStartedHeader] === 'true'
}

/** Aborts an attempt when a timeout expires or the caller disconnects. */
interface AttemptWatch {
  /** Aborts the attempt. */
  readonly signal: CancelSignal
  /** Ends the check for silence, since the head of the answer has arrived. */
  onHeaders: () => void
  /** Returns why the attempt was aborted; `failed` if the watch did not abort it. */
  reason: () => 'failed' | 'deadline' | 'gone' | 'silent' | 'withdrawn'
  /** Aborts the attempt before it is written. */
  withdraw: () => void
  stop: () => void
}

/**
 * Aborts an attempt at its deadline, when the outer signal is aborted, or when a reused connection stays silent. The
 * deadline covers the answer up to its last byte: otherwise, a body that stalls would occupy its slot, and its share of
 * a cap, past the deadline that the grants of caps rely on.
 */
function watchAttempt (entry: EntryState, request: ServiceRequest, connection: Connection, outerSignal: CancelSignal, now: Millis): AttemptWatch {
  const attemptSignal = new CancelSignal()
  let reason: ReturnType<AttemptWatch['reason']> = 'failed'
  let isOver = false
  const abortWith = (abortReason: typeof reason) => (): void => {
    if (isOver) return
    reason = abortReason
    attemptSignal.abort()
  }
  const abortAsGone = abortWith('gone')
  outerSignal.on('abort', abortAsGone)
  if (outerSignal.aborted) abortAsGone()
  const deadlineTimer = setTimeout(afterPoll(entry.loop.polls, abortWith('deadline')).run, Math.max(1, request.deadline - now))
  // A middlebox can lose track only of a connection that carried requests before. A new connection without an answer
  // means that the server is slow, and a second attempt would only add to its load.
  const detectsSilence = isReused(connection) && request.isIdempotent
  const abortAsSilent = abortWith('silent')
  const checkSilence = (): void => { if (isSilent(entry.pool.cfg, connection.state, getCurrentTime())) abortAsSilent() }
  const silenceTimer = detectsSilence ? setTimeout(afterPoll(entry.loop.polls, checkSilence).run, entry.pool.cfg.silentMs + 1) : undefined
  return {
    signal: attemptSignal,
    onHeaders: () => clearTimeout(silenceTimer),
    reason: () => reason,
    withdraw: abortWith('withdrawn'),
    stop: () => {
      isOver = true
      clearTimeout(silenceTimer)
      clearTimeout(deadlineTimer)
      outerSignal.off('abort', abortAsGone)
    }
  }
}

async function readAnswer (entry: EntryState, connection: Connection, res: Dispatcher.ResponseData, watch: AttemptWatch): Promise<AttemptResult> {
  const headers = removeHopByHopHeaders(res.headers)
  const length = Number(res.headers['content-length'] ?? NaN)
  if (length <= maxBufferedAnswerBytes) {
    const body = Buffer.from(await res.body.arrayBuffer())
    watch.stop()
    releaseConnection(entry.pool, connection, getCurrentTime())
    return { type: 'answered', status: res.statusCode, headers, body }
  }
  return { type: 'answered', status: res.statusCode, headers, body: streamBody(entry, connection, res, watch) }
}

function streamBody (entry: EntryState, connection: Connection, res: Dispatcher.ResponseData, watch: AttemptWatch): Readable {
  const body = res.body
  body.on('data', () => recordConnectionProgress(entry.pool, connection, getCurrentTime()))
  body.pause()
  body.once('close', () => {
    if (body.readableEnded) releaseConnection(entry.pool, connection, getCurrentTime())
    else closeConnection(entry.pool, connection, 'close')
    watch.stop()
  })
  return body
}
