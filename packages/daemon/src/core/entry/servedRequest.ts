/** One request being served: what the ways of serving it share. */
import { canCompleteInTime, createRetryBudget, getRetryAfterMs } from '@lynxcourse/routing'
import type { CallerLiveness } from '@lynxcourse/placement'
import type { AdmissionInput, CandidateRegion, RetryBudget } from '@lynxcourse/routing'
import type { Millis, ServiceId } from '@lynxcourse/base'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import type { EntryState } from './entry.js'
import type { ForwardRequest } from './serviceRequest.js'

/** A request on its way, with all that its service needs. */
export interface Serving {
  readonly entry: EntryState
  readonly request: ForwardRequest
  readonly places: readonly CandidateRegion[]
  /** Aborted when the caller is gone. */
  readonly signal: CancelSignal
  readonly caller: CallerLiveness
  readonly admission: AdmissionInput
}

/** Whether a request can be served in time, as far as can be told now. */
export function isAdmitted (serving: Serving): boolean {
  return serving.places.length > 0 && canCompleteInTime(serving.admission, getCurrentTime())
}

/** When a refused caller should come back. */
export function comeBackAfter (serving: Serving): Millis {
  return getRetryAfterMs(serving.admission)
}

/** The retry budget of a service. */
export function budgetOf (entry: EntryState, service: ServiceId): RetryBudget {
  let budget = entry.budgets.get(service)
  if (budget === undefined) {
    budget = createRetryBudget()
    entry.budgets.set(service, budget)
  }
  return budget
}
