/**
 * Requests that a caller sends over one connection before the first of them is answered. Answers go out in the order of the
 * requests, which the HTTP server sees to; here it is decided which of them are worked on, and which are not any more.
 *
 * What can go wrong: requests behind an answer that closes the connection count as not read and come again: what servers did for
 * them is lost, and a VM that stops cuts answers that were nearly there. And a caller that sends thousands at once has each of
 * their answers held in memory until its turn. It shows as requests that end with a closed connection while a VM stops, as work
 * at servers that nobody waits for, and as a VM that ends for lack of memory.
 */
import type { Socket } from 'node:net'
import { CancelSignal } from '../../utils/cancelSignal.js'

/** Requests of one connection that are worked on at once; the next ones wait, so that at most so many answers are held for their turn. */
const mostAtOnce = 8
/** Bytes of one connection's answers that wait for their turn; with more, no further request of it begins. */
const mostHeldBytes = 1_048_576

/** One request's place on its connection. */
export interface PipelinedRequest {
  readonly pipeline: Pipeline
  /** Aborted when the caller closed the connection, or an answer before this one closes it. */
  readonly gone: CancelSignal
  /** Bytes of its answer while that waits for its turn. */
  heldBytes: number
  /** Called when what it waits for may be there. */
  wake: () => void
}

/** Requests of one connection whose answers are not written out yet, in the order in which they came. */
export interface Pipeline {
  requests: PipelinedRequest[]
  /** An answer that closes the connection was decided: what comes behind it counts as not read. */
  isClosing: boolean
}

/** By connection. */
export type Pipelines = WeakMap<Socket, Pipeline>

function pipelineOf (pipelines: Pipelines, socket: Socket): Pipeline {
  const known = pipelines.get(socket)
  if (known !== undefined) return known
  const pipeline: Pipeline = { requests: [], isClosing: false }
  pipelines.set(socket, pipeline)
  const leave = (): void => { for (const request of pipeline.requests) cancel(request) }
  // The end of what the caller sends is read a turn of the event loop before the connection counts as closed.
  socket.once('end', leave)
  socket.once('close', leave)
  return pipeline
}

/** Takes a request's place, and waits until it may be worked on or is cancelled. */
export async function joinPipeline (pipelines: Pipelines, socket: Socket): Promise<PipelinedRequest> {
  const pipeline = pipelineOf(pipelines, socket)
  const request: PipelinedRequest = { pipeline, gone: new CancelSignal(), heldBytes: 0, wake: () => undefined }
  pipeline.requests.push(request)
  if (socket.destroyed || pipeline.isClosing) cancel(request)
  await waitUntil(request, mayBegin)
  return request
}

/**
 * Holds an answer until those before it are written out; false if its caller is gone by then.
 *
 * The HTTP server would hold it as well, but stops reading when it holds many bytes: a close is then not seen.
 */
export async function waitForTurn (request: PipelinedRequest, bytes: number): Promise<boolean> {
  request.heldBytes = bytes
  await waitUntil(request, isFirst)
  request.heldBytes = 0
  return !request.gone.aborted
}

/** Gives a request's place up, once its answer is written out or there is none, and lets the next ones go on. */
export function leavePipeline (request: PipelinedRequest): void {
  const { pipeline } = request
  pipeline.requests = pipeline.requests.filter(other => other !== request)
  for (const next of pipeline.requests.slice(0, mostAtOnce)) next.wake()
}

function isFirst (request: PipelinedRequest): boolean {
  return request.pipeline.requests[0] === request
}

function mayBegin (request: PipelinedRequest): boolean {
  if (isFirst(request)) return true
  const ahead = request.pipeline.requests.slice(0, mostAtOnce)
  const heldBytes = ahead.reduce((sum, other) => sum + other.heldBytes, 0)
  return ahead.includes(request) && heldBytes <= mostHeldBytes
}

async function waitUntil (request: PipelinedRequest, isDue: (request: PipelinedRequest) => boolean): Promise<void> {
  while (!request.gone.aborted && !isDue(request)) await new Promise<void>(resolve => { request.wake = resolve })
}

/** Whether the answer to a request may close its connection: no other one is due on it. From then on nothing behind it is worked on. */
export function tryClosing (request: PipelinedRequest): boolean {
  const { pipeline } = request
  if (pipeline.isClosing || pipeline.requests.at(-1) !== request) return false
  pipeline.isClosing = true
  return true
}

function cancel (request: PipelinedRequest): void {
  request.gone.abort()
  request.wake()
}
