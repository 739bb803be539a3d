/**
 * Sends one RPC message over a pool and reads the whole response, by the handler interface of `undici`. The promise interface
 * creates a stream, an iterator and a signal for each call, which cost more than the rest of a call; a signal with a timeout also
 * creates an error object after each call that was answered.
 */
import type { Dispatcher, Pool } from 'undici'
import type { Millis } from '@lynxcourse/base'
import { supportedEncoding } from './compression.js'

export interface RpcResponse {
  readonly status: number
  readonly body: Buffer
  /** Value of the `content-encoding` header; undefined if the body is not compressed. */
  readonly encoding: string | undefined
}

const firstFinalStatus = 200

/**
 * Sends a message.
 *
 * @param timeoutMs longest time until the response begins, and between its parts: a large one over a slow link takes longer
 * @throws Error after the timeout, which also closes the connection; a message that was not written by then is never written
 */
export async function postMessage (pool: Pool, text: string, timeoutMs: Millis): Promise<RpcResponse> {
  const options: Dispatcher.DispatchOptions = {
    method: 'POST',
    path: '/rpc',
    headers: { 'content-type': 'application/json', 'accept-encoding': supportedEncoding },
    body: text
  }
  return await new Promise<RpcResponse>((resolve, reject) => {
    const chunks: Buffer[] = []
    let controller: Dispatcher.DispatchController | undefined
    let isTimedOut = false
    let isFinished = false
    let head: Omit<RpcResponse, 'body'> | undefined
    const expire = (receivedCount: number): void => {
      if (isFinished || chunks.length > receivedCount) return
      const err = createTimeoutError(timeoutMs, text.length)
      isTimedOut = true
      reject(err)
      controller?.abort(err)
    }
    // If the event loop was blocked, the response may have arrived and is read after this timer.
    const timer = setTimeout(() => {
      const receivedCount = chunks.length
      setImmediate(() => expire(receivedCount))
    }, Math.max(1, Math.ceil(timeoutMs)))
    const fail = (err: Error): void => {
      isFinished = true
      clearTimeout(timer)
      reject(err)
    }
    pool.dispatch(options, {
      onRequestStart: requestController => {
        controller = requestController
        if (isTimedOut) requestController.abort(createTimeoutError(timeoutMs, text.length))
      },
      onResponseStart: (_controller, status, headers) => {
        if (status >= firstFinalStatus) head = { status, encoding: headers['content-encoding']?.toString() }
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
