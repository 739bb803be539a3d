/**
 * One request and its whole answer over one connection, by `undici`'s handler interface: its promise interface makes a
 * stream, an iterator and a signal for each request, which cost more than reading the answer does.
 */
import type { Client, Dispatcher } from 'undici'
import { LynxError } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import type { HeaderMap } from '../../types/answers.js'
import { getCurrentTime } from '../../utils/clock.js'

/** Largest answer that is held in memory; whole answers are checked before a caller gets any of them. */
const maxAnswerBytes = 16_777_216
const firstFinalStatus = 200

/** A server's whole answer. */
export interface Received {
  readonly status: number
  readonly headers: HeaderMap
  /** Undefined for one that is too large to be held. */
  readonly body: Buffer | undefined
}

/** An exchange under way. */
export interface Exchange {
  /** Rejects when the connection fails, or by `abort`. */
  readonly answer: Promise<Received>
  /** When the request began to be written; undefined until the connection was open for it. */
  startedAt: Millis | undefined
  /** Ends it now; a request that was not begun is never written. */
  readonly abort: () => void
}

/**
 * Starts an exchange.
 *
 * @param writeBy when its connection opens later than this, the request is not written: the VM stood still meanwhile, and what was
 * decided may have changed
 * @param onProgress called when the head of the answer came
 */
export function startExchange (client: Client, options: Dispatcher.DispatchOptions, writeBy: Millis, onProgress: () => void): Exchange {
  let controller: Dispatcher.DispatchController | undefined
  let isAborted = false
  let fail: (err: Error) => void = () => undefined
  const answer = new Promise<Received>((resolve, reject) => {
    fail = reject
    client.dispatch(options, {
      onRequestStart: started => {
        controller = started
        const now = getCurrentTime()
        if (isAborted || now > writeBy) started.abort(cancelled())
        else exchange.startedAt = now
      },
      ...collecting(resolve, onProgress),
      onResponseError: (_controller, err) => reject(err)
    })
  })
  const exchange: Exchange = {
    answer,
    startedAt: undefined,
    abort: () => {
      isAborted = true
      controller?.abort(cancelled())
      fail(cancelled())
    }
  }
  return exchange
}

function cancelled (): LynxError {
  return new LynxError('cancelled', 'the exchange was ended', { step: 'send' })
}

type Collecting = Pick<Dispatcher.DispatchHandler, 'onResponseStart' | 'onResponseData' | 'onResponseEnd'>

function collecting (resolve: (received: Received) => void, onProgress: () => void): Collecting {
  const chunks: Buffer[] = []
  let head: Omit<Received, 'body'> | undefined
  let size = 0
  return {
    onResponseStart: (_controller, status, headers) => {
      if (status < firstFinalStatus) return
      head = { status, headers: headers as HeaderMap }
      onProgress()
    },
    onResponseData: (_controller, chunk) => {
      size += chunk.length
      if (size <= maxAnswerBytes) chunks.push(chunk)
      else if (head !== undefined) resolve({ ...head, body: undefined })
    },
    onResponseEnd: () => {
      if (head !== undefined) resolve({ ...head, body: chunks.length === 1 ? chunks[0] : Buffer.concat(chunks) })
    }
  }
}
