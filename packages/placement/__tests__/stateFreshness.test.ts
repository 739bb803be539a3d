/** The promise that a confirmed change is in force everywhere in time, under any schedule of disturbances. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createStateFreshness, mayDecide, recordConfirmation, recordContacts } from '@lynxcourse/placement'
import { playFreshness, times } from './support/freshnessModel.js'
import type { Decision, FreshnessDisturbance, FreshnessLeftOut, FreshnessSchedule } from './support/freshnessModel.js'

const seed = Number(process.env.SEED ?? 62)
const runs = Number(process.env.RUNS ?? 150)
console.log(`seed ${seed}`)

const endsAt = 25_000
const entryCount = 3
const stepMs = 25
const kinds: FreshnessDisturbance[] = ['loopBlocked', 'linkSlow', 'cutOff', 'restarted', 'suspended', 'controlBlocked', 'groupCut']

const disturbance = fc.record({ kind: fc.constantFrom(...kinds), vm: fc.integer({ min: 0, max: entryCount - 1 }), at: fc.integer({ min: 0, max: endsAt }), forMs: fc.integer({ min: 25, max: 6000 }) })
const change = fc.record({ confirmedAt: fc.integer({ min: 0, max: endsAt }), transferMs: fc.integer({ min: 0, max: 6000 }) })
const schedule = fc.record({
  changes: fc.array(change, { maxLength: 30 }).map(changes => changes.sort((a, b) => a.confirmedAt - b.confirmedAt)),
  disturbances: fc.array(disturbance, { maxLength: 12 })
})

/** Schedules that need events which rarely come together: all control VMs are blocked for long or shortly, or a VM is while the group comes back. */
const rareSchedules: FreshnessSchedule[] = [
  { changes: [{ confirmedAt: 7990, transferMs: 0 }], disturbances: [0, 1, 2].map(vm => ({ kind: 'controlBlocked', vm, at: 8000, forMs: 6000 })) },
  { changes: [{ confirmedAt: 7990, transferMs: 0 }], disturbances: [0, 1, 2].map(vm => ({ kind: 'controlBlocked', vm, at: 8000, forMs: 2500 })) },
  { changes: [{ confirmedAt: 9951, transferMs: 0 }], disturbances: [{ kind: 'groupCut', vm: 0, at: 9950, forMs: 5776 }, { kind: 'loopBlocked', vm: 0, at: 15_380, forMs: 4346 }] }
]
const examples = rareSchedules.map((setup): [FreshnessSchedule] => [setup])

/** Returns the first decision of a VM in touch by a version that lacks a change whose time is over. */
function findLateDecision ({ changes }: FreshnessSchedule, decisions: readonly Decision[]): Decision | undefined {
  return decisions.find(({ at, version, mayDecide, isInTouch }) => mayDecide && isInTouch && changes.filter(({ confirmedAt }) => confirmedAt < at - times.applyMs).length > version)
}

function isBrokenWithout (leftOut: FreshnessLeftOut): boolean {
  return fc.check(fc.property(schedule, setup => findLateDecision(setup, playFreshness(setup, entryCount, endsAt, leftOut)) === undefined), { seed, numRuns: runs, examples }).failed
}

/** Guards against requests decided by a replaced state, whatever delays the next one. */
test('no entry VM in touch decides by a state that lacks a change whose time is over', () => {
  fc.assert(fc.property(schedule, setup => {
    assert.equal(findLateDecision(setup, playFreshness(setup, entryCount, endsAt)), undefined)
  }), { seed, numRuns: runs, examples })
})

/** Guards against a model that no longer shows the failure: without any one part of the rule, it is broken. */
for (const leftOut of [{ bound: true }, { question: true }, { reachability: true }, { hold: true }, { expiry: true }] satisfies FreshnessLeftOut[]) {
  test(`some schedule breaks the rule without its part '${Object.keys(leftOut).join()}'`, () => {
    assert.equal(isBrokenWithout(leftOut), true)
  })
}

/** Guards against callers that are refused by VMs without any disturbance, and by VMs that are cut off. */
test('VMs that are not disturbed always decide, and VMs that are cut off soon do', () => {
  const quickChanges = Array.from({ length: 40 }, (_, index) => ({ confirmedAt: 3000 + index * 330, transferMs: 40 }))
  const calm = playFreshness({ changes: quickChanges, disturbances: [] }, entryCount, endsAt)
  assert.deepEqual(calm.filter(({ at, mayDecide }) => at > 1500 && !mayDecide), [])
  const cutAt = 8000
  const cut = playFreshness({ changes: quickChanges, disturbances: [{ kind: 'cutOff', vm: 0, at: cutAt, forMs: 10_000 }] }, entryCount, endsAt)
  const undecided = cut.filter(({ vm, at, isCutOff, mayDecide }) => vm === 0 && at > 1500 && isCutOff && !mayDecide)
  assert.ok(undecided.length * stepMs <= times.timeoutMs, `${undecided.length * stepMs} ms without decisions`)
})

/** Guards against a VM that was suspended, and takes its copy for as recent as its steady clock says. */
test('a VM that was suspended asks before it decides', () => {
  const freshness = createStateFreshness()
  recordConfirmation(freshness, { askedAt: { steady: 0, wall: 0 }, heldMs: 0, ageMs: 0 })
  assert.equal(mayDecide(freshness, times.maxStateAgeMs, { steady: 100, wall: 100 }), true)
  assert.equal(mayDecide(freshness, times.maxStateAgeMs, { steady: 100, wall: 5000 }), false)
})

/** Guards against a VM that is taken for cut off because one control VM is lost while others are only slow. */
test('a VM is cut off only if no control VM that it can reach may have a newer state', () => {
  const freshness = createStateFreshness()
  recordConfirmation(freshness, { askedAt: { steady: 0, wall: 0 }, heldMs: 0, ageMs: 0 })
  const later = { steady: 10_000, wall: 10_000 }
  recordContacts(freshness, ['unreachable', 'behind', 'unanswered'], later)
  assert.equal(mayDecide(freshness, times.maxStateAgeMs, later), false)
  recordContacts(freshness, ['unreachable', 'behind'], later)
  assert.equal(mayDecide(freshness, times.maxStateAgeMs, later), true)
})
