/**
 * Limits how many requests a VM admits in one iteration of its event loop.
 *
 * The callers of a whole region may connect to the VM that is ready first, with several times the load that its
 * processor can serve. If the VM admits all of them, iterations last for seconds. Timers and answers wait for the end
 * of the iteration, so all requests are late and many are kept past their timeout, although other VMs would have served
 * them after a rejection. A VM does not know in advance what a request will cost, but it knows how long the current
 * iteration has taken so far.
 */
import type { Millis } from '@lynxcourse/base'
import type { LoopIterations } from './readDelay.js'

/** An iteration that follows an idle period may be long once, to work off a burst. */
const maxIterationAfterIdleMs: Millis = 200
/**
 * Without idle time before the iteration, the loop is saturated: answers to admitted requests and rejections come on
 * top of this time.
 */
const maxBusyIterationMs: Millis = 75
/** Fraction of the budget by rank: in a long iteration the least urgent requests are rejected first. */
const rankFractions = [1, 0.9, 0.8]

/** Time spent in the iteration in which a request was read. */
export interface IterationTime {
  readonly elapsedMs: Millis
  /** Whether the loop was idle before that iteration. */
  readonly wasIdle: boolean
}

/**
 * Returns the time spent in the current iteration. Call it when a request is read, since the request may wait
 * afterwards.
 */
export function getIterationTime (iterations: LoopIterations, now: Millis): IterationTime {
  return { elapsedMs: now - iterations.recordedAt, wasIdle: iterations.wasIdle }
}

/** Returns whether a request that was read after this time is admitted; otherwise it is rejected at once. */
export function fitsIterationBudget ({ elapsedMs, wasIdle }: IterationTime, rank: number): boolean {
  const budgetMs = wasIdle ? maxIterationAfterIdleMs : maxBusyIterationMs
  const fraction = rankFractions[Math.min(rank, rankFractions.length - 1)] ?? 1
  return elapsedMs < budgetMs * fraction
}
