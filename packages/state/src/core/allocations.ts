/**
 * Allocations: the shares of caps that holders may use. The replicated log carries them, so that a new
 * leader knows what its predecessor may have granted.
 *
 * An allocation may be lowered and the difference given to another VM while the first VM still holds a
 * grant of the old size; both together would then exceed the cap. Each allocation therefore has an amount,
 * which new grants carry, and a ceiling, the maximum that an unexpired grant may still carry. The sum of
 * the ceilings stays within the cap, and a ceiling falls only when the leader reports that the grants above
 * the amount have expired.
 */
import type { HolderId, ResourceId } from '@lynxcourse/base'
import type { AllocateCommand, AllocationChange } from '../types/commands.js'

export interface Allocation {
  amount: number
  ceiling: number
}

export type AllocationsByHolder = Map<HolderId, Allocation>

export interface Allocations {
  byResource: Map<ResourceId, AllocationsByHolder>
}

export function createAllocations (): Allocations {
  return { byResource: new Map() }
}

/** Returns the maximum that all unexpired grants of a resource may add up to. */
export function sumCeilings (allocations: Allocations, resource: ResourceId): number {
  let sum = 0
  for (const allocation of allocations.byResource.get(resource)?.values() ?? []) sum += allocation.ceiling
  return sum
}

/**
 * Applies the allocations that the leader planned. Skips an increase that would raise the sum of the ceilings
 * above the cap: the leader planned it from an older configuration, and the cap has been lowered since.
 *
 * @param getCap returns a resource's cap in the configuration at this point of the log
 */
export function applyAllocations (allocations: Allocations, command: AllocateCommand, getCap: (resource: ResourceId) => number): void {
  for (const expired of command.lapsed) lowerCeiling(allocations, expired)
  for (const change of command.changes) setAllocation(allocations, change, getCap(change.resource))
}

function lowerCeiling (allocations: Allocations, expired: AllocationChange): void {
  const allocationsByHolder = allocations.byResource.get(expired.resource)
  const allocation = allocationsByHolder?.get(expired.holder)
  // The allocation changed after the leader checked it, so the leader has to check it again.
  if (allocationsByHolder === undefined || allocation === undefined || allocation.amount !== expired.amount) return
  allocation.ceiling = allocation.amount
  if (allocation.amount === 0) allocationsByHolder.delete(expired.holder)
  if (allocationsByHolder.size === 0) allocations.byResource.delete(expired.resource)
}

function setAllocation (allocations: Allocations, change: AllocationChange, cap: number): void {
  const allocationsByHolder = allocations.byResource.get(change.resource) ?? new Map<HolderId, Allocation>()
  const allocation = allocationsByHolder.get(change.holder) ?? { amount: 0, ceiling: 0 }
  const ceiling = Math.max(allocation.ceiling, change.amount)
  const sum = sumCeilings(allocations, change.resource) - allocation.ceiling + ceiling
  if (change.amount > allocation.amount && sum > cap) return
  allocation.amount = change.amount
  allocation.ceiling = ceiling
  allocationsByHolder.set(change.holder, allocation)
  allocations.byResource.set(change.resource, allocationsByHolder)
}
