/** Grants under random delays, silence and changes of leader: all holders together stay within the cap. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId } from '@lynxcourse/base'
import type { HolderId, ResourceId } from '@lynxcourse/base'
import {
  createGrantor, createHolderLimits, acquireCapacity, fairShares, getGrants, releaseCapacity, hasCapacity, recordUsageReport, planShares,
  collectUsages, applyGrants
} from '@lynxcourse/limits'
import type { Grant, Grantor, HolderLimits, Share, Usage } from '@lynxcourse/limits'

const seed = 17
console.log(`seed ${seed}`)

const resource = brandId<ResourceId>('region:p:r')
const ttlMs = 100
const holdMs = 60
const cap = 10
const holderCount = 3

interface Holder {
  readonly id: HolderId
  readonly limits: HolderLimits
  /** End times of its requests in flight. */
  running: number[]
}

interface Rig {
  now: number
  serial: number
  grantor: Grantor
  shares: Map<ResourceId, Map<HolderId, Share>>
  readonly holders: Holder[]
  /** Reports and answers under way. */
  readonly reports: Array<{ holder: Holder, serial: number, usages: Usage[], askedAt: number }>
  readonly answers: Array<{ holder: Holder, serial: number, grants: Grant[], askedAt: number }>
  readonly keepsCeilings: boolean
}

function newRig (keepsCeilings: boolean): Rig {
  const holders = Array.from({ length: holderCount }, (_, place) => ({ id: brandId<HolderId>(`h${place}/1`), limits: createHolderLimits(), running: [] }))
  return { now: 0, serial: 1, grantor: createGrantor(ttlMs, holdMs), shares: new Map(), holders, reports: [], answers: [], keepsCeilings }
}

/** Plays the log: applies a plan as the state machine does. */
function plan (rig: Rig): void {
  const planned = planShares(rig.grantor, new Map([[resource, cap]]), rig.shares, rig.serial, rig.now)
  if (planned === undefined) return
  rig.serial += 1
  const shares = rig.shares.get(resource) ?? new Map<HolderId, Share>()
  for (const { holder, amount } of planned.lapsed) shares.set(holder, { amount, ceiling: amount })
  for (const { holder, amount } of planned.changes) {
    const ceiling = rig.keepsCeilings ? Math.max(amount, shares.get(holder)?.ceiling ?? 0) : amount
    shares.set(holder, { amount, ceiling })
  }
  rig.shares.set(resource, shares)
}

const action = fc.record({
  what: fc.constantFrom('rush', 'rush', 'exchange', 'exchange', 'report', 'hear', 'answer', 'plan', 'plan', 'wait', 'loseReport', 'newLeader'),
  pick: fc.nat(20)
})

function act (rig: Rig, what: string, pick: number): void {
  const holder = rig.holders[pick % holderCount] as Holder
  switch (what) {
    case 'rush':
      while (hasCapacity(holder.limits, [resource], rig.now)) {
        acquireCapacity(holder.limits, [resource])
        holder.running.push(rig.now + holdMs)
      }
      break
    case 'exchange':
      act(rig, 'report', pick)
      hear(rig, rig.reports.length - 1)
      act(rig, 'answer', rig.answers.length - 1)
      break
    case 'report': rig.reports.push({ holder, serial: holder.limits.serial, usages: collectUsages(holder.limits, [resource]).map(usage => ({ ...usage, wanted: pick })), askedAt: rig.now }); break
    case 'hear': hear(rig, pick); break
    case 'answer': {
      const [answer] = rig.answers.splice(pick % Math.max(1, rig.answers.length), 1)
      if (answer !== undefined) applyGrants(answer.holder.limits, answer.serial, answer.grants, answer.askedAt)
      break
    }
    case 'plan': plan(rig); break
    case 'loseReport': rig.reports.splice(pick % Math.max(1, rig.reports.length), 1); break
    case 'newLeader': rig.grantor = createGrantor(ttlMs, holdMs); break
    case 'wait': pass(rig, pick); break
  }
}

function hear (rig: Rig, pick: number): void {
  const [report] = rig.reports.splice(pick % Math.max(1, rig.reports.length), 1)
  if (report === undefined) return
  recordUsageReport(rig.grantor, report.holder.id, report.serial, report.usages, rig.now)
  rig.answers.push({ holder: report.holder, serial: rig.serial, grants: getGrants(rig.grantor, rig.shares, report.holder.id), askedAt: report.askedAt })
}

function pass (rig: Rig, ms: number): void {
  rig.now += ms
  for (const holder of rig.holders) {
    const ended = holder.running.filter(end => end <= rig.now)
    ended.forEach(() => releaseCapacity(holder.limits, [resource]))
    holder.running = holder.running.filter(end => end > rig.now)
  }
}

function highestLoad (rig: Rig, actions: ReadonlyArray<{ what: string, pick: number }>): number {
  let highest = 0
  for (const { what, pick } of actions) {
    act(rig, what, pick)
    highest = Math.max(highest, rig.holders.reduce((sum, holder) => sum + holder.running.length, 0))
  }
  return highest
}

const schedules = fc.array(action, { minLength: 100, maxLength: 400 })

test('all holders together never have more in flight than the cap', () => {
  // Guards against this failure: a region is pushed past its limit.
  fc.assert(fc.property(schedules, actions => highestLoad(newRig(true), actions) <= cap), { seed, numRuns: 300 })
})

test('without ceilings the same schedules pass the cap', () => {
  const result = fc.check(fc.property(schedules, actions => highestLoad(newRig(false), actions) <= cap), { seed, numRuns: 300, endOnFailure: true })
  assert.equal(result.failed, true)
})

test('grants are used in the end: a holder that wants all gets all', () => {
  const rig = newRig(true)
  for (let round = 0; round < 12; round++) {
    rig.reports.push({ holder: rig.holders[0] as Holder, serial: (rig.holders[0] as Holder).limits.serial, usages: [{ resource, inFlight: 0, wanted: 50 }], askedAt: rig.now })
    hear(rig, 0)
    act(rig, 'answer', 0)
    plan(rig)
    pass(rig, 50)
  }
  assert.equal(rig.shares.get(resource)?.get((rig.holders[0] as Holder).id)?.amount, cap)
})

test('fair shares are whole, add up to the cap, and leave nobody short for another\'s surplus', () => {
  fc.assert(fc.property(fc.array(fc.nat(40), { minLength: 1, maxLength: 12 }), fc.nat(100), (wants, total) => {
    const shares = fairShares(wants, total)
    assert.equal(shares.reduce((sum, share) => sum + share, 0), total)
    const isShort = wants.some((want, place) => (shares[place] ?? 0) < want)
    if (isShort) shares.forEach((share, place) => assert.ok(share <= Math.max(wants[place] ?? 0, Math.ceil(total / wants.length))))
  }), { seed, numRuns: 300 })
})
