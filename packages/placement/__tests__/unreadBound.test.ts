/** The bound on how long requests lie unread at a busy event loop. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { arrivedSince, beginTurn, createLoopTurns, endTurn, firstArrivedSince, sampleMs, sampleTurns } from '@lynxcourse/placement'

test('what wakes a sleeping loop has waited for nothing', () => {
  const turns = createLoopTurns(0, 0)
  beginTurn(turns, 500, 500)
  assert.equal(arrivedSince(turns, false, 501), 501)
  assert.equal(arrivedSince(turns, true, 501), 501)
})

test('what is read after a long turn may have waited since that turn began; a first request for one turn more', () => {
  const turns = createLoopTurns(0, 0)
  beginTurn(turns, 100, 100)
  endTurn(turns, 100, 900)
  beginTurn(turns, 100, 900)
  assert.equal(arrivedSince(turns, false, 900), 100)
  endTurn(turns, 100, 1500)
  beginTurn(turns, 100, 1500)
  assert.equal(arrivedSince(turns, false, 1500), 900)
  assert.equal(arrivedSince(turns, true, 1500), 100)
})

test('little work over a long quiet time does not add up to time unread', () => {
  const turns = createLoopTurns(0, 0)
  for (let now = sampleMs; now <= 60_000; now += sampleMs) sampleTurns(turns, now * 0.9, now)
  beginTurn(turns, 54_050, 60_060)
  assert.equal(arrivedSince(turns, false, 60_060), 60_060)
})

/** Guards against deadlines that are counted from when a VM got its processor back, not from when the request came. */
test('a loop that seems to sleep on while its timer is due has waited for the processor since then', () => {
  const turns = createLoopTurns(0, 0)
  sampleTurns(turns, 100, 100)
  beginTurn(turns, 2600, 2600)
  assert.equal(arrivedSince(turns, false, 2600), 200)
  assert.equal(arrivedSince(turns, true, 2600), 200)
})

/** Guards against requests that are passed on with time that they spent unread, by a VM that lost its processor after a long turn. */
test('a loop that seems to sleep after a long turn may have waited for the processor, with input unread since that turn began', () => {
  const turns = createLoopTurns(0, 0)
  beginTurn(turns, 100, 100)
  endTurn(turns, 100, 900)
  beginTurn(turns, 250, 1050)
  assert.equal(arrivedSince(turns, false, 1050), 100)
  endTurn(turns, 250, 1060)
  beginTurn(turns, 450, 1260)
  assert.equal(arrivedSince(turns, false, 1260), 1260)
})

/** Guards against deadlines that are counted late for callers that connect to a VM which is behind. */
test('a request that is read soon after a loop that was behind accepted its connection may have waited with that', () => {
  const turns = createLoopTurns(0, 0)
  beginTurn(turns, 100, 100)
  endTurn(turns, 100, 900)
  beginTurn(turns, 100, 900)
  const accepted = { at: 900, since: arrivedSince(turns, false, 900) }
  endTurn(turns, 100, 950)
  beginTurn(turns, 250, 1100)
  assert.equal(firstArrivedSince(turns, accepted, 1100), 100)
  assert.equal(firstArrivedSince(turns, { at: 900, since: 900 }, 1100), 1100)
  assert.equal(firstArrivedSince(turns, { at: 100, since: 50 }, 1100), 1100)
})

test('what waits behind a timer that is late has waited since the timer was due', () => {
  const turns = createLoopTurns(0, 0)
  sampleTurns(turns, 100, 100)
  sampleTurns(turns, 1500, 1500)
  beginTurn(turns, 1500, 1501)
  assert.equal(arrivedSince(turns, false, 1501), 200)
})

/** A turn of the loop: how long it slept before it, how long it worked in it, and whether it read from callers or servers. */
const turn = fc.record({
  sleptMs: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 300 })),
  workedMs: fc.integer({ min: 1, max: 2000 }),
  isNoted: fc.boolean()
})

test('whatever the turns, bytes that came before the bound would have been read in an earlier turn', () => {
  fc.assert(fc.property(fc.array(turn, { minLength: 2, maxLength: 40 }), played => {
    const turns = createLoopTurns(0, 0)
    let now = 0
    let slept = 0
    let lastLook = 0
    for (const { sleptMs, workedMs, isNoted } of played) {
      // Timers run before the loop looks at its sockets.
      sampleTurns(turns, slept, now)
      now += sleptMs
      slept += sleptMs
      // Bytes that came right after the look before are the oldest that this one can find.
      const oldest = sleptMs > 0 ? now : lastLook
      lastLook = now
      if (isNoted) {
        beginTurn(turns, slept, now)
        const since = arrivedSince(turns, false, now)
        assert.ok(since === now ? now - oldest < sampleMs : since <= oldest)
        assert.ok(arrivedSince(turns, true, now) <= since)
      }
      now += workedMs
      if (isNoted) endTurn(turns, slept, now)
    }
  }), { seed: 21, numRuns: 2000 })
})
