/**
 * How many requests a VM takes up in one turn of its event loop.
 *
 * The load pattern: callers of a whole region come to the VM that is ready first, several times what its processor serves. Taken up
 * all together they make turns of seconds, at whose end timers and answers wait, so that all of them are late and many are
 * held past their timeout, though refused ones would be served elsewhere at once. A VM can't know what a request will cost it,
 * but it sees how long a turn has taken so far.
 */
import type { Millis } from '@lynxcourse/base'
import type { LoopTurns } from './unreadBound.js'

/** A turn after a sleep may be long once: a burst is worked off by it. */
const burstTurnMs: Millis = 200
/** Without a sleep before it, the loop has no time left: the answers to what is taken up, and refusals, come on top. */
const busyTurnMs: Millis = 75
/** Parts of that by rank: in a long turn the least urgent are refused first. */
const rankParts = [1, 0.9, 0.8]

/** How far the turn was in which a request was read. */
export interface TurnSpent {
  readonly spentMs: Millis
  /** Whether the loop slept before that turn. */
  readonly hasSlept: boolean
}

/** How far the present turn is; to be asked when a request is read, as it may wait afterwards. */
export function turnSpent (turns: LoopTurns, now: Millis): TurnSpent {
  return { spentMs: now - turns.notedAt, hasSlept: turns.hasSlept }
}

/** Whether a request that was read then is taken up; one that isn't is refused at once. */
export function mayTakeUp ({ spentMs, hasSlept }: TurnSpent, rank: number): boolean {
  const budgetMs = hasSlept ? burstTurnMs : busyTurnMs
  const part = rankParts[Math.min(rank, rankParts.length - 1)] ?? 1
  return spentMs < budgetMs * part
}
