/**
 * The grantor's side of limits: the leader tracks the holders' usage reports and plans each holder's share of a cap.
 * Shares are stored in the replicated log. The leader keeps only the reports and their times, which a new leader can
 * do without.
 */
import type { HolderId, Millis, ResourceId } from '@lynxcourse/base'
import type { Grant, Usage } from './holder.js'
import { computeFairShares } from './fairShares.js'

/** A holder's share of a cap, as stored in the log. */
export interface Share {
  readonly amount: number
  /** Highest amount that an unexpired grant may still carry. */
  readonly ceiling: number
}

export type SharesByResource = ReadonlyMap<ResourceId, ReadonlyMap<HolderId, Share>>

/** A planned change of a share. */
export interface ShareChange {
  readonly resource: ResourceId
  readonly holder: HolderId
  readonly amount: number
}

export interface SharePlan {
  readonly changes: readonly ShareChange[]
  /** Shares whose ceiling can be lowered to their amount, because no higher grant is in use any more. */
  readonly lapsed: readonly ShareChange[]
}

interface HolderReport {
  readonly at: Millis
  readonly serial: number
  readonly usages: ReadonlyMap<ResourceId, Usage>
}

/** A share whose amount is below its ceiling. */
interface PendingReduction {
  readonly amount: number
  /** When this leader first saw the reduction. */
  readonly since: Millis
  /** Log index at which the reduction is known to be applied. */
  readonly serial: number
}

export interface Grantor {
  readonly ttlMs: Millis
  /** Longest time that a request may run after it started under a grant: the longest deadline. */
  readonly maxRequestMs: Millis
  reports: Map<HolderId, HolderReport>
  pendingReductions: Map<string, PendingReduction>
}

/** Smallest relative change of a share that is worth a log entry; ignores fluctuations of demand. */
const minRelativeChange = 0.2

export function createGrantor (ttlMs: Millis, maxRequestMs: Millis): Grantor {
  return { ttlMs, maxRequestMs, reports: new Map(), pendingReductions: new Map() }
}

/** Records a holder's usage report. */
export function recordUsageReport (grantor: Grantor, holder: HolderId, serial: number, usages: readonly Usage[], now: Millis): void {
  const byResource = new Map(usages.map(usage => [usage.resource, usage]))
  grantor.reports.set(holder, { at: now, serial, usages: byResource })
}

/** Returns the grants that answer a holder's report. */
export function getGrants (grantor: Grantor, shares: SharesByResource, holder: HolderId): Grant[] {
  const grants: Grant[] = []
  for (const [resource, holders] of shares) {
    const share = holders.get(holder)
    if (share !== undefined && share.amount > 0) grants.push({ resource, amount: share.amount, ttlMs: grantor.ttlMs })
  }
  return grants
}

/**
 * Plans the next change of shares.
 *
 * @param serial log index up to which `shares` is applied
 * @returns undefined when no share needs to change
 */
export function planShares (
  grantor: Grantor, caps: ReadonlyMap<ResourceId, number>, shares: SharesByResource, serial: number, now: Millis
): SharePlan | undefined {
  dropExpiredReports(grantor, now)
  const lapsed = findUnusedCeilings(grantor, shares, serial, now)
  const changes: ShareChange[] = []
  const resources = new Set([...caps.keys(), ...shares.keys()])
  for (const resource of resources) {
    changes.push(...planResource(grantor, resource, caps.get(resource) ?? 0, shares.get(resource) ?? new Map(), lapsed))
  }
  return changes.length === 0 && lapsed.length === 0 ? undefined : { changes, lapsed }
}

function dropExpiredReports (grantor: Grantor, now: Millis): void {
  for (const [holder, report] of grantor.reports) {
    if (now - report.at > grantor.ttlMs) grantor.reports.delete(holder)
  }
}

/**
 * Finds reduced shares whose former, higher amount is no longer in use: either the holder's report acknowledges the
 * reduction, or enough time has passed for the former grant and all requests under it to end. The time counts from
 * when this leader first saw the reduction, because it cannot know when its predecessor last sent a grant.
 */
function findUnusedCeilings (grantor: Grantor, shares: SharesByResource, serial: number, now: Millis): ShareChange[] {
  const lapsed: ShareChange[] = []
  const reducedKeys = new Set<string>()
  for (const [resource, holders] of shares) {
    for (const [holder, share] of holders) {
      if (share.amount >= share.ceiling) continue
      const key = `${resource} ${holder}`
      reducedKeys.add(key)
      const reduction = trackReduction(grantor, key, share.amount, serial, now)
      const isTimeOver = now - reduction.since > grantor.ttlMs + grantor.maxRequestMs
      if (isTimeOver || isAcknowledged(grantor, holder, resource, share.amount, reduction.serial)) {
        lapsed.push({ resource, holder, amount: share.amount })
      }
    }
  }
  for (const key of grantor.pendingReductions.keys()) {
    if (!reducedKeys.has(key)) grantor.pendingReductions.delete(key)
  }
  return lapsed
}

function trackReduction (grantor: Grantor, key: string, amount: number, serial: number, now: Millis): PendingReduction {
  const known = grantor.pendingReductions.get(key)
  if (known !== undefined && known.amount === amount) return known
  const reduction = { amount, since: now, serial }
  grantor.pendingReductions.set(key, reduction)
  return reduction
}

function isAcknowledged (grantor: Grantor, holder: HolderId, resource: ResourceId, amount: number, serial: number): boolean {
  const report = grantor.reports.get(holder)
  if (report === undefined || report.serial < serial) return false
  return (report.usages.get(resource)?.inFlight ?? 0) <= amount
}

function planResource (
  grantor: Grantor, resource: ResourceId, cap: number, holders: ReadonlyMap<HolderId, Share>, lapsed: readonly ShareChange[]
): ShareChange[] {
  const reporting = [...grantor.reports.keys()].sort()
  const demands = reporting.map(holder => grantor.reports.get(holder)?.usages.get(resource)?.wanted ?? 0)
  const fairShares = computeFairShares(demands, cap)
  const targets = new Map(reporting.map((holder, index) => [holder, fairShares[index] ?? 0]))
  const reductions: ShareChange[] = []
  const raises: ShareChange[] = []
  const sum = [...holders.values()].reduce((total, share) => total + share.amount, 0)
  for (const holder of new Set([...reporting, ...holders.keys()])) {
    const target = targets.get(holder) ?? 0
    const amount = holders.get(holder)?.amount ?? 0
    const demand = demands[reporting.indexOf(holder)] ?? 0
    if (!shouldChange(amount, target, demand, sum > cap)) continue
    const change = { resource, holder, amount: target }
    if (target < amount) reductions.push(change)
    else raises.push(change)
  }
  return [...reductions, ...limitRaises(raises, holders, cap, lapsed)]
}

function shouldChange (amount: number, target: number, demand: number, isOverCap: boolean): boolean {
  if (amount === target) return false
  if (isOverCap && target < amount) return true
  if (target === 0 || amount === 0) return true
  if (demand > amount && target > amount) return true
  return Math.abs(target - amount) > Math.max(1, amount * minRelativeChange)
}

/** Limits raises to the capacity that remains under the cap while reduced shares may still be in use. */
function limitRaises (
  raises: readonly ShareChange[], holders: ReadonlyMap<HolderId, Share>, cap: number, lapsed: readonly ShareChange[]
): ShareChange[] {
  const ceilings = computeCeilings(holders, raises[0]?.resource, lapsed)
  let remaining = cap - [...ceilings.values()].reduce((sum, ceiling) => sum + ceiling, 0)
  const limited: ShareChange[] = []
  for (const raise of raises) {
    const ceiling = ceilings.get(raise.holder) ?? 0
    // A raise up to the ceiling takes no further capacity, because the ceiling already counts against the cap.
    const amount = Math.min(raise.amount, ceiling + Math.max(0, remaining))
    if (amount <= (holders.get(raise.holder)?.amount ?? 0)) continue
    remaining -= Math.max(0, amount - ceiling)
    limited.push({ ...raise, amount })
  }
  return limited
}

/** Computes the ceilings as of this plan's `lapsed` entries, which are applied before any raise. */
function computeCeilings (holders: ReadonlyMap<HolderId, Share>, resource: ResourceId | undefined, lapsed: readonly ShareChange[]): Map<HolderId, number> {
  const ceilings = new Map([...holders].map(([holder, share]) => [holder, share.ceiling]))
  for (const change of lapsed) {
    if (change.resource === resource) ceilings.set(change.holder, change.amount)
  }
  return ceilings
}
