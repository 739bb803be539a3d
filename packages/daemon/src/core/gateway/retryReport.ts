/** Reports, by service, what the retry budget allows this VM and what it spends: in metrics, and in a log line for each window with retries. */
import type { Millis, ServiceId } from '@lynxcourse/base'
import { addRetryCounts, createRetryCounts, getRetryAllowance, getSlackShare, takeRetryCounts } from '@lynxcourse/placement'
import type { RetryAllowance, RetryCause, RetryCounts } from '@lynxcourse/placement'
import { log } from '../../utils/logging.js'
import type { LogFields } from '../../utils/logging.js'
import type { Gateway } from './gateway.js'

/** Updates the metrics, and logs what was spent since the last line once a window has passed. Called periodically. */
export function reportRetries (gateway: Gateway, now: Millis): void {
  const { retries, retryTotals, node } = gateway
  for (const [service, counts] of takeRetryCounts(retries)) {
    updateMetrics(gateway, service, counts, now)
    const sum = retryTotals.counts.get(service) ?? createRetryCounts()
    addRetryCounts(sum, counts)
    retryTotals.counts.set(service, sum)
  }
  if (now - retryTotals.loggedAt < node.cfg.retryBudget.windowMs) return
  for (const [service, counts] of retryTotals.counts) logRetries(gateway, service, counts, now)
  retryTotals.counts.clear()
  retryTotals.loggedAt = now
}

function updateMetrics (gateway: Gateway, service: ServiceId, { sent, denied }: RetryCounts, now: Millis): void {
  const { node: { metrics }, fleet } = gateway
  for (const [part, value] of Object.entries(getAllowance(gateway, service, now))) metrics.retryBudget.set({ service, part }, value)
  metrics.retryBudgetVms.set(fleet.vms.length)
  for (const [cause, count] of sent) metrics.retries.inc({ service, cause, result: 'sent' }, count)
  for (const [cause, count] of denied) metrics.retries.inc({ service, cause, result: 'denied' }, count)
}

function logRetries (gateway: Gateway, service: ServiceId, { requests, sent, denied }: RetryCounts, now: Millis): void {
  if (sent.size === 0 && denied.size === 0) return
  const { node, retryTotals } = gateway
  log(node.logs, 'retry', denied.size > 0 ? 'warn' : 'info', 'Retry budget.', {
    service,
    vm: node.cfg.name,
    forMs: Math.round(now - retryTotals.loggedAt),
    requests,
    sent: formatCounts(sent),
    denied: formatCounts(denied),
    ...describeAllowance(gateway, service, now),
    runningMs: Math.round(now - node.startedAt)
  })
}

function formatCounts (counts: ReadonlyMap<RetryCause, number>): string | undefined {
  return counts.size === 0 ? undefined : [...counts].map(([cause, count]) => `${cause} ${count}`).join(', ')
}

/** Returns what the budget of a service allows this VM within the present window, for log lines. */
function describeAllowance (gateway: Gateway, service: ServiceId, now: Millis): LogFields {
  return { ...getAllowance(gateway, service, now), budgetVms: gateway.fleet.vms.length }
}

function getAllowance ({ node, retries, fleet }: Gateway, service: ServiceId, now: Millis): RetryAllowance {
  const { retryBudget } = node.cfg
  return getRetryAllowance(retries, retryBudget, service, getSlackShare(fleet, retryBudget), now)
}

/** Returns the fields of a log line on a request that was sent again, or was not for lack of a retry. */
export function getRetryFields (gateway: Gateway, service: ServiceId, { retryCause, isOverBudget }: { readonly retryCause: RetryCause | undefined, readonly isOverBudget: boolean }, now: Millis): LogFields {
  if (retryCause === undefined) return {}
  return { retryAfter: retryCause, overBudget: isOverBudget || undefined, ...describeAllowance(gateway, service, now) }
}
