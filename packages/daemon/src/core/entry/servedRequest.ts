/** A request in progress, as both ways of serving it need it: at most once, or with retries. */
import { canCompleteInTime, createRetryBudget, estimateRequestDelay, getRetryAfterMs } from '@lynxcourse/routing'
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
  /** Whether this is the only send of a restricted request. */
  readonly isTrial: boolean
  /** Retry time of a request that may not be sent because servers ended under it; undefined if it may. */
  readonly restrictedForMs: Millis | undefined
}

/** Why a request that may not be sent is refused. */
const restrictedReason = 'servers ended under this request'

/** Returns whether the request may be sent, and a region may serve it and is expected to complete it before the deadline. */
export function canServeInTime (serving: ServedRequest): boolean {
  return serving.restrictedForMs === undefined && serving.places.length > 0 && canCompleteInTime(serving.admission, getCurrentTime())
}

/** Returns why a request is refused that can't be served in time. */
export function getAdmissionFailure ({ restrictedForMs }: ServedRequest): string {
  return restrictedForMs === undefined ? 'no capacity in time' : restrictedReason
}

/** Returns the delay after which a rejected caller should retry. */
export function getRetryDelayMs ({ entry, request, places, admission, restrictedForMs }: ServedRequest): Millis {
  if (restrictedForMs !== undefined) return restrictedForMs
  // Servers may have asked for a pause since the request arrived.
  const requestDelayMs = estimateRequestDelay(entry.router, { service: request.service, places, triedServers: new Set() }, getCurrentTime())
  return getRetryAfterMs({ ...admission, requestDelayMs })
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
