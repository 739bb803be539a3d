/** Follows the turns of the process's event loop, for the bound on how long requests lie unread. */
import { performance } from 'node:perf_hooks'
import { beginTurn, createLoopTurns, endTurn } from '@lynxcourse/routing'
import type { LoopTurns } from '@lynxcourse/routing'
import type { Millis } from '@lynxcourse/base'
import { presentTime } from '../../utils/clock.js'

export function createLoopWatch (): LoopTurns {
  const turns = createLoopTurns(presentTime())
  endTurn(turns, sleptMs(), presentTime())
  return turns
}

/** Notes the turn that a callback of a socket belongs to. Immediates run once all sockets of a turn were read. */
export function noteTurn (turns: LoopTurns): void {
  if (turns.isOpen) return
  beginTurn(turns, sleptMs())
  setImmediate(() => endTurn(turns, sleptMs(), presentTime()))
}

/** Time that the loop has waited for sockets and timers. */
function sleptMs (): Millis {
  return performance.eventLoopUtilization().idle
}
