/** Tests which requests a VM that stops still takes. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createStopSchedule, fitsStop } from '@lynxcourse/placement'

const schedule = createStopSchedule(1000, 1000, 5000)
const [first, last] = [1000, 6000]

test('a VM that stops takes requests for half of the time, then those that have their whole time', () => {
  assert.equal(fitsStop(schedule, { giveUpAt: 12_000, isBehindOthers: false }, 3499), true)
  assert.equal(fitsStop(schedule, { giveUpAt: last, isBehindOthers: false }, 3500), true)
  assert.equal(fitsStop(schedule, { giveUpAt: last + 1, isBehindOthers: false }, 3500), false)
})

// Guards against a connection that is never without a request: it would stay in use until the process ends.
test('a VM that stops takes no request behind others', () => {
  fc.assert(fc.property(fc.integer({ min: first, max: last }), fc.integer({ min: 0, max: 12_000 }), (now, limitMs) => {
    assert.equal(fitsStop(schedule, { giveUpAt: now + limitMs, isBehindOthers: true }, now), false)
  }))
})

// Guards against a request of the last moment whose whole time ends after the process does.
test('a request that is taken after the first half is answered by its deadline, before the end', () => {
  fc.assert(fc.property(fc.integer({ min: first, max: last }), fc.integer({ min: 1, max: 12_000 }), (now, limitMs) => {
    const isTaken = fitsStop(schedule, { giveUpAt: now + limitMs, isBehindOthers: false }, now)
    assert.equal(isTaken, now < schedule.acceptsUntil || now + limitMs <= schedule.endsAt)
  }))
})

// Guards against requests that are given up early, since the signal may have waited for a busy event loop.
test('a signal that was read late shortens the delivery of answers, and the stop by a little', () => {
  assert.deepEqual(createStopSchedule(1000, 1100, 5000), { startedAt: 1000, acceptsUntil: 3500, endsAt: 6000, deliversUntil: 6250 })
  assert.deepEqual(createStopSchedule(1000, 1900, 5000), { startedAt: 1750, acceptsUntil: 4250, endsAt: 6750, deliversUntil: 6800 })
})
