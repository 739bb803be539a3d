/**
 * Bounds the lines of a log.
 *
 * What can go wrong: under a flood of failing requests each of them writes lines, and the log takes the
 * processor time that serving needs. So each part has a budget of lines a second at each level; lines
 * over it are counted, and the next line that is written says how many it stands for.
 */
import type { Millis } from '@lynxcourse/base'

interface Bucket { tokens: number, at: Millis, skipped: number }

/** Budgets of one process, by part and level. */
export type LineBudget = Map<string, Bucket>

/** Lines a second of one part at one level. */
export const linesPerSecond = 200
const burstLines = 400

/** Takes one line from the budget: how many lines were skipped before it, or undefined when there is no room for it. */
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
