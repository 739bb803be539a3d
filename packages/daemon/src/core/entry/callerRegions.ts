/** Determines the candidate regions for a caller. */
import { hashBlock, orderRegions, parseIpv4, findRegion } from '@lynxcourse/routing'
import type { CandidateRegion } from '@lynxcourse/routing'
import type { RegionId, ServiceId } from '@lynxcourse/base'
import type { Profile } from '@lynxcourse/state'
import type { EntryState } from './entry.js'

/** What the address block of a caller determines. */
export interface CallerInfo {
  readonly hash: number
  /** Region of the block; undefined if the address belongs to no known block. */
  readonly region: RegionId | undefined
}

/** Looks up the address block of a caller. */
export function getCallerInfo (entry: EntryState, address: string): CallerInfo {
  const ipv4 = parseIpv4(address)
  if (ipv4 === undefined) return { hash: 0, region: undefined }
  return { hash: hashBlock(ipv4), region: findRegion(entry.callerBlockTable, ipv4) }
}

/**
 * Returns the regions to try for a caller, in order. A caller of an unknown block is treated as one in this VM's
 * region.
 */
export function getCandidateRegions (entry: EntryState, service: ServiceId, profile: Profile, caller: CallerInfo): CandidateRegion[] {
  return orderRegions({
    service,
    places: profile.places,
    callerRegion: caller.region ?? entry.node.cfg.region,
    drained: entry.drained,
    shifts: entry.shifts,
    callerHash: caller.hash,
    latencies: entry.router.setup.latencies
  })
}
