/**
 * Shares of caps, kept in the log so that a new leader knows what its predecessor may have granted.
 *
 * What can go wrong: a share is lowered and the freed part given to another VM while the first still
 * holds a grant of the old size, so that both together pass the cap. So each share has an amount,
 * which new grants carry, and a ceiling, the most that an unexpired grant may still carry; the sum of
 * the ceilings stays within the cap, and a ceiling falls only when the leader reports that it lapsed.
 */
import type { HolderId, ResourceId } from '@lynxcourse/base'
import type { AllocateCommand, AllocationChange } from '../types/commands.js'

export interface Allocation {
  amount: number
  ceiling: number
}

export type Shares = Map<HolderId, Allocation>

export interface Allocations {
  byResource: Map<ResourceId, Shares>
}

export function createAllocations (): Allocations {
  return { byResource: new Map() }
}

/** The sum that unexpired grants of a resource may come to. */
export function outstanding (allocations: Allocations, resource: ResourceId): number {
  let sum = 0
  for (const share of allocations.byResource.get(resource)?.values() ?? []) sum += share.ceiling
  return sum
}

/**
 * Applies a plan. A raise that would take the ceilings over the cap is left out: the leader planned
 * on an older configuration, and the cap has been lowered since.
 *
 * @param capOf the cap less all floors, by the configuration at this point of the log
 */
export function allocate (allocations: Allocations, command: AllocateCommand, capOf: (resource: ResourceId) => number): void {
  for (const lapsed of command.lapsed) lapse(allocations, lapsed)
  for (const change of command.changes) setShare(allocations, change, capOf(change.resource))
}

function lapse (allocations: Allocations, lapsed: AllocationChange): void {
  const shares = allocations.byResource.get(lapsed.resource)
  const share = shares?.get(lapsed.holder)
  // A share changed since the leader judged it is judged again.
  if (shares === undefined || share === undefined || share.amount !== lapsed.amount) return
  share.ceiling = share.amount
  if (share.amount === 0) shares.delete(lapsed.holder)
  if (shares.size === 0) allocations.byResource.delete(lapsed.resource)
}

function setShare (allocations: Allocations, change: AllocationChange, cap: number): void {
  const shares = allocations.byResource.get(change.resource) ?? new Map<HolderId, Allocation>()
  const share = shares.get(change.holder) ?? { amount: 0, ceiling: 0 }
  const ceiling = Math.max(share.ceiling, change.amount)
  const sum = outstanding(allocations, change.resource) - share.ceiling + ceiling
  if (change.amount > share.amount && sum > cap) return
  share.amount = change.amount
  share.ceiling = ceiling
  shares.set(change.holder, share)
  allocations.byResource.set(change.resource, shares)
}
