/** The order of regions for one caller at this VM. */
import { hashBlock, orderRegions, parseIpv4, findRegion } from '@lynxcourse/routing'
import type { CandidateRegion } from '@lynxcourse/routing'
import type { RegionId, ServiceId } from '@lynxcourse/base'
import type { Profile } from '@lynxcourse/state'
import type { EntryState } from './entry.js'

/** A caller by its address block. */
export interface CallerBlockInfo {
  readonly hash: number
  /** Region of the block; undefined if no block is known. */
  readonly region: RegionId | undefined
}

/** What is known of a caller from its address. */
export function getCallerInfo (entry: EntryState, address: string): CallerBlockInfo {
  const number = parseIpv4(address)
  if (number === undefined) return { hash: 0, region: undefined }
  return { hash: hashBlock(number), region: findRegion(entry.blocks, number) }
}

/** Regions to try for a caller; where its block is unknown, as seen from this VM. */
export function getCandidateRegions (entry: EntryState, service: ServiceId, profile: Profile, caller: CallerBlockInfo): CandidateRegion[] {
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
