/**
 * Decides which requests a VM that stops still takes. A request that it takes and can't answer before its process ends is lost to the
 * caller, although another VM could have served it.
 */
import type { Millis } from '@lynxcourse/base'

/** The times of a stop, by the VM's steady clock. */
export interface StopSchedule {
  readonly startedAt: Millis
  /** When the VM stops accepting connections. Until then it takes requests that may outlast it: most take far less than their whole time. */
  readonly acceptsUntil: Millis
  /** When the requests that are still at servers are given up. */
  readonly endsAt: Millis
}

/** A request that a VM that stops has read. */
export interface LateRequest {
  /** When a server that still works on it is given up. */
  readonly giveUpAt: Millis
  /** Whether an earlier request of its connection has no answer yet. */
  readonly isBehindOthers: boolean
}

/** Fraction of a stop during which connections are accepted. */
const acceptFraction = 0.5

/**
 * Plans a stop.
 *
 * @param stopMs time after which answers are given up
 */
export function createStopSchedule (startedAt: Millis, stopMs: Millis): StopSchedule {
  return { startedAt, acceptsUntil: startedAt + stopMs * acceptFraction, endsAt: startedAt + stopMs }
}

/**
 * Returns whether a VM that stops takes a request. It takes none behind others: a connection that is never without a request would stay
 * in use until the process ends. Once no more connections are accepted, it takes only requests that have their whole time.
 */
export function fitsStop ({ acceptsUntil, endsAt }: StopSchedule, { giveUpAt, isBehindOthers }: LateRequest, now: Millis): boolean {
  return !isBehindOthers && (now < acceptsUntil || giveUpAt <= endsAt)
}
