/** A request in progress, as both ways of serving it need it: at most once, or with retries. */
import { canCompleteInTime, createRetryBudget, getRetryAfterMs } from '@lynxcourse/routing'
import type { CallerLiveness } from '@lynxcourse/placement'
import type { AdmissionInput, CandidateRegion, RetryBudget } from '@lynxcourse/routing'
import type { Millis, ServiceId } from '@lynxcourse/base'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import type { EntryState } from './entry.js'
import type { ServiceRequest } from './serviceRequest.js'

/** A request in progress, with the inputs of its routing. */
export interface ServedRequest {
  readonly entry: EntryState
  readonly request: ServiceRequest
  /** Regions that may serve the request, in order. */
  readonly places: readonly CandidateRegion[]
  /** Aborted when the caller disconnects. */
  readonly signal: CancelSignal
  readonly liveness: CallerLiveness
  readonly admission: AdmissionInput
}

/** Returns whether a region may serve the request and is expected to complete it before the deadline. */
export function canServeInTime (serving: ServedRequest): boolean {
  return serving.places.length > 0 && canCompleteInTime(serving.admission, getCurrentTime())
}

/** Returns the delay after which a rejected caller should retry. */
export function getRetryDelayMs (serving: ServedRequest): Millis {
  return getRetryAfterMs(serving.admission)
}

/** Returns the retry budget of a service, creating it on first use. */
export function getRetryBudget (entry: EntryState, service: ServiceId): RetryBudget {
  let budget = entry.retryBudgets.get(service)
  if (budget === undefined) {
    budget = createRetryBudget()
    entry.retryBudgets.set(service, budget)
  }
  return budget
}
