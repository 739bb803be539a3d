import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId } from '@lynxcourse/base'
import type { DrainId, VmId } from '@lynxcourse/base'
import { FixedStepRule, HeadroomStepRule, addReading, evaluateDrain, planShift, maxShiftUtilization, summarizeReadings } from '@lynxcourse/steering'
import type { ShiftLoads, LoadReading, ShiftView, VmProgress } from '@lynxcourse/steering'

const seed = 29
console.log(`seed ${seed}`)

const drain = { id: brandId<DrainId>('d'), state: 'draining', at: 0, version: 7, firstSeenAt: 1000 }
const leaseMs = 4000
const maxRequestMs = 2000

function report (name: string, at: number, version: number, inFlight: number): VmProgress {
  return { vm: brandId<VmId>(name), at, version, remaining: new Map([[drain.id, inFlight]]) }
}

test('a drain waits for VMs that have not received it, for requests in flight, and for leases to expire', () => {
  const evaluate = (now: number, ...reports: VmProgress[]) => evaluateDrain(drain, reports, leaseMs, maxRequestMs, now)
  assert.equal(evaluate(6000, report('a', 5900, 7, 0)).event, 'empty')
  assert.equal(evaluate(6000, report('a', 5900, 7, 2)).event, undefined)
  assert.deepEqual(evaluate(6000, report('a', 5900, 6, 0)).waitingFor, ['a'])
  assert.equal(evaluate(4000, report('a', 3900, 7, 0)).event, undefined, 'a VM without a report may still hold a lease')
})

test('a drain is not empty while a VM without recent reports may still have requests in flight', () => {
  // Guards against this failure: a server is stopped while it still executes a request of a partitioned VM.
  const silent = report('b', 500, 7, 0)
  assert.equal(evaluateDrain(drain, [silent], leaseMs, maxRequestMs, 6000).event, undefined)
  assert.equal(evaluateDrain(drain, [silent], leaseMs, maxRequestMs, 1000 + leaseMs + maxRequestMs + 1).event, 'empty')
})

test('a scheduled drain starts when it is due', () => {
  const scheduled = { ...drain, state: 'scheduled', at: 5000 }
  assert.equal(evaluateDrain(scheduled, [], leaseMs, maxRequestMs, 4999).event, undefined)
  assert.equal(evaluateDrain(scheduled, [], leaseMs, maxRequestMs, 5000).event, 'due')
})

const times = { lookupTtlMs: 5000, reportLagMs: 1500, staleMs: 2000 }
const moving: ShiftView = { state: 'moving', percent: 0, targetPercent: 100, stepPercent: 10, steppedAt: 0, cap: 20 }

test('no step without recent reports, before cached look-ups expire, or beyond the destination\'s headroom', () => {
  const headroom: ShiftLoads = { measuredAt: 9000, busy: 10, slots: 100, originBusy: 50 }
  const plan = (shift: Partial<ShiftView>, load: Partial<ShiftLoads>, now = 10_000) => planShift({ ...moving, ...shift }, { ...headroom, ...load }, new FixedStepRule(), times, now)
  assert.deepEqual(plan({}, {}), { type: 'step', percent: 10 })
  assert.deepEqual(plan({}, { measuredAt: undefined }), { type: 'wait', reason: 'noMeasurement' })
  assert.deepEqual(plan({}, { measuredAt: 7000 }), { type: 'wait', reason: 'noMeasurement' })
  assert.deepEqual(plan({}, { busy: 78 }), { type: 'wait', reason: 'headroom' })
  assert.deepEqual(plan({ state: 'settling', steppedAt: 5000 }, {}), { type: 'wait', reason: 'caches' })
  assert.deepEqual(plan({ state: 'settling', steppedAt: 3000 }, {}), { type: 'settled' })
  assert.deepEqual(plan({ state: 'settling', steppedAt: 3000, percent: 100 }, {}), { type: 'finish' })
  assert.deepEqual(plan({ state: 'stopped' }, {}), { type: 'wait', reason: 'stopped' })
})

test('a single low reading does not trigger a step', () => {
  // Guards against this failure: a step planned on a low reading overloads the destination.
  const busy = [16, 17, 15, 18, 16, 17, 3]
  const readings = busy.reduce<LoadReading[]>((list, inFlight, index) => addReading(list, { at: index * 200, busy: inFlight, originBusy: 10 }), [])
  assert.deepEqual(summarizeReadings(readings), { busy: 18, originBusy: 10 })
  assert.equal(summarizeReadings(readings.slice(0, 4)), undefined, 'too few readings')
  assert.equal(addReading(readings, { at: 10_000, busy: 1, originBusy: 1 }).length, 1, 'readings outside the window are dropped')
})

test('no step of either rule exceeds the utilization limit of the destination', () => {
  const view = fc.record({ percent: fc.nat(99), stepPercent: fc.integer({ min: 1, max: 100 }), busy: fc.nat(100), slots: fc.integer({ min: 1, max: 100 }), originBusy: fc.nat(200) })
  fc.assert(fc.property(view, fc.boolean(), ({ percent, stepPercent, busy, slots, originBusy }, isFixed) => {
    const rule = isFixed ? new FixedStepRule() : new HeadroomStepRule()
    const step = planShift({ ...moving, percent, stepPercent }, { measuredAt: 0, busy, slots, originBusy }, rule, times, 10)
    if (step.type !== 'step') return
    assert.ok(step.percent > percent && step.percent <= Math.min(100, percent + stepPercent))
    const moved = originBusy / Math.max(0.01, 1 - percent / 100) * (step.percent - percent) / 100
    assert.ok(busy + moved <= slots * maxShiftUtilization + 1e-9, `${busy} + ${moved} of ${slots}`)
  }), { seed, numRuns: 500 })
})
