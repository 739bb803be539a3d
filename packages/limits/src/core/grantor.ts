/**
 * The grantor's side of limits: what the leader remembers of its holders and how it plans shares.
 * Shares live in the log; the leader only keeps who reported what, and when, and may forget it.
 */
import type { HolderId, Millis, ResourceId } from '@lynxcourse/base'
import type { Grant, Usage } from './holder.js'
import { fairShares } from './fairShares.js'

/** A share as the log holds it. */
export interface Share {
  readonly amount: number
  /** The most that an unexpired grant may still carry. */
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
  readonly lapsed: readonly ShareChange[]
}

interface HolderReport {
  readonly at: Millis
  readonly serial: number
  readonly usages: ReadonlyMap<ResourceId, Usage>
}

interface Lowered {
  readonly amount: number
  readonly since: Millis
  /** Log index by which the lowering is applied. */
  readonly serial: number
}

export interface Grantor {
  readonly ttlMs: Millis
  /** Longest that a request may run after its grant: the longest deadline. */
  readonly maxRequestMs: Millis
  reports: Map<HolderId, HolderReport>
  lowered: Map<string, Lowered>
}

/** A share is moved only if it is off by more than this part, so that the log isn't filled by noise. */
const deadband = 0.2

export function createGrantor (ttlMs: Millis, holdMs: Millis): Grantor {
  return { ttlMs, maxRequestMs: holdMs, reports: new Map(), lowered: new Map() }
}

/** Notes a holder's report. */
export function recordUsageReport (grantor: Grantor, holder: HolderId, serial: number, usages: readonly Usage[], now: Millis): void {
  const byResource = new Map(usages.map(usage => [usage.resource, usage]))
  grantor.reports.set(holder, { at: now, serial, usages: byResource })
}

/** The grants that a holder gets with the answer to its report. */
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
 * @param serial index of the log that `shares` stand at
 * @returns undefined when nothing is to be changed
 */
export function planShares (
  grantor: Grantor, caps: ReadonlyMap<ResourceId, number>, shares: SharesByResource, serial: number, now: Millis
): SharePlan | undefined {
  dropSilent(grantor, now)
  const lapsed = findLapsed(grantor, shares, serial, now)
  const changes: ShareChange[] = []
  const resources = new Set([...caps.keys(), ...shares.keys()])
  for (const resource of resources) {
    changes.push(...planResource(grantor, resource, caps.get(resource) ?? 0, shares.get(resource) ?? new Map(), lapsed))
  }
  return changes.length === 0 && lapsed.length === 0 ? undefined : { changes, lapsed }
}

function dropSilent (grantor: Grantor, now: Millis): void {
  for (const [holder, report] of grantor.reports) {
    if (now - report.at > grantor.ttlMs) grantor.reports.delete(holder)
  }
}

/**
 * Shares whose former, higher amount is no longer out: the holder itself says so, or so much time
 * has passed that its grant and the requests under it have ended. The wait starts when this leader
 * first sees the lowering, since it can't know when its predecessor last granted.
 */
function findLapsed (grantor: Grantor, shares: SharesByResource, serial: number, now: Millis): ShareChange[] {
  const lapsed: ShareChange[] = []
  const seen = new Set<string>()
  for (const [resource, holders] of shares) {
    for (const [holder, share] of holders) {
      if (share.amount >= share.ceiling) continue
      const key = `${resource} ${holder}`
      seen.add(key)
      const lowered = noteLowered(grantor, key, share.amount, serial, now)
      const waited = now - lowered.since > grantor.ttlMs + grantor.maxRequestMs
      if (waited || isAcknowledged(grantor, holder, resource, share.amount, lowered.serial)) {
        lapsed.push({ resource, holder, amount: share.amount })
      }
    }
  }
  for (const key of grantor.lowered.keys()) {
    if (!seen.has(key)) grantor.lowered.delete(key)
  }
  return lapsed
}

function noteLowered (grantor: Grantor, key: string, amount: number, serial: number, now: Millis): Lowered {
  const known = grantor.lowered.get(key)
  if (known !== undefined && known.amount === amount) return known
  const lowered = { amount, since: now, serial }
  grantor.lowered.set(key, lowered)
  return lowered
}

function isAcknowledged (grantor: Grantor, holder: HolderId, resource: ResourceId, amount: number, serial: number): boolean {
  const report = grantor.reports.get(holder)
  if (report === undefined || report.serial < serial) return false
  return (report.usages.get(resource)?.inFlight ?? 0) <= amount
}

function planResource (
  grantor: Grantor, resource: ResourceId, cap: number, holders: ReadonlyMap<HolderId, Share>, lapsed: readonly ShareChange[]
): ShareChange[] {
  const live = [...grantor.reports.keys()].sort()
  const wants = live.map(holder => grantor.reports.get(holder)?.usages.get(resource)?.wanted ?? 0)
  const fair = fairShares(wants, cap)
  const targets = new Map(live.map((holder, place) => [holder, fair[place] ?? 0]))
  const lowerings: ShareChange[] = []
  const raises: ShareChange[] = []
  const sum = [...holders.values()].reduce((total, share) => total + share.amount, 0)
  for (const holder of new Set([...live, ...holders.keys()])) {
    const target = targets.get(holder) ?? 0
    const amount = holders.get(holder)?.amount ?? 0
    const want = wants[live.indexOf(holder)] ?? 0
    if (!isWorthIt(amount, target, want, sum > cap)) continue
    const change = { resource, holder, amount: target }
    if (target < amount) lowerings.push(change)
    else raises.push(change)
  }
  return [...lowerings, ...fitRaises(raises, holders, cap, lapsed)]
}

function isWorthIt (amount: number, target: number, want: number, isOver: boolean): boolean {
  if (amount === target) return false
  if (isOver && target < amount) return true
  if (target === 0 || amount === 0) return true
  if (want > amount && target > amount) return true
  return Math.abs(target - amount) > Math.max(1, amount * deadband)
}

/** Raises only what the cap has room for while lowered shares are still out. */
function fitRaises (
  raises: readonly ShareChange[], holders: ReadonlyMap<HolderId, Share>, cap: number, lapsed: readonly ShareChange[]
): ShareChange[] {
  const ceilings = ceilingsAfter(holders, raises[0]?.resource, lapsed)
  let room = cap - [...ceilings.values()].reduce((sum, ceiling) => sum + ceiling, 0)
  const fitted: ShareChange[] = []
  for (const raise of raises) {
    const ceiling = ceilings.get(raise.holder) ?? 0
    // Up to the ceiling a raise costs no room: it is still counted as out.
    const amount = Math.min(raise.amount, ceiling + Math.max(0, room))
    if (amount <= (holders.get(raise.holder)?.amount ?? 0)) continue
    room -= Math.max(0, amount - ceiling)
    fitted.push({ ...raise, amount })
  }
  return fitted
}

/** Ceilings once the lapsed ones of this plan have fallen; they fall before any raise is applied. */
function ceilingsAfter (holders: ReadonlyMap<HolderId, Share>, resource: ResourceId | undefined, lapsed: readonly ShareChange[]): Map<HolderId, number> {
  const ceilings = new Map([...holders].map(([holder, share]) => [holder, share.ceiling]))
  for (const change of lapsed) {
    if (change.resource === resource) ceilings.set(change.holder, change.amount)
  }
  return ceilings
}
