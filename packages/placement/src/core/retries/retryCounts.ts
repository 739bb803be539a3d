/** Counts what a VM spends its retry budget on, for metrics and logs. */
import type { SendOutcome } from '../../types/sendOutcome.js'

/** Why a request is sent again: the outcome of its previous send; `status` is an error status of the server. */
export type RetryCause = Exclude<SendOutcome, { type: 'answered' }>['reason'] | 'status'

/** Requests, retries that were sent and retries that the budget did not allow. */
export interface RetryCounts {
  requests: number
  readonly sent: Map<RetryCause, number>
  readonly denied: Map<RetryCause, number>
}

export function createRetryCounts (): RetryCounts {
  return { requests: 0, sent: new Map(), denied: new Map() }
}

/** Returns why a request with this outcome is sent again. */
export function getRetryCause (outcome: SendOutcome): RetryCause {
  return outcome.type === 'answered' ? 'status' : outcome.reason
}

/** Counts a retry that a request wanted. */
export function countRetry (counts: RetryCounts, result: 'sent' | 'denied', cause: RetryCause): void {
  const byCause = counts[result]
  byCause.set(cause, (byCause.get(cause) ?? 0) + 1)
}

/** Adds counts to others. */
export function addRetryCounts (sum: RetryCounts, { requests, sent, denied }: RetryCounts): void {
  sum.requests += requests
  for (const [cause, count] of sent) sum.sent.set(cause, (sum.sent.get(cause) ?? 0) + count)
  for (const [cause, count] of denied) sum.denied.set(cause, (sum.denied.get(cause) ?? 0) + count)
}
