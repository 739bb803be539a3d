/**
 * The holder's side of limits: counts requests in flight per resource and admits new ones only within unexpired
 * grants. The holder counts a grant's lifetime from when it sent its report, the grantor from when it sent the grant,
 * so a grant always expires at the holder first.
 */
import type { Millis, ResourceId } from '@lynxcourse/base'

/** A grant as sent by the grantor. */
export interface Grant {
  readonly resource: ResourceId
  /** Maximum number of requests in flight. */
  readonly amount: number
  readonly ttlMs: Millis
}

interface ActiveGrant {
  readonly amount: number
  readonly expiresAt: Millis
}

/** A holder's usage of and demand for one resource. */
export interface Usage {
  readonly resource: ResourceId
  readonly inFlight: number
  /** Highest sum of requests in flight and requests without capacity since the last report. */
  readonly wanted: number
}

export interface HolderLimits {
  grants: Map<ResourceId, ActiveGrant>
  inFlight: Map<ResourceId, number>
  wanted: Map<ResourceId, number>
  /** Highest log index of the grantor seen so far; grants with a lower one are out of date and ignored. */
  serial: number
}

export function createHolderLimits (): HolderLimits {
  return { grants: new Map(), inFlight: new Map(), wanted: new Map(), serial: 0 }
}

/**
 * Replaces all grants by those that the grantor sent.
 *
 * @param serial the grantor's log index; grants of an older index could undo a reduction and are ignored
 * @param askedAt when this holder sent the report that the grants answer
 */
export function applyGrants (limits: HolderLimits, serial: number, grants: readonly Grant[], askedAt: Millis): void {
  if (serial < limits.serial) return
  limits.serial = serial
  limits.grants = new Map()
  for (const grant of grants) {
    limits.grants.set(grant.resource, { amount: grant.amount, expiresAt: askedAt + grant.ttlMs })
  }
}

/** Returns how many more requests may start against a resource. */
export function getRemainingCapacity (limits: HolderLimits, resource: ResourceId, now: Millis): number {
  const grant = limits.grants.get(resource)
  if (grant === undefined || now >= grant.expiresAt) return 0
  return Math.max(0, grant.amount - (limits.inFlight.get(resource) ?? 0))
}

/**
 * Records demand for a resource beyond the requests in flight; the next report includes it.
 *
 * @param extra number of requests that would use the resource if they had capacity
 */
export function recordDemand (limits: HolderLimits, resource: ResourceId, extra: number): void {
  const wanted = (limits.inFlight.get(resource) ?? 0) + extra
  limits.wanted.set(resource, Math.max(limits.wanted.get(resource) ?? 0, wanted))
}

/** Returns whether a request may start against all of these resources. */
export function hasCapacity (limits: HolderLimits, resources: readonly ResourceId[], now: Millis): boolean {
  return resources.every(resource => getRemainingCapacity(limits, resource, now) > 0)
}

/** Counts a request as in flight. Each call needs a matching call of `releaseCapacity` when the request ends. */
export function acquireCapacity (limits: HolderLimits, resources: readonly ResourceId[]): void {
  for (const resource of resources) {
    limits.inFlight.set(resource, (limits.inFlight.get(resource) ?? 0) + 1)
    recordDemand(limits, resource, 0)
  }
}

/** Removes an ended request from the counts of requests in flight. */
export function releaseCapacity (limits: HolderLimits, resources: readonly ResourceId[]): void {
  for (const resource of resources) {
    const remaining = (limits.inFlight.get(resource) ?? 0) - 1
    if (remaining > 0) limits.inFlight.set(resource, remaining)
    else limits.inFlight.delete(resource)
  }
}

/** Returns the usage of the capped resources for a report, and resets the recorded demand. */
export function collectUsages (limits: HolderLimits, cappedResources: Iterable<ResourceId>): Usage[] {
  const usages: Usage[] = []
  for (const resource of cappedResources) {
    const inFlight = limits.inFlight.get(resource) ?? 0
    usages.push({ resource, inFlight, wanted: Math.max(inFlight, limits.wanted.get(resource) ?? 0) })
  }
  limits.wanted = new Map()
  return usages
}
