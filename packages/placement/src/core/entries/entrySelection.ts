/** Selects the entry VMs that a lookup returns to a caller. */
import type { FailureDomainId, Millis, Random, RegionId } from '@lynxcourse/base'

/** An entry VM as control VMs know it. */
export interface EntryPresence {
  readonly name: string
  /** Address at which callers reach it. */
  readonly address: string
  readonly failureDomain: FailureDomainId
  readonly region: RegionId
  readonly isReady: boolean
}

export interface KnownEntry {
  readonly presence: EntryPresence
  readonly lastSeenAt: Millis
}

/** Largest number of addresses in one answer. */
const maxAddresses = 64

/**
 * Returns addresses for a caller: the ready VMs of its region or, if there are none, those of all regions, since a
 * remote entry VM is better than no answer.
 */
export function selectEntries (entries: readonly KnownEntry[], region: RegionId | undefined, staleMs: Millis, now: Millis, random: Random): string[] {
  const ready = entries.filter(entry => entry.presence.isReady && now - entry.lastSeenAt < staleMs)
  const local = ready.filter(entry => entry.presence.region === region)
  const chosen = local.length > 0 ? local : ready
  return sampleItems(chosen, maxAddresses, random).map(entry => entry.presence.address)
}

/**
 * Returns `count` random items, each with the same probability. If an answer always named the first VMs, these would
 * get all callers where there are more VMs than one answer holds. The symptom is VMs without callers beside others
 * whose processors are saturated.
 */
function sampleItems<Item> (items: readonly Item[], count: number, random: Random): Item[] {
  if (items.length <= count) return [...items]
  const remaining = [...items]
  for (let index = 0; index < count; index++) {
    const drawnIndex = index + Math.floor(random() * (remaining.length - index))
    const swapped = remaining[index] as Item
    remaining[index] = remaining[drawnIndex] as Item
    remaining[drawnIndex] = swapped
  }
  return remaining.slice(0, count)
}
