/**
 * The time for which a backend server wants no requests from this VM, and the slow start after it.
 *
 * All requests that a pause kept away, and those of callers who come back, would otherwise reach the server together when
 * the pause ends, and it would turn most of them away again.
 */
import type { Millis } from '@lynxcourse/base'

export interface ServerPause {
  /** End of the pause. */
  until: Millis
  /** Undefined if the server gets all its requests. */
  slowStart: SlowStart | undefined
}

/** The requests that a server has got since its pause ended. */
interface SlowStart {
  /** When the first of them was sent; undefined before it. */
  startedAt: Millis | undefined
  requests: number
}

/** Interval after which twice as many requests may have been sent as before: refusals come back within it. */
const stepMs: Millis = 250
/** Number of intervals after which a slow start is over. */
const stepCount = 4
export const slowStartMs: Millis = stepMs * stepCount

export function createServerPause (): ServerPause {
  return { until: -Infinity, slowStart: undefined }
}

/** Records that a server wants no requests for a time. Returns whether that ends later than a pause known before. */
export function startPause (pause: ServerPause, forMs: Millis, now: Millis): boolean {
  if (now + forMs <= Math.max(now, pause.until)) return false
  pause.until = now + forMs
  pause.slowStart = { startedAt: undefined, requests: 0 }
  return true
}

/** Whether a server wants no requests now. */
export function isPaused ({ until }: ServerPause, now: Millis): boolean {
  return now < until
}

/** Returns the time until the server may get a request: until its pause ends, or until the next step of the slow start. */
export function getPauseDelay (pause: ServerPause, now: Millis): Millis {
  if (isPaused(pause, now)) return pause.until - now
  const { slowStart } = pause
  if (slowStart === undefined) return 0
  const elapsedMs = now - (slowStart.startedAt ?? now)
  const step = Math.floor(elapsedMs / stepMs)
  return step >= stepCount || slowStart.requests < 2 ** step ? 0 : (step + 1) * stepMs - elapsedMs
}

/** Counts a request that is sent to the server. */
export function recordRequestAfterPause (pause: ServerPause, now: Millis): void {
  const { slowStart } = pause
  if (slowStart === undefined) return
  slowStart.startedAt ??= now
  slowStart.requests += 1
  if (now - slowStart.startedAt >= slowStartMs) pause.slowStart = undefined
}
