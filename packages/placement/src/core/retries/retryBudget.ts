/**
 * Limits the retries of one VM to its part of the retry budget.
 *
 * When servers fail and every VM resends its requests, the retries overload the remaining servers. The budget holds for
 * all VMs together in any time window, also across restarts, partitions and changes of the fleet. Requests earn credits that expire
 * soon, so the retries of a window belong to requests of about that window, whichever process or VM serves them. Retries
 * beyond that use a share of the slack, which a VM has only while all others count it.
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

/** Credits that requests earned in one short interval. */
interface CreditBin { readonly at: number, credits: number }

/** One retry that was sent, or is about to be. */
export interface RetryCharge {
  readonly service: ServiceId
  /** Where the credit came from; undefined if the slack was used. */
  readonly credit: CreditBin | undefined
  /** When its send ended; undefined before. Until then the retry may still be on its way to the server. */
  settledAt: Millis | undefined
}

/** The budget of one service. */
interface ServiceBudget {
  credits: CreditBin[]
  /** Fraction of a credit that requests have earned since the last whole one. */
  fraction: number
  /** Retries that use the slack of the present window. */
  slackCharges: RetryCharge[]
  /** Counts since they were last taken. */
  counts: RetryCounts
}

/** Budgets by service. */
export type RetryUsage = Map<ServiceId, ServiceBudget>

/** What a VM may use of the budget of a service at one time. */
export interface RetryAllowance {
  /** Credits of requests that have not expired. */
  readonly credits: number
  /** Retries that use the slack, and how many may use it. */
  readonly slackUsed: number
  readonly slackAllowed: number
}

/**
 * Idle time after which a connection carries no retry. A partition holds up what is sent over open connections and delivers it when it heals;
 * over a connection that has to be opened, nothing is sent.
 */
export const maxRetryIdleMs: Millis = 250

const binsPerWindow = 40
/** Number of bins after which a credit expires. */
const creditBins = 4
/** Fraction of the credits that is handed out; the rest covers requests that earned credits before a window and use them in it. */
const usedFraction = 0.8

/** Returns a VM's share of the slack. One retry less than an equal part, for the fraction of a credit that each VM carries into a window. */
export function computeSlackShare ({ slack }: RetryBudgetCfg, vms: number): number {
  return Math.max(0, Math.floor(slack / Math.max(1, vms) - 1))
}

function getBinNumber ({ windowMs }: RetryBudgetCfg, at: Millis): number {
  return Math.floor(at / (windowMs / binsPerWindow))
}

/** Returns the budget of a service without what has expired. */
function getServiceBudget (usage: RetryUsage, cfg: RetryBudgetCfg, service: ServiceId, now: Millis): ServiceBudget {
  let budget = usage.get(service)
  if (budget === undefined) {
    budget = { credits: [], fraction: 0, slackCharges: [], counts: createRetryCounts() }
    usage.set(service, budget)
  }
  const oldest = getBinNumber(cfg, now) - creditBins + 1
  if ((budget.credits[0]?.at ?? oldest) < oldest) budget.credits = budget.credits.filter(bin => bin.at >= oldest)
  return budget
}

/**
 * Counts a request from a caller.
 *
 * @param arrivedAt when the request arrived at the earliest: a request that waited unread earns no fresh credit
 */
export function recordBudgetedRequest (usage: RetryUsage, cfg: RetryBudgetCfg, service: ServiceId, arrivedAt: Millis, now: Millis): void {
  const budget = getServiceBudget(usage, cfg, service, now)
  budget.counts.requests += 1
  budget.fraction += cfg.ratio * usedFraction
  const earned = Math.floor(budget.fraction)
  if (earned === 0) return
  budget.fraction -= earned
  addCredits(budget, getBinNumber(cfg, Math.min(arrivedAt, now)), earned)
}

function addCredits ({ credits }: ServiceBudget, at: number, earned: number): void {
  const next = credits.findIndex(bin => bin.at >= at)
  const found = credits[next]
  if (found?.at === at) found.credits += earned
  else credits.splice(next === -1 ? credits.length : next, 0, { at, credits: earned })
}

/**
 * Returns what this VM may use of the budget.
 *
 * @param slackShare retries of each window that this VM may send beyond the earned ones
 */
export function getRetryAllowance (usage: RetryUsage, cfg: RetryBudgetCfg, service: ServiceId, slackShare: number, now: Millis): RetryAllowance {
  const budget = getServiceBudget(usage, cfg, service, now)
  budget.slackCharges = budget.slackCharges.filter(({ settledAt }) => settledAt === undefined || now - settledAt < cfg.windowMs)
  return {
    credits: budget.credits.reduce((sum, bin) => sum + bin.credits, 0),
    slackUsed: budget.slackCharges.length,
    slackAllowed: slackShare
  }
}

/**
 * Uses one retry of the budget. The charge must be settled or refunded when its send ends.
 *
 * @param slackShare retries of each window that this VM may send beyond the earned ones
 * @returns undefined if no retry was left
 */
export function trySpendRetry (usage: RetryUsage, cfg: RetryBudgetCfg, service: ServiceId, cause: RetryCause, slackShare: number, now: Millis): RetryCharge | undefined {
  const { slackUsed, slackAllowed } = getRetryAllowance(usage, cfg, service, slackShare, now)
  const { credits, slackCharges, counts } = getServiceBudget(usage, cfg, service, now)
  const credit = credits.find(bin => bin.credits > 0)
  const isAllowed = credit !== undefined || slackUsed + 1 <= slackAllowed
  countRetry(counts, isAllowed ? 'sent' : 'denied', cause)
  if (!isAllowed) return undefined
  const charge: RetryCharge = { service, credit, settledAt: undefined }
  if (credit === undefined) slackCharges.push(charge)
  else credit.credits -= 1
  return charge
}

/** Records that the send of a retry has ended: no part of it reaches the server later. */
export function settleRetry (charge: RetryCharge, now: Millis): void {
  charge.settledAt = now
}

/** Takes back the charge of a retry that was never written to a connection. */
export function refundRetry (usage: RetryUsage, charge: RetryCharge): void {
  const budget = usage.get(charge.service)
  if (budget === undefined) return
  budget.slackCharges = budget.slackCharges.filter(other => other !== charge)
  if (charge.credit !== undefined) charge.credit.credits += 1
}

/** Returns the counts of each service since the last call, and starts new ones. */
export function takeRetryCounts (usage: RetryUsage): Map<ServiceId, RetryCounts> {
  const taken = new Map<ServiceId, RetryCounts>()
  for (const [service, budget] of usage) {
    taken.set(service, budget.counts)
    budget.counts = createRetryCounts()
  }
  return taken
}
