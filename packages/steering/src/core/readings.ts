/**
 * Load readings of a shift's origin and destination over a sliding window.
 *
 * A single reading over a few dozen slots fluctuates by about a third, and a step planned on a low reading overloads
 * the destination. The destination therefore counts with a high quantile of the window, and the origin with the mean.
 */
import type { Millis } from '@lynxcourse/base'

/** The load of both regions at one time. */
export interface LoadReading {
  readonly at: Millis
  /** Requests in flight at the destination. */
  readonly busy: number
  /** Requests in flight at the origin. */
  readonly originBusy: number
}

/** Length of the window; older readings are dropped. */
export const readingWindowMs = 3000

/** Quantile of the readings that is taken as the destination's load. */
const destinationQuantile = 0.9

/** Minimum number of readings needed to plan a step. */
export const minReadings = 5

/** Returns the readings with a new one added and those outside the window removed. */
export function addReading (readings: readonly LoadReading[], reading: LoadReading): LoadReading[] {
  return [...readings.filter(other => reading.at - other.at < readingWindowMs), reading]
}

/** Returns the load of both regions over the window, or undefined when there are fewer than `minReadings` readings. */
export function summarizeReadings (readings: readonly LoadReading[]): { readonly busy: number, readonly originBusy: number } | undefined {
  if (readings.length < minReadings) return undefined
  const sorted = readings.map(reading => reading.busy).sort((a, b) => a - b)
  const busy = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * destinationQuantile))] ?? 0
  const originBusy = readings.reduce((sum, reading) => sum + reading.originBusy, 0) / readings.length
  return { busy, originBusy }
}
