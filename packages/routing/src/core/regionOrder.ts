/** The order in which regions are tried for a caller, by latency, preference, drains and shifts. */
import type { RegionId, ServiceId, ShiftId } from '@lynxcourse/base'
import { getLatencyMs } from '../types/view.js'
import type { ActiveShift, RegionLatencies } from '../types/view.js'

/** A region to try. */
export interface CandidateRegion {
  readonly region: RegionId
  /** The shift that moved the caller to this region, if any. */
  readonly shift: ShiftId | undefined
}

/** The inputs that determine the order. */
export interface RegionOrderInput {
  readonly service: ServiceId
  /** The profile's regions in order of preference. */
  readonly places: readonly RegionId[]
  readonly callerRegion: RegionId | undefined
  /** Regions that receive no new requests. */
  readonly drained: ReadonlySet<RegionId>
  readonly shifts: readonly ActiveShift[]
  /** `blockHash` of the caller's address. */
  readonly callerHash: number
  readonly latencies: RegionLatencies
}

const maxPercent = 100

/** Number of buckets for callers' address blocks. Callers of a bucket share lookup answers and are shifted together. */
export const callerBucketCount = 512

/**
 * Orders the regions for a caller: the caller's own region first, then the others by latency from it and by
 * preference. A shift that applies to the caller moves its destination ahead of its origin.
 */
export function orderRegions (input: RegionOrderInput): CandidateRegion[] {
  const { callerRegion, places, drained } = input
  const available = places.filter(region => !drained.has(region))
  const getDistance = (region: RegionId): number =>
    callerRegion === undefined ? 0 : getLatencyMs(input.latencies, callerRegion, region)
  const ordered = available
    .map((region, preference) => ({ region, preference }))
    .sort((a, b) => getDistance(a.region) - getDistance(b.region) || a.preference - b.preference)
    .map(({ region }): CandidateRegion => ({ region, shift: undefined }))
  return input.shifts.reduce((list, shift) => applyShift(list, shift, input), ordered)
}

function applyShift (list: CandidateRegion[], shift: ActiveShift, input: RegionOrderInput): CandidateRegion[] {
  if (shift.service !== input.service || !isShifted(shift, input.callerHash)) return list
  const from = list.findIndex(candidate => candidate.region === shift.from)
  const to = list.findIndex(candidate => candidate.region === shift.to)
  const isDestinationLater = from >= 0 && to > from
  if (!isDestinationLater) return list
  const reordered = list.filter((_, index) => index !== to)
  reordered.splice(from, 0, { region: shift.to, shift: shift.id })
  return reordered
}

/** Returns whether a shift applies to a caller's block. A block that is shifted stays so as the percentage grows. */
export function isShifted (shift: ActiveShift, callerHash: number): boolean {
  return callerHash % callerBucketCount * maxPercent < shift.percent * callerBucketCount
}
