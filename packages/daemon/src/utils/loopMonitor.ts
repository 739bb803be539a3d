/** Follows the turns of the process's event loop, for the bound on how long callers' requests lie unread. */
import type { Socket } from 'node:net'
import { performance } from 'node:perf_hooks'
import { getEarliestArrival, beginIteration, createLoopIterations, endIteration, getEarliestFirstArrival, minIdleMs, sampleIntervalMs, sampleLoop } from '@lynxcourse/placement'
import type { AcceptedConnection, LoopIterations } from '@lynxcourse/placement'
import type { Millis } from '@lynxcourse/base'
import { getCurrentTime } from './clock.js'
import { createPollTracker } from './pollPhase.js'
import type { PollTracker } from './pollPhase.js'

/** When a request was read. */
interface LastRead {
  readonly arrivedAt: Millis
  /** Time that the loop had slept by then. */
  readonly sleptMs: Millis
}

/** Watches until it is disposed. */
export interface LoopMonitor extends AsyncDisposable {
  readonly iterations: LoopIterations
  /** When each of the callers' connections was accepted. */
  readonly accepted: WeakMap<Socket, AcceptedConnection>
  /** The last request of each of the callers' connections that have carried one. */
  readonly lastRequests: WeakMap<Socket, LastRead>
  /** For how long the close of a caller's connection can have lain unread; none while it is not read. */
  readonly closeReadDelays: WeakMap<Socket, Millis>
  readonly polls: PollTracker
}

/** A loop that is this much late for a sample stood still, by a stop from outside or a long turn of its own. */
const stillMs: Millis = 500

/**
 * @param onStill called once the loop goes on after it stood still, with for how long
 * @param onSample called with how late each sample is, whether the loop worked or waited for the processor
 */
export function startLoopMonitor (onStill: (forMs: Millis) => void = () => undefined, onSample: (lateMs: Millis) => void = () => undefined): LoopMonitor {
  const iterations = createLoopIterations(sleptMs(), getCurrentTime())
  let sampledAt = getCurrentTime()
  const timer = setInterval(() => {
    const now = getCurrentTime()
    const lateMs = now - sampledAt - sampleIntervalMs
    onSample(Math.max(0, lateMs))
    if (lateMs > stillMs) onStill(lateMs)
    sampledAt = now
    sampleLoop(iterations, sleptMs(), now)
  }, sampleIntervalMs)
  return { iterations, accepted: new WeakMap(), lastRequests: new WeakMap(), closeReadDelays: new WeakMap(), polls: createPollTracker(), [Symbol.asyncDispose]: async () => clearInterval(timer) }
}

/** Notes the turn that a callback of a socket belongs to. Immediates run once all sockets of a turn were read. */
export function recordIteration ({ iterations }: LoopMonitor): void {
  if (iterations.isIterationRecorded) return
  beginIteration(iterations, sleptMs(), getCurrentTime())
  setImmediate(() => endIteration(iterations, sleptMs(), getCurrentTime()))
}

/** Notes a connection that was accepted now. */
export function recordAcceptedConnection (monitor: LoopMonitor, socket: Socket, now: Millis): void {
  recordIteration(monitor)
  monitor.polls.acceptCount += 1
  monitor.accepted.set(socket, { at: now, since: getEarliestArrival(monitor.iterations, false, now) })
}

/**
 * Since when a request that is read now can have lain at this VM.
 *
 * A request's times count from there: counted from when a busy VM read them, its deadline came seconds late.
 */
export function recordRequestRead (monitor: LoopMonitor, socket: Socket, now: Millis): Millis {
  recordIteration(monitor)
  const isFirst = !monitor.lastRequests.has(socket)
  const accepted = isFirst ? monitor.accepted.get(socket) : undefined
  const arrivedAt = accepted === undefined ? getEarliestArrival(monitor.iterations, isFirst, now) : getEarliestFirstArrival(monitor.iterations, accepted, now)
  monitor.lastRequests.set(socket, { arrivedAt, sleptMs: sleptMs() })
  return arrivedAt
}

/** Notes for how long a caller's close can have lain unread when it is read. */
export function recordCloseRead (monitor: LoopMonitor, socket: Socket, onRead: (unreadMs: Millis) => void): void {
  const note = (): void => {
    if (monitor.closeReadDelays.has(socket)) return
    const now = getCurrentTime()
    const unreadMs = now - closedSince(monitor, socket, now)
    monitor.closeReadDelays.set(socket, unreadMs)
    onRead(unreadMs)
  }
  socket.once('end', note)
  socket.once('close', note)
}

/** A close is read at the earliest in the turn after the request before it; unless the loop slept in between, both may have lain there together. */
function closedSince (watch: LoopMonitor, socket: Socket, now: Millis): Millis {
  recordIteration(watch)
  const last = watch.lastRequests.get(socket)
  const isBehindRequest = last !== undefined && sleptMs() - last.sleptMs < minIdleMs
  return isBehindRequest ? last.arrivedAt : getEarliestArrival(watch.iterations, false, now)
}

/** Time that the loop has waited for sockets and timers. */
function sleptMs (): Millis {
  return performance.eventLoopUtilization().idle
}
