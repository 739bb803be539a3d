/** Tests which requests a VM that stops still takes. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createStopSchedule, fitsStop } from '@lynxcourse/placement'
import type { StopSchedule } from '@lynxcourse/placement'

const schedule = createStopSchedule(1000, 5000)
const [first, last] = [1000, 6000]

test('a VM that stops takes all requests for half of the time, then those that have their whole time', () => {
  assert.equal(fitsStop(schedule, { deadline: 12_000, isBehindOthers: true }, 3499), true)
  assert.equal(fitsStop(schedule, { deadline: last, isBehindOthers: false }, 3500), true)
  assert.equal(fitsStop(schedule, { deadline: last + 1, isBehindOthers: false }, 3500), false)
})

// Guards against a connection that is never without a request: its requests were sent on until the process ended, and lost.
test('a connection that is never without a request has an end', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 4000 }), fc.integer({ min: 1, max: 8 }), (workMs, depth) => {
    const takenAt = sendWithoutGap(schedule, workMs, depth)
    const lastAnswerAt = Math.max(...takenAt) + workMs * depth
    assert.ok(Math.max(...takenAt) < schedule.acceptsUntil)
    assert.ok(lastAnswerAt < schedule.acceptsUntil + workMs * depth)
  }))
})

// Guards against a request of the last moment whose whole time ends after the process does.
test('a request that is taken after the first half is answered by its deadline, before the end', () => {
  fc.assert(fc.property(fc.integer({ min: first, max: last }), fc.integer({ min: 1, max: 12_000 }), (now, limitMs) => {
    const isTaken = fitsStop(schedule, { deadline: now + limitMs, isBehindOthers: false }, now)
    assert.equal(isTaken, now < schedule.acceptsUntil || now + limitMs <= schedule.endsAt)
  }))
})

/** Returns when the requests of one connection were taken; each answer is followed by another request behind the pending ones. */
function sendWithoutGap (stop: StopSchedule, workMs: number, depth: number): number[] {
  const takenAt: number[] = []
  for (let now = stop.startedAt; now < stop.endsAt; now += workMs) {
    for (let place = 0; place < depth; place++) {
      if (fitsStop(stop, { deadline: now + workMs * depth, isBehindOthers: true }, now)) takenAt.push(now)
    }
  }
  return takenAt
}
