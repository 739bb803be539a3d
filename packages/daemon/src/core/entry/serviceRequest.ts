/** Reads and validates a caller's request to a service. */
import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'
import { LynxError, brandId, parseRequestId } from '@lynxcourse/base'
import type { Millis, RequestId, ServiceId } from '@lynxcourse/base'
import type { Profile } from '@lynxcourse/state'
import { deadlineHeader, headerPrefix, requestIdHeader } from '../../types/answers.js'
import type { HeaderMap } from '../../types/answers.js'
import type { WatchedRequest } from '../crashes/crashWatch.js'
import { createLazyFingerprint, getCallerIdentity } from '../crashes/requestFingerprint.js'
import { getProfile, refreshRoutingState } from './entry.js'
import type { EntryState } from './entry.js'

/** Path prefix of requests to services: `/s/SERVICE/rest`. */
export const servicePath = '/s/'

/** A validated request to a service. */
export interface ServiceRequest {
  readonly service: ServiceId
  readonly profile: Profile
  readonly method: string
  /** Path at the backend server. */
  readonly path: string
  readonly headers: HeaderMap
  /** Whether the request may run twice without harm. */
  readonly isIdempotent: boolean
  /** Set for requests that must not run twice. */
  readonly id: RequestId | undefined
  readonly arrivedAt: Millis
  readonly deadline: Millis
  readonly body: Buffer | Readable | undefined
  /** Whether the body is buffered and can be sent again. */
  readonly isReplayable: boolean
  /** The request for the watch for requests that end servers; undefined if its body is streamed and therefore not known. */
  readonly watched: WatchedRequest | undefined
}

const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS'])
const droppedHeaders = new Set(['host', 'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'expect', 'content-length', requestIdHeader])

/**
 * Reads the head of a request, and its body up to the limit of the buffer; a longer body is streamed.
 *
 * @throws LynxError that names the invalid header or part
 */
export async function readServiceRequest (entry: EntryState, req: IncomingMessage, now: Millis): Promise<ServiceRequest> {
  refreshRoutingState(entry, now)
  const { service, path } = splitPath(req.url ?? '')
  const profile = getProfile(entry, service)
  if (profile === undefined) throw new LynxError('unknownService', `'${service}'`, { step: 'read request', field: 'path' })
  const method = req.method ?? 'GET'
  const isIdempotent = idempotentMethods.has(method)
  const deadline = now + readDeadline(req, profile)
  const id = isIdempotent ? undefined : readRequestId(req)
  const { body, isReplayable } = hasBody(req) ? await awaitBeforeDeadline(readCallerBody(entry, req), deadline - now) : noBody
  const contents = Buffer.isBuffer(body) || body === undefined ? { method, host: service, path, identity: getCallerIdentity(req.headers), body: body ?? null } : undefined
  const watched = contents === undefined ? undefined : { id: id ?? '', route: service, callerAddress: req.socket.remoteAddress ?? '', deadline, getFingerprint: createLazyFingerprint(contents) }
  return { service, profile, method, path, headers: selectForwardedHeaders(req), isIdempotent, id, arrivedAt: now, deadline, body, isReplayable, watched }
}

function splitPath (url: string): { service: ServiceId, path: string } {
  const remainder = url.slice(servicePath.length)
  const end = remainder.search(/[/?]/)
  const service = end < 0 ? remainder : remainder.slice(0, end)
  if (service === '') throw new LynxError('badRequest', 'path must be /s/SERVICE/...', { step: 'read request', field: 'path' })
  const path = end < 0 ? '/' : remainder.slice(end)
  return { service: brandId<ServiceId>(service), path: path.startsWith('/') ? path : `/${path}` }
}

function readDeadline (req: IncomingMessage, profile: Profile): Millis {
  const text = req.headers[deadlineHeader]
  if (text === undefined) return profile.deadlineMs
  const ms = Number(text)
  if (!Number.isFinite(ms)) throw new LynxError('badRequest', `${deadlineHeader} must be a number of milliseconds from now`, { step: 'read request', field: deadlineHeader })
  if (ms <= 0) throw new LynxError('tooLate', `${deadlineHeader} is ${ms}`, { step: 'read request', field: deadlineHeader })
  return Math.min(ms, profile.maxDeadlineMs)
}

function readRequestId (req: IncomingMessage): RequestId {
  const text = req.headers[requestIdHeader]
  if (typeof text !== 'string') {
    throw new LynxError('badRequestId', `${req.method} requests need an Idempotency-Key header with a UUID v7`, { step: 'read request', field: 'Idempotency-Key' })
  }
  return parseRequestId(text)
}

/**
 * Returns the headers for the backend server. Drops `lynx-` headers, so that a caller cannot impersonate this system.
 */
function selectForwardedHeaders (req: IncomingMessage): HeaderMap {
  const headers: HeaderMap = {}
  for (const [name, value] of Object.entries(req.headers)) {
    if (value === undefined || droppedHeaders.has(name) || name.startsWith(headerPrefix)) continue
    headers[name] = value
  }
  headers['x-forwarded-for'] = req.socket.remoteAddress ?? ''
  return headers
}

/**
 * Waits for the body. Rejects at the deadline, so that a slow sender gets an answer; its connection is closed after
 * that.
 */
async function awaitBeforeDeadline<Value> (work: Promise<Value>, ms: Millis): Promise<Value> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => reject(new LynxError('tooLate', 'the body did not come before the deadline', { step: 'read request', field: 'body' })), ms)
  })
  try {
    return await Promise.race([work, timeout])
  } finally {
    clearTimeout(timer)
    work.catch(() => undefined)
  }
}

interface CallerBody {
  readonly body: Buffer | Readable | undefined
  readonly isReplayable: boolean
}

const noBody: CallerBody = { body: undefined, isReplayable: true }

function hasBody (req: IncomingMessage): boolean {
  return Number(req.headers['content-length'] ?? 0) > 0 || req.headers['transfer-encoding'] !== undefined
}

async function readCallerBody (entry: EntryState, req: IncomingMessage): Promise<CallerBody> {
  const { maxBodyBytes, bufferBytes } = entry.node.cfg.limits
  const contentLength = Number(req.headers['content-length'] ?? 0)
  if (contentLength > maxBodyBytes) throw createTooLargeError(maxBodyBytes)
  const iterator = (req as AsyncIterable<Buffer>)[Symbol.asyncIterator]()
  const chunks: Buffer[] = []
  let size = 0
  while (size <= bufferBytes) {
    const next = await iterator.next()
    if (next.done === true) return { body: Buffer.concat(chunks), isReplayable: true }
    chunks.push(next.value)
    size += next.value.length
    if (size > maxBodyBytes) throw createTooLargeError(maxBodyBytes)
  }
  return { body: Readable.from(limitRemainingBody(chunks, iterator, size, maxBodyBytes)), isReplayable: false }
}

/** Yields the chunks already read and the rest of the body, up to `maxBytes` in total. */
async function * limitRemainingBody (chunks: readonly Buffer[], iterator: AsyncIterator<Buffer>, bytesRead: number, maxBytes: number): AsyncGenerator<Buffer> {
  yield * chunks
  let size = bytesRead
  for (;;) {
    const next = await iterator.next()
    if (next.done === true) return
    size += next.value.length
    if (size > maxBytes) throw createTooLargeError(maxBytes)
    yield next.value
  }
}

function createTooLargeError (maxBytes: number): LynxError {
  return new LynxError('tooLarge', `body over ${maxBytes} bytes`, { step: 'read request', field: 'body' })
}
