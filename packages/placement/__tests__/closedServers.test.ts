/** Placement among servers that want no requests from this VM: for a time, because they leave, or for lack of connections. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { noStatements, recordStatements } from '@lynxcourse/limits'
import { beginSend, computeSlotShare, createCallerLiveness, createLoadObservations, decideNextStep, endSend, reserveFailover, placeRequest, recordPoll, startRequest, updateWaitingCount } from '@lynxcourse/placement'
import type { DecisionConditions, EntryState, FleetServer, RequestState, RequestStep, SendOutcome } from '@lynxcourse/placement'
import { createRoute, createTestFleet, desk, getTargetOrReason, kochi, mumbai, request, server } from './support/fleet.js'

const conditions: DecisionConditions = { retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 1000 }, isStopping: false }
const start = 1000
const objects = Array.from({ length: 30 }, (_, index) => `read|${index}`)

/** Lets a server ask for no requests for a time. */
function pause (target: FleetServer, forMs: number, now = start): FleetServer {
  recordStatements(target.notice, { ...noStatements, pause: { type: 'paused', forMs } }, now)
  return target
}

function leave (target: FleetServer, now = start): FleetServer {
  recordStatements(target.notice, { ...noStatements, leaving: { type: 'leaving' } }, now)
  return target
}

function createEntry (...servers: FleetServer[]): EntryState {
  return { fleet: createTestFleet(...servers), load: createLoadObservations(start), retries: new Map(), waitingForCapacity: new Map() }
}

function begin (entry: EntryState, now = start, object = 'read|7'): RequestState {
  const caller = createCallerLiveness()
  recordPoll(caller, now)
  return startRequest(entry, request({ arrivedAt: now, deadline: now + 1200, object }), caller, conditions, now)
}

function decide (entry: EntryState, state: RequestState, now: number): RequestStep {
  recordPoll(state.caller, now)
  return decideNextStep(entry, state, conditions, now)
}

/** Sends a request to the server that placement chooses, and ends the send; returns the server's id. */
function sendOnce (entry: EntryState, state: RequestState, outcome: SendOutcome, now: number): string {
  const step = decide(entry, state, now)
  assert.ok(step.type === 'send', step.type)
  endSend(entry, state, beginSend(entry, state, step.placement, now), outcome, now)
  return step.placement.server.facts.id
}

function listTargets (entry: EntryState, now: number): string[] {
  return objects.map(object => getTargetOrReason(entry.fleet, request({ object, arrivedAt: now, deadline: now + 1200 }), now))
}

/** Guards against objects that keep going to their primary server although it wants no requests. */
test('a paused server gets no object, the others take its objects, and it has them again when the pause ends', () => {
  const [resting, first, second] = [server('s1'), server('s2'), server('s3')]
  const entry = createEntry(resting, first, second)
  const before = listTargets(entry, start)
  assert.ok(before.includes('s1'))
  pause(resting, 3000)
  const during = listTargets(entry, start + 2999)
  assert.ok(!during.includes('s1'))
  before.forEach((target, index) => { if (target !== 's1') assert.equal(during[index], target, 'objects of other servers stay where they are') })
  assert.deepEqual(listTargets(entry, start + 3000), before)
})

/** Guards against sends that don't ask: retries after a refusal, and fail-over to another server. */
test('a retry and a fail-over pass over paused and leaving servers', () => {
  for (const close of [(target: FleetServer) => pause(target, 3000), (target: FleetServer) => leave(target)]) {
    const servers = [server('s1'), server('s2'), server('s3')]
    const entry = createEntry(...servers)
    const state = begin(entry)
    const refusing = sendOnce(entry, state, { type: 'notRun', reason: 'full' }, start)
    const others = servers.filter(({ facts }) => facts.id !== refusing)
    close(others[0] as FleetServer)
    assert.ok(reserveFailover(entry, state, conditions, start + 100))
    assert.equal(sendOnce(entry, state, { type: 'notRun', reason: 'full' }, start + 100), others[1]?.facts.id)
    close(others[1] as FleetServer)
    assert.ok(!reserveFailover(entry, begin(entry, start + 100), conditions, start + 100) || getTargetOrReason(entry.fleet, request(), start + 100) === refusing)
  }
})

/** Guards against a trial that is the only send of a request in the fleet and goes to a server that wants none. */
test('a granted trial is refused while all servers pause', () => {
  const entry = createEntry(pause(server('s1'), 5000))
  const state = begin(entry)
  state.trial = { isGranted: true }
  const step = decideNextStep(entry, state, { ...conditions, restriction: { type: 'trialOnly' } }, start)
  assert.ok(step.type === 'refuse' && step.refused.reason === 'paused', step.type)
})

/** Guards against callers that are held until their deadline, or that come back before a server takes requests. */
test('requests that only paused servers could take are refused at once, and return after the first pause ends', () => {
  const entry = createEntry(pause(server('s1'), 20_000), pause(server('s2'), 9000))
  const times = objects.map(object => {
    const step = decide(entry, begin(entry, start, object), start)
    assert.ok(step.type === 'refuse' && step.refused.reason === 'paused', step.type)
    return step.refused.retryAfterMs
  })
  assert.ok(Math.min(...times) >= 9000, `${Math.min(...times)}`)
  assert.ok(Math.max(...times) - Math.min(...times) >= 1000, 'callers don\'t come back together')
})

/** Guards against requests that wait for a pause that ends too late for them, and against more of them than the server takes then. */
test('a request waits for a pause that ends soon, but not behind many others', () => {
  const entry = createEntry(pause(server('s1'), 50))
  const state = begin(entry)
  assert.equal(decide(entry, state, start).type, 'wait')
  assert.equal(decide(entry, state, start + 50).type, 'send')
  for (let waiting = 0; waiting < 20; waiting++) updateWaitingCount(entry, state, 1)
  assert.equal(decide(entry, begin(entry), start).type, 'refuse')
})

/** Guards against requests that waited and then reach a server together, which refuses most of them. */
test('a server gets no more requests at the end of a pause than it has room for', () => {
  const entry = createEntry(pause(server('s1'), 50))
  const states = objects.map(object => begin(entry, start, object))
  const sent = states.filter(state => {
    const step = decide(entry, state, start + 50)
    if (step.type === 'send') beginSend(entry, state, step.placement, start + 50)
    return step.type === 'send'
  })
  assert.ok(sent.length >= 3 && sent.length <= 12, `${sent.length} of ${states.length}`)
})

/** Guards against requests that go to a leaving server because all others are busy, ejected or far. */
test('a leaving server gets nothing, also if it is the only one', () => {
  const entry = createEntry(leave(server('s1')), server('s2', mumbai))
  assert.ok(listTargets(entry, start).every(target => target === 's2'))
  assert.equal(getTargetOrReason(createEntry(leave(server('s1'))).fleet, request(), start), 'noServer')
  assert.ok(listTargets(entry, start + 3_600_000).every(target => target === 's2'))
})

/** Guards against a request that can't be served in its region and leaves it because of a pause. */
test('a request with homes stays in them while their servers pause', () => {
  const fleet = createTestFleet(pause(server('s1'), 9000), server('s2', mumbai))
  const placement = placeRequest(fleet, request({ route: { ...createRoute('read'), homes: [kochi] } }), start)
  assert.ok(placement.type === 'refuse' && placement.reason === 'paused')
  assert.ok(placement.retryAfterMs >= 9000)
})

test('slots of leaving servers don\'t count as capacity', () => {
  const fleet = createTestFleet(server('s1'), server('s2'))
  const both = computeSlotShare(fleet, desk)
  leave(fleet.byId.values().next().value as FleetServer)
  assert.equal(computeSlotShare(fleet, desk), both / 2)
})

/** Guards against a server that counts as failed, and a retry budget that is used up, by a request that was never written. */
test('a request that is withdrawn before it is written harms no server and is no retry', () => {
  const target = server('s1')
  const entry = createEntry(target, server('s2'))
  const state = begin(entry)
  const first = sendOnce(entry, state, { type: 'notRun', reason: 'withdrawn' }, start)
  assert.equal(state.sends, 0)
  assert.equal(entry.fleet.byId.get(target.facts.id)?.consecutiveFailures, 0)
  const noRetries: DecisionConditions = { ...conditions, retryBudget: { ratio: 0, windowMs: 10_000, slack: 0 } }
  const step = decideNextStep(entry, state, noRetries, start)
  assert.ok(step.type === 'send' && step.placement.server.facts.id !== first, step.type)
})

/** Guards against a server that is sent more requests at once than it accepts connections from all VMs. */
test('all VMs together have no more requests in flight at a server than it accepts connections', () => {
  const entry = createEntry(server('s1', kochi, { slots: 50 }))
  entry.fleet.vms = ['vm-1', 'vm-2', 'vm-3', 'vm-4']
  entry.fleet.maxConnections.set(desk, 10)
  const steps = Array.from({ length: 5 }, () => {
    const state = begin(entry)
    const step = decide(entry, state, start)
    if (step.type === 'send') beginSend(entry, state, step.placement, start)
    return step.type
  })
  assert.equal(steps.filter(type => type === 'send').length, 2)
})

/** Guards against callers that come back at once because their own request met the servers that then wanted no more. */
test('a request whose sends were all turned away with a pause is refused until a server takes requests', () => {
  for (const count of [1, 2, 3, 4]) {
    const servers = Array.from({ length: count }, (_, index) => server(`s${index}`))
    const entry = createEntry(...servers)
    const state = begin(entry)
    let step = decide(entry, state, start)
    while (step.type === 'send') {
      const sending = beginSend(entry, state, step.placement, start)
      pause(step.placement.server, 3000)
      endSend(entry, state, sending, { type: 'notRun', reason: 'full' }, start)
      step = decide(entry, state, start)
    }
    assert.ok(step.type === 'refuse', `${count} servers: ${step.type}`)
    const isAnyOpen = servers.some(({ notice }) => notice.pausedUntil <= start)
    assert.equal(isAnyOpen, count === 4)
    assert.ok(isAnyOpen || step.refused.retryAfterMs >= 3000, `${count} servers: ${step.refused.retryAfterMs} ms`)
  }
})
