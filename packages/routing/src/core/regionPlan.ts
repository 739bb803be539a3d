/**
 * Which part of a region's objects is served in which region.
 *
 * What can go wrong: a region has a third of the callers and a tenth of the servers. Each VM sees a small
 * part of the requests, so none sees by itself that the region is full; objects then move between regions as
 * each VM guesses, are cold wherever they arrive, and the cold work fills the slots of all. It shows as
 * objects that are served in three regions within a second. So one plan is made from the demand and the
 * slots of all regions; it moves slowly, and every VM reads an object's region from it by hash.
 */
import { hashText } from '@lynxcourse/base'
import type { Millis, RegionId } from '@lynxcourse/base'

/** One region's part in a service. */
export interface RegionLoad {
  readonly region: RegionId
  /** Slots of its open servers. */
  readonly slots: number
  /** Slots that its callers' requests keep busy, in whatever region. */
  readonly demand: number
}

/** Parts of one region's objects by the region that serves them; they add up to 1. */
export type RegionShares = ReadonlyMap<RegionId, number>

/** A service's plan: the shares of each region's objects. */
export type RegionPlan = ReadonlyMap<RegionId, RegionShares>

/**
 * Fill of a region's slots up to which its own objects stay: at three slots a server, about a quarter of the
 * requests find them all busy there, and wait for a third of the work.
 */
const nearFill = 0.55
/** Room above the mean fill that is needed so that everything fits somewhere. */
const fillMargin = 1.05
/** Fill that is assumed before there is any demand: callers of all regions alike, slots this full. */
const firstFill = 0.6
/** Largest part of a region's objects that moves in a second: 6 % in two seconds, well below the 15 % that callers are promised. */
export const shareStepPerSecond = 0.03
/** The same where servers were lost: objects without a server must go somewhere at once. */
export const lossStepPerSecond = 0.25

/** The plan that demand and slots ask for, whatever is in force now. */
export function targetPlan (loads: readonly RegionLoad[]): RegionPlan {
  const slots = sumOf(loads.map(load => load.slots))
  const demand = sumOf(loads.map(load => load.demand))
  if (slots === 0) return new Map(loads.map(({ region }) => [region, new Map([[region, 1]])]))
  const fill = Math.max(nearFill, demand / slots * fillMargin)
  const stays = new Map(loads.map(load => [load.region, Math.min(load.demand, fill * load.slots)]))
  const spare = new Map(loads.map(load => [load.region, fill * load.slots - (stays.get(load.region) ?? 0)]))
  return new Map(loads.map(load => [load.region, sharesOf(load, stays.get(load.region) ?? 0, spare)]))
}

/** The plan before any demand was measured. */
export function firstPlan (loads: readonly RegionLoad[]): RegionPlan {
  const slots = sumOf(loads.map(load => load.slots))
  return targetPlan(loads.map(load => ({ ...load, demand: slots * firstFill / Math.max(1, loads.length) })))
}

function sharesOf (load: RegionLoad, stays: number, spare: ReadonlyMap<RegionId, number>): RegionShares {
  const { region, slots, demand } = load
  const near = demand === 0 ? (slots > 0 ? 1 : 0) : stays / demand
  const shares = new Map<RegionId, number>([[region, near]])
  const elsewhere = [...spare].filter(([other]) => other !== region)
  const room = sumOf(elsewhere.map(([, free]) => free))
  for (const [other, free] of elsewhere) shares.set(other, room === 0 ? 0 : (1 - near) * free / room)
  return shares
}

/** Goes from one plan towards another, by the largest step that is allowed since the last one. */
export function stepPlan (from: RegionPlan, to: RegionPlan, isLoss: boolean, passedMs: Millis): RegionPlan {
  const step = (isLoss ? lossStepPerSecond : shareStepPerSecond) * passedMs / 1000
  const next = new Map<RegionId, RegionShares>()
  for (const [region, shares] of to) next.set(region, stepShares(from.get(region) ?? shares, shares, step))
  return next
}

function stepShares (from: RegionShares, to: RegionShares, step: number): RegionShares {
  const regions = new Set([...from.keys(), ...to.keys()])
  let moved = 0
  for (const region of regions) moved += Math.max(0, (to.get(region) ?? 0) - (from.get(region) ?? 0))
  const part = moved <= step ? 1 : step / moved
  const stepped = new Map<RegionId, number>()
  for (const region of regions) {
    const held = from.get(region) ?? 0
    stepped.set(region, held + ((to.get(region) ?? 0) - held) * part)
  }
  return stepped
}

const hashRange = 2 ** 32

/**
 * The region that serves an object by the shares of its callers' region; undefined where none has a server.
 * Regions stand in one order, so that a changed share moves only the objects at its border.
 *
 * @param open regions with a server that may get it; where the plan gives them nothing, they count alike
 */
export function regionOf (shares: RegionShares, near: RegionId, object: string, open: ReadonlySet<RegionId>): RegionId | undefined {
  const regions = [...open].sort((a, b) => rankOf(a, near) - rankOf(b, near) || (a < b ? -1 : 1))
  const planned = sumOf(regions.map(region => shares.get(region) ?? 0))
  const partOf = (region: RegionId): number => planned === 0 ? 1 / regions.length : (shares.get(region) ?? 0) / planned
  let left = hashText(`${object}|region`) / hashRange
  for (const region of regions) {
    left -= partOf(region)
    if (left < 0) return region
  }
  return regions.at(-1)
}

function rankOf (region: RegionId, near: RegionId): number {
  return region === near ? 0 : 1
}

function sumOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}
