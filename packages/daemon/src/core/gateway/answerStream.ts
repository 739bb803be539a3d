/**
 * Forwards a large answer to its caller while it arrives from the server.
 *
 * At any time only some pieces of the answer are in memory: a caller that reads slowly holds back the server. Once a byte
 * has gone out, the request is never sent again; if the rest of the answer doesn't come, the caller's connection is
 * reset, so that a truncated answer never looks complete.
 */
import type { ServerResponse } from 'node:http'
import { nextState } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { addPacedAnswer, recordLargeAnswerSize } from '@lynxcourse/placement'
import type { HeaderMap } from '../../types/answers.js'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import { removeHopByHopHeaders } from '../../utils/headers.js'
import { parseLength } from './exchange.js'
import type { AnswerHead, BodyFlow } from './exchange.js'
import { writeReadyPieces } from './linkPacer.js'
import type { LinkPacer, PacedStream } from './linkPacer.js'
import { enterStep, enterWriting, leaveServer, recordFinish } from './openRequests.js'
import type { OpenRequest } from './openRequests.js'
import { leavePipeline, waitForEarlierAnswers } from './pipeline.js'
import type { PipelinedRequest } from './pipeline.js'

/** An answer in progress, or the place for one. */
export interface AnswerStream {
  readonly pacer: LinkPacer
  readonly res: ServerResponse
  readonly pipelined: PipelinedRequest
  readonly open: OpenRequest
  /** Returns the headers that concern the caller's connection. */
  readonly getConnectionHeaders: () => HeaderMap
  /** State by the `answerStream` chart. */
  state: string
  status: number
  queue: Buffer[]
  queuedBytes: number
  flow: BodyFlow | undefined
  paced: PacedStream | undefined
  /** Whether the caller's connection takes no more bytes at present. */
  isBlocked: boolean
  /** Whether the server's whole answer was received. */
  isWhole: boolean
  writtenBytes: number
  /** Time since which the server is held back; undefined if it is not. */
  heldSince: Millis | undefined
  /** When the server was last held back. */
  releasedAt: Millis
  /** Time for which the server was held back, or had sent everything while the caller had not received it. */
  heldMs: Millis
  /** Called when the answer is complete or broken. */
  onEnd: () => void
}

/** When fewer bytes are queued, the server may send more. One read of its connection adds up to 64 KB. */
const maxQueuedBytes = 16_384
/** Time for a server that was held back to continue: round trips between regions, and a timer that is late. */
const resumeMs: Millis = 300

export function createAnswerStream (pacer: LinkPacer, res: ServerResponse, pipelined: PipelinedRequest, open: OpenRequest, getConnectionHeaders: () => HeaderMap): AnswerStream {
  return {
    pacer,
    res,
    pipelined,
    open,
    getConnectionHeaders,
    state: pacer.chart.initial,
    status: 0,
    queue: [],
    queuedBytes: 0,
    flow: undefined,
    paced: undefined,
    isBlocked: false,
    isWhole: false,
    writtenBytes: 0,
    heldSince: undefined,
    releasedAt: -Infinity,
    heldMs: 0,
    onEnd: () => undefined
  }
}

/** Whether a part of the answer may have gone out, so that the request must not be sent again. */
export function hasBegun ({ state }: AnswerStream): boolean {
  return state === 'writing' || state === 'complete' || state === 'broken'
}

/** Whether the server waits, or has just waited, for the caller or the link, so that it is not late by itself. */
export function isHeldBack ({ heldSince, releasedAt }: AnswerStream, now: Millis): boolean {
  return heldSince !== undefined || now - releasedAt < resumeMs
}

/** Takes over an answer; its head is written once all earlier answers of the connection are. */
export function acceptAnswer (stream: AnswerStream, head: AnswerHead, flow: BodyFlow): void {
  const { pacer, pipelined } = stream
  stream.state = nextState(pacer.chart, stream.state, 'accept')
  stream.status = head.status
  stream.flow = flow
  enterStep(stream.open, 'earlierAnswers', getCurrentTime())
  const paced: PacedStream = { remainingBytes: parseLength(head.headers), readyBytes: 0, lastTurn: 0, writePiece: bytes => writePiece(stream, bytes) }
  stream.paced = paced
  // Resolves later than this function returns, also if the answer is the first.
  waitForEarlierAnswers(pipelined, 0).then(isFirst => {
    if (isFirst && stream.paced === paced && stream.state === 'waiting') beginAnswer(stream, head, paced)
  }).catch(() => breakStream(stream))
}

function beginAnswer (stream: AnswerStream, head: AnswerHead, paced: PacedStream): void {
  const { pacer, res, pipelined } = stream
  stream.state = nextState(pacer.chart, stream.state, 'begin')
  const length = paced.remainingBytes
  enterWriting(stream.open, getCurrentTime())
  res.on('drain', () => {
    stream.isBlocked = false
    continueAnswer(stream)
  })
  res.once('finish', () => {
    recordFinish(stream.open)
    leavePipeline(pipelined)
    recordLargeAnswerSize(pacer.demand, stream.writtenBytes)
    endStream(stream, 'complete')
  })
  res.once('close', () => breakStream(stream))
  res.writeHead(head.status, { ...removeHopByHopHeaders(head.headers), ...(length === undefined ? {} : { 'content-length': String(length) }), ...stream.getConnectionHeaders() })
  addPacedAnswer(pacer.pacing, paced)
  pacer.node.metrics.largeAnswers.set(pacer.pacing.answers.size)
  continueAnswer(stream)
}

/** Queues a part of the body, and holds the server back while enough is queued. */
export function receivePart (stream: AnswerStream, part: Buffer): void {
  stream.queue.push(part)
  stream.queuedBytes += part.length
  if (stream.queuedBytes >= maxQueuedBytes && stream.heldSince === undefined) {
    stream.heldSince = getCurrentTime()
    stream.flow?.pause()
  }
  continueAnswer(stream)
}

/** Offers what is queued to the link, and ends an answer of which nothing is left. */
function continueAnswer (stream: AnswerStream): void {
  const { paced, res, pacer } = stream
  if (stream.state !== 'writing' || paced === undefined) return
  if (stream.isWhole && stream.queuedBytes === 0 && !res.writableEnded) res.end()
  paced.readyBytes = stream.isBlocked ? 0 : stream.queuedBytes
  if (paced.readyBytes > 0) writeReadyPieces(pacer)
}

function writePiece (stream: AnswerStream, bytes: number): void {
  const { res, pacer, queue } = stream
  let missing = bytes
  for (let part = queue[0]; part !== undefined && missing > 0; part = queue[0]) {
    const piece = part.subarray(0, missing)
    if (piece.length === part.length) queue.shift()
    else queue[0] = part.subarray(piece.length)
    missing -= piece.length
    stream.isBlocked = !res.write(piece)
  }
  stream.queuedBytes -= bytes
  stream.writtenBytes += bytes
  pacer.node.metrics.largeAnswerBytes.inc(bytes)
  if (stream.queuedBytes < maxQueuedBytes) releaseServer(stream)
  if (stream.isBlocked && stream.paced !== undefined) stream.paced.readyBytes = 0
  if (stream.isWhole && stream.queuedBytes === 0) res.end()
}

function releaseServer (stream: AnswerStream): void {
  if (stream.heldSince === undefined || stream.isWhole) return
  endHold(stream)
  const { flow } = stream
  // Not called directly: this function may run while the HTTP client parses data of another connection.
  queueMicrotask(() => flow?.resume())
}

function endHold (stream: AnswerStream): void {
  if (stream.heldSince === undefined) return
  stream.releasedAt = getCurrentTime()
  stream.heldMs += stream.releasedAt - stream.heldSince
  stream.heldSince = undefined
}

/**
 * Records that the server's whole answer was received, and waits until the caller has it, or the connection is broken.
 *
 * @param deadline when to give up the caller
 */
export async function deliverRest (stream: AnswerStream, gone: CancelSignal, deadline: Millis): Promise<void> {
  stream.isWhole = true
  leaveServer(stream.open)
  stream.heldSince ??= getCurrentTime()
  if (stream.state !== 'complete' && stream.state !== 'broken') {
    await new Promise<void>(resolve => {
      const abort = (): void => breakStream(stream)
      const timer = setTimeout(abort, Math.max(1, deadline - getCurrentTime()))
      stream.onEnd = () => {
        clearTimeout(timer)
        gone.off('abort', abort)
        resolve()
      }
      gone.on('abort', abort)
      if (gone.aborted) abort()
      else continueAnswer(stream)
    })
  }
  endHold(stream)
}

/** Drops an answer that broke off. Returns whether the request may be sent again, since nothing has gone out. */
export function dropAnswer (stream: AnswerStream): boolean {
  if (stream.state !== 'waiting') {
    if (stream.state !== 'idle') breakStream(stream)
    return stream.state === 'idle'
  }
  stream.state = nextState(stream.pacer.chart, stream.state, 'drop')
  clearQueue(stream)
  endHold(stream)
  stream.heldMs = 0
  return true
}

/** Resets the caller's connection, unless the answer is complete. */
function breakStream (stream: AnswerStream): void {
  if (stream.state === 'complete' || stream.state === 'broken') return
  if (!stream.pipelined.gone.aborted) stream.pipelined.pipeline.closeReason ??= 'reset'
  endStream(stream, 'break')
  // Closed in the normal way, an answer without a length over HTTP/1.0 would look complete.
  stream.res.socket?.resetAndDestroy()
  stream.res.destroy()
}

function endStream (stream: AnswerStream, event: 'complete' | 'break'): void {
  if (stream.state === 'complete' || stream.state === 'broken') return
  stream.state = nextState(stream.pacer.chart, stream.state, event)
  clearQueue(stream)
  endHold(stream)
  stream.onEnd()
}

function clearQueue (stream: AnswerStream): void {
  const { pacer, paced } = stream
  if (paced !== undefined) {
    paced.readyBytes = 0
    pacer.pacing.answers.delete(paced)
    pacer.node.metrics.largeAnswers.set(pacer.pacing.answers.size)
  }
  stream.paced = undefined
  stream.queue = []
  stream.queuedBytes = 0
}
