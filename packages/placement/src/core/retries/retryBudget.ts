/**
 * Limits the retries of one VM to its share of the retry budget.
 *
 * When servers fail and every VM resends its requests, the retries overload the remaining servers. The budget holds for
 * all VMs together in any time window. Each VM stays within the part that its own requests earn, so it need not know
 * what the others use.
 */
import type { Millis, ServiceId } from '@lynxcourse/base'
import { createRetryCounts, countRetry } from './retryCounts.js'
import type { RetryCause, RetryCounts } from './retryCounts.js'

/** The retry budget that all VMs share. */
export interface RetryBudgetCfg {
  /** Number of retries that each request earns. */
  readonly ratio: number
  readonly windowMs: Millis
  /** Number of retries in a window beyond the earned ones, for all VMs together. */
  readonly slack: number
}

interface Bin { at: number, requests: number, retries: number }

/** Requests and retries of one service. */
interface ServiceRetries {
  /** Bins of a tenth of the window. */
  bins: Bin[]
  /** Counts since they were last taken. */
  counts: RetryCounts
}

/** Requests and retries by service. */
export type RetryUsage = Map<ServiceId, ServiceRetries>

/** What a VM may use of the retry budget of a service, and what it has used, within the window. */
export interface RetryAllowance {
  /** Number of requests in the window. */
  readonly requests: number
  readonly used: number
  readonly allowed: number
}

const binsPerWindow = 10
/** Fraction of the budget that is used, since requests reach VMs unevenly. */
const usedFraction = 0.8

function getServiceRetries (usage: RetryUsage, cfg: RetryBudgetCfg, service: ServiceId, now: Millis): ServiceRetries {
  const retries = usage.get(service) ?? { bins: [], counts: createRetryCounts() }
  const at = Math.floor(now / (cfg.windowMs / binsPerWindow))
  retries.bins = retries.bins.filter(bin => bin.at > at - binsPerWindow - 1)
  if (retries.bins.at(-1)?.at !== at) retries.bins.push({ at, requests: 0, retries: 0 })
  usage.set(service, retries)
  return retries
}

/** Counts a request from a caller. */
export function recordBudgetedRequest (usage: RetryUsage, cfg: RetryBudgetCfg, service: ServiceId, now: Millis): void {
  const { bins, counts } = getServiceRetries(usage, cfg, service, now)
  const bin = bins.at(-1)
  if (bin !== undefined) bin.requests += 1
  counts.requests += 1
}

/**
 * Returns what this VM may use of the budget.
 *
 * @param vms number of VMs that share the slack
 */
export function getRetryAllowance (usage: RetryUsage, cfg: RetryBudgetCfg, service: ServiceId, vms: number, now: Millis): RetryAllowance {
  const { bins } = getServiceRetries(usage, cfg, service, now)
  const requests = bins.reduce((sum, bin) => sum + bin.requests, 0)
  const used = bins.reduce((sum, bin) => sum + bin.retries, 0)
  return { requests, used, allowed: (requests * cfg.ratio + cfg.slack / Math.max(1, vms)) * usedFraction }
}

/**
 * Uses one retry of the budget.
 *
 * @param vms number of VMs that share the slack
 * @returns whether a retry was left
 */
export function trySpendRetry (usage: RetryUsage, cfg: RetryBudgetCfg, service: ServiceId, cause: RetryCause, vms: number, now: Millis): boolean {
  const { used, allowed } = getRetryAllowance(usage, cfg, service, vms, now)
  const { bins, counts } = getServiceRetries(usage, cfg, service, now)
  const bin = bins.at(-1)
  const isAllowed = bin !== undefined && used + 1 <= allowed
  if (isAllowed) bin.retries += 1
  countRetry(counts, isAllowed ? 'sent' : 'denied', cause)
  return isAllowed
}

/** Returns the counts of each service since the last call, and starts new ones. */
export function takeRetryCounts (usage: RetryUsage): Map<ServiceId, RetryCounts> {
  const taken = new Map<ServiceId, RetryCounts>()
  for (const [service, retries] of usage) {
    taken.set(service, retries.counts)
    retries.counts = createRetryCounts()
  }
  return taken
}
