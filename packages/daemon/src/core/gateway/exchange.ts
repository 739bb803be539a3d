/**
 * Sends one request over one connection and reads its whole answer, by the handler interface of `undici`. The promise
 * interface creates a stream, an iterator and a signal for each request, which cost more than reading the answer.
 */
import type { Client, Dispatcher } from 'undici'
import { LynxError } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import type { HeaderMap } from '../../types/answers.js'
import { getCurrentTime } from '../../utils/clock.js'

/** Maximum size of an answer in memory; a caller gets an answer only after the whole of it was checked. */
const maxAnswerBytes = 16_777_216
const firstFinalStatus = 200

/** The head of a server's final answer. */
export interface AnswerHead {
  readonly status: number
  readonly headers: HeaderMap
}

/** A server's whole answer. */
export interface ReceivedAnswer extends AnswerHead {
  /** Undefined if the body exceeds the size limit. */
  readonly body: Buffer | undefined
}

/** An exchange in progress. */
export interface Exchange {
  /** Rejects when the connection fails or `abort` is called. */
  readonly answer: Promise<ReceivedAnswer>
  /** When writing of the request began; undefined before. */
  startedAt: Millis | undefined
  /** Ends the exchange at once; a request that is not being written yet is never written. */
  readonly abort: () => void
}

/**
 * Starts an exchange.
 *
 * @param mayWrite asked when the connection is open and the request is about to be written, which may be long after the server was
 * chosen; otherwise the exchange is cancelled
 * @param onHead called when the head of the final answer is received
 */
export function startExchange (client: Client, options: Dispatcher.DispatchOptions, mayWrite: (now: Millis) => boolean, onHead: (head: AnswerHead) => void): Exchange {
  let controller: Dispatcher.DispatchController | undefined
  let isAborted = false
  let rejectAnswer: (err: Error) => void = () => undefined
  const answer = new Promise<ReceivedAnswer>((resolve, reject) => {
    rejectAnswer = reject
    client.dispatch(options, {
      onRequestStart: requestController => {
        controller = requestController
        const now = getCurrentTime()
        if (isAborted || !mayWrite(now)) requestController.abort(createCancelledError())
        else exchange.startedAt = now
      },
      ...createAnswerCollector(resolve, onHead),
      onResponseError: (_controller, err) => reject(err)
    })
  })
  const exchange: Exchange = {
    answer,
    startedAt: undefined,
    abort: () => {
      isAborted = true
      controller?.abort(createCancelledError())
      rejectAnswer(createCancelledError())
    }
  }
  return exchange
}

function createCancelledError (): LynxError {
  return new LynxError('cancelled', 'the exchange with the server was cancelled', { step: 'send' })
}

type AnswerCollector = Pick<Dispatcher.DispatchHandler, 'onResponseStart' | 'onResponseData' | 'onResponseEnd'>

function createAnswerCollector (resolve: (received: ReceivedAnswer) => void, onHead: (head: AnswerHead) => void): AnswerCollector {
  const chunks: Buffer[] = []
  let head: AnswerHead | undefined
  let size = 0
  return {
    onResponseStart: (_controller, status, headers) => {
      if (status < firstFinalStatus) return
      head = { status, headers: headers as HeaderMap }
      onHead(head)
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
