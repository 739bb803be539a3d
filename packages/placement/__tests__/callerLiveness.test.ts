/** How old a VM's knowledge of a caller's connection may be when it sends the caller's request. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createCallerLiveness, createLoadObservations, isLateConnection, needsPoll, decideNextStep, recordPoll, startRequest } from '@lynxcourse/placement'
import type { EntryState, DecisionConditions } from '@lynxcourse/placement'
import { createTestFleet, request, server } from './support/fleet.js'

const seed = 61
console.log(`seed ${seed}`)

const arrivedAt = 1000
const deadline = 100_000
/** 500 ms less the time in which a connection opens and the network delay to a server in another region. */
const maxAgeMs = 250
const terms: DecisionConditions = { retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 1000 }, isStopping: false }

function createEntry (): EntryState {
  return { fleet: createTestFleet(server('s0'), server('s1')), load: createLoadObservations(arrivedAt), retries: new Map(), waitingForCapacity: new Map() }
}

/** Guards against work that is started for callers whose close follows their request and has not been read. */
test('a request that was just read is sent after one poll', () => {
  const { tried: _, ...asked } = request({ arrivedAt, deadline })
  const entry = createEntry()
  const run = startRequest(entry, asked, createCallerLiveness(), terms, arrivedAt)
  assert.equal(decideNextStep(entry, run, terms, arrivedAt).type, 'poll')
  recordPoll(run.caller, arrivedAt)
  assert.equal(decideNextStep(entry, run, terms, arrivedAt + 5).type, 'send')
})

/** Guards against work that is started for disconnected callers while a VM is behind with reading. */
test('no send starts long after the last poll, whatever the read delay and the duration of polls', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 5000 }), fc.array(fc.integer({ min: 0, max: 1000 }), { minLength: 1, maxLength: 8 }), (unreadMs, pollTimes) => {
    const { tried: _, ...asked } = request({ arrivedAt, deadline })
    const entry = createEntry()
    let now = arrivedAt + unreadMs
    const run = startRequest(entry, asked, createCallerLiveness(), terms, now)
    let polledAt = -Infinity
    for (const tookMs of pollTimes) {
      const step = decideNextStep(entry, run, terms, now)
      if (step.type !== 'poll') {
        assert.ok(step.type !== 'send' || now - polledAt <= maxAgeMs)
        return
      }
      polledAt = now
      now += tookMs
      recordPoll(run.caller, polledAt)
    }
  }), { seed })
})

test('a poll that takes a usual iteration is recent enough: a VM that is behind still sends requests', () => {
  const view = createCallerLiveness()
  const now = arrivedAt + 2000
  recordPoll(view, now)
  assert.equal(needsPoll(view, now + 200), false)
})

test('a connection that opens at once is written to at once, a late one after a poll', () => {
  assert.equal(isLateConnection(arrivedAt, arrivedAt + 20), false)
  assert.equal(isLateConnection(arrivedAt, arrivedAt + 340), true)
})
