/** Grants under random delays, lost reports and leader changes: all holders together stay within the cap. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId } from '@lynxcourse/base'
import type { HolderId, ResourceId } from '@lynxcourse/base'
import {
  computeFairShares, createGrantor, createHolderLimits, acquireCapacity, getGrants, releaseCapacity, hasCapacity, recordUsageReport, planShares,
  collectUsages, applyGrants
} from '@lynxcourse/limits'
import type { Grant, Grantor, HolderLimits, Share, Usage } from '@lynxcourse/limits'

const seed = 17
console.log(`seed ${seed}`)

const resource = brandId<ResourceId>('region:p:r')
const ttlMs = 100
const maxRequestMs = 60
const cap = 10
const holderCount = 3

interface Holder {
  readonly id: HolderId
  readonly limits: HolderLimits
  /** End times of the holder's requests in flight. */
  requestEnds: number[]
}

interface Fixture {
  now: number
  serial: number
  grantor: Grantor
  shares: Map<ResourceId, Map<HolderId, Share>>
  readonly holders: Holder[]
  /** Reports and grants in transit. */
  readonly reports: Array<{ holder: Holder, serial: number, usages: Usage[], askedAt: number }>
  readonly answers: Array<{ holder: Holder, serial: number, grants: Grant[], askedAt: number }>
  readonly hasCeilings: boolean
}

function createFixture (hasCeilings: boolean): Fixture {
  const holders = Array.from({ length: holderCount }, (_, index) => ({ id: brandId<HolderId>(`h${index}/1`), limits: createHolderLimits(), requestEnds: [] }))
  return { now: 0, serial: 1, grantor: createGrantor(ttlMs, maxRequestMs), shares: new Map(), holders, reports: [], answers: [], hasCeilings }
}

/** Plans shares and applies them at once, as the state machine does when the log entry is committed. */
function applyPlan (fixture: Fixture): void {
  const planned = planShares(fixture.grantor, new Map([[resource, cap]]), fixture.shares, fixture.serial, fixture.now)
  if (planned === undefined) return
  fixture.serial += 1
  const shares = fixture.shares.get(resource) ?? new Map<HolderId, Share>()
  for (const { holder, amount } of planned.lapsed) shares.set(holder, { amount, ceiling: amount })
  for (const { holder, amount } of planned.changes) {
    const ceiling = fixture.hasCeilings ? Math.max(amount, shares.get(holder)?.ceiling ?? 0) : amount
    shares.set(holder, { amount, ceiling })
  }
  fixture.shares.set(resource, shares)
}

const action = fc.record({
  type: fc.constantFrom('fillGrant', 'fillGrant', 'exchange', 'exchange', 'sendReport', 'deliverReport', 'deliverGrants', 'plan', 'plan', 'wait', 'loseReport', 'changeLeader'),
  pick: fc.nat(20)
})

function perform (fixture: Fixture, type: string, pick: number): void {
  const holder = fixture.holders[pick % holderCount] as Holder
  switch (type) {
    case 'fillGrant':
      while (hasCapacity(holder.limits, [resource], fixture.now)) {
        acquireCapacity(holder.limits, [resource])
        holder.requestEnds.push(fixture.now + maxRequestMs)
      }
      break
    case 'exchange':
      perform(fixture, 'sendReport', pick)
      deliverReport(fixture, fixture.reports.length - 1)
      perform(fixture, 'deliverGrants', fixture.answers.length - 1)
      break
    case 'sendReport': fixture.reports.push({ holder, serial: holder.limits.serial, usages: collectUsages(holder.limits, [resource]).map(usage => ({ ...usage, wanted: pick })), askedAt: fixture.now }); break
    case 'deliverReport': deliverReport(fixture, pick); break
    case 'deliverGrants': {
      const [answer] = fixture.answers.splice(pick % Math.max(1, fixture.answers.length), 1)
      if (answer !== undefined) applyGrants(answer.holder.limits, answer.serial, answer.grants, answer.askedAt)
      break
    }
    case 'plan': applyPlan(fixture); break
    case 'loseReport': fixture.reports.splice(pick % Math.max(1, fixture.reports.length), 1); break
    case 'changeLeader': fixture.grantor = createGrantor(ttlMs, maxRequestMs); break
    case 'wait': advanceTime(fixture, pick); break
  }
}

function deliverReport (fixture: Fixture, pick: number): void {
  const [report] = fixture.reports.splice(pick % Math.max(1, fixture.reports.length), 1)
  if (report === undefined) return
  recordUsageReport(fixture.grantor, report.holder.id, report.serial, report.usages, fixture.now)
  fixture.answers.push({ holder: report.holder, serial: fixture.serial, grants: getGrants(fixture.grantor, fixture.shares, report.holder.id), askedAt: report.askedAt })
}

function advanceTime (fixture: Fixture, ms: number): void {
  fixture.now += ms
  for (const holder of fixture.holders) {
    const ended = holder.requestEnds.filter(end => end <= fixture.now)
    ended.forEach(() => releaseCapacity(holder.limits, [resource]))
    holder.requestEnds = holder.requestEnds.filter(end => end > fixture.now)
  }
}

function findPeakInFlight (fixture: Fixture, actions: ReadonlyArray<{ type: string, pick: number }>): number {
  let peak = 0
  for (const { type, pick } of actions) {
    perform(fixture, type, pick)
    peak = Math.max(peak, fixture.holders.reduce((sum, holder) => sum + holder.requestEnds.length, 0))
  }
  return peak
}

const schedules = fc.array(action, { minLength: 100, maxLength: 400 })

test('all holders together never have more in flight than the cap', () => {
  // Guards against this failure: grants that overlap in time overload a region beyond its cap.
  fc.assert(fc.property(schedules, actions => findPeakInFlight(createFixture(true), actions) <= cap), { seed, numRuns: 300 })
})

test('without ceilings the same schedules exceed the cap', () => {
  const result = fc.check(fc.property(schedules, actions => findPeakInFlight(createFixture(false), actions) <= cap), { seed, numRuns: 300, endOnFailure: true })
  assert.equal(result.failed, true)
})

test('shares converge: a holder with demand for the whole cap receives all of it', () => {
  const fixture = createFixture(true)
  for (let round = 0; round < 12; round++) {
    fixture.reports.push({ holder: fixture.holders[0] as Holder, serial: (fixture.holders[0] as Holder).limits.serial, usages: [{ resource, inFlight: 0, wanted: 50 }], askedAt: fixture.now })
    deliverReport(fixture, 0)
    perform(fixture, 'deliverGrants', 0)
    applyPlan(fixture)
    advanceTime(fixture, 50)
  }
  assert.equal(fixture.shares.get(resource)?.get((fixture.holders[0] as Holder).id)?.amount, cap)
})

test('fair shares are whole numbers, add up to the cap, and give no surplus above an even share while a demand is unmet', () => {
  fc.assert(fc.property(fc.array(fc.nat(40), { minLength: 1, maxLength: 12 }), fc.nat(100), (demands, total) => {
    const shares = computeFairShares(demands, total)
    assert.equal(shares.reduce((sum, share) => sum + share, 0), total)
    const isAnyUnmet = demands.some((demand, index) => (shares[index] ?? 0) < demand)
    if (isAnyUnmet) shares.forEach((share, index) => assert.ok(share <= Math.max(demands[index] ?? 0, Math.ceil(total / demands.length))))
  }), { seed, numRuns: 300 })
})
