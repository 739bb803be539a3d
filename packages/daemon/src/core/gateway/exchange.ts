/**
 * Sends one request over one connection and reads its answer, by the handler interface of `undici`. The promise
 * interface creates a stream, an iterator and a signal for each request, which cost more than reading the answer.
 */
import type { Client, Dispatcher } from 'undici'
import { LynxError } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import type { HeaderMap } from '../../types/answers.js'
import { collectBytes, createByteCollector, takeBytes, takeParts } from '../../utils/byteCollector.js'
import { getCurrentTime } from '../../utils/clock.js'
import { createAnswerBudget, createAnswerMeter, hasExcessiveOverhead, recordBodyPart, releaseMeter } from './answerLimits.js'
import type { AnswerBudget, AnswerMeter } from './answerLimits.js'

const firstFinalStatus = 200
const statusLinePattern = /HTTP\/\d\.\d \d{3}( |$)/
/** Code of the error of a connection that broke off within a paused answer. */
const brokenOffCode = 'ERR_BROKEN_OFF'

/** The head of a server's final answer. */
export interface AnswerHead {
  readonly status: number
  readonly headers: HeaderMap
}

/** A server's whole answer. */
export interface ReceivedAnswer extends AnswerHead {
  readonly type: 'whole'
  /** Empty if a receiver took the body over. */
  readonly body: Buffer
}

/** An answer that exceeds a limit. */
export interface ExcessiveAnswer {
  readonly type: 'excessive'
  /** The limit, and what the server had sent. */
  readonly detail: string
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
  readonly answer: Promise<ReceivedAnswer | ExcessiveAnswer>
  /** When writing of the request began; undefined before. */
  startedAt: Millis | undefined
  /** Checks what the connection has received, before it is parsed. */
  readonly checkReceived: () => void
  /**
   * Ends a pause of the answer, and prevents further ones. The HTTP client ends the process if a connection ends while an answer on it is
   * paused.
   *
   * @param err why the connection failed; undefined if it ended in the normal way
   */
  readonly endPause: (err?: NodeJS.ErrnoException) => void
  /** Ends the exchange at once; a request that is not being written yet is never written. */
  readonly abort: () => void
}

/** The memory for answers, and the bytes that the connection has received so far. */
export interface ReceiveCfg {
  readonly budget: AnswerBudget
  readonly getBytesRead: () => number
}

/**
 * Starts an exchange.
 *
 * @param mayWrite asked when the connection is open and the request is about to be written, which may be long after the server was
 * chosen; otherwise the exchange is cancelled
 * @param onHead called when the head of the final answer is received
 * @param receiver takes over the bodies of large answers; undefined if all answers are read whole
 * @param receiving bounds what the server may send; by default only the size of its body
 */
export function startExchange (client: Client, options: Dispatcher.DispatchOptions, mayWrite: (now: Millis) => boolean, onHead: (head: AnswerHead) => void, receiver?: BodyReceiver, receiving: ReceiveCfg = { budget: createAnswerBudget(), getBytesRead: () => 0 }): Exchange {
  let controller: Dispatcher.DispatchController | undefined
  let isPaused = false
  let mayPause = true
  const flow: BodyFlow = {
    pause: () => {
      if (!mayPause) return
      isPaused = true
      controller?.pause()
    },
    resume: () => {
      if (!isPaused) return
      isPaused = false
      controller?.resume()
    }
  }
  let meter: AnswerMeter | undefined
  let isAborted = false
  let resolveAnswer: (received: ReceivedAnswer | ExcessiveAnswer) => void = () => undefined
  let rejectAnswer: (err: Error) => void = () => undefined
  const answer = new Promise<ReceivedAnswer | ExcessiveAnswer>((resolve, reject) => {
    resolveAnswer = resolve
    rejectAnswer = reject
    client.dispatch(options, {
      onRequestStart: requestController => {
        controller = requestController
        const now = getCurrentTime()
        if (isAborted || !mayWrite(now)) {
          requestController.abort(createCancelledError())
          return
        }
        exchange.startedAt = now
        meter = createAnswerMeter(receiving.budget, receiving.getBytesRead())
      },
      ...createAnswerCollector(resolve, onHead, () => meter, flow, receiver),
      onResponseError: (_controller, err) => reject(err)
    })
  })
  const exchange: Exchange = {
    answer: answer.finally(() => { if (meter !== undefined) releaseMeter(meter) }),
    startedAt: undefined,
    checkReceived: () => {
      if (meter === undefined || meter.isReleased || !hasExcessiveOverhead(meter, receiving.getBytesRead())) return
      resolveAnswer({ type: 'excessive', detail: `${receiving.getBytesRead() - meter.readBefore} bytes with ${meter.bodyBytes} bytes of a body are no answer` })
      controller?.abort(createCancelledError())
    },
    endPause: err => {
      mayPause = false
      if (!isPaused) return
      // By this code the client takes a reset for the end of an answer whose connection does not stay open, and asserts that none is paused.
      if (err !== undefined) err.code = brokenOffCode
      else flow.resume()
    },
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

function createAnswerCollector (resolve: (received: ReceivedAnswer | ExcessiveAnswer) => void, onHead: (head: AnswerHead) => void, getMeter: () => AnswerMeter | undefined, flow: BodyFlow, receiver: BodyReceiver | undefined): AnswerCollector {
  const collector = createByteCollector()
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
        isPassedOn = receiver.accept(head, flow)
        if (isPassedOn) for (const earlier of takeParts(collector)) receiver.receive(earlier)
      }
      const meter = getMeter()
      if (meter === undefined || recordBodyPart(meter, chunk.length, isPassedOn !== true, parseLength(head.headers))) {
        if (isPassedOn === true) receiver?.receive(chunk)
        else collectBytes(collector, chunk)
        return
      }
      takeParts(collector)
      resolve({ type: 'excessive', detail: `the body exceeds the limit after ${size} bytes` })
      controller.abort(createCancelledError())
    },
    onResponseEnd: () => {
      if (head !== undefined) resolve({ type: 'whole', ...head, body: takeBytes(collector) })
    }
  }
}

/** Whether a head tells where its body ends, by a length or by chunks; otherwise the end of the connection ends the body. */
export function hasBodyFraming (headers: HeaderMap): boolean {
  return headers['content-length'] !== undefined || /(^|,)\s*chunked\s*$/i.test(String(headers['transfer-encoding'] ?? ''))
}

/** Whether a server's connection can be paused within an answer: the connection stays open after it, and its head tells where it ends. */
export function canBePaused (headers: HeaderMap): boolean {
  const isKept = !/(^|,)\s*close\s*(,|$)/i.test(String(headers.connection ?? ''))
  return isKept && hasBodyFraming(headers)
}

/**
 * Whether a head holds the status line of another answer. An answer that breaks off within the value of a header merges with the answer after
 * it, and its status is taken for that of the other.
 */
export function hasMergedHead (headers: HeaderMap): boolean {
  return Object.values(headers).some(value => statusLinePattern.test(String(value)))
}

/** Returns the length of the body that a server announced; undefined if it announced none. */
export function parseLength ({ 'content-length': length }: HeaderMap): number | undefined {
  return typeof length === 'string' && /^\d{1,15}$/.test(length) ? Number(length) : undefined
}
