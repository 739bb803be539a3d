/**
 * Sends one RPC message over a pool and reads the whole response, by the handler interface of `undici`. The promise interface
 * creates a stream, an iterator and a signal for each call, which cost more than the rest of a call; a signal with a timeout also
 * creates an error object after each call that was answered.
 */
import { Readable } from 'node:stream'
import type { Dispatcher, Pool } from 'undici'
import type { Millis } from '@lynxcourse/base'
import { getCurrentTime } from '../../utils/clock.js'
import { supportedEncoding } from './compression.js'

/** A message, compressed or not. */
export interface RpcMessage {
  readonly body: string | Buffer
  /** Value of the `content-encoding` header; undefined if the body is not compressed. */
  readonly encoding: string | undefined
}

export interface RpcResponse {
  readonly status: number
  readonly body: Buffer
  /** Value of the `content-encoding` header; undefined if the body is not compressed. */
  readonly encoding: string | undefined
  /** Codings of the `accept-encoding` header, by which the peer says how later messages may be compressed. */
  readonly acceptedEncodings: string | undefined
}

const firstFinalStatus = 200
/** Larger messages are written in chunks of this size, so that a call ends only if none of them is taken in time. */
const chunkBytes = 16_384
/** Rate at which the slowest link delivers what the kernel has taken over, in bytes per millisecond: 2 Mbit/s. */
const slowLinkRate = 250
/** A peer that takes a message more slowly than this counts as failed, in bytes per millisecond. */
const minRate = 32

/** Splits a body into chunks and calls `onChunk` before each of them is handed out. */
function * splitBody (body: Buffer, onChunk: () => void): Generator<Buffer> {
  for (let offset = 0; offset < body.length; offset += chunkBytes) {
    onChunk()
    yield body.subarray(offset, offset + chunkBytes)
  }
}

/**
 * Sends a message.
 *
 * @param timeoutMs longest time until the response begins, and between its parts; a large message gets the time that it takes over a
 * slow link on top, counted from the last chunk that was taken
 * @throws Error after the timeout, which also closes the connection; a message that was not written by then is never written
 */
export async function postMessage (pool: Pool, { body, encoding }: RpcMessage, timeoutMs: Millis): Promise<RpcResponse> {
  const size = Buffer.byteLength(body)
  const isLarge = size > chunkBytes
  const latestAt = getCurrentTime() + timeoutMs + size / minRate
  const waitMs = isLarge ? timeoutMs + size / slowLinkRate : timeoutMs
  const headers = { 'content-type': 'application/json', 'accept-encoding': supportedEncoding, 'content-length': String(size), ...(encoding === undefined ? {} : { 'content-encoding': encoding }) }
  return await new Promise<RpcResponse>((resolve, reject) => {
    const chunks: Buffer[] = []
    let controller: Dispatcher.DispatchController | undefined
    let isTimedOut = false
    let isFinished = false
    let head: Omit<RpcResponse, 'body'> | undefined
    const expire = (receivedCount: number): void => {
      if (isFinished || chunks.length > receivedCount) return
      const err = createTimeoutError(waitMs, size)
      isTimedOut = true
      reject(err)
      controller?.abort(err)
    }
    // If the event loop was blocked, the response may have arrived and is read after this timer.
    const timer = setTimeout(() => {
      const receivedCount = chunks.length
      setImmediate(() => expire(receivedCount))
    }, Math.max(1, Math.ceil(waitMs)))
    const recordWritten = (): void => {
      if (!isFinished && getCurrentTime() < latestAt) timer.refresh()
    }
    const options: Dispatcher.DispatchOptions = {
      method: 'POST',
      path: '/rpc',
      headers,
      body: isLarge ? Readable.from(splitBody(Buffer.from(body), recordWritten), { highWaterMark: 1 }) : body
    }
    const fail = (err: Error): void => {
      isFinished = true
      clearTimeout(timer)
      reject(err)
    }
    pool.dispatch(options, {
      onRequestStart: requestController => {
        controller = requestController
        if (isTimedOut) requestController.abort(createTimeoutError(waitMs, size))
      },
      onResponseStart: (_controller, status, headers) => {
        if (status >= firstFinalStatus) head = { status, encoding: headers['content-encoding']?.toString(), acceptedEncodings: headers['accept-encoding']?.toString() }
      },
      onResponseData: (_controller, chunk) => {
        chunks.push(chunk)
        timer.refresh()
      },
      onResponseEnd: () => {
        isFinished = true
        clearTimeout(timer)
        if (head !== undefined) resolve({ ...head, body: chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks) })
      },
      onResponseError: (_controller, err) => fail(err)
    })
  })
}

function createTimeoutError (timeoutMs: Millis, size: number): Error {
  return new Error(`no response within ${Math.round(timeoutMs)} ms to a message of ${size} bytes`)
}
