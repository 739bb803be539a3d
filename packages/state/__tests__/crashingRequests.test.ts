/** Requests under which backend servers ended: when they become restricted, and when they are released. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId, loadChart } from '@lynxcourse/base'
import type { Millis, RequestFingerprint, ServerId } from '@lynxcourse/base'
import {
  applyEntry, createStateMachine, deserializeStateMachine, endMemoryMs, findItem, firstBlockMs, isRestricted, listItems, maxBlockMs, maxCountedRequests,
  maxRestrictedRequests, minSuspectEnds, serializeStateMachine
} from '@lynxcourse/state'
import type { ChangeAnswer, CrashCommand, CrashingRequestItem, ServerEnd, StateMachine } from '@lynxcourse/state'

const seed = 59
console.log(`seed ${seed}`)

const charts = { claim: loadChart('claim'), crashingRequest: loadChart('crashingRequest'), drain: loadChart('drain'), rollout: loadChart('rollout'), shift: loadChart('shift') }
const startTime = 1_800_000_000_000
const crashing = brandId<RequestFingerprint>('crashing')

function createMachine (): StateMachine {
  return createStateMachine(charts)
}

function apply (machine: StateMachine, command: CrashCommand, at: Millis = startTime): ChangeAnswer {
  const answer = applyEntry(machine, { index: machine.applied + 1, term: 1, at, body: { type: 'command', command } })
  if (answer.type !== 'change') throw new Error('no change')
  return answer.change
}

function createEnd (server: string, parts: Partial<ServerEnd> = {}): ServerEnd {
  return { request: crashing, route: 'read', server: brandId<ServerId>(server), bornAt: 0, isTrial: false, ...parts }
}

function reportEnds (machine: StateMachine, ends: readonly ServerEnd[], at?: Millis): void {
  apply(machine, { type: 'reportServerEnds', ends, answered: [] }, at)
}

function reportAnswer (machine: StateMachine): void {
  apply(machine, { type: 'reportServerEnds', ends: [], answered: [crashing] })
}

function getRestricted (machine: StateMachine, request = crashing): CrashingRequestItem | undefined {
  const item = findItem(machine.config, 'crashingRequest', request)
  return item !== undefined && isRestricted(item) ? item : undefined
}

/** Creates a machine in which the request is suspected. */
function createSuspecting (): StateMachine {
  const machine = createMachine()
  reportEnds(machine, ['s1', 's2', 's3'].map(server => createEnd(server)))
  return machine
}

test('a request becomes suspected when several incarnations of servers have ended under it, and not by repeated reports of one', () => {
  const machine = createMachine()
  for (let repeated = 0; repeated < minSuspectEnds; repeated++) reportEnds(machine, [createEnd('s1')])
  assert.equal(getRestricted(machine), undefined)
  reportEnds(machine, [createEnd('s1', { bornAt: 5 }), createEnd('s2')])
  assert.equal(getRestricted(machine)?.state, 'suspected')
  assert.equal(getRestricted(machine)?.blockedUntil, 0)
})

/** Guards against a harmless request that is blocked since the servers of a failure domain ended at the same moment. */
test('only the end of the server of a trial blocks a request, however many servers ended before', () => {
  const machine = createSuspecting()
  reportEnds(machine, ['s4', 's5', 's6'].map(server => createEnd(server)))
  assert.equal(getRestricted(machine)?.state, 'suspected')
  reportEnds(machine, [createEnd('s7', { isTrial: true })])
  assert.deepEqual([getRestricted(machine)?.state, getRestricted(machine)?.blockedUntil], ['blocked', startTime + firstBlockMs])
})

/** Guards against a request that ends a server each time its block expires, and is blocked no more. */
test('each failed trial after a block has expired blocks the request for longer', () => {
  const machine = createSuspecting()
  let at = startTime
  let blockMs = 0
  for (let trial = 0; trial < 12; trial++) {
    reportEnds(machine, [createEnd('s7', { bornAt: trial, isTrial: true })], at)
    const blockedUntil = getRestricted(machine)?.blockedUntil ?? 0
    assert.equal(blockedUntil - at, Math.min(maxBlockMs, trial === 0 ? firstBlockMs : blockMs * 2))
    blockMs = blockedUntil - at
    at = blockedUntil
  }
})

test('an answer or an operator releases a request, and its ends are counted anew', () => {
  for (const release of [reportAnswer, (machine: StateMachine) => assert.ok(apply(machine, { type: 'releaseRequest', request: crashing }).ok)]) {
    const machine = createSuspecting()
    release(machine)
    assert.equal(getRestricted(machine), undefined)
    reportEnds(machine, [createEnd('s4'), createEnd('s5')])
    assert.equal(getRestricted(machine), undefined)
    reportEnds(machine, [createEnd('s6')])
    assert.equal(getRestricted(machine)?.state, 'suspected')
  }
  assert.equal(apply(createMachine(), { type: 'releaseRequest', request: crashing }).ok, false)
})

/** Guards against an operator whose repeated call is refused since the answer to the first one was lost. */
test('a release that is repeated is accepted again', () => {
  const machine = createSuspecting()
  for (let call = 0; call < 2; call++) assert.equal(apply(machine, { type: 'releaseRequest', request: crashing }).ok, true)
})

/** Guards against a popular request that is suspected since it was at some of many servers that ended in ten minutes. */
test('an answer clears the ends that were counted before it', () => {
  const machine = createMachine()
  for (let index = 0; index < 3 * minSuspectEnds; index++) {
    reportEnds(machine, [createEnd(`s${index}`)])
    reportAnswer(machine)
  }
  assert.equal(getRestricted(machine), undefined)
})

test('ends that lie far apart are not counted together', () => {
  const machine = createMachine()
  for (let index = 0; index < 2 * minSuspectEnds; index++) reportEnds(machine, [createEnd(`s${index}`)], startTime + index * endMemoryMs)
  assert.equal(getRestricted(machine), undefined)
})

test('other requests that were at the same servers are not restricted by a trial of this one', () => {
  const machine = createMachine()
  const bystander = brandId<RequestFingerprint>('bystander')
  for (const server of ['s1', 's2']) reportEnds(machine, [createEnd(server, { request: bystander }), createEnd(server)])
  reportEnds(machine, [createEnd('s3')])
  reportEnds(machine, [createEnd('s4', { isTrial: true })])
  assert.equal(getRestricted(machine)?.state, 'blocked')
  assert.equal(getRestricted(machine, bystander), undefined)
})

/** Guards against a popular request that is turned away since it is at many of the servers that another one ends. */
test('a request is not suspected for ends that another request explains, and is released once one does', () => {
  const bystander = brandId<RequestFingerprint>('bystander')
  const machine = createSuspecting()
  for (const server of ['s4', 's5', 's6']) reportEnds(machine, [createEnd(server), createEnd(server, { request: bystander })])
  assert.equal(getRestricted(machine, bystander), undefined)
  const reversed = createMachine()
  reportEnds(reversed, ['s1', 's2', 's3'].map(server => createEnd(server, { request: bystander })))
  assert.equal(getRestricted(reversed, bystander)?.state, 'suspected')
  reportEnds(reversed, ['s1', 's2', 's3', 's4'].map(server => createEnd(server)))
  assert.equal(getRestricted(reversed)?.state, 'suspected')
  assert.equal(getRestricted(reversed, bystander), undefined)
})

/** Guards against a request that goes on ending servers since a popular one was at all of them. */
test('a request is suspected once the one that explained the same ends was answered', () => {
  const popular = brandId<RequestFingerprint>('popular')
  const machine = createMachine()
  reportEnds(machine, ['s0', 's1', 's2', 's3'].map(server => createEnd(server, { request: popular })))
  reportEnds(machine, ['s1', 's2', 's3'].map(server => createEnd(server)))
  assert.equal(getRestricted(machine), undefined)
  apply(machine, { type: 'reportServerEnds', ends: [], answered: [popular] })
  assert.equal(getRestricted(machine)?.state, 'suspected')
  assert.equal(getRestricted(machine, popular), undefined)
})

/** Guards against a control VM or an entry VM that runs out of memory while many servers end. */
test('counted and restricted requests are bounded, and a blocked request outlives suspected ones', () => {
  const machine = createSuspecting()
  reportEnds(machine, [createEnd('s7', { isTrial: true })])
  for (let index = 0; index < maxCountedRequests + 10; index++) reportEnds(machine, [createEnd('s1', { request: brandId<RequestFingerprint>(`counted-${index}`) })])
  assert.equal(machine.crashes.size, maxCountedRequests)
  for (let index = 0; index < maxRestrictedRequests + 10; index++) {
    reportEnds(machine, ['s1', 's2', 's3'].map(server => createEnd(server, { request: brandId<RequestFingerprint>(`restricted-${index}`) })))
  }
  assert.equal(listItems(machine.config, 'crashingRequest').filter(isRestricted).length, maxRestrictedRequests)
  assert.equal(getRestricted(machine)?.state, 'blocked')
})

const commandArbitrary: fc.Arbitrary<CrashCommand> = fc.record({
  type: fc.constant('reportServerEnds' as const),
  ends: fc.array(fc.record({ request: fc.constantFrom(crashing, brandId<RequestFingerprint>('other')), route: fc.constant('read'), server: fc.constantFrom('s1', 's2', 's3', 's4').map(id => brandId<ServerId>(id)), bornAt: fc.nat({ max: 2 }), isTrial: fc.boolean() }), { maxLength: 3 }),
  answered: fc.subarray([crashing])
})

/** Guards against replicas that differ after one of them was restored from a snapshot. */
test('a machine that was restored from a snapshot at any point reaches the same state', () => {
  fc.assert(fc.property(fc.array(commandArbitrary, { maxLength: 30 }), fc.nat({ max: 30 }), (commands, snapshotAt) => {
    const direct = createMachine()
    let restored = createMachine()
    commands.forEach((command, index) => {
      apply(direct, command, startTime + index)
      if (index === snapshotAt) restored = deserializeStateMachine(charts, serializeStateMachine(restored))
      apply(restored, command, startTime + index)
    })
    assert.equal(serializeStateMachine(restored), serializeStateMachine(direct))
  }), { seed })
})
