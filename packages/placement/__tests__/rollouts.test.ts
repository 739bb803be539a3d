/** Placement by software version: which servers get requests, and when this VM sends to a version under observation. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isTargetObject } from '@lynxcourse/rollouts'
import { beginSend, computeSlotShare, endSend, flushLoadReport, isClosedByVersion, listRolloutReports, reserveFailover, takeUseChanges } from '@lynxcourse/placement'
import type { EntryState } from '@lynxcourse/placement'
import { desk, request, getTargetOrReason } from './support/fleet.js'
import { answered, applyRollout, begin, createEntry, createRollout, decide, failed, sendObject, sendOnce, v1, v2, v3, versioned } from './support/rollouts.js'

const start = 1000
const objects = Array.from({ length: 400 }, (_, index) => `read|${index}`)
const observing = createRollout({ percent: 50 })
const targetObject = objects.find(object => isTargetObject(observing, object)) ?? ''
const baselineObject = objects.find(object => !isTargetObject(observing, object)) ?? ''
const retryConditions = { retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 1000 }, isStopping: false }

function createMixed (): EntryState {
  return createEntry(versioned('a1', v1), versioned('a2', v1), versioned('a3', v1), versioned('b1', v2), versioned('b2', v2))
}

/** Lets the VM earn an exposure budget by answers of the baseline. */
function earn (entry: EntryState, count: number, now = start): void {
  for (let index = 0; index < count; index++) sendObject(entry, baselineObject, now)
}

/** Returns the id of the server that each object would get. */
function listTargets (entry: EntryState, now = start): string[] {
  return objects.map(object => getTargetOrReason(entry.fleet, request({ object, arrivedAt: now, deadline: now + 1200 }), now))
}

/** Guards against requests that reach a server of a version that nobody ordered. */
test('a server of a version that no order allowed gets no first send, no retry and no waiting request', () => {
  const entry = createEntry(versioned('a1', v1), versioned('c1', v3), versioned('c2', v3))
  applyRollout(entry, undefined, start)
  assert.ok(listTargets(entry).every(id => id === 'a1'))
  const state = begin(entry, start, targetObject)
  assert.equal(sendOnce(entry, state, () => failed, start), 'a1')
  assert.ok(!reserveFailover(entry, state, retryConditions, start))
  assert.equal(decide(entry, state, start).type, 'answer', 'the failure is returned, since no other server may take the request')
  const waiting = createEntry(versioned('a1', v1), versioned('c1', v3))
  applyRollout(waiting, undefined, start)
  const full = begin(waiting, start, targetObject)
  sendOnce(waiting, full, () => ({ type: 'notRun', reason: 'full' }), start)
  for (let now = start + 10; now < start + 1000; now += 10) assert.notEqual(decide(waiting, full, now).type, 'send')
  assert.equal(computeSlotShare(entry.fleet, desk), 100, 'the slots of servers that get nothing are not counted')
})

/** Guards against a version that is still used after the rollout ended, and a request that is written to it late. */
test('after the end of a rollout only one version gets requests, also those that wait for a connection', () => {
  for (const [state, allowed, closed] of [['completed', 'b', 'a1'], ['rolledBack', 'a', 'b1']] as const) {
    const entry = createMixed()
    applyRollout(entry, createRollout({ state: 'promoting', percent: 50 }), start)
    assert.deepEqual(new Set(listTargets(entry).map(id => id[0])), new Set(['a', 'b']))
    applyRollout(entry, createRollout({ state, step: 2 }), start)
    assert.ok(listTargets(entry).every(id => id.startsWith(allowed)))
    for (const server of entry.fleet.byId.values()) assert.equal(isClosedByVersion(entry.fleet.rollouts, server, start), server.facts.id[0] === closed[0])
  }
})

/** Guards against objects that become cold because servers of another version appear, and a share that is not by object. */
test('objects of the baseline keep their servers, and only objects of the target version move', () => {
  const before = createEntry(versioned('a1', v1), versioned('a2', v1), versioned('a3', v1))
  applyRollout(before, undefined, start)
  const entry = createMixed()
  applyRollout(entry, observing, start)
  earn(entry, 10_000)
  const old = listTargets(before)
  listTargets(entry).forEach((id, index) => {
    const object = objects[index] ?? ''
    if (isTargetObject(observing, object)) assert.ok(id.startsWith('b'), id)
    else assert.equal(id, old[index])
  })
})

/** Guards against requests without an object that all go to one version. */
test('requests without an object are drawn with the same share, each once', () => {
  const entry = createMixed()
  applyRollout(entry, createRollout({ state: 'promoting', percent: 25 }), start)
  const ids = Array.from({ length: 2000 }, () => sendObject(entry, '', start))
  const share = ids.filter(id => id.startsWith('b')).length / ids.length
  assert.ok(Math.abs(share - 0.25) < 0.05, `${share}`)
})

/** Guards against nearly idle servers under observation, which show no defect that depends on load. */
test('the target servers in use are as large a share of each failure domain as the share of objects', () => {
  const servers = Array.from({ length: 25 }, (_, index) => versioned(`b${index}`, v2))
  const entry = createEntry(versioned('a1', v1), ...servers)
  applyRollout(entry, createRollout({ percent: 8 }), start)
  const listInUse = (): string[] => servers.filter(({ role }) => role === 'target').map(({ facts }) => facts.id)
  assert.equal(listInUse().length, 2)
  const crashed = listInUse()[0] ?? ''
  for (const server of servers) if (server.facts.id === crashed) server.facts = { ...server.facts, isClosed: true }
  applyRollout(entry, createRollout({ percent: 8, step: 2 }), start)
  assert.ok(listInUse().length === 2 && !listInUse().includes(crashed), 'another server replaces the one that ended')
  applyRollout(entry, createRollout({ percent: 25, step: 3, state: 'promoting' }), start)
  assert.equal(listInUse().length, 25)
})

/** Guards against a VM that lost contact and keeps sending to a version that was rolled back meanwhile. */
test('a VM whose state is not confirmed sends nothing to a version under observation, and resumes when it is', () => {
  const entry = createMixed()
  applyRollout(entry, observing, start)
  earn(entry, 1000)
  let isConfirmed = true
  entry.fleet.rollouts.isStateConfirmed = () => isConfirmed
  assert.match(sendObject(entry, targetObject, start), /^b/)
  const waiting = decide(entry, begin(entry, start, targetObject), start)
  assert.ok(waiting.type === 'send')
  isConfirmed = false
  assert.ok(isClosedByVersion(entry.fleet.rollouts, waiting.placement.server, start), 'a request that waits for a connection is withdrawn')
  assert.match(sendObject(entry, targetObject, start), /^a/)
  assert.equal(computeSlotShare(entry.fleet, desk), 300, 'the slots of the target are not counted')
  isConfirmed = true
  assert.match(sendObject(entry, targetObject, start), /^b/)
  assert.deepEqual(takeUseChanges(entry.fleet.rollouts).map(({ type, reason }) => [type, reason]), [['started', undefined], ['stopped', 'stale'], ['resumed', 'stale']])
  isConfirmed = false
  applyRollout(entry, createRollout({ percent: 50, step: 2, state: 'promoting' }), start)
  assert.match(sendObject(entry, targetObject, start), /^b/, 'a version that passed the observation stays in use')
})

/** Guards against a VM that keeps sending to a version although its own answers show that it is bad. */
test('a VM whose own counts show a bad version stops, and its retries go to the baseline', () => {
  const entry = createMixed()
  applyRollout(entry, observing, start)
  earn(entry, 10_000)
  let sends = 0
  for (let now = start; now < start + 60_000; now += 200) {
    for (const object of objects.slice(0, 8)) {
      if (sendObject(entry, object, now, id => id.startsWith('b') ? failed : answered, 50).startsWith('b')) sends += 1
    }
  }
  assert.ok(sends >= 4 && sends < 30, `${sends}`)
  assert.deepEqual(takeUseChanges(entry.fleet.rollouts).at(-1)?.reason, 'bad')
})

/** Guards against requests that are refused because the servers of the target version crashed. */
test('if the target servers crash, their objects are served by the baseline, also within one request', () => {
  const entry = createMixed()
  applyRollout(entry, observing, start)
  earn(entry, 1000)
  const state = begin(entry, start, targetObject)
  const ids = [0, 1, 2].map(() => sendOnce(entry, state, id => id.startsWith('b') ? { type: 'lost', reason: 'failed' } : answered, start))
  assert.ok(ids[0]?.startsWith('b') === true && ids.some(id => id.startsWith('a')), ids.join())
  for (const server of entry.fleet.byId.values()) if (server.facts.software === v2) server.facts = { ...server.facts, isClosed: true }
  applyRollout(entry, { ...observing, step: 2 }, start)
  assert.ok(listTargets(entry).every(id => id.startsWith('a')))
})

/** Guards against requests in flight at the baseline that are cut, or not counted, while a rollout drains. */
test('draining sends only to the target, and counts requests in flight at the baseline until they end', () => {
  const entry = createMixed()
  applyRollout(entry, undefined, start)
  const state = begin(entry, start, baselineObject)
  const step = decide(entry, state, start)
  assert.ok(step.type === 'send')
  const sending = beginSend(entry, state, step.placement, start)
  applyRollout(entry, createRollout({ state: 'draining', percent: 100, step: 6 }), start)
  assert.ok(listTargets(entry).every(id => id.startsWith('b')))
  assert.equal(computeSlotShare(entry.fleet, desk), 200)
  const report = (): unknown[] => listRolloutReports(entry.fleet.rollouts, start).map(({ step, inFlightAtBaseline }) => [step, inFlightAtBaseline])
  assert.deepEqual(report(), [[6, 1]])
  entry.fleet.byId.delete(step.placement.server.facts.id)
  applyRollout(entry, createRollout({ state: 'draining', percent: 100, step: 6 }), start)
  assert.deepEqual(report(), [[6, 1]], 'a server that left the directory still runs the request')
  endSend(entry, state, sending, answered, start + 200)
  assert.deepEqual(report(), [[6, 0]])
  const load = flushLoadReport(entry.load, start + 1000, [], listRolloutReports(entry.fleet.rollouts, start + 1000))
  assert.deepEqual(load?.rollouts?.map(({ step, inFlightAtBaseline }) => [step, inFlightAtBaseline]), [[6, 0]], 'load reports carry the counts')
  applyRollout(entry, createRollout({ state: 'completed', percent: 100, step: 7 }), start)
  assert.equal(flushLoadReport(entry.load, start + 2000, [], listRolloutReports(entry.fleet.rollouts, start + 2000))?.rollouts, undefined)
})

/** Guards against evidence from refusals, callers that left, short deadlines and warm-ups, and slow answers that go unseen. */
test('only answers and failures of the server count as evidence', () => {
  const entry = createMixed()
  applyRollout(entry, createRollout({ percent: 100, state: 'promoting' }), start)
  const send = (outcome: Parameters<typeof sendOnce>[2], tookMs: number): string => sendObject(entry, targetObject, start, outcome, tookMs)
  const getCounts = (): unknown => listRolloutReports(entry.fleet.rollouts, start)[0]?.routes[0]?.target
  for (const reason of ['full', 'unreached', 'elsewhere', 'withdrawn'] as const) send(() => ({ type: 'notRun', reason }), 10)
  send(() => ({ type: 'lost', reason: 'gone' }), 1000)
  send(() => ({ type: 'lost', reason: 'deadline' }), 100)
  assert.equal(getCounts(), undefined)
  for (const server of entry.fleet.byId.values()) Object.assign(server, { ejectedUntil: 0, fullUntil: 0, consecutiveFailures: 0, unansweredSince: undefined })
  send(() => answered, 100)
  send(() => answered, 450)
  send(() => ({ type: 'lost', reason: 'spoiled' }), 50)
  send(() => ({ type: 'lost', reason: 'deadline' }), 1100)
  assert.deepEqual(getCounts(), { answers: 4, failures: 2, slow: 1 })
  for (const server of entry.fleet.byId.values()) Object.assign(server, { coldUntil: start + 3000, ejectedUntil: 0, consecutiveFailures: 0, unansweredSince: undefined })
  send(() => answered, 900)
  assert.deepEqual(getCounts(), { answers: 5, failures: 2, slow: 1 })
})

/** Guards against a slow version that raises the expectations by which its own slowness is measured. */
test('nothing is learned about a service from a version under observation', () => {
  const entry = createMixed()
  applyRollout(entry, observing, start)
  earn(entry, 1000)
  const before = JSON.stringify([...entry.fleet.workModel, ...entry.fleet.meanSlotTimes])
  for (let index = 0; index < 5; index++) assert.match(sendObject(entry, targetObject, start + index * 1000, () => answered, 500), /^b/)
  assert.equal(JSON.stringify([...entry.fleet.workModel, ...entry.fleet.meanSlotTimes]), before)
})

/** Guards against a new effect in fleets whose settings have no bounds of rollouts. */
test('without bounds of rollouts, versions change nothing', () => {
  const servers = (): Array<ReturnType<typeof versioned>> => [versioned('a1', v1), versioned('b1', v2), versioned('c1', v3)]
  const plain = createEntry(...servers())
  const entry = createEntry(...servers())
  for (const rollout of [observing, createRollout({ state: 'draining' }), createRollout({ state: 'rolledBack' })]) {
    applyRollout(entry, rollout, start, { bounds: undefined })
    assert.deepEqual(listTargets(entry), listTargets(plain))
    assert.deepEqual(listRolloutReports(entry.fleet.rollouts, start), [])
  }
  applyRollout(entry, createRollout({ state: 'rolledBack' }), start)
  assert.ok(listTargets(entry).every(id => id === 'a1'))
  applyRollout(entry, createRollout({ state: 'rolledBack' }), start, { bounds: undefined })
  assert.deepEqual(listTargets(entry), listTargets(plain), 'the settings may be removed while the VM runs')
})
