/** The fractions of a region's objects that are served in each region. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId } from '@lynxcourse/base'
import type { RegionId } from '@lynxcourse/base'
import { estimatePeakDemand, maxUtilizationForWait, createInitialPlan, maxShareChangeAfterLossPerSecond, selectRegion, maxShareChangePerSecond, advancePlan, computeTargetPlan } from '@lynxcourse/placement'
import type { RegionLoad, RegionPlan, RegionShares } from '@lynxcourse/placement'

const seed = 31
const serverSlots = 6
console.log(`seed ${seed}`)

const [kochi, chennai, mumbai] = ['kochi', 'chennai', 'mumbai'].map(name => brandId<RegionId>(name)) as [RegionId, RegionId, RegionId]

function createLoads (...given: Array<[RegionId, number, number]>): RegionLoad[] {
  return given.map(([region, slots, demand]) => ({ region, slots, demand, peak: demand }))
}

function getShare (plan: RegionPlan, from: RegionId, at: RegionId): number {
  return plan.get(from)?.get(at) ?? 0
}

const anyLoads = fc.tuple(fc.integer({ min: 0, max: 600 }), fc.integer({ min: 0, max: 600 }), fc.integer({ min: 0, max: 600 }), fc.float({ min: 0, max: 900, noNaN: true }), fc.float({ min: 0, max: 900, noNaN: true }), fc.float({ min: 0, max: 900, noNaN: true }))
  .map(([a, b, c, x, y, z]) => createLoads([kochi, a, x], [chennai, b, y], [mumbai, c, z]))

test('all objects of a region are served somewhere, and no region exceeds the planned utilization', () => {
  fc.assert(fc.property(anyLoads, fc.integer({ min: 1, max: 12 }), (given, serverSlots) => {
    const plan = computeTargetPlan(given, serverSlots)
    const slots = given.reduce((sum, load) => sum + load.slots, 0)
    const demand = given.reduce((sum, load) => sum + load.demand, 0)
    if (slots === 0) return true
    const utilization = Math.max(maxUtilizationForWait(serverSlots), demand / slots + 0.2)
    return given.every(load => {
      const total = [...plan.get(load.region)?.values() ?? []].reduce((sum, share) => sum + share, 0)
      const arriving = given.reduce((sum, from) => sum + from.demand * getShare(plan, from.region, load.region), 0)
      return (load.demand === 0 || Math.abs(total - 1) < 1e-6) && arriving <= load.slots * utilization * 1.02 + 1e-6
    })
  }), { seed })
})

/*
 * Guards against a utilization bound that ignores the number of slots per server. Requests waited 500 ms at servers
 * with three slots of which two were in use on average, while the same utilization caused no wait at servers with nine
 * slots.
 */
test('servers with few slots have a lower utilization bound, so that waits stay below the network delay to another region', () => {
  assert.ok(Math.abs(maxUtilizationForWait(3) - 0.55) < 0.01 && Math.abs(maxUtilizationForWait(6) - 0.73) < 0.01, `${maxUtilizationForWait(3)} ${maxUtilizationForWait(6)}`)
  for (let slots = 1; slots < 40; slots++) assert.ok(maxUtilizationForWait(slots) < maxUtilizationForWait(slots + 1) && maxUtilizationForWait(slots + 1) < 1)
})

test('the peak of a new demand is estimated from the sum of all regions', () => {
  assert.equal(estimatePeakDemand(createLoads([kochi, 100, 10], [chennai, 100, 30], [mumbai, 100, 50])), 45)
})

test('with enough local slots all objects stay in their region', () => {
  const plan = computeTargetPlan(createLoads([kochi, 100, 50], [chennai, 100, 10], [mumbai, 100, 50]), serverSlots)
  assert.deepEqual([getShare(plan, kochi, kochi), getShare(plan, chennai, chennai), getShare(plan, mumbai, mumbai)], [1, 1, 1])
})

/** Guards against late answers for the callers of a region with few servers: a third of all callers. */
test('a region with a third of the demand and a tenth of the slots keeps only the objects that it can serve', () => {
  const plan = computeTargetPlan(createLoads([kochi, 280, 100], [chennai, 60, 100], [mumbai, 280, 100]), serverSlots)
  assert.ok(Math.abs(getShare(plan, chennai, chennai) - 0.6 * maxUtilizationForWait(serverSlots)) < 0.01)
  assert.ok(Math.abs(getShare(plan, chennai, kochi) - getShare(plan, chennai, mumbai)) < 1e-9)
  assert.equal(getShare(plan, kochi, kochi), 1)
})

test('before any demand is known, a region with few servers already moves objects to other regions', () => {
  const plan = createInitialPlan(createLoads([kochi, 280, 0], [chennai, 60, 0], [mumbai, 280, 0]), serverSlots)
  assert.ok(getShare(plan, chennai, chennai) < 0.5)
})

/** Guards against a third of a region's requests moving to another region within a second. */
test('a plan moves no more of a region\'s objects in two seconds than callers are guaranteed', () => {
  fc.assert(fc.property(anyLoads, anyLoads, fc.integer({ min: 50, max: 1000 }), (before, after, passedMs) => {
    let plan = computeTargetPlan(before, serverSlots)
    const first = plan
    for (let now = 0; now < 2000; now += passedMs) plan = advancePlan(plan, computeTargetPlan(after, serverSlots), false, Math.min(passedMs, 2000 - now))
    return before.every(({ region }) => computeMovedShare(first.get(region) ?? new Map(), plan.get(region) ?? new Map()) <= maxShareChangePerSecond * 2 + 1e-6)
  }), { seed })
  assert.ok(maxShareChangeAfterLossPerSecond > maxShareChangePerSecond)
})

function computeMovedShare (from: RegionShares, to: RegionShares): number {
  return [...to].reduce((sum, [region, share]) => sum + Math.max(0, share - (from.get(region) ?? 0)), 0)
}

test('objects are spread by the shares, and a changed share moves only that fraction of them', () => {
  const objects = Array.from({ length: 4000 }, (_, number) => `read|${number}`)
  const before: RegionShares = new Map([[kochi, 0.3], [chennai, 0.5], [mumbai, 0.2]])
  const after: RegionShares = new Map([[kochi, 0.3], [chennai, 0.55], [mumbai, 0.15]])
  const all = new Set([kochi, chennai, mumbai])
  const inChennai = objects.filter(object => selectRegion(before, chennai, object, all) === chennai).length
  assert.ok(Math.abs(inChennai / objects.length - 0.5) < 0.03)
  const moved = objects.filter(object => selectRegion(before, chennai, object, all) !== selectRegion(after, chennai, object, all)).length
  assert.ok(moved / objects.length < 0.12)
})

test('a region without an open server gets no objects', () => {
  const shares: RegionShares = new Map([[kochi, 0.9], [mumbai, 0.1]])
  assert.equal(selectRegion(shares, kochi, 'read|1', new Set([mumbai])), mumbai)
  assert.equal(selectRegion(shares, kochi, 'read|1', new Set()), undefined)
})

test('if the plan gives no share to any open region, objects are spread over all of them', () => {
  const shares: RegionShares = new Map([[chennai, 1]])
  const open = new Set([kochi, mumbai])
  const inKochi = Array.from({ length: 1000 }, (_, number) => selectRegion(shares, chennai, `read|${number}`, open)).filter(region => region === kochi).length
  assert.ok(inKochi > 400 && inKochi < 600, `${inKochi}`)
})
