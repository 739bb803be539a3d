/** Measures this process's memory, and logs before its heap reaches the limit at which the runtime ends the process. */
import { getHeapStatistics } from 'node:v8'
import type { Millis } from '@lynxcourse/base'
import { repeat } from './timers.js'
import type { Metrics } from '../../utils/metrics.js'

/** The heap of this process, in bytes. */
export interface HeapUse {
  readonly heapBytes: number
  readonly heapLimitBytes: number
}

/** Fraction of the heap limit from which memory counts as short, and below which it counts as sufficient again. */
const shortFraction = 0.75
const sufficientFraction = 0.6

/** Whether memory counts as short, given whether it did before. */
export function isMemoryShort ({ heapBytes, heapLimitBytes }: HeapUse, wasShort: boolean): boolean {
  return heapBytes >= heapLimitBytes * (wasShort ? sufficientFraction : shortFraction)
}

function readHeapUse (): HeapUse {
  const { used_heap_size: heapBytes, heap_size_limit: heapLimitBytes } = getHeapStatistics()
  return { heapBytes, heapLimitBytes }
}

const sampleIntervalMs: Millis = 1000

/**
 * Samples the memory until disposal.
 *
 * @param onShort called when memory becomes short
 */
export function watchMemory (metrics: Metrics, onShort: (use: HeapUse) => void): AsyncDisposable {
  let isShort = false
  return repeat(sampleIntervalMs, () => {
    const use = readHeapUse()
    metrics.heapBytes.set(use.heapBytes)
    const wasShort = isShort
    isShort = isMemoryShort(use, wasShort)
    if (isShort && !wasShort) onShort(use)
  }, () => undefined)
}
