/** Follows the turns of the process's event loop, for the bound on how long callers' requests lie unread. */
import type { Socket } from 'node:net'
import { performance } from 'node:perf_hooks'
import { arrivedSince, beginTurn, createLoopTurns, endTurn, sampleMs, sampleTurns } from '@lynxcourse/placement'
import type { LoopTurns } from '@lynxcourse/placement'
import type { Millis } from '@lynxcourse/base'
import { presentTime } from './clock.js'

/** Watches until it is disposed. */
export interface LoopWatch extends AsyncDisposable {
  readonly turns: LoopTurns
  /** Callers' connections that have carried a request. */
  readonly used: WeakSet<Socket>
}

/** A loop that is this much late for a sample stood still, by a stop from outside or a long turn of its own. */
const stillMs: Millis = 500

/** @param onStill called once the loop goes on after it stood still, with for how long */
export function openLoopWatch (onStill: (forMs: Millis) => void = () => undefined): LoopWatch {
  const turns = createLoopTurns(sleptMs(), presentTime())
  let sampledAt = presentTime()
  const timer = setInterval(() => {
    const now = presentTime()
    const lateMs = now - sampledAt - sampleMs
    if (lateMs > stillMs) onStill(lateMs)
    sampledAt = now
    sampleTurns(turns, sleptMs(), now)
  }, sampleMs)
  return { turns, used: new WeakSet(), [Symbol.asyncDispose]: async () => clearInterval(timer) }
}

/** Notes the turn that a callback of a socket belongs to. Immediates run once all sockets of a turn were read. */
export function noteTurn ({ turns }: LoopWatch): void {
  if (turns.isOpen) return
  beginTurn(turns, sleptMs(), presentTime())
  setImmediate(() => endTurn(turns, sleptMs(), presentTime()))
}

/**
 * Since when a request that is read now can have lain at this VM.
 *
 * A request's times count from there: counted from when a busy VM read them, its deadline came seconds late.
 */
export function arrivalTime (watch: LoopWatch, socket: Socket, now: Millis): Millis {
  noteTurn(watch)
  const isFirst = !watch.used.has(socket)
  watch.used.add(socket)
  return arrivedSince(watch.turns, isFirst, now)
}

/** Time that the loop has waited for sockets and timers. */
function sleptMs (): Millis {
  return performance.eventLoopUtilization().idle
}
