/** Rate limits over many VMs: no schedule of delays, losses, restarts, cuts and moved demand exceeds the bound of a window. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId, createRandom } from '@lynxcourse/base'
import type { Millis, Random, TeamName } from '@lynxcourse/base'
import { addPermits, computeMissingPermits, computeReserveShare, computeWindowBound, createPermitIssuer, hasPermit, isRunningLow, issuePermits, permitTtlMs, planRate, pruneBuckets, prunePermits, recordPermitDemand, returnPermit, setMaxReserved, takePermit } from '@lynxcourse/limits'
import type { PermitIssuer, PermitStore, RateBound, RateLimit, RatePlan } from '@lynxcourse/limits'

const seed = 31
console.log(`seed ${seed}`)

const team = brandId<TeamName>('a')
const bound: RateBound = { windowMs: 5000, overage: 0.1, slack: 20 }
const stepMs: Millis = 50
const stepCount = 400
const maxDelayMs: Millis = 250
/** Time that a request takes from the use of its permit to its server. */
const deliveryMs: Millis = 200

interface Grant { readonly to: PermitStore, readonly count: number, readonly askedAt: Millis, readonly arrivesAt: Millis }

interface Simulation {
  readonly random: Random
  readonly issuers: PermitIssuer[]
  readonly stores: PermitStore[]
  grants: Grant[]
  /** Times at which requests arrived at servers. */
  readonly arrivals: Millis[]
}

interface Scenario {
  readonly limit: RateLimit
  readonly members: number
  readonly entries: number
  readonly seed: number
  /** Probability per step that an issuer restarts. */
  readonly restarts: number
}

/** Runs a scenario in which every entry VM always has more requests than permits, and returns the fullest window. */
function runScenario ({ limit, members, entries, seed: scenarioSeed, restarts }: Scenario, plan: RatePlan): number {
  const simulation: Simulation = {
    random: createRandom(scenarioSeed),
    issuers: Array.from({ length: plan.issuers }, () => createPermitIssuer(0)),
    stores: Array.from({ length: entries }, () => new Map()),
    grants: [],
    arrivals: []
  }
  assert.ok(plan.issuers <= members)
  // Nobody sends requests at first, so all buckets and reserves fill up.
  for (const [index, store] of simulation.stores.entries()) resetStore(store, plan, index, entries)
  for (let step = 0; step < 100; step++) fillReserves(simulation, plan, step * stepMs)
  for (let step = 100; step < stepCount; step++) runStep(simulation, plan, Math.ceil(limit.ratePerSecond) + 5, restarts, step * stepMs)
  return countFullestWindow(simulation.arrivals)
}

/** Replaces the permits of an entry VM that starts: its reserve is empty. */
function resetStore (store: PermitStore, plan: RatePlan, index: number, entries: number): void {
  store.clear()
  setMaxReserved(store, team, computeReserveShare(plan, index, entries), 0)
}

function fillReserves ({ issuers, stores }: Simulation, plan: RatePlan, now: Millis): void {
  for (const [index, store] of stores.entries()) {
    const wanted = computeMissingPermits(store, team, now)
    const issuer = issuers[index % issuers.length] as PermitIssuer
    addPermits(store, team, issuePermits(issuer, team, plan, wanted, now).granted, 0, now)
  }
}

function runStep (simulation: Simulation, plan: RatePlan, wanted: number, restarts: number, now: Millis): void {
  const { random, issuers, stores } = simulation
  simulation.grants = simulation.grants.filter(grant => {
    if (grant.arrivesAt > now) return true
    addPermits(grant.to, team, grant.count, 0, grant.askedAt)
    return false
  })
  for (const [index] of issuers.entries()) if (random() < restarts) issuers[index] = createPermitIssuer(now)
  for (const [index, store] of stores.entries()) {
    if (random() < restarts) resetStore(store, plan, index, stores.length)
    const isFrozen = random() < 0.1
    if (!isFrozen) useAll(simulation, store, now)
    const issuer = issuers[Math.floor(random() * issuers.length)] as PermitIssuer
    const { granted } = issuePermits(issuer, team, plan, wanted, now)
    const isLost = random() < 0.05
    if (!isLost) simulation.grants.push({ to: store, count: granted, askedAt: now - random() * maxDelayMs, arrivesAt: now + random() * maxDelayMs })
  }
}

function useAll ({ random, arrivals }: Simulation, store: PermitStore, now: Millis): void {
  for (;;) {
    const permit = takePermit(store, team, now)
    if (permit === undefined) return
    const isNotRun = random() < 0.02
    if (isNotRun) returnPermit(store, team, permit, now)
    else arrivals.push(now + random() * deliveryMs)
    if (isNotRun) return
  }
}

function countFullestWindow (arrivals: Millis[]): number {
  const sorted = arrivals.toSorted((a, b) => a - b)
  let first = 0
  let most = 0
  for (const [index, at] of sorted.entries()) {
    while (at - (sorted[first] as number) > bound.windowMs) first += 1
    most = Math.max(most, index - first + 1)
  }
  return most
}

const scenarios: fc.Arbitrary<Scenario> = fc.record({
  limit: fc.record({ ratePerSecond: fc.oneof(fc.constant(0.5), fc.integer({ min: 1, max: 300 })), burst: fc.integer({ min: 0, max: 300 }) }),
  members: fc.integer({ min: 1, max: 15 }),
  entries: fc.integer({ min: 1, max: 30 }),
  seed: fc.integer({ min: 1, max: 1e6 }),
  restarts: fc.constantFrom(0, 0.001, 0.05)
})

/** Guards against a team that gets more than its limit because VMs restart, are cut off or hear late of each other. */
test('no window contains more requests than the bound, whatever happens to VMs and messages', () => {
  fc.assert(fc.property(scenarios, scenario => {
    const { limit, members } = scenario
    const most = runScenario(scenario, planRate(limit, bound, members))
    assert.ok(most <= computeWindowBound(limit, bound), `${most} of ${computeWindowBound(limit, bound)}`)
  }), { seed, numRuns: 60 })
})

test('the bound is exceeded if the capacity of the buckets is not limited', () => {
  const scenario: Scenario = { limit: { ratePerSecond: 50, burst: 10 }, members: 5, entries: 10, seed, restarts: 0 }
  const plan = { ...planRate(scenario.limit, bound, scenario.members), capacity: Infinity }
  assert.ok(runScenario(scenario, plan) > computeWindowBound(scenario.limit, bound))
})

/** Guards against a limit that refuses much of what it allows. */
test('the issuers together issue the rate of the limit, unless there is no burst', () => {
  for (const ratePerSecond of [1, 5, 16, 100, 293]) {
    const { issuers, tokensPerSecond, capacity } = planRate({ ratePerSecond, burst: ratePerSecond }, bound, 12)
    assert.ok(Math.abs(issuers * tokensPerSecond - ratePerSecond) < 1e-6, `${ratePerSecond}`)
    assert.ok(capacity >= 1)
    const withoutBurst = planRate({ ratePerSecond, burst: 0 }, bound, 12)
    assert.ok(withoutBurst.issuers * withoutBurst.tokensPerSecond > ratePerSecond * 0.85)
  }
})

test('the reserves of all entry VMs together stay within the plan', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 500 }), fc.integer({ min: 0, max: 500 }), fc.integer({ min: 1, max: 200 }), (ratePerSecond, burst, entries) => {
    const plan = planRate({ ratePerSecond, burst }, bound, 12)
    const shares = Array.from({ length: entries }, (_, index) => computeReserveShare(plan, index, entries))
    assert.ok(shares.reduce((sum, share) => sum + share, 0) <= plan.reserve)
  }), { seed, numRuns: 200 })
})

/** Guards against permits that are used up by VMs that hardly need any. */
test('permits are asked for in advance only where requests come often', () => {
  const store: PermitStore = new Map()
  recordPermitDemand(store, team, 0)
  assert.equal(computeMissingPermits(store, team, 100), 0)
  for (let at = 0; at < 4000; at += 20) recordPermitDemand(store, team, at)
  const missing = computeMissingPermits(store, team, 4000)
  assert.ok(missing >= 7 && missing <= 11, `${missing}`)
  assert.equal(isRunningLow(store, team, 4000), true)
  addPermits(store, team, missing, 0, 4000)
  assert.equal(isRunningLow(store, team, 4000), false)
  assert.equal(isRunningLow(store, team, 4000 + permitTtlMs), true, 'expired permits do not count')
})

/** Guards against a question to another VM before nearly every request. */
test('permits in reserve do not expire until they are taken, and are dropped when the share shrinks', () => {
  const store: PermitStore = new Map()
  setMaxReserved(store, team, 2, 0)
  assert.equal(computeMissingPermits(store, team, 0), 2)
  addPermits(store, team, 3, 1, 0)
  const later = 60_000
  const permit = takePermit(store, team, later)
  assert.deepEqual(permit, { expiresAt: later + permitTtlMs })
  assert.deepEqual([hasPermit(store, team, 0), hasPermit(store, team, later)], [true, true])
  setMaxReserved(store, team, 0, later)
  assert.equal(hasPermit(store, team, later), false)
  assert.equal(takePermit(store, team, later), undefined)
})

test('a lower limit binds at the next request for permits, and a removed team continues with its bucket if it returns', () => {
  const issuer = createPermitIssuer(0)
  const wide = planRate({ ratePerSecond: 100, burst: 100 }, bound, 4)
  assert.ok(issuePermits(issuer, team, wide, 5, 60_000).granted === 5)
  const narrow = planRate({ ratePerSecond: 1, burst: 0 }, bound, 4)
  assert.ok(issuePermits(issuer, team, narrow, 1000, 60_000).granted <= narrow.capacity)
  pruneBuckets(issuer, () => false, 61_000)
  assert.equal(issuePermits(issuer, team, narrow, 1000, 61_000).granted, 0)
  const { retryAfterMs } = issuePermits(issuer, team, narrow, 1, 61_000)
  assert.ok(issuePermits(issuer, team, narrow, 1, 61_000 + retryAfterMs + 1).granted === 1, 'the retry time is when a permit is there')
})

test('permits of teams that are no longer limited are forgotten', () => {
  const store: PermitStore = new Map()
  addPermits(store, team, 5, 0, 0)
  prunePermits(store, () => false)
  assert.equal(store.size, 0)
})
