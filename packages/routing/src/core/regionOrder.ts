/** The order of regions for a caller: preference, drains and shifts. */
import type { RegionId, ServiceId, ShiftId } from '@lynxcourse/base'
import { latencyBetween } from '../types/view.js'
import type { ActiveShift, RegionLatencies } from '../types/view.js'

/** A region to try, and the shift that put it there. */
export interface CandidateRegion {
  readonly region: RegionId
  readonly shift: ShiftId | undefined
}

/** What the order is made from. */
export interface PlaceInput {
  readonly service: ServiceId
  /** The profile's regions in order of preference. */
  readonly places: readonly RegionId[]
  readonly callerRegion: RegionId | undefined
  /** Regions that no new work may go to. */
  readonly drained: ReadonlySet<RegionId>
  readonly shifts: readonly ActiveShift[]
  /** `blockHash` of the caller's address. */
  readonly callerHash: number
  readonly latencies: RegionLatencies
}

const percents = 100

/** Callers' blocks are put in this many groups, which share look-up answers and shifts. */
export const callerBucketCount = 512

/**
 * Orders regions for a caller: its own first, the rest by latency from there and then by preference;
 * a shift that took the caller's block puts its destination before its origin.
 */
export function orderRegions (input: PlaceInput): CandidateRegion[] {
  const { callerRegion, places, drained } = input
  const usable = places.filter(region => !drained.has(region))
  const distance = (region: RegionId): number =>
    callerRegion === undefined ? 0 : latencyBetween(input.latencies, callerRegion, region)
  const ordered = usable
    .map((region, preference) => ({ region, preference }))
    .sort((a, b) => distance(a.region) - distance(b.region) || a.preference - b.preference)
    .map(({ region }): CandidateRegion => ({ region, shift: undefined }))
  return input.shifts.reduce((list, shift) => applyShift(list, shift, input), ordered)
}

function applyShift (list: CandidateRegion[], shift: ActiveShift, input: PlaceInput): CandidateRegion[] {
  if (shift.service !== input.service || !isTaken(shift, input.callerHash)) return list
  const from = list.findIndex(place => place.region === shift.from)
  const to = list.findIndex(place => place.region === shift.to)
  const isMove = from >= 0 && to > from
  if (!isMove) return list
  const rest = list.filter((_, place) => place !== to)
  rest.splice(from, 0, { region: shift.to, shift: shift.id })
  return rest
}

/** Whether a shift takes a caller's block; a block once taken stays taken as the share grows. */
export function isTaken (shift: ActiveShift, callerHash: number): boolean {
  return callerHash % callerBucketCount * percents < shift.percent * callerBucketCount
}
