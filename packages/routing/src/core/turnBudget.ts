/** How many requests a VM takes up in one turn of its event loop. */
import type { Millis } from '@lynxcourse/base'
import type { LoopTurns } from './unreadBound.js'

/** Whether a request that is read now is taken up. */
export function mayTakeUp (_turns: LoopTurns, _rank: number, _now: Millis): boolean {
  return true
}
