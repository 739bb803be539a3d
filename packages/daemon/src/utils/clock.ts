/** The only module of the daemon that reads the clock. Functions that make decisions receive the time as an argument. */
import { performance } from 'node:perf_hooks'
import type { Millis } from '@lynxcourse/base'
import type { ClockReading } from '@lynxcourse/placement'

/** Wall clock time at the start of the process. Stored because the getter is slower than reading the clock. */
const processStartedAt = performance.timeOrigin

/**
 * Returns the Unix time in milliseconds, which never decreases during the lifetime of the process: the wall clock time at
 * the start of the process plus the time since then by a monotonic clock. A step of the wall clock therefore neither
 * shortens nor extends a lease.
 */
export function getCurrentTime (): Millis {
  return processStartedAt + performance.now()
}

/** Reads the steady clock and the wall clock. */
export function readClocks (): ClockReading {
  return { steady: getCurrentTime(), wall: Date.now() }
}
