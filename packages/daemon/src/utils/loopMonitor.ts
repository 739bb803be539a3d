/** Tracks the iterations of the process's event loop, to bound the read delay of callers' requests. */
import type { Socket } from 'node:net'
import { performance } from 'node:perf_hooks'
import { getEarliestArrival, beginIteration, createLoopIterations, endIteration, getEarliestFirstArrival, minIdleMs, sampleIntervalMs, sampleLoop } from '@lynxcourse/placement'
import type { AcceptedConnection, LoopIterations } from '@lynxcourse/placement'
import type { Millis } from '@lynxcourse/base'
import { getCurrentTime } from './clock.js'
import { createPollTracker } from './pollPhase.js'
import type { PollTracker } from './pollPhase.js'

/** The last request that was read from a connection. */
interface LastRequest {
  /** Earliest time at which the request can have arrived. */
  readonly arrivedAt: Millis
  /** Total idle time of the loop when the request was read. */
  readonly idleMs: Millis
}

/** Tracks the event loop until it is disposed. */
export interface LoopMonitor extends AsyncDisposable {
  readonly iterations: LoopIterations
  /** Accept time of each connection from a caller. */
  readonly accepted: WeakMap<Socket, AcceptedConnection>
  /** The last request of each connection from a caller. Connections without a request so far have no entry. */
  readonly lastRequests: WeakMap<Socket, LastRequest>
  /** Upper bound on the read delay of the close of each connection from a caller; no entry before the close is read. */
  readonly closeReadDelays: WeakMap<Socket, Millis>
  /** Poll phases of the event loop. */
  readonly polls: PollTracker
}

/** A loop whose sample is late by more than this was blocked: the process was stopped, or one iteration was long. */
const minBlockedMs: Millis = 500

/**
 * Starts tracking the event loop of this process.
 *
 * @param onBlocked called with the length of a block, as soon as the loop runs again
 * @param onSample called with the lateness of each sample, whether the loop was working or waiting for the processor
 */
export function startLoopMonitor (onBlocked: (blockedMs: Millis) => void = () => undefined, onSample: (lateMs: Millis) => void = () => undefined): LoopMonitor {
  const iterations = createLoopIterations(getIdleMs(), getCurrentTime())
  let sampledAt = getCurrentTime()
  const timer = setInterval(() => {
    const now = getCurrentTime()
    const lateMs = now - sampledAt - sampleIntervalMs
    onSample(Math.max(0, lateMs))
    if (lateMs > minBlockedMs) onBlocked(lateMs)
    sampledAt = now
    sampleLoop(iterations, getIdleMs(), now)
  }, sampleIntervalMs)
  return { iterations, accepted: new WeakMap(), lastRequests: new WeakMap(), closeReadDelays: new WeakMap(), polls: createPollTracker(), [Symbol.asyncDispose]: async () => clearInterval(timer) }
}

/**
 * Records the iteration in which a socket's callback runs. The iteration ends with an immediate, which runs after all
 * sockets of the poll phase were read.
 */
export function recordIteration ({ iterations }: LoopMonitor): void {
  if (iterations.isIterationRecorded) return
  beginIteration(iterations, getIdleMs(), getCurrentTime())
  setImmediate(() => endIteration(iterations, getIdleMs(), getCurrentTime()))
}

/** Records a connection that has just been accepted. */
export function recordAcceptedConnection (monitor: LoopMonitor, socket: Socket, now: Millis): void {
  recordIteration(monitor)
  monitor.polls.acceptCount += 1
  monitor.accepted.set(socket, { at: now, since: getEarliestArrival(monitor.iterations, false, now) })
}

/**
 * Records a request that is read now and returns the earliest time at which it can have arrived at this VM.
 *
 * The request's deadline counts from this time. Counted from the time of reading, the deadline on a busy VM would be
 * seconds late.
 */
export function recordRequestRead (monitor: LoopMonitor, socket: Socket, now: Millis): Millis {
  recordIteration(monitor)
  const isFirst = !monitor.lastRequests.has(socket)
  const accepted = isFirst ? monitor.accepted.get(socket) : undefined
  const arrivedAt = accepted === undefined ? getEarliestArrival(monitor.iterations, isFirst, now) : getEarliestFirstArrival(monitor.iterations, accepted, now)
  monitor.lastRequests.set(socket, { arrivedAt, idleMs: getIdleMs() })
  return arrivedAt
}

/**
 * Records the read delay of the close of a caller's connection.
 *
 * @param onRead called once when the close is read, with an upper bound on its read delay
 */
export function recordCloseRead (monitor: LoopMonitor, socket: Socket, onRead: (readDelayMs: Millis) => void): void {
  const recordClose = (): void => {
    if (monitor.closeReadDelays.has(socket)) return
    const now = getCurrentTime()
    const readDelayMs = now - getEarliestClose(monitor, socket, now)
    monitor.closeReadDelays.set(socket, readDelayMs)
    onRead(readDelayMs)
  }
  socket.once('end', recordClose)
  socket.once('close', recordClose)
}

/**
 * Returns the earliest time at which a close that is read now can have arrived. The loop reads a close at the earliest one
 * iteration after the request before it. Unless the loop was idle in between, both may have arrived together.
 */
function getEarliestClose (monitor: LoopMonitor, socket: Socket, now: Millis): Millis {
  recordIteration(monitor)
  const lastRequest = monitor.lastRequests.get(socket)
  const mayHaveArrivedTogether = lastRequest !== undefined && getIdleMs() - lastRequest.idleMs < minIdleMs
  return mayHaveArrivedTogether ? lastRequest.arrivedAt : getEarliestArrival(monitor.iterations, false, now)
}

/** Returns the total time for which the loop has waited for sockets and timers. */
function getIdleMs (): Millis {
  return performance.eventLoopUtilization().idle
}
