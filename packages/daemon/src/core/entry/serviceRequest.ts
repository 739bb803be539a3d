/** Reads a caller's request to a service, with its checks. */
import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'
import { LynxError, brandId, parseRequestId } from '@lynxcourse/base'
import type { Millis, RequestId, ServiceId } from '@lynxcourse/base'
import type { Profile } from '@lynxcourse/state'
import { deadlineHeader, headerPrefix, requestIdHeader } from '../../types/answers.js'
import type { HeaderMap } from '../../types/answers.js'
import { profileFor, refreshRoutingState } from './entry.js'
import type { EntryState } from './entry.js'

/** Path under which services are reached: `/s/SERVICE/rest`. */
export const servicePath = '/s/'

/** A checked request to a service. */
export interface ForwardRequest {
  readonly service: ServiceId
  readonly profile: Profile
  readonly method: string
  /** Path at the backend server. */
  readonly path: string
  readonly headers: HeaderMap
  /** Whether it may run twice without harm. */
  readonly isIdempotent: boolean
  /** Set for requests that must not run twice. */
  readonly id: RequestId | undefined
  readonly arrivedAt: Millis
  readonly deadline: Millis
  readonly body: Buffer | Readable | undefined
  /** Whether the body can be sent a second time. */
  readonly isReplayable: boolean
}

const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS'])
const notPassedOn = new Set(['host', 'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'expect', 'content-length', requestIdHeader])

/**
 * Reads the head of a request and as much of its body as is kept.
 *
 * @throws LynxError naming the header or part at fault
 */
export async function readForwardRequest (entry: EntryState, req: IncomingMessage, now: Millis): Promise<ForwardRequest> {
  refreshRoutingState(entry, now)
  const { service, path } = splitPath(req.url ?? '')
  const profile = profileFor(entry, service)
  if (profile === undefined) throw new LynxError('unknownService', `'${service}'`, { step: 'read request', field: 'path' })
  const method = req.method ?? 'GET'
  const isIdempotent = idempotentMethods.has(method)
  const deadline = now + readDeadline(req, profile)
  const id = isIdempotent ? undefined : readId(req)
  const { body, isReplayable } = hasBody(req) ? await beforeDeadline(readCallerBody(entry, req), deadline - now) : noBody
  return { service, profile, method, path, headers: passedOn(req), isIdempotent, id, arrivedAt: now, deadline, body, isReplayable }
}

function splitPath (url: string): { service: ServiceId, path: string } {
  const rest = url.slice(servicePath.length)
  const end = rest.search(/[/?]/)
  const service = end < 0 ? rest : rest.slice(0, end)
  if (service === '') throw new LynxError('badRequest', 'path must be /s/SERVICE/...', { step: 'read request', field: 'path' })
  const path = end < 0 ? '/' : rest.slice(end)
  return { service: brandId<ServiceId>(service), path: path.startsWith('/') ? path : `/${path}` }
}

function readDeadline (req: IncomingMessage, profile: Profile): Millis {
  const text = req.headers[deadlineHeader]
  if (text === undefined) return profile.deadlineMs
  const ms = Number(text)
  if (!Number.isFinite(ms)) throw new LynxError('badRequest', `${deadlineHeader} must be milliseconds from now`, { step: 'read request', field: deadlineHeader })
  if (ms <= 0) throw new LynxError('tooLate', `${deadlineHeader} is ${ms}`, { step: 'read request', field: deadlineHeader })
  return Math.min(ms, profile.maxDeadlineMs)
}

function readId (req: IncomingMessage): RequestId {
  const text = req.headers[requestIdHeader]
  if (typeof text !== 'string') {
    throw new LynxError('badRequestId', `${req.method} needs an Idempotency-Key, a UUID v7`, { step: 'read request', field: 'Idempotency-Key' })
  }
  return parseRequestId(text)
}

/** Headers for the backend server. A caller can't pose as this system: its `lynx-` headers stay here. */
function passedOn (req: IncomingMessage): HeaderMap {
  const headers: HeaderMap = {}
  for (const [name, value] of Object.entries(req.headers)) {
    if (value === undefined || notPassedOn.has(name) || name.startsWith(headerPrefix)) continue
    headers[name] = value
  }
  headers['x-forwarded-for'] = req.socket.remoteAddress ?? ''
  return headers
}

/** A sender that is slower than its own deadline is told so; the part that it sent goes with its connection. */
async function beforeDeadline<Value> (work: Promise<Value>, ms: Millis): Promise<Value> {
  let timer: NodeJS.Timeout | undefined
  const late = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => reject(new LynxError('tooLate', 'the body did not come before the deadline', { step: 'read request', field: 'body' })), ms)
  })
  try {
    return await Promise.race([work, late])
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
  const announced = Number(req.headers['content-length'] ?? 0)
  if (announced > maxBodyBytes) throw tooLarge(maxBodyBytes)
  const iterator = (req as AsyncIterable<Buffer>)[Symbol.asyncIterator]()
  const chunks: Buffer[] = []
  let size = 0
  while (size <= bufferBytes) {
    const next = await iterator.next()
    if (next.done === true) return { body: Buffer.concat(chunks), isReplayable: true }
    chunks.push(next.value)
    size += next.value.length
    if (size > maxBodyBytes) throw tooLarge(maxBodyBytes)
  }
  return { body: Readable.from(boundedRest(chunks, iterator, size, maxBodyBytes)), isReplayable: false }
}

async function * boundedRest (chunks: readonly Buffer[], iterator: AsyncIterator<Buffer>, read: number, maxBytes: number): AsyncGenerator<Buffer> {
  yield * chunks
  let size = read
  for (;;) {
    const next = await iterator.next()
    if (next.done === true) return
    size += next.value.length
    if (size > maxBytes) throw tooLarge(maxBytes)
    yield next.value
  }
}

function tooLarge (maxBytes: number): LynxError {
  return new LynxError('tooLarge', `body over ${maxBytes} bytes`, { step: 'read request', field: 'body' })
}
