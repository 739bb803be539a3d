/**
 * Limits the retries of one VM to its share of the retry budget.
 *
 * When servers fail and every VM resends its requests, the retries overload the remaining servers. The budget holds for
 * all VMs together in any time window. Each VM stays within the part that its own requests earn, so it need not know
 * what the others use.
 */
import type { Millis, ServiceId } from '@lynxcourse/base'

/** The retry budget that all VMs share. */
export interface RetryBudgetCfg {
  /** Number of retries that each request earns. */
  readonly ratio: number
  readonly windowMs: Millis
  /** Number of retries in a window beyond the earned ones, for all VMs together. */
  readonly slack: number
}

interface Bin { at: number, requests: number, retries: number }

/** Requests and retries by service, in bins of a tenth of the window. */
export type RetryUsage = Map<ServiceId, Bin[]>

const binsPerWindow = 10
/** Fraction of the budget that is used, since requests reach VMs unevenly. */
const usedFraction = 0.8

function getBins (usage: RetryUsage, cfg: RetryBudgetCfg, service: ServiceId, now: Millis): Bin[] {
  const size = cfg.windowMs / binsPerWindow
  const at = Math.floor(now / size)
  const bins = (usage.get(service) ?? []).filter(bin => bin.at > at - binsPerWindow - 1)
  if (bins.at(-1)?.at !== at) bins.push({ at, requests: 0, retries: 0 })
  usage.set(service, bins)
  return bins
}

/** Counts a request from a caller. */
export function recordBudgetedRequest (usage: RetryUsage, cfg: RetryBudgetCfg, service: ServiceId, now: Millis): void {
  const bin = getBins(usage, cfg, service, now).at(-1)
  if (bin !== undefined) bin.requests += 1
}

/**
 * Uses one retry of the budget.
 *
 * @param vms number of VMs that share the slack
 * @returns whether a retry was left
 */
export function trySpendRetry (usage: RetryUsage, cfg: RetryBudgetCfg, service: ServiceId, vms: number, now: Millis): boolean {
  const bins = getBins(usage, cfg, service, now)
  const requests = bins.reduce((sum, bin) => sum + bin.requests, 0)
  const retries = bins.reduce((sum, bin) => sum + bin.retries, 0)
  const allowed = (requests * cfg.ratio + cfg.slack / Math.max(1, vms)) * usedFraction
  const bin = bins.at(-1)
  if (bin === undefined || retries + 1 > allowed) return false
  bin.retries += 1
  return true
}
