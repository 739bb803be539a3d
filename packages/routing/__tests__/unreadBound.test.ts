/** The bound on how long requests lie unread at a busy event loop. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { beginTurn, createLoopTurns, endTurn, unreadSince } from '@lynxcourse/routing'

test('what wakes a sleeping loop has waited for nothing', () => {
  const turns = createLoopTurns(0)
  endTurn(turns, 0, 0)
  beginTurn(turns, 500)
  assert.equal(unreadSince(turns, false), 500)
  assert.equal(unreadSince(turns, true), 500)
})

test('what is read after a long turn may have waited since that turn began; a first request for one turn more', () => {
  const turns = createLoopTurns(0)
  endTurn(turns, 0, 0)
  beginTurn(turns, 100)
  endTurn(turns, 100, 900)
  beginTurn(turns, 100)
  assert.equal(unreadSince(turns, false), 100)
  endTurn(turns, 100, 1500)
  beginTurn(turns, 100)
  assert.equal(unreadSince(turns, false), 900)
  assert.equal(unreadSince(turns, true), 100)
})

/** A turn of the loop: how long it slept before it, and how long it worked in it. */
const turn = fc.record({ sleptMs: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 300 })), workedMs: fc.integer({ min: 1, max: 2000 }) })

test('whatever the turns, bytes that came before the bound would have been read in an earlier turn', () => {
  fc.assert(fc.property(fc.array(turn, { minLength: 2, maxLength: 40 }), played => {
    const turns = createLoopTurns(0)
    endTurn(turns, 0, 0)
    let now = 0
    let slept = 0
    /** When each look at the sockets returned. */
    const looks: number[] = []
    for (const { sleptMs, workedMs } of played) {
      now += sleptMs
      slept += sleptMs
      looks.push(now)
      beginTurn(turns, slept)
      // Bytes that came right after the look before are the oldest that this one can find.
      const oldest = sleptMs > 0 ? now : looks.at(-2) ?? 0
      assert.ok(unreadSince(turns, false) <= now)
      assert.equal(unreadSince(turns, false), oldest)
      assert.ok(unreadSince(turns, true) <= unreadSince(turns, false))
      now += workedMs
      endTurn(turns, slept, now)
    }
  }), { seed: 21, numRuns: 500 })
})
