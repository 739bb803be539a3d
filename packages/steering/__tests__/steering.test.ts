import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId } from '@lynxcourse/base'
import type { DrainId, VmId } from '@lynxcourse/base'
import { FixedStepRule, HeadroomStepRule, addReading, evaluateDrain, planShift, shiftFillLimit, summarizeReadings } from '@lynxcourse/steering'
import type { ShiftLoads, LoadReading, ShiftView, VmProgress } from '@lynxcourse/steering'

const seed = 29
console.log(`seed ${seed}`)

const drain = { id: brandId<DrainId>('d'), state: 'draining', at: 0, version: 7, firstSeenAt: 1000 }
const leaseMs = 4000
const holdMs = 2000

function report (name: string, at: number, version: number, left: number): VmProgress {
  return { vm: brandId<VmId>(name), at, version, remaining: new Map([[drain.id, left]]) }
}

test('a drain waits for VMs that hold no drain yet, for work in flight, and for leases to end', () => {
  const judge = (now: number, ...reports: VmProgress[]) => evaluateDrain(drain, reports, leaseMs, holdMs, now)
  assert.equal(judge(6000, report('a', 5900, 7, 0)).event, 'empty')
  assert.equal(judge(6000, report('a', 5900, 7, 2)).event, undefined)
  assert.deepEqual(judge(6000, report('a', 5900, 6, 0)).waitingFor, ['a'])
  assert.equal(judge(4000, report('a', 3900, 7, 0)).event, undefined, 'a VM not heard of may still hold a lease')
})

test('a drain is not over while a silent VM may still have work in flight', () => {
  // Guards against this failure: a server is stopped and a request is cut.
  const silent = report('b', 500, 7, 0)
  assert.equal(evaluateDrain(drain, [silent], leaseMs, holdMs, 6000).event, undefined)
  assert.equal(evaluateDrain(drain, [silent], leaseMs, holdMs, 1000 + leaseMs + holdMs + 1).event, 'empty')
})

test('a scheduled drain begins when it is due', () => {
  const scheduled = { ...drain, state: 'scheduled', at: 5000 }
  assert.equal(evaluateDrain(scheduled, [], leaseMs, holdMs, 4999).event, undefined)
  assert.equal(evaluateDrain(scheduled, [], leaseMs, holdMs, 5000).event, 'due')
})

const times = { lookupTtlMs: 5000, reportLagMs: 1500, staleMs: 2000 }
const moving: ShiftView = { state: 'moving', percent: 0, targetPercent: 100, stepPercent: 10, steppedAt: 0, cap: 20 }

test('no step without measurements, before caches have run out, or past the destination\'s headroom', () => {
  const headroom: ShiftLoads = { measuredAt: 9000, busy: 10, slots: 100, originBusy: 50 }
  const plan = (shift: Partial<ShiftView>, head: Partial<ShiftLoads>, now = 10_000) => planShift({ ...moving, ...shift }, { ...headroom, ...head }, new FixedStepRule(), times, now)
  assert.deepEqual(plan({}, {}), { type: 'step', percent: 10 })
  assert.deepEqual(plan({}, { measuredAt: undefined }), { type: 'wait', reason: 'noMeasurement' })
  assert.deepEqual(plan({}, { measuredAt: 7000 }), { type: 'wait', reason: 'noMeasurement' })
  assert.deepEqual(plan({}, { busy: 78 }), { type: 'wait', reason: 'headroom' })
  assert.deepEqual(plan({ state: 'settling', steppedAt: 5000 }, {}), { type: 'wait', reason: 'caches' })
  assert.deepEqual(plan({ state: 'settling', steppedAt: 3000 }, {}), { type: 'settled' })
  assert.deepEqual(plan({ state: 'settling', steppedAt: 3000, percent: 100 }, {}), { type: 'finish' })
  assert.deepEqual(plan({ state: 'stopped' }, {}), { type: 'wait', reason: 'stopped' })
})

test('a step is not planned on one low reading', () => {
  // Guards against this failure: a shift overloads its destination.
  const busy = [16, 17, 15, 18, 16, 17, 3]
  const readings = busy.reduce<LoadReading[]>((list, one, place) => addReading(list, { at: place * 200, busy: one, originBusy: 10 }), [])
  assert.deepEqual(summarizeReadings(readings), { busy: 18, originBusy: 10 })
  assert.equal(summarizeReadings(readings.slice(0, 4)), undefined, 'too few')
  assert.equal(addReading(readings, { at: 10_000, busy: 1, originBusy: 1 }).length, 1, 'old ones go')
})

test('no step of either rule fills the destination beyond its limit', () => {
  const view = fc.record({ percent: fc.nat(99), stepPercent: fc.integer({ min: 1, max: 100 }), busy: fc.nat(100), slots: fc.integer({ min: 1, max: 100 }), originBusy: fc.nat(200) })
  fc.assert(fc.property(view, fc.boolean(), ({ percent, stepPercent, busy, slots, originBusy }, isFixed) => {
    const rule = isFixed ? new FixedStepRule() : new HeadroomStepRule()
    const step = planShift({ ...moving, percent, stepPercent }, { measuredAt: 0, busy, slots, originBusy }, rule, times, 10)
    if (step.type !== 'step') return
    assert.ok(step.percent > percent && step.percent <= Math.min(100, percent + stepPercent))
    const moved = originBusy / Math.max(0.01, 1 - percent / 100) * (step.percent - percent) / 100
    assert.ok(busy + moved <= slots * shiftFillLimit + 1e-9, `${busy} + ${moved} of ${slots}`)
  }), { seed, numRuns: 500 })
})
