/**
 * Retry budget: retries and hedges together stay within a share of requests, so that a service that
 * fails is not buried under its own retries.
 */

export interface RetryBudget {
  /** Retries that may be spent now. */
  tokens: number
}

/** Most unused retries carried over. */
export const maxBudget = 20

export function createRetryBudget (): RetryBudget {
  return { tokens: maxBudget / 2 }
}

/** Each request earns its share of a retry. */
export function earnRetry (budget: RetryBudget, share: number): void {
  budget.tokens = Math.min(maxBudget, budget.tokens + share)
}

/** Spends one retry if there is one. */
export function spendRetry (budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false
  budget.tokens -= 1
  return true
}
