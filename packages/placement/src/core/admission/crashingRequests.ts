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

/** At the leader: the last trial of each request, the oldest first. */
export type Trials = Map<RequestFingerprint, Trial>

interface Trial {
  /** Time until which no other trial is granted. */
  readonly until: Millis
  /** Number of trials in a row whose result the leader did not learn. */
  readonly count: number
}

/** The leader's answer to a VM that wants to send a restricted request. */
export type TrialAnswer =
  | { readonly isGranted: true }
  | { readonly isGranted: false, readonly retryAfterMs: Millis }

/** Time for the report of a trial's result to reach the leader. */
const reportMs: Millis = 1000
/** Retry time for callers of a request whose trial is in progress. */
const trialRetryMs: Millis = 500
/** Maximum number of requests whose last trial is remembered. */
const maxTrials = 256
/** Longest pause after a trial without a result. */
const maxPauseMs: Millis = 600_000

/**
 * Grants a trial unless the request is blocked or another trial of it is in progress. A server may have ended under a trial
 * whose result nobody saw, because its caller left; the pause until the next one doubles with each of them.
 *
 * @param blockedUntil end of its block; undefined if the request is not restricted any more
 * @param forMs longest time that the trial may take
 */
export function grantTrial (trials: Trials, request: RequestFingerprint, blockedUntil: Millis | undefined, forMs: Millis, now: Millis): TrialAnswer {
  const restriction = getRestriction(blockedUntil, now)
  if (restriction === undefined) {
    trials.delete(request)
    return { isGranted: true }
  }
  if (restriction.type === 'blocked') {
    trials.delete(request)
    return { isGranted: false, retryAfterMs: restriction.retryAfterMs }
  }
  const last = trials.get(request)
  if (last !== undefined && now < last.until) return { isGranted: false, retryAfterMs: Math.min(trialRetryMs, last.until - now) }
  recordTrial(trials, request, (last?.count ?? 0) + 1, forMs, now)
  return { isGranted: true }
}

function recordTrial (trials: Trials, request: RequestFingerprint, count: number, forMs: Millis, now: Millis): void {
  trials.delete(request)
  trials.set(request, { until: now + Math.min(maxPauseMs, (forMs + reportMs) * 2 ** (count - 1)), count })
  const [oldest] = trials.keys()
  if (trials.size > maxTrials && oldest !== undefined) trials.delete(oldest)
}

/** Takes back a trial in which no server got the request, so that another one can be granted at once. */
export function cancelTrial (trials: Trials, request: RequestFingerprint): void {
  trials.delete(request)
}
