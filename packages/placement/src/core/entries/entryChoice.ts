/** Which entry VMs a caller is told to use. */
import type { FailureDomainId, Millis, Random, RegionId } from '@lynxcourse/base'

/** An entry VM as the control VMs hear of it. */
export interface EntryPresence {
  readonly name: string
  /** Where callers reach it. */
  readonly address: string
  readonly failureDomain: FailureDomainId
  readonly region: RegionId
  readonly isReady: boolean
}

export interface HeardEntry {
  readonly presence: EntryPresence
  readonly heardAt: Millis
}

/** Most addresses in one answer. */
const maxAddresses = 64

/**
 * Addresses for a caller: the ready VMs of its region; where there are none, those of all regions,
 * since a far entry VM is better than no answer.
 */
export function chooseEntries (entries: readonly HeardEntry[], region: RegionId | undefined, staleMs: Millis, now: Millis, random: Random): string[] {
  const ready = entries.filter(entry => entry.presence.isReady && now - entry.heardAt < staleMs)
  const near = ready.filter(entry => entry.presence.region === region)
  const chosen = near.length > 0 ? near : ready
  return sampleOf(chosen, maxAddresses, random).map(entry => entry.presence.address)
}

/**
 * So many of them by chance, each as likely as the others. The first ones alone would get all callers where there are more VMs than
 * one answer names: it shows as VMs without callers beside others at the limit of their processors.
 */
function sampleOf<Item> (items: readonly Item[], count: number, random: Random): Item[] {
  if (items.length <= count) return [...items]
  const left = [...items]
  for (let place = 0; place < count; place++) {
    const drawn = place + Math.floor(random() * (left.length - place))
    const held = left[place] as Item
    left[place] = left[drawn] as Item
    left[drawn] = held
  }
  return left.slice(0, count)
}
