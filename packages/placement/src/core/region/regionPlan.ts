/**
 * Plans which fraction of a region's objects is served in which region.
 *
 * A region may have a third of the callers and a tenth of the servers. Each VM sees a small fraction of the requests,
 * so none of them notices by itself that the region is full. If each VM guessed, objects would move between regions and
 * be cold wherever they arrive, and the cold work would fill the slots of all regions. The symptom is objects that are
 * served in three regions within a second. One plan is therefore computed from the demand and the slots of all regions.
 * It changes slowly, and every VM derives an object's region from it by hash.
 */
import { hashText } from '@lynxcourse/base'
import type { Millis, RegionId } from '@lynxcourse/base'

/** The load of one region in a service. */
export interface RegionLoad {
  readonly region: RegionId
  /** Number of slots of its open servers. */
  readonly slots: number
  /** Number of slots that its callers' requests need if their objects are warm, in any region. */
  readonly demand: number
  /** Highest recent demand. */
  readonly peak: number
}

/** Fractions of one region's objects by the region that serves them; they add up to 1. */
export type RegionShares = ReadonlyMap<RegionId, number>

/** A service's plan: the shares of each region's objects. */
export type RegionPlan = ReadonlyMap<RegionId, RegionShares>

/**
 * Mean wait for a slot, as a fraction of the work time, that a region's utilization may cause at peak demand. A longer
 * wait would exceed the network delay to another region.
 */
const maxWaitRatio = 0.25
/** Utilizations that differ by less move almost no objects. */
const utilizationPrecision = 0.001
/**
 * Utilization of a region under the current plan above which the plan changes. Below it, waiting costs less than cold
 * work in another region. The demands of regions rise and fall at different times, and a plan that follows each change
 * would move objects back and forth and make each of them cold twice.
 */
const maxUtilization = 0.8
/**
 * Fraction of a region's objects that has to be able to return before the plan changes for it. A smaller fraction is
 * not worth the cold work: objects in a remote region cost only the network delay.
 */
const minReturnFraction = 0.25
/** Each region uses the capacity that the others leave. From this iteration on, shares change by less than 0.01. */
const planIterations = 8
/**
 * Utilization above the mean of all regions that a region may reach where the mean is high: regions reach their peaks
 * at different times.
 */
const utilizationMargin = 0.2
/** Utilization that is assumed before any demand is known, with the same demand from the callers of each region. */
const initialUtilization = 0.6
/** Assumed ratio of a region's peak demand to its mean. */
const peakToMeanRatio = 1.5
/**
 * Largest fraction of a region's objects that moves per second: 6 % in two seconds, well below the 15 % that callers
 * are guaranteed.
 */
export const maxShareChangePerSecond = 0.03
/** The same after a loss of servers: objects without a server have to move at once. */
export const maxShareChangeAfterLossPerSecond = 0.25

/**
 * Returns the plan that demand and slots require, independent of the current one. Each region keeps what it can serve
 * at the peak of its own demand beside the mean demand of other regions' callers, and sends the rest to regions with
 * free slots.
 *
 * @param serverSlots mean number of slots per server
 */
export function computeTargetPlan (loads: readonly RegionLoad[], serverSlots: number): RegionPlan {
  const slots = sumValues(loads.map(load => load.slots))
  const demand = sumValues(loads.map(load => load.demand))
  if (slots === 0) return new Map(loads.map(({ region }) => [region, new Map([[region, 1]])]))
  const utilization = Math.max(maxUtilizationForWait(serverSlots), demand / slots + utilizationMargin)
  const plan = new Map(loads.map(load => [load.region, computeShares(load, 1, loads)]))
  for (let iteration = 0; iteration < planIterations; iteration++) {
    for (const load of loads) {
      const capacity = Math.max(0, utilization * load.slots - computeInflow(load.region, plan, loads))
      plan.set(load.region, computeShares(load, load.peak === 0 ? 1 : Math.min(1, capacity / load.peak), loads))
    }
  }
  return plan
}

/**
 * Returns the utilization at which the mean wait for a slot reaches the accepted fraction of the work time, by
 * Sakasegawa's approximation for one queue with `serverSlots` slots.
 *
 * The fewer slots a server has, the longer requests wait there before all slots are taken. Without this bound, callers
 * of a region would be answered late although its servers have free slots, while another region could serve them in
 * time.
 */
export function maxUtilizationForWait (serverSlots: number): number {
  const exponent = Math.sqrt(2 * (serverSlots + 1)) - 1
  let [min, max] = [0, 1]
  while (max - min > utilizationPrecision) {
    const utilization = (min + max) / 2
    const wait = utilization ** exponent / (serverSlots * (1 - utilization))
    if (wait > maxWaitRatio) max = utilization
    else min = utilization
  }
  return min
}

/** Returns the mean number of slots in a region that other regions' callers use. */
function computeInflow (region: RegionId, plan: RegionPlan, loads: readonly RegionLoad[]): number {
  const others = loads.filter(load => load.region !== region)
  return sumValues(others.map(load => load.demand * (plan.get(load.region)?.get(region) ?? 0)))
}

/** Returns the plan to use before any demand was measured. */
export function createInitialPlan (loads: readonly RegionLoad[], serverSlots: number): RegionPlan {
  const slots = sumValues(loads.map(load => load.slots))
  const demand = slots * initialUtilization / Math.max(1, loads.length)
  return computeTargetPlan(loads.map(load => ({ ...load, demand, peak: demand * peakToMeanRatio })), serverSlots)
}

/**
 * Estimates the peak of a region's demand from the sum of all regions, assuming equal callers in all regions whose
 * demand rises and falls at different times.
 *
 * Without the estimate, a region that is first observed at its lowest demand seems to have room for all of its objects,
 * and they return. Each of them is cold there once. When demand rises, the region's servers are too full to give
 * objects up without more cold work. The symptom is a region whose callers are answered late at each peak of its
 * demand, above all at the first one.
 */
export function estimatePeakDemand (loads: readonly RegionLoad[]): number {
  return sumValues(loads.map(load => load.demand)) / Math.max(1, loads.length) * peakToMeanRatio
}

/**
 * Returns whether the current plan differs so much from the target that objects have to move, or enough of them can
 * return.
 */
export function shouldMoveObjects (current: RegionPlan, target: RegionPlan, loads: readonly RegionLoad[]): boolean {
  const isFull = loads.some(({ region, slots }) => computeLoad(region, current, loads) > maxUtilization * slots)
  const mayReturn = loads.some(({ region }) => getLocalShare(target, region) - getLocalShare(current, region) > minReturnFraction)
  return isFull || mayReturn
}

/** Returns the number of slots in a region that a plan uses. */
function computeLoad (region: RegionId, plan: RegionPlan, loads: readonly RegionLoad[]): number {
  return sumValues(loads.map(load => load.demand * (plan.get(load.region)?.get(region) ?? 0)))
}

function getLocalShare (plan: RegionPlan, region: RegionId): number {
  return plan.get(region)?.get(region) ?? 0
}

/** Returns a region's shares: the local share stays in the region, the rest is split among the others by their slots. */
function computeShares ({ region, slots }: RegionLoad, localShare: number, loads: readonly RegionLoad[]): RegionShares {
  const local = slots === 0 ? 0 : localShare
  const remote = loads.filter(load => load.region !== region)
  const remoteSlots = sumValues(remote.map(load => load.slots))
  const shares = new Map<RegionId, number>([[region, remoteSlots === 0 ? 1 : local]])
  for (const other of remote) shares.set(other.region, remoteSlots === 0 ? 0 : (1 - local) * other.slots / remoteSlots)
  return shares
}

/** Moves a plan towards another one by the largest change that is allowed for the time since the last step. */
export function advancePlan (from: RegionPlan, to: RegionPlan, isLoss: boolean, passedMs: Millis): RegionPlan {
  const maxChange = (isLoss ? maxShareChangeAfterLossPerSecond : maxShareChangePerSecond) * passedMs / 1000
  const next = new Map<RegionId, RegionShares>()
  for (const [region, shares] of to) next.set(region, advanceShares(from.get(region) ?? shares, shares, maxChange))
  return next
}

function advanceShares (from: RegionShares, to: RegionShares, maxChange: number): RegionShares {
  const regions = new Set([...from.keys(), ...to.keys()])
  let change = 0
  for (const region of regions) change += Math.max(0, (to.get(region) ?? 0) - (from.get(region) ?? 0))
  const fraction = change <= maxChange ? 1 : maxChange / change
  const advanced = new Map<RegionId, number>()
  for (const region of regions) {
    const previous = from.get(region) ?? 0
    advanced.set(region, previous + ((to.get(region) ?? 0) - previous) * fraction)
  }
  return advanced
}

const hashRange = 2 ** 32

/**
 * Returns the region that serves an object, by the shares of its callers' region; undefined if no region has a server.
 * Regions have a fixed order, so that a changed share moves only the objects at its boundary.
 *
 * @param open regions with a server that may get the object; if the plan gives them no share, they count equally
 */
export function selectRegion (shares: RegionShares, local: RegionId, object: string, open: ReadonlySet<RegionId>): RegionId | undefined {
  const regions = [...open].sort((a, b) => getRegionOrder(a, local) - getRegionOrder(b, local) || (a < b ? -1 : 1))
  const planned = sumValues(regions.map(region => shares.get(region) ?? 0))
  const getFraction = (region: RegionId): number => planned === 0 ? 1 / regions.length : (shares.get(region) ?? 0) / planned
  let remaining = hashText(`${object}|region`) / hashRange
  for (const region of regions) {
    remaining -= getFraction(region)
    if (remaining < 0) return region
  }
  return regions.at(-1)
}

function getRegionOrder (region: RegionId, local: RegionId): number {
  return region === local ? 0 : 1
}

function sumValues (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}
