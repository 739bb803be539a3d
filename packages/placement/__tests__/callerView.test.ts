/** How old a VM's view of a caller may be when it sends the caller's request. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createCallerView, createLoadNotes, hasOpenedLate, mustLook, decideNextStep, noteLook, startRequest } from '@lynxcourse/placement'
import type { EntryState, DecisionConditions } from '@lynxcourse/placement'
import { createTestFleet, request, server } from './support/fleet.js'

const seed = 61
console.log(`seed ${seed}`)

const arrivedAt = 1000
const deadline = 100_000
/** Half a second less the time in which a connection opens, and the way to a server in another region. */
const oldestMs = 250
const terms: DecisionConditions = { retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 1000 }, isStopping: false }

function entryOf (): EntryState {
  return { fleet: createTestFleet(server('s0'), server('s1')), load: createLoadNotes(arrivedAt), retries: new Map(), waitingForCapacity: new Map() }
}

/** Guards against work begun for callers whose close lies unread behind their request. */
test('a request that was just read is sent after one look', () => {
  const { tried: _, ...asked } = request({ arrivedAt, deadline })
  const entry = entryOf()
  const run = startRequest(entry, asked, createCallerView(), terms, arrivedAt)
  assert.equal(decideNextStep(entry, run, terms, arrivedAt).type, 'look')
  noteLook(run.caller, arrivedAt)
  assert.equal(decideNextStep(entry, run, terms, arrivedAt + 5).type, 'send')
})

/** Guards against work begun for callers that left while a VM was behind with reading. */
test('whatever lay unread and however long looks take, no send begins long after the last look', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 5000 }), fc.array(fc.integer({ min: 0, max: 1000 }), { minLength: 1, maxLength: 8 }), (unreadMs, lookTimes) => {
    const { tried: _, ...asked } = request({ arrivedAt, deadline })
    const entry = entryOf()
    let now = arrivedAt + unreadMs
    const run = startRequest(entry, asked, createCallerView(), terms, now)
    let seenAt = -Infinity
    for (const tookMs of lookTimes) {
      const step = decideNextStep(entry, run, terms, now)
      if (step.type !== 'look') {
        assert.ok(step.type !== 'send' || now - seenAt <= oldestMs)
        return
      }
      seenAt = now
      now += tookMs
      noteLook(run.caller, seenAt)
    }
  }), { seed })
})

test('looks that take a turn of usual length are enough: a VM that is behind still gets to its sends', () => {
  const view = createCallerView()
  const now = arrivedAt + 2000
  noteLook(view, now)
  assert.equal(mustLook(view, now + 200), false)
})

test('a connection that opens at once is written to at once, a late one after a look', () => {
  assert.equal(hasOpenedLate(arrivedAt, arrivedAt + 20), false)
  assert.equal(hasOpenedLate(arrivedAt, arrivedAt + 340), true)
})
