/** The bound on the requests of a version under observation, over all VMs. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { EntryState } from '@lynxcourse/placement'
import type { RolloutBounds } from '@lynxcourse/rollouts'
import { applyRollout, answered, bounds, createEntry, createRollout, failed, sendObject, v1, v2, versioned } from './support/rollouts.js'

const vmCount = 4

type Event =
  | { readonly type: 'demand', readonly vm: number, readonly count: number, readonly object: number }
  | { readonly type: 'restart', readonly vm: number }
  | { readonly type: 'contact', readonly vm: number, readonly isConfirmed: boolean }
  | { readonly type: 'step', readonly percent: number }

const vm = fc.integer({ min: 0, max: vmCount - 1 })
const demand = fc.record({ type: fc.constant('demand' as const), vm, count: fc.integer({ min: 1, max: 200 }), object: fc.integer({ min: 0, max: 1000 }) })
const event: fc.Arbitrary<Event> = fc.oneof(
  { weight: 6, arbitrary: demand },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), vm }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('contact' as const), vm, isConfirmed: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('step' as const), percent: fc.integer({ min: 0, max: 100 }) }) }
)

/** What happened over all VMs. */
interface Totals { sends: number, targetSends: number, unconfirmedTargetSends: number }

/** Carries out a schedule; a VM that has lost contact doesn't learn of steps. */
function run (events: readonly Event[], isBad: boolean, limits: RolloutBounds): Totals {
  const totals: Totals = { sends: 0, targetSends: 0, unconfirmedTargetSends: 0 }
  const confirmed = Array.from({ length: vmCount }, () => true)
  let rollout = createRollout()
  let now = 1000
  const start = (index: number): EntryState => {
    const entry = createEntry(versioned('a1', v1), versioned('a2', v1), versioned('b1', v2), versioned('b2', v2))
    entry.fleet.rollouts.isStateConfirmed = () => confirmed[index] ?? false
    applyRollout(entry, rollout, now, { bounds: limits })
    return entry
  }
  const vms = confirmed.map((_, index) => start(index))
  for (const current of events) {
    now += 100
    switch (current.type) {
      case 'demand':
        for (let index = 0; index < current.count; index++) {
          const id = sendObject(vms[current.vm] as EntryState, `read|${current.object + index % 20}`, now, server => isBad && server.startsWith('b') ? failed : answered, 10)
          totals.sends += 1
          if (!id.startsWith('b')) continue
          totals.targetSends += 1
          if (confirmed[current.vm] === false) totals.unconfirmedTargetSends += 1
        }
        break
      case 'restart':
        vms[current.vm] = start(current.vm)
        break
      case 'contact':
        confirmed[current.vm] = current.isConfirmed
        if (current.isConfirmed) applyRollout(vms[current.vm] as EntryState, rollout, now, { bounds: limits })
        break
      case 'step':
        rollout = { ...rollout, percent: current.percent, step: rollout.step + 1 }
        vms.forEach((entry, index) => { if (confirmed[index] === true) applyRollout(entry, rollout, now, { bounds: limits }) })
        break
    }
  }
  return totals
}

function exceeds ({ sends, targetSends }: Totals): boolean {
  return targetSends > bounds.exposureFraction * sends + bounds.exposureSlack
}

/** Guards against a bad version that gets more requests than the bound permits, for example after restarts of VMs. */
test('no schedule of demand, restarts, lost contact and steps exceeds the exposure bound', () => {
  fc.assert(fc.property(fc.array(event, { maxLength: 60 }), fc.boolean(), (events, isBad) => {
    const totals = run(events, isBad, bounds)
    assert.ok(!exceeds(totals), JSON.stringify(totals))
    assert.equal(totals.unconfirmedTargetSends, 0)
  }), { numRuns: 60 })
})

/** Guards against schedules that never reach the bound, with which the test above would show nothing. */
test('without the ceiling, a schedule exceeds the exposure bound', () => {
  const events: Event[] = [{ type: 'step', percent: 50 }, ...Array.from({ length: 20 }, (_, index): Event => ({ type: 'demand', vm: index % vmCount, count: 100, object: index }))]
  assert.ok(!exceeds(run(events, false, bounds)))
  assert.ok(run(events, false, bounds).targetSends > 50, 'the budget is used')
  assert.ok(exceeds(run(events, false, { ...bounds, exposureFraction: Infinity })))
})
