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
  /** Slots that its callers' requests need where their objects are warm, in whatever region. */
  readonly demand: number
  /** Highest demand of late. */
  readonly peak: number
}

/** Parts of one region's objects by the region that serves them; they add up to 1. */
export type RegionShares = ReadonlyMap<RegionId, number>

/** A service's plan: the shares of each region's objects. */
export type RegionPlan = ReadonlyMap<RegionId, RegionShares>

/** Mean wait for a slot that a region's fill may cause at the height of its demand, in parts of the work: the way to another region takes no longer. */
const waitPart = 0.25
/** Fills that differ by less move next to no objects. */
const fillPrecision = 0.001
/**
 * Fill of a region by the plan in force from which it moves: below it the waits cost less than cold work elsewhere. Regions' demands rise and fall by turns;
 * a plan that follows each of them moves objects there and back, and makes each of them cold twice.
 */
const mostFill = 0.8
/** Part of a region's objects that could come home from which it is worth their cold work: what stays away costs only its way. */
const homecomingPart = 0.25
/** Regions give way to each other's rest; after so many rounds their shares change by less than a hundredth. */
const planRounds = 8
/** The same above the mean fill of all regions, where that is high: regions reach their heights by turns. */
const fillMargin = 0.2
/** Fill that is assumed before there is any demand: callers of all regions alike, slots this full. */
const firstFill = 0.6
/** By how much a region's demand may be above its mean. */
const firstSwing = 1.5
/** Largest part of a region's objects that moves in a second: 6 % in two seconds, well below the 15 % that callers are promised. */
export const shareStepPerSecond = 0.03
/** The same where servers were lost: objects without a server must go somewhere at once. */
export const lossStepPerSecond = 0.25

/**
 * The plan that demand and slots ask for, whatever is in force now: each region keeps what it can hold at the height of its own
 * demand beside what others send it on the mean, and sends the rest where there are slots.
 *
 * @param serverSlots slots of one server on the mean
 */
export function targetPlan (loads: readonly RegionLoad[], serverSlots: number): RegionPlan {
  const slots = sumOf(loads.map(load => load.slots))
  const demand = sumOf(loads.map(load => load.demand))
  if (slots === 0) return new Map(loads.map(({ region }) => [region, new Map([[region, 1]])]))
  const fill = Math.max(bearableFill(serverSlots), demand / slots + fillMargin)
  const plan = new Map(loads.map(load => [load.region, sharesOf(load, 1, loads)]))
  for (let round = 0; round < planRounds; round++) {
    for (const load of loads) {
      const room = Math.max(0, fill * load.slots - inflowOf(load.region, plan, loads))
      plan.set(load.region, sharesOf(load, load.peak === 0 ? 1 : Math.min(1, room / load.peak), loads))
    }
  }
  return plan
}

/**
 * Fill at which requests wait for a slot no longer than `waitPart` of their work on the mean, by Sakasegawa's approximation for one
 * queue of so many slots.
 *
 * What can go wrong: the fewer slots a server has, the longer requests wait there before all of them are taken. It shows as a region
 * whose callers are answered late though its servers have slots free, while they would be in time in another region.
 */
export function bearableFill (serverSlots: number): number {
  const power = Math.sqrt(2 * (serverSlots + 1)) - 1
  let [least, most] = [0, 1]
  while (most - least > fillPrecision) {
    const fill = (least + most) / 2
    const wait = fill ** power / (serverSlots * (1 - fill))
    if (wait > waitPart) most = fill
    else least = fill
  }
  return least
}

/** Slots that other regions' callers keep busy in a region on the mean. */
function inflowOf (region: RegionId, plan: RegionPlan, loads: readonly RegionLoad[]): number {
  const others = loads.filter(load => load.region !== region)
  return sumOf(others.map(load => load.demand * (plan.get(load.region)?.get(region) ?? 0)))
}

/** The plan before any demand was measured. */
export function firstPlan (loads: readonly RegionLoad[], serverSlots: number): RegionPlan {
  const slots = sumOf(loads.map(load => load.slots))
  const demand = slots * firstFill / Math.max(1, loads.length)
  return targetPlan(loads.map(load => ({ ...load, demand, peak: demand * firstSwing })), serverSlots)
}

/**
 * Height that a region's demand may reach, as far as the sum of all regions tells: callers of all regions alike, who rise and fall by turns.
 *
 * What can go wrong: a region is first seen at the bottom of its swing, looks as if all of its objects fitted, and they come home. Each
 * is cold there once; then demand rises, and its servers are too full to be left again without cold work. It shows as a region whose
 * callers are answered late at each height of its demand, the first one above all.
 */
export function assumedHeight (loads: readonly RegionLoad[]): number {
  return sumOf(loads.map(load => load.demand)) / Math.max(1, loads.length) * firstSwing
}

/** Whether a plan in force is so far from the one asked for that objects have to move, or may well come home. */
export function mustMove (held: RegionPlan, target: RegionPlan, loads: readonly RegionLoad[]): boolean {
  const isFull = loads.some(({ region, slots }) => loadOf(region, held, loads) > mostFill * slots)
  const mayReturn = loads.some(({ region }) => nearShare(target, region) - nearShare(held, region) > homecomingPart)
  return isFull || mayReturn
}

/** Slots that a plan keeps busy in a region. */
function loadOf (region: RegionId, plan: RegionPlan, loads: readonly RegionLoad[]): number {
  return sumOf(loads.map(load => load.demand * (plan.get(load.region)?.get(region) ?? 0)))
}

function nearShare (plan: RegionPlan, region: RegionId): number {
  return plan.get(region)?.get(region) ?? 0
}

/** A region's shares: a part stays near, the rest goes to the others by their slots. */
function sharesOf ({ region, slots }: RegionLoad, part: number, loads: readonly RegionLoad[]): RegionShares {
  const near = slots === 0 ? 0 : part
  const elsewhere = loads.filter(load => load.region !== region)
  const room = sumOf(elsewhere.map(load => load.slots))
  const shares = new Map<RegionId, number>([[region, room === 0 ? 1 : near]])
  for (const other of elsewhere) shares.set(other.region, room === 0 ? 0 : (1 - near) * other.slots / room)
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
