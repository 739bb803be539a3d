/**
 * Measures when the soak's own process was late. Callers, proxies and servers run in it, so requests are late by as much without
 * a fault of the VMs.
 */

/** A time in which the process did not run its timers. */
export interface Stall {
  readonly from: number
  readonly until: number
}

export interface StallMonitor extends Disposable {
  readonly stalls: readonly Stall[]
}

const intervalMs = 20
/** A shorter delay matters to no check. */
const minStallMs = 100

/** Starts measuring; disposal stops it. */
export function startStallMonitor (): StallMonitor {
  const stalls: Stall[] = []
  let lastAt = performance.now()
  const timer = setInterval(() => {
    const now = performance.now()
    if (now - lastAt > intervalMs + minStallMs) stalls.push({ from: lastAt, until: now })
    lastAt = now
  }, intervalMs)
  return { stalls, [Symbol.dispose]: () => clearInterval(timer) }
}

/** Returns the length of the longest stall, in milliseconds. */
export function getLongestStallMs (stalls: readonly Stall[]): number {
  return Math.max(0, ...stalls.map(({ from, until }) => until - from))
}
