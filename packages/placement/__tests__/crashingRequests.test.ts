/** Trials of requests under which servers ended, and the steps of such requests. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { RequestFingerprint } from '@lynxcourse/base'
import {
  beginSend, cancelTrial, createCallerLiveness, createLoadObservations, decideNextStep, endSend, getRestriction, grantTrial, maxReportedRequests, recordPoll, recordReportedEnd, recordTrialAnswer,
  startRequest
} from '@lynxcourse/placement'
import type { DecisionConditions, EntryState, ReportedEnds, RequestState, RequestStep, SendOutcome, Trials } from '@lynxcourse/placement'
import { endMemoryMs } from '@lynxcourse/state'
import { createRoute, createTestFleet, request, server } from './support/fleet.js'

const crashing = brandId<RequestFingerprint>('crashing')
const startedAt = 1000
const retryAfterMs = 60_000
const open: DecisionConditions = { retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 1000 }, isStopping: false }
const trialOnly: DecisionConditions = { ...open, restriction: { type: 'trialOnly' } }
const blocked: DecisionConditions = { ...open, restriction: { type: 'blocked', retryAfterMs } }
const lost: SendOutcome = { type: 'lost', reason: 'failed' }
const full: SendOutcome = { type: 'notRun', reason: 'full' }

function createEntry (): EntryState {
  return { fleet: createTestFleet(server('s1'), server('s2'), server('s3')), load: createLoadObservations(startedAt), retries: new Map(), waitingForCapacity: new Map() }
}

function start (entry: EntryState): RequestState {
  const liveness = createCallerLiveness()
  recordPoll(liveness, startedAt)
  const { tried: _, ...incoming } = request({ route: createRoute('read', { maxAttempts: 3 }), arrivedAt: startedAt })
  return startRequest(entry, incoming, liveness, open, startedAt)
}

/** Sends the request, ends the send with an outcome and returns the next step. */
function sendOnce (entry: EntryState, state: RequestState, before: DecisionConditions, outcome: SendOutcome, after: DecisionConditions): RequestStep {
  const step = decideNextStep(entry, state, before, startedAt)
  assert.equal(step.type, 'send')
  if (step.type === 'send') endSend(entry, state, beginSend(entry, state, step.placement, startedAt), outcome, startedAt)
  return decideNextStep(entry, state, after, startedAt)
}

test('a blocked request is refused at once until its block ends, and then a trial decides', () => {
  const entry = createEntry()
  assert.deepEqual(decideNextStep(entry, start(entry), blocked, startedAt), { type: 'refuse', refused: { type: 'refuse', reason: 'endsServers', retryAfterMs } })
  assert.deepEqual(getRestriction(startedAt + retryAfterMs, startedAt), { type: 'blocked', retryAfterMs })
  assert.deepEqual(getRestriction(startedAt, startedAt), { type: 'trialOnly' })
  assert.equal(getRestriction(undefined, startedAt), undefined)
})

test('a suspected request is sent only as a granted trial, to one server', () => {
  const entry = createEntry()
  const state = start(entry)
  assert.deepEqual(decideNextStep(entry, state, trialOnly, startedAt), { type: 'claimTrial' })
  recordTrialAnswer(state, { isGranted: true })
  assert.equal(sendOnce(entry, state, trialOnly, full, trialOnly).type, 'send', 'a server that did not run it leaves the trial to another one')
  assert.deepEqual(sendOnce(entry, state, trialOnly, lost, trialOnly), { type: 'fail', reason: 'serverFailed' })
})

test('a trial does not fail over to another server while its server is slow', () => {
  const entry = createEntry()
  const state = start(entry)
  recordTrialAnswer(state, { isGranted: true })
  const step = decideNextStep(entry, state, trialOnly, startedAt)
  assert.ok(step.type === 'send')
  const sending = beginSend(entry, state, step.placement, startedAt)
  assert.deepEqual([sending.failoverAt, sending.isTrial], [undefined, true])
})

test('a request whose trial is denied is refused until the trial in progress has ended', () => {
  const entry = createEntry()
  const state = start(entry)
  recordTrialAnswer(state, { isGranted: false, retryAfterMs: 300 })
  assert.deepEqual(decideNextStep(entry, state, trialOnly, startedAt), { type: 'refuse', refused: { type: 'refuse', reason: 'endsServers', retryAfterMs: 300 } })
})

/** Guards against an answer 'not run' to a request that a server ran before it became restricted. */
test('a request that becomes restricted after a server may have run it fails, and is not refused', () => {
  for (const restricted of [trialOnly, blocked]) {
    const entry = createEntry()
    assert.deepEqual(sendOnce(entry, start(entry), open, lost, restricted), { type: 'fail', reason: 'serverFailed' })
  }
})

test('one trial of a request runs at a time, and other requests have their own', () => {
  const trials: Trials = new Map()
  const forMs = 1000
  const claim = (now: number, fingerprint = crashing): boolean => grantTrial(trials, fingerprint, 0, forMs, now).isGranted
  assert.deepEqual([claim(0), claim(10), claim(20, brandId<RequestFingerprint>('other'))], [true, false, true])
  cancelTrial(trials, crashing)
  assert.equal(claim(30), true, 'a trial that reached no server makes way for the next one')
  assert.equal(grantTrial(trials, crashing, undefined, forMs, 40).isGranted, true, 'a released request needs no trial')
  assert.deepEqual(grantTrial(trials, crashing, 10_000, forMs, 50), { isGranted: false, retryAfterMs: 9950 })
})

/** Guards against a request that ends a server in each of many trials, since its callers leave before the result is known. */
test('the pause between trials without a result doubles', () => {
  const trials: Trials = new Map()
  const grantedAt: number[] = []
  for (let now = 0; now < 60_000; now += 100) if (grantTrial(trials, crashing, 0, 1000, now).isGranted) grantedAt.push(now)
  assert.deepEqual(grantedAt, [0, 2000, 6000, 14_000, 30_000])
})

test('the leader remembers a bounded number of trials', () => {
  const trials: Trials = new Map()
  for (let index = 0; index < 1000; index++) grantTrial(trials, brandId<RequestFingerprint>(`r${index}`), 0, 1000, 0)
  assert.ok(trials.size <= 256)
})

/** Guards against an entry VM whose memory grows while many servers end. */
test('a VM remembers a bounded number of requests for which it reported ends, and each only as long as it counts', () => {
  const reported: ReportedEnds = new Map()
  for (let index = 0; index < maxReportedRequests + 10; index++) recordReportedEnd(reported, brandId<RequestFingerprint>(`r${index}`), index)
  assert.deepEqual([reported.size, reported.has(brandId<RequestFingerprint>('r0'))], [maxReportedRequests, false])
  recordReportedEnd(reported, crashing, endMemoryMs + maxReportedRequests + 10)
  assert.deepEqual([...reported.keys()], [crashing])
})
