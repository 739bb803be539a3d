/**
 * HTTP pipelining: a caller sends requests over one connection before the first of them is answered. The HTTP server
 * writes the answers in the order of the requests; this module decides which requests are processed, and cancels those
 * that are not needed any more.
 *
 * An answer that closes the connection makes the caller repeat all later requests on it: the work that servers did for
 * them is wasted, and a VM that stops cuts off answers that were almost complete. A caller that pipelines thousands of
 * requests makes the VM buffer all later answers. The symptoms are requests that end with a closed connection
 * while a VM stops, unneeded work at servers, and a VM that runs out of memory.
 */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { CancelSignal } from '../../utils/cancelSignal.js'
import { hasHeldInput, listenForClosing } from '../../utils/connections/guardedConnection.js'
import type { CloseReason } from './closeReason.js'

/** Maximum number of requests of one connection in progress, which also bounds the number of buffered answers. */
const maxConcurrentRequests = 8
/** When more bytes of a connection's answers are buffered, no further request of the connection is started. */
const maxBufferedAnswerBytes = 1_048_576

/** One request in the pipeline of its connection. */
export interface PipelinedRequest {
  readonly pipeline: Pipeline
  /** Aborted when the caller closes the connection, or when an earlier answer will close it. */
  readonly gone: CancelSignal
  /** Size of its answer while the answer is buffered behind earlier ones; otherwise 0. */
  bufferedAnswerBytes: number
  /** Whether its answer is complete in this VM, and is written or about to be. */
  isAnswering: boolean
  /** Checks again the condition that the request waits for. */
  wake: () => void
}

/** Requests of one connection whose answers are not fully written, in the order of their arrival. */
export interface Pipeline {
  readonly socket: Socket
  requests: PipelinedRequest[]
  /** The request that was read last, which may be answered while its body is being read. */
  last: { readonly req: IncomingMessage, readonly pipelined: PipelinedRequest } | undefined
  /** Whether an answer will close the connection; later requests on it count as not received. */
  isClosing: boolean
  /** Requests that arrived after the announcement of the close. */
  discardedRequests: number
  /** Why this VM closed the connection; undefined unless it closed it without an announcement. */
  closeReason: CloseReason | undefined
  /** Bytes read from the connection when the last of its requests was answered; undefined before. */
  answeredBytesRead: number | undefined
}

/** Pipelines by connection. */
export type Pipelines = WeakMap<Socket, Pipeline>

function getOrCreatePipeline (pipelines: Pipelines, socket: Socket): Pipeline {
  const known = pipelines.get(socket)
  if (known !== undefined) return known
  const pipeline: Pipeline = { socket, requests: [], last: undefined, isClosing: false, discardedRequests: 0, closeReason: undefined, answeredBytesRead: undefined }
  pipelines.set(socket, pipeline)
  const cancelAll = (): void => { for (const request of pipeline.requests) cancel(request) }
  // The end of the caller's data is read one event loop iteration before the socket emits `close`.
  socket.once('end', cancelAll)
  socket.once('close', cancelAll)
  // Bodies of answers that wait in this process are released at once.
  listenForClosing(socket, cancelAll)
  return pipeline
}

/** Adds a request to the pipeline of its connection, and waits until the request may start or is cancelled. */
export async function joinPipeline (pipelines: Pipelines, req: IncomingMessage): Promise<PipelinedRequest> {
  const pipelined = addToPipeline(getOrCreatePipeline(pipelines, req.socket))
  pipelined.pipeline.last = { req, pipelined }
  await waitUntil(pipelined, mayStart)
  return pipelined
}

/**
 * Adds bytes that are no request to the end of a pipeline. If they are the rest of a request that has no answer yet, they take its
 * place; `isAnswered` tells whether that request has been answered already, so that nothing may be written.
 */
export function joinAsLast (pipelines: Pipelines, socket: Socket): PipelinedRequest & { readonly isAnswered: boolean } {
  const pipeline = getOrCreatePipeline(pipelines, socket)
  const unfinished = pipeline.last?.req.complete === false ? pipeline.last.pipelined : undefined
  const isAnswered = unfinished !== undefined && (unfinished.isAnswering || !pipeline.requests.includes(unfinished))
  if (unfinished !== undefined && !isAnswered) {
    cancel(unfinished)
    leavePipeline(unfinished)
  }
  return Object.assign(addToPipeline(pipeline), { isAnswered })
}

function addToPipeline (pipeline: Pipeline): PipelinedRequest {
  const request: PipelinedRequest = { pipeline, gone: new CancelSignal(), bufferedAnswerBytes: 0, isAnswering: false, wake: () => undefined }
  pipeline.requests.push(request)
  if (pipeline.isClosing) pipeline.discardedRequests += 1
  if (pipeline.socket.destroyed || pipeline.isClosing) cancel(request)
  return request
}

/**
 * Buffers an answer until all earlier answers are written. Returns false if the request is cancelled by then.
 *
 * The HTTP server could buffer the answer too, but stops reading from the connection once it buffers many bytes; the VM
 * would then not notice that the caller closes the connection.
 */
export async function waitForEarlierAnswers (request: PipelinedRequest, answerBytes: number): Promise<boolean> {
  request.isAnswering = true
  request.bufferedAnswerBytes = answerBytes
  await waitUntil(request, isFirst)
  request.bufferedAnswerBytes = 0
  return !request.gone.aborted
}

/** Removes a request whose answer is written, or which gets none, and lets the next requests continue. */
export function leavePipeline (request: PipelinedRequest): void {
  const { pipeline } = request
  pipeline.requests = pipeline.requests.filter(other => other !== request)
  if (pipeline.requests.length === 0) pipeline.answeredBytesRead = pipeline.socket.bytesRead
  for (const next of pipeline.requests.slice(0, maxConcurrentRequests)) next.wake()
}

/** Whether an earlier request of the connection has no answer yet. */
export function isBehindOthers (request: PipelinedRequest): boolean {
  return !isFirst(request)
}

function isFirst (request: PipelinedRequest): boolean {
  return request.pipeline.requests[0] === request
}

function mayStart (request: PipelinedRequest): boolean {
  if (isFirst(request)) return true
  const candidates = request.pipeline.requests.slice(0, maxConcurrentRequests)
  const bufferedBytes = candidates.reduce((sum, other) => sum + other.bufferedAnswerBytes, 0)
  return candidates.includes(request) && bufferedBytes <= maxBufferedAnswerBytes
}

async function waitUntil (request: PipelinedRequest, isReady: (request: PipelinedRequest) => boolean): Promise<void> {
  while (!request.gone.aborted && !isReady(request)) await new Promise<void>(resolve => { request.wake = resolve })
}

/**
 * Marks the connection of a request as closing and returns true, if no later request is pending on the connection;
 * otherwise returns false. Requests that arrive on a closing connection are cancelled.
 */
export function tryMarkClosing (request: PipelinedRequest): boolean {
  const { pipeline } = request
  if (pipeline.isClosing || pipeline.requests.at(-1) !== request || hasHeldInput(pipeline.socket)) return false
  pipeline.isClosing = true
  return true
}

function cancel (request: PipelinedRequest): void {
  request.gone.abort()
  request.wake()
}
