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
export function chooseEntries (entries: readonly HeardEntry[], region: RegionId | undefined, staleMs: Millis, now: Millis, _random: Random): string[] {
  const ready = entries.filter(entry => entry.presence.isReady && now - entry.heardAt < staleMs)
  const near = ready.filter(entry => entry.presence.region === region)
  const chosen = near.length > 0 ? near : ready
  return chosen.slice(0, maxAddresses).map(entry => entry.presence.address)
}
