/**
 * Readings of a shift's two ends over a while.
 *
 * What can go wrong: a single reading of a few dozen slots swings by a third of itself; a step planned
 * on a low one overloads the destination. So the destination counts with a high reading of the last
 * while, and the origin with the mean.
 */
import type { Millis } from '@lynxcourse/base'

/** One reading. */
export interface LoadReading {
  readonly at: Millis
  /** Requests in flight at the destination. */
  readonly busy: number
  readonly originBusy: number
}

/** Readings older than this count no more. */
export const readingWindowMs = 3000

/** Share of readings that lie below the one that counts for the destination. */
const highShare = 0.9

/** Fewer readings than this tell too little to plan a step on. */
export const leastReadings = 5

/** Adds a reading and drops the old ones. */
export function addReading (readings: readonly LoadReading[], reading: LoadReading): LoadReading[] {
  return [...readings.filter(other => reading.at - other.at < readingWindowMs), reading]
}

/** What the readings come to; undefined while they are too few. */
export function summarizeReadings (readings: readonly LoadReading[]): { readonly busy: number, readonly originBusy: number } | undefined {
  if (readings.length < leastReadings) return undefined
  const sorted = readings.map(reading => reading.busy).sort((a, b) => a - b)
  const busy = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * highShare))] ?? 0
  const originBusy = readings.reduce((sum, reading) => sum + reading.originBusy, 0) / readings.length
  return { busy, originBusy }
}
