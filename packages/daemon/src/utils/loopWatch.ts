/** Follows the turns of the process's event loop, for the bound on how long callers' requests lie unread. */
import type { Socket } from 'node:net'
import { performance } from 'node:perf_hooks'
import { getEarliestArrival, beginIteration, createLoopIterations, endIteration, getEarliestFirstArrival, minIdleMs, sampleIntervalMs, sampleLoop } from '@lynxcourse/placement'
import type { AcceptedConnection, LoopIterations } from '@lynxcourse/placement'
import type { Millis } from '@lynxcourse/base'
import { presentTime } from './clock.js'
import { createLooks } from './socketLooks.js'
import type { Looks } from './socketLooks.js'

/** When a request was read. */
interface LastRead {
  readonly arrivedAt: Millis
  /** Time that the loop had slept by then. */
  readonly sleptMs: Millis
}

/** Watches until it is disposed. */
export interface LoopWatch extends AsyncDisposable {
  readonly turns: LoopIterations
  /** When each of the callers' connections was accepted. */
  readonly accepted: WeakMap<Socket, AcceptedConnection>
  /** The last request of each of the callers' connections that have carried one. */
  readonly lastReads: WeakMap<Socket, LastRead>
  /** For how long the close of a caller's connection can have lain unread; none while it is not read. */
  readonly closesUnread: WeakMap<Socket, Millis>
  readonly looks: Looks
}

/** A loop that is this much late for a sample stood still, by a stop from outside or a long turn of its own. */
const stillMs: Millis = 500

/**
 * @param onStill called once the loop goes on after it stood still, with for how long
 * @param onSample called with how late each sample is, whether the loop worked or waited for the processor
 */
export function openLoopWatch (onStill: (forMs: Millis) => void = () => undefined, onSample: (lateMs: Millis) => void = () => undefined): LoopWatch {
  const turns = createLoopIterations(sleptMs(), presentTime())
  let sampledAt = presentTime()
  const timer = setInterval(() => {
    const now = presentTime()
    const lateMs = now - sampledAt - sampleIntervalMs
    onSample(Math.max(0, lateMs))
    if (lateMs > stillMs) onStill(lateMs)
    sampledAt = now
    sampleLoop(turns, sleptMs(), now)
  }, sampleIntervalMs)
  return { turns, accepted: new WeakMap(), lastReads: new WeakMap(), closesUnread: new WeakMap(), looks: createLooks(), [Symbol.asyncDispose]: async () => clearInterval(timer) }
}

/** Notes the turn that a callback of a socket belongs to. Immediates run once all sockets of a turn were read. */
export function noteTurn ({ turns }: LoopWatch): void {
  if (turns.isIterationRecorded) return
  beginIteration(turns, sleptMs(), presentTime())
  setImmediate(() => endIteration(turns, sleptMs(), presentTime()))
}

/** Notes a connection that was accepted now. */
export function noteAccepted (watch: LoopWatch, socket: Socket, now: Millis): void {
  noteTurn(watch)
  watch.looks.accepts += 1
  watch.accepted.set(socket, { at: now, since: getEarliestArrival(watch.turns, false, now) })
}

/**
 * Since when a request that is read now can have lain at this VM.
 *
 * A request's times count from there: counted from when a busy VM read them, its deadline came seconds late.
 */
export function arrivalTime (watch: LoopWatch, socket: Socket, now: Millis): Millis {
  noteTurn(watch)
  const isFirst = !watch.lastReads.has(socket)
  const accepted = isFirst ? watch.accepted.get(socket) : undefined
  const arrivedAt = accepted === undefined ? getEarliestArrival(watch.turns, isFirst, now) : getEarliestFirstArrival(watch.turns, accepted, now)
  watch.lastReads.set(socket, { arrivedAt, sleptMs: sleptMs() })
  return arrivedAt
}

/** Notes for how long a caller's close can have lain unread when it is read. */
export function watchClose (watch: LoopWatch, socket: Socket, onRead: (unreadMs: Millis) => void): void {
  const note = (): void => {
    if (watch.closesUnread.has(socket)) return
    const now = presentTime()
    const unreadMs = now - closedSince(watch, socket, now)
    watch.closesUnread.set(socket, unreadMs)
    onRead(unreadMs)
  }
  socket.once('end', note)
  socket.once('close', note)
}

/** A close is read at the earliest in the turn after the request before it; unless the loop slept in between, both may have lain there together. */
function closedSince (watch: LoopWatch, socket: Socket, now: Millis): Millis {
  noteTurn(watch)
  const last = watch.lastReads.get(socket)
  const isBehindRequest = last !== undefined && sleptMs() - last.sleptMs < minIdleMs
  return isBehindRequest ? last.arrivedAt : getEarliestArrival(watch.turns, false, now)
}

/** Time that the loop has waited for sockets and timers. */
function sleptMs (): Millis {
  return performance.eventLoopUtilization().idle
}
