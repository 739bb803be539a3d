/** Follows the turns of the process's event loop, for the bound on how long requests lie unread. */
import { performance } from 'node:perf_hooks'
import { beginTurn, createLoopTurns, endTurn, sampleMs, sampleTurns } from '@lynxcourse/routing'
import type { LoopTurns } from '@lynxcourse/routing'
import type { Millis } from '@lynxcourse/base'
import { presentTime } from '../../utils/clock.js'

export function createLoopWatch (): LoopTurns {
  return createLoopTurns(sleptMs(), presentTime())
}

/** Notes the turn that a callback of a socket belongs to. Immediates run once all sockets of a turn were read. */
export function noteTurn (turns: LoopTurns): void {
  if (turns.isOpen) return
  beginTurn(turns, sleptMs(), presentTime())
  setImmediate(() => endTurn(turns, sleptMs(), presentTime()))
}

/** Marks the turns of a quiet loop; disposal ends it. */
export function watchLoop (turns: LoopTurns): AsyncDisposable {
  const timer = setInterval(() => sampleTurns(turns, sleptMs(), presentTime()), sampleMs)
  return { [Symbol.asyncDispose]: async () => clearInterval(timer) }
}

/** Time that the loop has waited for sockets and timers. */
function sleptMs (): Millis {
  return performance.eventLoopUtilization().idle
}
