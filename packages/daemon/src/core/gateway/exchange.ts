/**
 * Sends one request over one connection and reads its answer, by the handler interface of `undici`. The promise
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
  /** Undefined if the body exceeds the size limit; empty if a receiver took it over. */
  readonly body: Buffer | undefined
}

/** Controls how fast a server's answer is read. */
export interface BodyFlow {
  readonly pause: () => void
  readonly resume: () => void
}

/** Takes over the body of a large answer while it is received. */
export interface BodyReceiver {
  /** Bodies up to this size are read whole. */
  readonly minBytes: number
  /** Returns whether the body is passed to `receive` from its start, instead of being read whole. */
  readonly accept: (head: AnswerHead, flow: BodyFlow) => boolean
  readonly receive: (part: Buffer) => void
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
 * @param receiver takes over the bodies of large answers; undefined if all answers are read whole
 */
export function startExchange (client: Client, options: Dispatcher.DispatchOptions, mayWrite: (now: Millis) => boolean, onHead: (head: AnswerHead) => void, receiver?: BodyReceiver): Exchange {
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
      ...createAnswerCollector(resolve, onHead, receiver),
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

function createAnswerCollector (resolve: (received: ReceivedAnswer) => void, onHead: (head: AnswerHead) => void, receiver: BodyReceiver | undefined): AnswerCollector {
  const chunks: Buffer[] = []
  let head: AnswerHead | undefined
  let size = 0
  // Whether the body is passed on; undefined until it is known to be large.
  let isPassedOn: boolean | undefined
  return {
    onResponseStart: (_controller, status, headers) => {
      if (status < firstFinalStatus) return
      head = { status, headers: headers as HeaderMap }
      onHead(head)
    },
    onResponseData: (controller, chunk) => {
      if (head === undefined) return
      size += chunk.length
      if (receiver !== undefined && isPassedOn === undefined && Math.max(size, parseLength(head.headers) ?? 0) > receiver.minBytes) {
        isPassedOn = receiver.accept(head, { pause: () => controller.pause(), resume: () => controller.resume() })
        if (isPassedOn) for (const earlier of chunks.splice(0)) receiver.receive(earlier)
      }
      if (isPassedOn === true) receiver?.receive(chunk)
      else if (size <= maxAnswerBytes) chunks.push(chunk)
      else resolve({ ...head, body: undefined })
    },
    onResponseEnd: () => {
      if (head !== undefined) resolve({ ...head, body: chunks.length === 1 ? chunks[0] : Buffer.concat(chunks) })
    }
  }
}

/**
 * Whether a server's connection can be paused within an answer: the connection stays open after it, and its end is told by a length or by
 * chunks. The HTTP client ends the process if a connection closes while it is paused in any other answer.
 */
export function canBePaused (headers: HeaderMap): boolean {
  const isKept = !/(^|,)\s*close\s*(,|$)/i.test(String(headers.connection ?? ''))
  return isKept && (parseLength(headers) !== undefined || headers['transfer-encoding'] !== undefined)
}

/** Returns the length of the body that a server announced; undefined if it announced none. */
export function parseLength ({ 'content-length': length }: HeaderMap): number | undefined {
  return typeof length === 'string' && /^\d{1,15}$/.test(length) ? Number(length) : undefined
}
