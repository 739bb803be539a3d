/** A connection of a caller: sends requests, matches answers to them and records how each request ended. */
import type { Socket } from 'node:net'
import type { Forwarder } from './forwarder.js'
import { MalformedAnswerError, ResponseReader } from './responseReader.js'
import type { ReceivedAnswer } from './responseReader.js'
import { isWholeText } from './texts.js'
import type { ObservedRequest, RequestEnd, ShutdownHistory } from './types.js'

/** An entry VM as callers reach it. */
export interface CallerTarget {
  readonly vm: string
  /** `IP:port` of the VM; unused if there is a forwarder. */
  readonly address: string
  /** Forwarder between callers and the VM; undefined for a direct connection. */
  readonly forwarder?: Forwarder | undefined
}

/** Bytes of a request and the pause in milliseconds after which they are sent. */
export interface RequestPart {
  readonly bytes: Buffer
  readonly pauseMs: number
}

/** How long a connection may take to close after its last answer. */
const closeTimeoutMs = 1000

/** Detail of requests that were sent before the caller received `Connection: close` with an earlier answer. */
export const crossedClose = 'crossed close'

/** Bytes of a refusal's body that are recorded. */
const maxTextBytes = 200

interface Outstanding {
  readonly request: ObservedRequest
  readonly timer: NodeJS.Timeout | undefined
}

/** An open connection. */
export class CallerConnection {
  private readonly reader = new ResponseReader(answer => this.takeAnswer(answer, performance.now()))
  private readonly outstanding: Outstanding[] = []
  private isRetired = false
  private isOver = false
  private isSending = false
  private hasStray = false
  private closeTimer: NodeJS.Timeout | undefined

  /** Resolves when the connection is closed. */
  readonly closed: Promise<void>

  constructor (readonly name: string, readonly target: CallerTarget, private readonly socket: Socket, private readonly history: ShutdownHistory) {
    this.closed = new Promise(resolve => socket.once('close', () => resolve()))
    socket.once('end', () => this.takeEnd(performance.now()))
    socket.on('error', err => this.breakAll((err as NodeJS.ErrnoException).code ?? err.message, performance.now()))
    socket.once('close', () => this.finish(performance.now()))
    // The connection may have ended before it was handed over.
    if (socket.destroyed) this.finish(performance.now())
  }

  /** Number of requests that are not answered. */
  get outstandingCount (): number {
    return this.outstanding.length
  }

  /** Whether another request may be sent. */
  get isUsable (): boolean {
    return !this.isRetired && !this.isOver && !this.isSending && !this.reader.hasSeenClose && this.socket.writable
  }

  /** Reads received bytes. */
  receive (bytes: Buffer): void {
    try {
      this.reader.push(bytes)
      if (this.outstanding.length === 0 && this.reader.partialBytes > 0) this.noteStray(performance.now())
    } catch (err) {
      if (!(err instanceof MalformedAnswerError)) throw err
      this.noteAnomaly(`malformed answer: ${err.message}`, performance.now())
      this.breakAll(`malformed answer: ${err.message}`, performance.now())
      this.socket.destroy()
    }
  }

  /**
   * Sends a request and records it.
   *
   * @param abandonMs time after which the caller gives up and closes the connection; undefined if it waits
   * @param halfCloses whether the caller closes its half of the connection after the request
   */
  async send (request: ObservedRequest, parts: readonly RequestPart[], abandonMs?: number, halfCloses = false): Promise<void> {
    this.history.requests.set(request.id, request)
    const timer = abandonMs === undefined ? undefined : setTimeout(() => this.abandon(performance.now()), abandonMs)
    this.outstanding.push({ request, timer })
    this.isSending = true
    for (const [index, { bytes, pauseMs }] of parts.entries()) {
      if (pauseMs > 0) await new Promise(resolve => setTimeout(resolve, pauseMs))
      if (request.end !== undefined || !this.socket.writable) return
      const isLast = index === parts.length - 1
      this.socket.write(bytes, err => { if (isLast && !err) request.sentAt = performance.now() })
    }
    this.isSending = false
    if (halfCloses) this.socket.end()
  }

  /** Sends no further requests, and closes the connection when all are answered. */
  retire (): void {
    this.isRetired = true
    if (this.outstanding.length === 0) this.close()
  }

  /** Closes the connection at once; outstanding requests keep no end. */
  destroy (): void {
    this.isOver = true
    for (const { timer } of this.outstanding.splice(0)) clearTimeout(timer)
    this.socket.destroy()
  }

  private takeAnswer (answer: ReceivedAnswer, now: number): void {
    const first = this.outstanding.shift()
    if (first === undefined) {
      this.noteAnomaly(`answer ${answer.status} without a request`, now)
      return
    }
    const isSent = !this.isSending || this.outstanding.length > 0
    this.endRequest(first, this.describeAnswer(first.request, answer, now), now)
    if (this.reader.hasSeenClose) this.breakAll(crossedClose, now)
    if (this.outstanding.length > 0) return
    // After an early answer the rest of the request is not sent, so the connection can't be used again.
    if (!isSent || this.isRetired || this.reader.hasSeenClose) this.close()
  }

  private describeAnswer (request: ObservedRequest, { status, headers, body }: ReceivedAnswer, now: number): RequestEnd {
    const server = headers.get('lynx-server')
    const echoedId = headers.get('idempotency-key')
    const isFromServer = server !== undefined && echoedId === request.id && isWholeText(body.toString('latin1'), server, request.id)
    if (echoedId !== undefined && echoedId !== request.id) this.noteAnomaly(`answer to ${echoedId} instead of ${request.id}`, now)
    if (status === 200 && !isFromServer) this.noteAnomaly(`answer to ${request.id} is not its server's`, now)
    const end = { type: 'whole', status, isFromServer, retryAfterMs: parseRetryAfter(headers.get('retry-after')) } as const
    return isFromServer ? end : { ...end, text: body.toString('utf8', 0, maxTextBytes).trimEnd() }
  }

  private takeEnd (now: number): void {
    this.reader.end()
    this.breakAll('end', now)
    this.close()
  }

  private breakAll (detail: string, now: number): void {
    const receivedBytes = this.reader.partialBytes
    for (const [index, entry] of this.outstanding.splice(0).entries()) {
      const isFirst = index === 0
      const isCrossed = !isFirst && this.reader.hasSeenClose
      this.endRequest(entry, { type: 'broken', receivedBytes: isFirst ? receivedBytes : 0, detail: isCrossed ? crossedClose : detail }, now)
    }
  }

  private abandon (now: number): void {
    for (const entry of this.outstanding.splice(0)) this.endRequest(entry, { type: 'abandoned' }, now)
    this.socket.destroy()
  }

  private endRequest ({ request, timer }: Outstanding, end: RequestEnd, now: number): void {
    clearTimeout(timer)
    request.endedAt = now
    request.end = end
  }

  private close (): void {
    this.isRetired = true
    if (this.socket.destroyed) return
    this.socket.end()
    this.closeTimer ??= setTimeout(() => this.socket.destroy(), closeTimeoutMs)
  }

  private finish (now: number): void {
    clearTimeout(this.closeTimer)
    this.breakAll('close', now)
    if (this.isOver) return
    this.isOver = true
    if (this.reader.extraBytes > 0) this.noteAnomaly(`${this.reader.extraBytes} bytes after the last answer`, now)
  }

  private noteStray (now: number): void {
    if (!this.hasStray) this.noteAnomaly('bytes without a request', now)
    this.hasStray = true
  }

  private noteAnomaly (detail: string, at: number): void {
    this.history.anomalies.push({ vm: this.target.vm, connection: this.name, at, detail })
  }
}

/** Returns the time of a `Retry-After` header in milliseconds; undefined if there is none. */
export function parseRetryAfter (value: string | undefined): number | undefined {
  const seconds = value === undefined ? NaN : Number(value)
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : undefined
}
