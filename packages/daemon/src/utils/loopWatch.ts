/** Tracks the iterations of the process's event loop, to bound the read delay of callers' requests. */
import type { Socket } from 'node:net'
import { performance } from 'node:perf_hooks'
import { getEarliestArrival, beginIteration, createLoopIterations, endIteration, getEarliestFirstArrival, minIdleMs, sampleIntervalMs, sampleLoop } from '@lynxcourse/placement'
import type { AcceptedConnection, LoopIterations } from '@lynxcourse/placement'
import type { Millis } from '@lynxcourse/base'
import { presentTime } from './clock.js'
import { createLooks } from './socketLooks.js'
import type { Looks } from './socketLooks.js'

/** The last request that was read from a connection. */
interface LastRequest {
  /** Earliest time at which the request can have arrived. */
  readonly arrivedAt: Millis
  /** Total idle time of the loop when the request was read. */
  readonly idleMs: Millis
}

/** Tracks the event loop until it is disposed. */
export interface LoopWatch extends AsyncDisposable {
  readonly turns: LoopIterations
  /** Accept time of each connection from a caller. */
  readonly accepted: WeakMap<Socket, AcceptedConnection>
  /** The last request of each connection from a caller. Connections without a request so far have no entry. */
  readonly lastReads: WeakMap<Socket, LastRequest>
  /** Upper bound on the read delay of the close of each connection from a caller; no entry before the close is read. */
  readonly closesUnread: WeakMap<Socket, Millis>
  /** Poll phases of the event loop. */
  readonly looks: Looks
}

/** A loop whose sample is late by more than this was blocked: the process was stopped, or one iteration was long. */
const minBlockedMs: Millis = 500

/**
 * Starts tracking the event loop of this process.
 *
 * @param onBlocked called with the length of a block, as soon as the loop runs again
 * @param onSample called with the lateness of each sample, whether the loop was working or waiting for the processor
 */
export function openLoopWatch (onBlocked: (blockedMs: Millis) => void = () => undefined, onSample: (lateMs: Millis) => void = () => undefined): LoopWatch {
  const turns = createLoopIterations(getIdleMs(), presentTime())
  let sampledAt = presentTime()
  const timer = setInterval(() => {
    const now = presentTime()
    const lateMs = now - sampledAt - sampleIntervalMs
    onSample(Math.max(0, lateMs))
    if (lateMs > minBlockedMs) onBlocked(lateMs)
    sampledAt = now
    sampleLoop(turns, getIdleMs(), now)
  }, sampleIntervalMs)
  return { turns, accepted: new WeakMap(), lastReads: new WeakMap(), closesUnread: new WeakMap(), looks: createLooks(), [Symbol.asyncDispose]: async () => clearInterval(timer) }
}

/**
 * Records the iteration in which a socket's callback runs. The iteration ends with an immediate, which runs after all
 * sockets of the poll phase were read.
 */
export function noteTurn ({ turns }: LoopWatch): void {
  if (turns.isIterationRecorded) return
  beginIteration(turns, getIdleMs(), presentTime())
  setImmediate(() => endIteration(turns, getIdleMs(), presentTime()))
}

/** Records a connection that has just been accepted. */
export function noteAccepted (watch: LoopWatch, socket: Socket, now: Millis): void {
  noteTurn(watch)
  watch.looks.accepts += 1
  watch.accepted.set(socket, { at: now, since: getEarliestArrival(watch.turns, false, now) })
}

/**
 * Records a request that is read now and returns the earliest time at which it can have arrived at this VM.
 *
 * The request's deadline counts from this time. Counted from the time of reading, the deadline on a busy VM would be
 * seconds late.
 */
export function arrivalTime (watch: LoopWatch, socket: Socket, now: Millis): Millis {
  noteTurn(watch)
  const isFirst = !watch.lastReads.has(socket)
  const accepted = isFirst ? watch.accepted.get(socket) : undefined
  const arrivedAt = accepted === undefined ? getEarliestArrival(watch.turns, isFirst, now) : getEarliestFirstArrival(watch.turns, accepted, now)
  watch.lastReads.set(socket, { arrivedAt, idleMs: getIdleMs() })
  return arrivedAt
}

/**
 * Records the read delay of the close of a caller's connection.
 *
 * @param onRead called once when the close is read, with an upper bound on its read delay
 */
export function watchClose (watch: LoopWatch, socket: Socket, onRead: (readDelayMs: Millis) => void): void {
  const recordClose = (): void => {
    if (watch.closesUnread.has(socket)) return
    const now = presentTime()
    const readDelayMs = now - getEarliestClose(watch, socket, now)
    watch.closesUnread.set(socket, readDelayMs)
    onRead(readDelayMs)
  }
  socket.once('end', recordClose)
  socket.once('close', recordClose)
}

/**
 * Returns the earliest time at which a close that is read now can have arrived. The loop reads a close at the earliest one
 * iteration after the request before it. Unless the loop was idle in between, both may have arrived together.
 */
function getEarliestClose (watch: LoopWatch, socket: Socket, now: Millis): Millis {
  noteTurn(watch)
  const lastRequest = watch.lastReads.get(socket)
  const mayHaveArrivedTogether = lastRequest !== undefined && getIdleMs() - lastRequest.idleMs < minIdleMs
  return mayHaveArrivedTogether ? lastRequest.arrivedAt : getEarliestArrival(watch.turns, false, now)
}

/** Returns the total time for which the loop has waited for sockets and timers. */
function getIdleMs (): Millis {
  return performance.eventLoopUtilization().idle
}
