/** The board's part that follows the demand of regions and moves their plans. */
import type { Millis, RegionId, ServiceId } from '@lynxcourse/base'
import { assumedHeight, firstPlan, mustMove, stepPlan, targetPlan } from '../region/regionPlan.js'
import type { RegionLoad } from '../region/regionPlan.js'
import { loadReportTtlMs } from '../../types/loads.js'
import type { KnownServers, ServiceSlots } from '../../types/loads.js'
import type { LoadBoard } from './loadBoard.js'

/** Smoothing of the demand in a second: about three seconds of a wave of callers. */
const demandSmoothingPerSecond = 0.3
/** Part of the way back to the present demand that a peak goes in a second: half of it in about a minute. */
const peakDecayPerSecond = 0.012
/** Demand below this part of the slots says nothing yet. */
const leastFill = 0.05
/** A region that lost this part of its slots lost servers; fewer are the planned changes of an ordinary day. */
const lossPart = 0.15
const lossForMs: Millis = 3000
/** Time in which a region's demand shows how high it rises; until then its height is assumed. */
const swingMs: Millis = 45_000

/** Follows the demand of each region's callers by the last digests, and its height. */
export function smoothDemand (board: LoadBoard, passedMs: Millis, now: Millis): void {
  const present = new Map<string, number>()
  for (const [control, { busy, at }] of board.byControl) {
    if (now - at > loadReportTtlMs) board.byControl.delete(control)
    else for (const [service, region, slots] of busy) present.set(`${service} ${region}`, (present.get(`${service} ${region}`) ?? 0) + slots)
  }
  // The demand of a former leader's measuring stands until the VMs' reports have come; taken for the fall of demand that it
  // looks like, their lack would move objects away from the servers that are warm for them.
  if (board.demand.size > 0 && now - board.resumedAt < loadReportTtlMs) return
  if (board.measuringSince === undefined && present.size > 0) board.measuringSince = now
  const measuredMs = now - (board.measuringSince ?? now)
  // The first reports are averaged: smoothed up from nothing, a demand that has just begun looks so small that objects come
  // home to a region that can't hold them.
  const part = Math.max(demandSmoothingPerSecond * passedMs / 1000, passedMs / (measuredMs + passedMs || 1))
  for (const key of new Set([...present.keys(), ...board.demand.keys()])) {
    const held = board.demand.get(key) ?? 0
    const demand = held + ((present.get(key) ?? 0) - held) * part
    const peak = board.peaks.get(key) ?? 0
    board.demand.set(key, demand)
    board.peaks.set(key, Math.max(demand, peak - (peak - demand) * peakDecayPerSecond * passedMs / 1000))
  }
}

/** Remembers the slots; whether some region lost many at once. */
function noteSlots (board: LoadBoard, slots: ServiceSlots): boolean {
  let isLoss = false
  for (const [service, byRegion] of slots) {
    for (const [region, count] of byRegion) {
      const key = `${service} ${region}`
      if (count < (board.slots.get(key) ?? 0) * (1 - lossPart)) isLoss = true
      board.slots.set(key, count)
    }
  }
  return isLoss
}

/** Moves the plan of each service on. */
export function planRegions (board: LoadBoard, slots: ServiceSlots, places: KnownServers, passedMs: Millis, now: Millis): void {
  if (noteSlots(board, slots)) board.lossUntil = now + lossForMs
  const serverSlots = meanSlots(places)
  for (const [service, byRegion] of slots) planService(board, service, byRegion, serverSlots.get(service) ?? 1, passedMs, now)
}

/** Slots of one server on the mean, by service. */
function meanSlots (places: KnownServers): Map<ServiceId, number> {
  const sums = new Map<ServiceId, { slots: number, servers: number }>()
  for (const { service, slots } of places.values()) {
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
  const held = board.plans.get(service)
  const demand = loads.reduce((sum, load) => sum + load.demand, 0)
  const total = loads.reduce((sum, load) => sum + load.slots, 0)
  const measuredMs = now - (board.measuringSince ?? now)
  if (demand >= total * leastFill && measuredMs >= loadReportTtlMs) board.measured.add(service)
  if (held === undefined || !board.measured.has(service)) {
    board.plans.set(service, firstPlan(loads, serverSlots))
    return
  }
  const leastPeak = measuredMs < swingMs ? assumedHeight(loads) : 0
  const target = targetPlan(loads.map(load => ({ ...load, peak: Math.max(load.peak, leastPeak) })), serverSlots)
  if (mustMove(held, target, loads)) board.plans.set(service, stepPlan(held, target, now < board.lossUntil, passedMs))
}
