/**
 * The holder's side of limits: counts requests in flight per resource and admits new ones only
 * within unexpired grants. It counts a grant's life from when it asked, the grantor from when it
 * gave, so the holder always stops first.
 */
import type { Millis, ResourceId } from '@lynxcourse/base'

/** A grant as it travels. */
export interface Grant {
  readonly resource: ResourceId
  /** Most requests in flight. */
  readonly amount: number
  readonly ttlMs: Millis
}

interface HeldGrant {
  readonly amount: number
  readonly expiresAt: Millis
}

/** What a holder uses and wants of one resource. */
export interface Usage {
  readonly resource: ResourceId
  readonly inFlight: number
  /** Highest number in flight plus turned away since the last report. */
  readonly wanted: number
}

export interface HolderLimits {
  grants: Map<ResourceId, HeldGrant>
  inFlight: Map<ResourceId, number>
  wanted: Map<ResourceId, number>
  /** Highest grantor's number taken; answers with a lower one come late and are void. */
  serial: number
}

export function createHolderLimits (): HolderLimits {
  return { grants: new Map(), inFlight: new Map(), wanted: new Map(), serial: 0 }
}

/**
 * Takes grants over.
 *
 * @param serial the grantor's log index; grants of an older one could raise what was lowered since
 * @param askedAt when this holder sent the request that was answered
 */
export function applyGrants (limits: HolderLimits, serial: number, grants: readonly Grant[], askedAt: Millis): void {
  if (serial < limits.serial) return
  limits.serial = serial
  limits.grants = new Map()
  for (const grant of grants) {
    limits.grants.set(grant.resource, { amount: grant.amount, expiresAt: askedAt + grant.ttlMs })
  }
}

/** How many more requests may start against a resource. */
export function roomOf (limits: HolderLimits, resource: ResourceId, now: Millis): number {
  const grant = limits.grants.get(resource)
  if (grant === undefined || now >= grant.expiresAt) return 0
  return Math.max(0, grant.amount - (limits.inFlight.get(resource) ?? 0))
}

/** Notes that a request would have used a resource; the next report asks for as much. */
export function recordDemand (limits: HolderLimits, resource: ResourceId, extra: number): void {
  const wanted = (limits.inFlight.get(resource) ?? 0) + extra
  limits.wanted.set(resource, Math.max(limits.wanted.get(resource) ?? 0, wanted))
}

/** Whether a request may start against all of these resources. */
export function hasCapacity (limits: HolderLimits, resources: readonly ResourceId[], now: Millis): boolean {
  return resources.every(resource => roomOf(limits, resource, now) > 0)
}

/** Counts a request in; pair it with `releaseCapacity`. */
export function acquireCapacity (limits: HolderLimits, resources: readonly ResourceId[]): void {
  for (const resource of resources) {
    limits.inFlight.set(resource, (limits.inFlight.get(resource) ?? 0) + 1)
    recordDemand(limits, resource, 0)
  }
}

/** Counts a request out. */
export function releaseCapacity (limits: HolderLimits, resources: readonly ResourceId[]): void {
  for (const resource of resources) {
    const left = (limits.inFlight.get(resource) ?? 0) - 1
    if (left > 0) limits.inFlight.set(resource, left)
    else limits.inFlight.delete(resource)
  }
}

/** What to report of the capped resources; starts a new count of what is wanted. */
export function collectUsages (limits: HolderLimits, capped: Iterable<ResourceId>): Usage[] {
  const usages: Usage[] = []
  for (const resource of capped) {
    const inFlight = limits.inFlight.get(resource) ?? 0
    usages.push({ resource, inFlight, wanted: Math.max(inFlight, limits.wanted.get(resource) ?? 0) })
  }
  limits.wanted = new Map()
  return usages
}
