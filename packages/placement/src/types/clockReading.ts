/** Readings of two clocks that together bound how much time has passed. */
import type { Millis } from '@lynxcourse/base'

/** The time by two clocks: a steady clock may stand still while a VM is suspended, and the wall clock may be set. */
export interface ClockReading {
  readonly steady: Millis
  readonly wall: Millis
}

/** Returns an upper bound of the time between two readings, unless the wall clock was set back while the VM was suspended. */
export function getElapsed (from: ClockReading, to: ClockReading): Millis {
  return Math.max(to.steady - from.steady, to.wall - from.wall)
}
