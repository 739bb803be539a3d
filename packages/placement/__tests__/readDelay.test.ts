/** The bound on the read delay of requests at a busy event loop. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { getEarliestArrival, beginIteration, createLoopIterations, endIteration, getEarliestFirstArrival, sampleIntervalMs, sampleLoop } from '@lynxcourse/placement'

test('input that wakes an idle loop has no read delay', () => {
  const iterations = createLoopIterations(0, 0)
  beginIteration(iterations, 500, 500)
  assert.equal(getEarliestArrival(iterations, false, 501), 501)
  assert.equal(getEarliestArrival(iterations, true, 501), 501)
})

test('input that is read after a long iteration may have waited since its start; a first request, for one iteration more', () => {
  const iterations = createLoopIterations(0, 0)
  beginIteration(iterations, 100, 100)
  endIteration(iterations, 100, 900)
  beginIteration(iterations, 100, 900)
  assert.equal(getEarliestArrival(iterations, false, 900), 100)
  endIteration(iterations, 100, 1500)
  beginIteration(iterations, 100, 1500)
  assert.equal(getEarliestArrival(iterations, false, 1500), 900)
  assert.equal(getEarliestArrival(iterations, true, 1500), 100)
})

test('short work over a long quiet time does not add up to a read delay', () => {
  const iterations = createLoopIterations(0, 0)
  for (let now = sampleIntervalMs; now <= 60_000; now += sampleIntervalMs) sampleLoop(iterations, now * 0.9, now)
  beginIteration(iterations, 54_050, 60_060)
  assert.equal(getEarliestArrival(iterations, false, 60_060), 60_060)
})

/**
 * Guards against deadlines that are computed from when a VM got its processor back instead of from the request's
 * arrival.
 */
test('a loop that seems idle while its timer is due has waited for the processor since then', () => {
  const iterations = createLoopIterations(0, 0)
  sampleLoop(iterations, 100, 100)
  beginIteration(iterations, 2600, 2600)
  assert.equal(getEarliestArrival(iterations, false, 2600), 200)
  assert.equal(getEarliestArrival(iterations, true, 2600), 200)
})

/**
 * Guards against requests that are forwarded with a deadline that ignores their read delay, by a VM that lost its
 * processor after a long iteration.
 */
test('a loop that seems idle after a long iteration may have waited for the processor, with input unread since the start of that iteration', () => {
  const iterations = createLoopIterations(0, 0)
  beginIteration(iterations, 100, 100)
  endIteration(iterations, 100, 900)
  beginIteration(iterations, 250, 1050)
  assert.equal(getEarliestArrival(iterations, false, 1050), 100)
  endIteration(iterations, 250, 1060)
  beginIteration(iterations, 450, 1260)
  assert.equal(getEarliestArrival(iterations, false, 1260), 1260)
})

/** Guards against late deadlines for callers that connect to a VM which is behind. */
test('a request that is read soon after a delayed accept of its connection may have waited as long as the connection', () => {
  const iterations = createLoopIterations(0, 0)
  beginIteration(iterations, 100, 100)
  endIteration(iterations, 100, 900)
  beginIteration(iterations, 100, 900)
  const accepted = { at: 900, since: getEarliestArrival(iterations, false, 900) }
  endIteration(iterations, 100, 950)
  beginIteration(iterations, 250, 1100)
  assert.equal(getEarliestFirstArrival(iterations, accepted, 1100), 100)
  assert.equal(getEarliestFirstArrival(iterations, { at: 900, since: 900 }, 1100), 1100)
  assert.equal(getEarliestFirstArrival(iterations, { at: 100, since: 50 }, 1100), 1100)
})

test('input that is read after a late timer may have waited since the timer was due', () => {
  const iterations = createLoopIterations(0, 0)
  sampleLoop(iterations, 100, 100)
  sampleLoop(iterations, 1500, 1500)
  beginIteration(iterations, 1500, 1501)
  assert.equal(getEarliestArrival(iterations, false, 1501), 200)
})

/** An iteration of the loop: the idle time before it, the work in it, and whether it read from callers or servers. */
const iteration = fc.record({
  idleMs: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 300 })),
  workMs: fc.integer({ min: 1, max: 2000 }),
  isRecorded: fc.boolean()
})

test('bytes that arrived before the bound would have been read in an earlier iteration, whatever the iterations', () => {
  fc.assert(fc.property(fc.array(iteration, { minLength: 2, maxLength: 40 }), simulated => {
    const iterations = createLoopIterations(0, 0)
    let now = 0
    let totalIdleMs = 0
    let lastPollAt = 0
    for (const { idleMs, workMs, isRecorded } of simulated) {
      // Timers run before the loop polls its sockets.
      sampleLoop(iterations, totalIdleMs, now)
      now += idleMs
      totalIdleMs += idleMs
      // Bytes that arrived right after the previous poll are the oldest that this poll can find.
      const earliestArrivalAt = idleMs > 0 ? now : lastPollAt
      lastPollAt = now
      if (isRecorded) {
        beginIteration(iterations, totalIdleMs, now)
        const since = getEarliestArrival(iterations, false, now)
        assert.ok(since === now ? now - earliestArrivalAt < sampleIntervalMs : since <= earliestArrivalAt)
        assert.ok(getEarliestArrival(iterations, true, now) <= since)
      }
      now += workMs
      if (isRecorded) endIteration(iterations, totalIdleMs, now)
    }
  }), { seed: 21, numRuns: 2000 })
})
