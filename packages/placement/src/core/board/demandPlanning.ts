/** The part of the load board that tracks the demand of regions and updates their plans. */
import type { Millis, RegionId, ServiceId } from '@lynxcourse/base'
import { estimatePeakDemand, createInitialPlan, shouldMoveObjects, advancePlan, computeTargetPlan } from '../region/regionPlan.js'
import type { RegionLoad } from '../region/regionPlan.js'
import { loadReportTtlMs } from '../../types/loads.js'
import type { KnownServers, ServiceSlots } from '../../types/loads.js'
import type { LoadBoard } from './boardState.js'

/** Smoothing of the demand per second: averages about three seconds of a wave of callers. */
const demandSmoothingPerSecond = 0.3
/** Fraction of the distance to the current demand by which a peak falls per second: half of it in about a minute. */
const peakDecayPerSecond = 0.012
/** Demand below this fraction of the slots is too little to plan by. */
const minMeasuredUtilization = 0.05
/** A region that loses this fraction of its slots at once has lost servers; planned changes are smaller. */
const minLossFraction = 0.15
const fastMoveMs: Millis = 3000
/** Time after which a region's demand has shown its peak. Until then the peak is estimated. */
const peakObservationMs: Millis = 45_000

/** Smooths the demand of each region's callers by the last digests, and tracks its peak. */
export function smoothDemand (board: LoadBoard, passedMs: Millis, now: Millis): void {
  const current = new Map<string, number>()
  for (const [control, { busy, at }] of board.byControl) {
    if (now - at > loadReportTtlMs) board.byControl.delete(control)
    else for (const [service, region, slots] of busy) current.set(`${service} ${region}`, (current.get(`${service} ${region}`) ?? 0) + slots)
  }
  // The demand that a former leader published stays in force until the VMs' reports have arrived. Without this rule,
  // missing reports would look like falling demand and move objects away from the servers that are warm for them.
  if (board.demand.size > 0 && now - board.resumedAt < loadReportTtlMs) return
  if (board.measurementStartedAt === undefined && current.size > 0) board.measurementStartedAt = now
  const measuredMs = now - (board.measurementStartedAt ?? now)
  // The first reports are averaged. If demand were smoothed up from zero, it would look so small at first that objects
  // would return to a region that can't serve them.
  const gain = Math.max(demandSmoothingPerSecond * passedMs / 1000, passedMs / (measuredMs + passedMs || 1))
  for (const key of new Set([...current.keys(), ...board.demand.keys()])) {
    const previous = board.demand.get(key) ?? 0
    const demand = previous + ((current.get(key) ?? 0) - previous) * gain
    const peak = board.peaks.get(key) ?? 0
    board.demand.set(key, demand)
    board.peaks.set(key, Math.max(demand, peak - (peak - demand) * peakDecayPerSecond * passedMs / 1000))
  }
}

/** Stores the slots of each region, and returns whether a region lost many of them at once. */
function updateSlots (board: LoadBoard, slots: ServiceSlots): boolean {
  let isLoss = false
  for (const [service, byRegion] of slots) {
    for (const [region, count] of byRegion) {
      const key = `${service} ${region}`
      if (count < (board.slots.get(key) ?? 0) * (1 - minLossFraction)) isLoss = true
      board.slots.set(key, count)
    }
  }
  return isLoss
}

/** Updates the plan of each service. */
export function planRegions (board: LoadBoard, slots: ServiceSlots, knownServers: KnownServers, passedMs: Millis, now: Millis): void {
  if (updateSlots(board, slots)) board.fastMoveUntil = now + fastMoveMs
  const serverSlots = computeMeanSlots(knownServers)
  for (const [service, byRegion] of slots) planService(board, service, byRegion, serverSlots.get(service) ?? 1, passedMs, now)
}

/** Returns the mean number of slots per server, by service. */
function computeMeanSlots (knownServers: KnownServers): Map<ServiceId, number> {
  const sums = new Map<ServiceId, { slots: number, servers: number }>()
  for (const { service, slots } of knownServers.values()) {
    const sum = sums.get(service) ?? { slots: 0, servers: 0 }
    sum.slots += slots
    sum.servers += 1
    sums.set(service, sum)
  }
  return new Map([...sums].map(([service, { slots, servers }]) => [service, slots / servers]))
}

function planService (board: LoadBoard, service: ServiceId, byRegion: ReadonlyMap<RegionId, number>, serverSlots: number, passedMs: Millis, now: Millis): void {
  const loads: RegionLoad[] = [...byRegion].map(([region, slots]) => {
    const key = `${service} ${region}`
    return { region, slots, demand: board.demand.get(key) ?? 0, peak: board.peaks.get(key) ?? 0 }
  })
  const current = board.plans.get(service)
  const demand = loads.reduce((sum, load) => sum + load.demand, 0)
  const total = loads.reduce((sum, load) => sum + load.slots, 0)
  const measuredMs = now - (board.measurementStartedAt ?? now)
  if (demand >= total * minMeasuredUtilization && measuredMs >= loadReportTtlMs) board.measuredServices.add(service)
  if (current === undefined || !board.measuredServices.has(service)) {
    board.plans.set(service, createInitialPlan(loads, serverSlots))
    return
  }
  const minPeak = measuredMs < peakObservationMs ? estimatePeakDemand(loads) : 0
  const target = computeTargetPlan(loads.map(load => ({ ...load, peak: Math.max(load.peak, minPeak) })), serverSlots)
  if (shouldMoveObjects(current, target, loads)) board.plans.set(service, advancePlan(current, target, now < board.fastMoveUntil, passedMs))
}
