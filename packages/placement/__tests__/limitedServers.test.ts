/** Placement among servers that name a limit for the requests of all VMs together. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { hasLimitToken, recordNamedLimit } from '@lynxcourse/limits'
import { applyLimits, beginSend, computeSlotShare, createCallerLiveness, createLoadObservations, decideNextStep, endSend, getLimitShare, placeRequest, recordPoll, startRequest, updateWaitingCount } from '@lynxcourse/placement'
import type { DecisionConditions, EntryState, FleetServer, RequestState, RequestStep } from '@lynxcourse/placement'
import { createTestFleet, desk, getTargetOrReason, request, server } from './support/fleet.js'

const conditions: DecisionConditions = { retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 1000 }, isStopping: false }
const start = 1000
const objectCount = 20
/** Time after which a server that was full is tried again. */
const fullMs = 50

/** Lets a server name a limit, and uses up the tokens that are there at once. */
function limit (target: FleetServer, perSecond: number, now = start): FleetServer {
  recordNamedLimit(target.notice.limit, { type: 'limited', perSecond }, now)
  hasLimitToken(target.notice.limit, 1, now)
  target.notice.limit.tokens = 0
  return target
}

function createEntry (...servers: FleetServer[]): EntryState {
  return { fleet: createTestFleet(...servers), load: createLoadObservations(start), retries: new Map(), waitingForCapacity: new Map() }
}

function begin (entry: EntryState, deadline: number, now: number, object = 'read|7'): RequestState {
  const caller = createCallerLiveness()
  recordPoll(caller, now)
  return startRequest(entry, request({ arrivedAt: now, deadline, object }), caller, conditions, now)
}

/** Sends requests one after the other, each answered at once, and returns the ids of their servers. */
function sendRequests (entry: EntryState, count: number, stepMs: number, from = start): string[] {
  const targets: string[] = []
  for (let index = 0; index < count; index++) {
    const now = from + index * stepMs
    const state = begin(entry, now + 1200, now, `read|${index % objectCount}`)
    const step = decideNextStep(entry, state, conditions, now)
    if (step.type !== 'send') {
      targets.push(step.type)
      continue
    }
    targets.push(step.placement.server.facts.id)
    endSend(entry, state, beginSend(entry, state, step.placement, now), { type: 'answered', status: 200, connectMs: 0 }, now)
  }
  return targets
}

test('a limited server gets what it takes, and the other one the rest', () => {
  const limited = server('s1')
  const entry = createEntry(limited, server('s2'))
  sendRequests(entry, 200, 20)
  limit(limited, 5, start + 4000)
  const targets = sendRequests(entry, 400, 20, start + 4000)
  const got = targets.filter(id => id === 's1').length
  assert.ok(got >= 30 && got <= 45, `${got} of 400 requests in 8 s`)
  assert.equal(targets.filter(id => id === 's2').length, 400 - got)
})

/** Guards against sends that use no token: retries of a request at its second server. */
test('a retry at a limited server uses a token as a first send does', () => {
  const entry = createEntry(limit(server('s1'), 1), server('s2'))
  const now = start + 1500
  const state = begin(entry, now + 1200, now)
  const step = decideNextStep(entry, state, conditions, now) as Extract<RequestStep, { type: 'send' }>
  const sending = beginSend(entry, state, step.placement, now)
  endSend(entry, state, sending, { type: 'notRun', reason: 'full' }, now)
  const again = decideNextStep(entry, state, conditions, now) as Extract<RequestStep, { type: 'send' }>
  beginSend(entry, state, again.placement, now)
  assert.deepEqual([...state.tried].sort(), ['s1', 's2'])
  const later = now + fullMs
  assert.equal(getTargetOrReason(entry.fleet, request({ arrivedAt: later, deadline: later + 1200 }), later), 's2')
})

/** Guards against a request that waits until its deadline although no token can come in time. */
test('a request that only limited servers could take is refused at once with the time of the next token', () => {
  const entry = createEntry(limit(server('s1'), 0.5))
  const step = decideNextStep(entry, begin(entry, start + 1200, start), conditions, start)
  assert.ok(step.type === 'refuse' && step.refused.reason === 'limited', step.type)
  assert.ok(step.refused.retryAfterMs >= 1000 && step.refused.retryAfterMs <= 4000, `${step.refused.retryAfterMs}`)
})

test('a request waits for a token that comes soon, but not behind others that wait for it', () => {
  const entry = createEntry(limit(server('s1'), 12))
  const state = begin(entry, start + 1200, start)
  assert.equal(decideNextStep(entry, state, conditions, start).type, 'wait')
  for (let waiting = 0; waiting < 5; waiting++) updateWaitingCount(entry, state, 1)
  assert.equal(decideNextStep(entry, begin(entry, start + 1200, start), conditions, start).type, 'refuse')
})

test('a limited server that is cold needs a token of both kinds', () => {
  const cold = limit(server('s1'), 1)
  cold.coldUntil = start + 10_000
  const fleet = createTestFleet(cold)
  assert.equal(placeRequest(fleet, request(), start).type, 'refuse')
  fleet.coldRequestRates.set(desk, 0)
  cold.coldTokens = 0
  cold.coldTokensAt = start + 2000
  assert.equal(getTargetOrReason(fleet, request({ arrivedAt: start + 2000, deadline: start + 3000 }), start + 2000), 'busy')
})

test('slots that a limit leaves unused don\'t count as capacity, and count again once it has ended', () => {
  const target = limit(server('s1'), 5)
  const fleet = createTestFleet(target, server('s2'))
  const limitedShare = computeSlotShare(fleet, desk)
  recordNamedLimit(target.notice.limit, { type: 'none' }, start)
  assert.ok(limitedShare < computeSlotShare(fleet, desk), `${limitedShare}`)
})

test('a server whose limit has ended gets requests at once', () => {
  const target = limit(server('s1'), 0)
  const fleet = createTestFleet(target)
  assert.equal(placeRequest(fleet, request(), start).type, 'refuse')
  recordNamedLimit(target.notice.limit, { type: 'none' }, start)
  assert.equal(placeRequest(fleet, request(), start).type, 'send')
})

/** Guards against limited servers without any requests while the control VMs are lost, and against a VM that uses what others were given. */
test('a VM uses less and less of its fraction of a limit after the leader last confirmed it', () => {
  const target = server('a')
  recordNamedLimit(target.notice.limit, { type: 'limited', perSecond: 20 }, 0)
  const fleet = createTestFleet(target)
  applyLimits(fleet, [{ server: target.facts.id, perSecond: 20, shares: [[fleet.setup.self, 0.8]] }], 0)
  assert.equal(getLimitShare(fleet, target), 0.8)
  fleet.mayUseShare = () => false
  assert.equal(getLimitShare(fleet, target), 0.4)
  fleet.mayUseReducedShare = () => false
  assert.ok(Math.abs(getLimitShare(fleet, target) - 0.04) < 1e-9)
})
