/**
 * One VM's share of the budget for sending requests once more.
 *
 * What can go wrong: servers fail, every VM sends its requests again, and the repeats bury the
 * servers that are left. The budget holds over all VMs and any window; each VM keeps to a part of it
 * that its own requests earn, so no VM needs to know what the others spend.
 */
import type { Millis, ServiceId } from '@lynxcourse/base'

/** The budget that all VMs share. */
export interface RetryBudgetCfg {
  /** Repeats that each request earns. */
  readonly ratio: number
  readonly windowMs: Millis
  /** Repeats in a window beyond those earned, for all VMs together. */
  readonly slack: number
}

interface Bin { at: number, requests: number, repeats: number }

/** Requests and repeats by service, in bins of a tenth of the window. */
export type RetryShare = Map<ServiceId, Bin[]>

const binsPerWindow = 10
/** Part of the budget that is used, since requests reach VMs unevenly. */
const usedPart = 0.8

function binsOf (share: RetryShare, cfg: RetryBudgetCfg, service: ServiceId, now: Millis): Bin[] {
  const size = cfg.windowMs / binsPerWindow
  const at = Math.floor(now / size)
  const bins = (share.get(service) ?? []).filter(bin => bin.at > at - binsPerWindow - 1)
  if (bins.at(-1)?.at !== at) bins.push({ at, requests: 0, repeats: 0 })
  share.set(service, bins)
  return bins
}

/** Counts a request that a caller sent. */
export function noteRequest (share: RetryShare, cfg: RetryBudgetCfg, service: ServiceId, now: Millis): void {
  const bin = binsOf(share, cfg, service, now).at(-1)
  if (bin !== undefined) bin.requests += 1
}

/**
 * Takes one repeat from the budget.
 *
 * @param vms VMs that share the slack
 * @returns whether there was one
 */
export function spendRepeat (share: RetryShare, cfg: RetryBudgetCfg, service: ServiceId, vms: number, now: Millis): boolean {
  const bins = binsOf(share, cfg, service, now)
  const requests = bins.reduce((sum, bin) => sum + bin.requests, 0)
  const repeats = bins.reduce((sum, bin) => sum + bin.repeats, 0)
  const room = (requests * cfg.ratio + cfg.slack / Math.max(1, vms)) * usedPart
  const bin = bins.at(-1)
  if (bin === undefined || repeats + 1 > room) return false
  bin.repeats += 1
  return true
}
