/** One attempt: sends a request to a backend server over one connection and reads its answer. */
import type { Readable } from 'node:stream'
import type { Dispatcher } from 'undici'
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { isSilent, recordReportedLoad } from '@lynxcourse/routing'
import { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import { afterPoll } from '../../utils/pollPhase.js'
import { removeHopByHopHeaders } from '../../utils/headers.js'
import { deadlineHeader, loadHeader, notStartedHeader, requestIdHeader } from '../../types/answers.js'
import type { HeaderMap } from '../../types/answers.js'
import { closeConnection, closeSilentConnection, isConnectError, recordConnectionProgress, releaseConnection, acquireConnection } from './connectionPool.js'
import type { Connection } from './connectionPool.js'
import type { EntryState } from './entry.js'
import type { ForwardRequest } from './serviceRequest.js'
import type { Slot } from './serviceQueue.js'

/** Answers up to this are read whole before the caller gets any of it. */
const wholeAnswerBytes = 65_536

/** How an attempt ended. */
export type AttemptResult =
  | { readonly type: 'answered', readonly status: number, readonly headers: HeaderMap, readonly body: Buffer | Readable }
  /** The server says that it did not start. */
  | { readonly type: 'shed', readonly retryAfterMs: Millis | undefined }
  /** No byte was handed to a connection. */
  | { readonly type: 'notSent', readonly detail: string }
  /** Sent, and no whole answer came. */
  | { readonly type: 'lost', readonly detail: string, readonly reason: 'failed' | 'deadline' | 'gone' | 'silent' }

/**
 * Runs an attempt. The slot is still held when it resolves, unless the body streams on: then the
 * caller of this function releases it at the body's end.
 *
 * @param signal aborted when the caller is gone or another attempt won
 */
export async function runAttempt (entry: EntryState, request: ForwardRequest, slot: Slot, signal: CancelSignal): Promise<AttemptResult> {
  const now = getCurrentTime()
  const connection = acquireConnection(entry.pool, slot.observed.backend.address, !request.isIdempotent, now)
  const watch = watchAttempt(entry, request, connection, signal, now)
  try {
    const res = await connection.client.request({ ...requestOptions(request, now), signal: watch.signal })
    watch.gotHeaders()
    recordConnectionProgress(entry.pool, connection, getCurrentTime())
    const load = Number(res.headers[loadHeader])
    if (res.headers[loadHeader] !== undefined) recordReportedLoad(slot.observed, load, getCurrentTime())
    if (isShed(res)) {
      await res.body.dump()
      watch.stop()
      releaseConnection(entry.pool, connection, getCurrentTime())
      return { type: 'shed', retryAfterMs: retryAfterOf(res) }
    }
    return await readAnswer(entry, connection, res, watch)
  } catch (err) {
    watch.stop()
    const wasSent = !isConnectError(err)
    if (watch.reason() === 'silent') closeSilentConnection(entry.pool, connection, now, getCurrentTime())
    else closeConnection(entry.pool, connection, 'close')
    if (!wasSent) return { type: 'notSent', detail: getErrorMessage(err) }
    return { type: 'lost', detail: getErrorMessage(err), reason: watch.reason() }
  }
}

function requestOptions (request: ForwardRequest, now: Millis): Dispatcher.RequestOptions {
  const headers: HeaderMap = { ...request.headers, [deadlineHeader]: String(Math.max(1, Math.floor(request.deadline - now))) }
  if (request.id !== undefined) headers[requestIdHeader] = request.id
  return { method: request.method as Dispatcher.HttpMethod, path: request.path, headers, body: request.body ?? null }
}

function isShed (res: Dispatcher.ResponseData): boolean {
  return res.statusCode === 503 && res.headers[notStartedHeader] === 'true'
}

function retryAfterOf (res: Dispatcher.ResponseData): Millis | undefined {
  const seconds = Number(res.headers['retry-after'])
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : undefined
}

interface Watch {
  readonly signal: CancelSignal
  gotHeaders: () => void
  reason: () => 'failed' | 'deadline' | 'gone' | 'silent'
  stop: () => void
}

/**
 * Ends an attempt at its deadline, when the caller goes, or when a used connection stays silent. It
 * goes on until the answer's last byte: a body that stops half-way would else hold its slot, and its
 * part of a cap, beyond the deadline that grants rely on.
 */
function watchAttempt (entry: EntryState, request: ForwardRequest, connection: Connection, outer: CancelSignal, now: Millis): Watch {
  const inner = new CancelSignal()
  let reason: ReturnType<Watch['reason']> = 'failed'
  let isOver = false
  const end = (why: typeof reason) => (): void => {
    if (isOver) return
    reason = why
    inner.abort()
  }
  const goneNow = end('gone')
  outer.on('abort', goneNow)
  if (outer.aborted) goneNow()
  const deadlineTimer = setTimeout(afterPoll(entry.loop.polls, end('deadline')), Math.max(1, request.deadline - now))
  // Only a connection that carried requests before can have been lost track of; a new one that is
  // slow tells of a slow server, and a second attempt would only add to its load.
  const mayBeSilent = connection.isReused && request.isIdempotent
  const endSilent = end('silent')
  const checkSilent = (): void => { if (isSilent(entry.pool.cfg, connection.state, getCurrentTime())) endSilent() }
  const silentTimer = mayBeSilent ? setTimeout(afterPoll(entry.loop.polls, checkSilent), entry.pool.cfg.silentMs + 1) : undefined
  return {
    signal: inner,
    gotHeaders: () => clearTimeout(silentTimer),
    reason: () => reason,
    stop: () => {
      isOver = true
      clearTimeout(silentTimer)
      clearTimeout(deadlineTimer)
      outer.off('abort', goneNow)
    }
  }
}

async function readAnswer (entry: EntryState, connection: Connection, res: Dispatcher.ResponseData, watch: Watch): Promise<AttemptResult> {
  const headers = removeHopByHopHeaders(res.headers)
  const length = Number(res.headers['content-length'] ?? NaN)
  if (length <= wholeAnswerBytes) {
    const body = Buffer.from(await res.body.arrayBuffer())
    watch.stop()
    releaseConnection(entry.pool, connection, getCurrentTime())
    return { type: 'answered', status: res.statusCode, headers, body }
  }
  return { type: 'answered', status: res.statusCode, headers, body: streamBody(entry, connection, res, watch) }
}

function streamBody (entry: EntryState, connection: Connection, res: Dispatcher.ResponseData, watch: Watch): Readable {
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
