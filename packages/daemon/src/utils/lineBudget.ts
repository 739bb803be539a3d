/**
 * Limits the rate of log lines.
 *
 * Without a limit, a flood of failing requests writes so many lines that logging uses the processor time that serving
 * needs. Each part of the program has a budget of lines per second at each level. Lines over the budget are counted, and
 * the next line that is written contains the number of skipped lines.
 */
import type { Millis } from '@lynxcourse/base'

interface Bucket { tokens: number, at: Millis, skipped: number }

/** Line budgets of one process, keyed by part and level. */
export type LineBudget = Map<string, Bucket>

/** Lines per second of one part at one level. */
export const linesPerSecond = 200
const burstLines = 400

/** Takes one line from a budget. Returns the number of lines skipped before it; undefined if the budget is used up. */
export function takeLineToken (budget: LineBudget, key: string, now: Millis): number | undefined {
  let bucket = budget.get(key)
  if (bucket === undefined) {
    bucket = { tokens: burstLines, at: now, skipped: 0 }
    budget.set(key, bucket)
  }
  bucket.tokens = Math.min(burstLines, bucket.tokens + (now - bucket.at) * linesPerSecond / 1000)
  bucket.at = now
  if (bucket.tokens < 1) {
    bucket.skipped += 1
    return undefined
  }
  bucket.tokens -= 1
  const { skipped } = bucket
  bucket.skipped = 0
  return skipped
}
