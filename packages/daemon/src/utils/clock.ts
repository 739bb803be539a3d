/** The one place where the daemon reads the time; everything that decides gets it as an argument. */
import { performance } from 'node:perf_hooks'
import type { Millis } from '@lynxcourse/base'

/** Wall clock at the start of the process; read once, since the getter costs more than the clock. */
const startedAt = performance.timeOrigin

/**
 * Unix milliseconds that never go back while the process lives: the wall clock at start plus what a
 * monotonic clock counted since. A stepped wall clock can so neither end nor stretch a lease.
 */
export function getCurrentTime (): Millis {
  return startedAt + performance.now()
}
