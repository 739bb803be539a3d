/**
 * Decides whether a request under which servers ended may be sent.
 *
 * A blocked request is refused until its block expires. After that, and while it is only suspected, one VM at a time may send
 * it to one server, as a trial: if many VMs tried it at once, each of them would end a server before the first result is known.
 * The leader grants the trials.
 */
import type { Millis, RequestFingerprint } from '@lynxcourse/base'
import { endMemoryMs } from '@lynxcourse/state'

/** How a request under which servers ended may be sent. */
export type RequestRestriction =
  | { readonly type: 'blocked', readonly retryAfterMs: Millis }
  | { readonly type: 'trialOnly' }

/**
 * Returns the restriction of a request.
 *
 * @param blockedUntil end of its block; undefined for a request that is not restricted
 */
export function getRestriction (blockedUntil: Millis | undefined, now: Millis): RequestRestriction | undefined {
  if (blockedUntil === undefined) return undefined
  return now < blockedUntil ? { type: 'blocked', retryAfterMs: blockedUntil - now } : { type: 'trialOnly' }
}

/**
 * At an entry VM: when it last reported the end of a server for each request, the oldest first. An answer to such a request
 * clears what was counted for it.
 */
export type ReportedEnds = Map<RequestFingerprint, Millis>

/** Maximum number of reported requests that a VM remembers; the oldest are forgotten. */
export const maxReportedRequests = 512

/** Records that an end was reported, and forgets those that are not counted any more. */
export function recordReportedEnd (reported: ReportedEnds, request: RequestFingerprint, now: Millis): void {
  reported.delete(request)
  reported.set(request, now)
  for (const [oldest, at] of reported) {
    if (reported.size <= maxReportedRequests && now - at < endMemoryMs) return
    reported.delete(oldest)
  }
}

/** At the leader: the time until which each trial may take. */
export type Trials = Map<RequestFingerprint, Millis>

/** The leader's answer to a VM that wants to send a restricted request. */
export type TrialAnswer =
  | { readonly isGranted: true }
  | { readonly isGranted: false, readonly retryAfterMs: Millis }

/** Time for the report of a trial's result to reach the leader. */
const reportMs: Millis = 1000
/** Retry time for callers of a request whose trial is in progress. */
const trialRetryMs: Millis = 500

/**
 * Grants a trial unless the request is blocked or another trial of it is in progress.
 *
 * @param blockedUntil end of its block; undefined if the request is not restricted any more
 * @param forMs longest time that the trial may take
 */
export function grantTrial (trials: Trials, request: RequestFingerprint, blockedUntil: Millis | undefined, forMs: Millis, now: Millis): TrialAnswer {
  for (const [other, until] of trials) if (until <= now) trials.delete(other)
  const restriction = getRestriction(blockedUntil, now)
  if (restriction === undefined) return { isGranted: true }
  if (restriction.type === 'blocked') return { isGranted: false, retryAfterMs: restriction.retryAfterMs }
  const pendingUntil = trials.get(request)
  if (pendingUntil !== undefined) return { isGranted: false, retryAfterMs: Math.min(trialRetryMs, pendingUntil - now) }
  trials.set(request, now + forMs + reportMs)
  return { isGranted: true }
}
