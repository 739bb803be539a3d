/** Retries since the last log line on the retry budget. */
import type { Millis, ServiceId } from '@lynxcourse/base'
import type { RetryCounts } from '@lynxcourse/placement'

export interface RetryTotals {
  readonly counts: Map<ServiceId, RetryCounts>
  loggedAt: Millis
}

export function createRetryTotals (now: Millis): RetryTotals {
  return { counts: new Map(), loggedAt: now }
}
