/**
 * Retry budget: limits retries and hedged requests together to a fraction of all requests, so that retries do not
 * overload a service that is already failing.
 */

export interface RetryBudget {
  /** Number of retries available now; may be fractional. */
  tokens: number
}

/** Maximum number of unused retries that a budget accumulates. */
export const maxRetryTokens = 20

export function createRetryBudget (): RetryBudget {
  return { tokens: maxRetryTokens / 2 }
}

/** Adds the fraction of a retry that each request earns. */
export function earnRetry (budget: RetryBudget, fraction: number): void {
  budget.tokens = Math.min(maxRetryTokens, budget.tokens + fraction)
}

/** Spends one retry and returns true, or returns false when the budget has less than one. */
export function spendRetry (budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false
  budget.tokens -= 1
  return true
}
