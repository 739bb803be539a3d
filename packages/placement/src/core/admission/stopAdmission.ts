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
  /** Until when their answers may be delivered. */
  readonly deliversUntil: Millis
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
/** A stop gives up requests at most this much earlier than its whole time after its signal was read. */
const maxShortenedMs: Millis = 150
/** Longest and shortest time for the delivery of answers after requests were given up. */
const maxDeliveryMs: Millis = 250
const minDeliveryMs: Millis = 50

/**
 * Plans a stop. Requests were taken with its whole time in view, so a signal that was read late shortens the delivery of answers first.
 *
 * @param signalAt earliest time at which the signal can have arrived
 * @param readAt when it was read
 * @param stopMs time after which answers are given up
 */
export function createStopSchedule (signalAt: Millis, readAt: Millis, stopMs: Millis): StopSchedule {
  const startedAt = Math.max(signalAt, readAt - maxShortenedMs)
  const endsAt = startedAt + stopMs
  return { startedAt, acceptsUntil: startedAt + stopMs * acceptFraction, endsAt, deliversUntil: Math.max(endsAt + minDeliveryMs, signalAt + stopMs + maxDeliveryMs) }
}

/**
 * Returns whether a VM that stops takes a request. It takes none behind others: a connection that is never without a request would stay
 * in use until the process ends. Once no more connections are accepted, it takes only requests that have their whole time.
 */
export function fitsStop ({ acceptsUntil, endsAt }: StopSchedule, { giveUpAt, isBehindOthers }: LateRequest, now: Millis): boolean {
  return !isBehindOthers && (now < acceptsUntil || giveUpAt <= endsAt)
}
