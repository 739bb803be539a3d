/** Tests the course of a request for arbitrary outcomes of its sends. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { beginSend, getConcurrency, createCallerLiveness, createLoadObservations, endSend, isServerUnresponsive, decideNextStep, reserveFailover, recordPoll, releaseRetry, startRequest } from '@lynxcourse/placement'
import type { CallerLiveness, EntryState, DecisionConditions, RequestState, RequestStep, SendOutcome } from '@lynxcourse/placement'
import { desk, createTestFleet, request, createRoute, server } from './support/fleet.js'

const seed = 53
console.log(`seed ${seed}`)

const conditions: DecisionConditions = { retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 1000 }, isStopping: false }
const startedAt = 1000
const serverCount = 8

/** Creates the view of a caller whose connection was just polled. */
function createPolledCaller (): CallerLiveness {
  const view = createCallerLiveness()
  recordPoll(view, startedAt)
  return view
}

function createEntry (): EntryState {
  return { fleet: createTestFleet(...Array.from({ length: serverCount }, (_, index) => server(`s${index}`))), load: createLoadObservations(startedAt), retries: new Map(), waitingForCapacity: new Map() }
}

const outcomeArbitrary: fc.Arbitrary<SendOutcome> = fc.oneof(
  fc.record({ type: fc.constant('answered' as const), status: fc.constantFrom(200, 404, 500, 503), connectMs: fc.constant(0) }),
  fc.record({ type: fc.constant('notRun' as const), reason: fc.constantFrom('full' as const, 'elsewhere' as const, 'unreached' as const) }),
  fc.record({ type: fc.constant('lost' as const), reason: fc.constantFrom('failed' as const, 'spoiled' as const, 'deadline' as const, 'slow' as const, 'stranded' as const, 'gone' as const) })
)

/** The result of running one request to its final step. */
interface Course {
  readonly run: RequestState
  readonly sent: SendOutcome[]
  readonly last: RequestStep
}

/** Runs a request to its final step; its sends have the given outcomes, each after `tookMs`. */
function runRequest (entry: EntryState, isIdempotent: boolean, maxAttempts: number, outcomes: readonly SendOutcome[], tookMs: number, given = conditions): Course {
  const { tried: _, ...incoming } = request({ route: createRoute('read', { isIdempotent, maxAttempts }), arrivedAt: startedAt, deadline: startedAt + 1000 })
  let now = startedAt
  const run = startRequest(entry, incoming, createPolledCaller(), given, now)
  const sent: SendOutcome[] = []
  for (;;) {
    const step = decideNextStep(entry, run, given, now)
    if (step.type === 'poll') {
      recordPoll(run.caller, now)
      continue
    }
    if (step.type === 'wait') {
      now += step.pauseMs
      continue
    }
    const outcome = outcomes[sent.length]
    if (step.type !== 'send' || outcome === undefined) return { run, sent, last: step }
    const sending = beginSend(entry, run, step.placement, now)
    now += tookMs
    sent.push(outcome)
    endSend(entry, run, sending, outcome, now)
  }
}

const cases = fc.record({ isIdempotent: fc.boolean(), maxAttempts: fc.integer({ min: 1, max: 4 }), outcomes: fc.array(outcomeArbitrary, { minLength: 12, maxLength: 12 }), tookMs: fc.integer({ min: 1, max: 600 }) })

function mayHaveRun (outcome: SendOutcome): boolean {
  return outcome.type !== 'notRun'
}

test('a non-idempotent request is not sent again once a server may have run it; an idempotent one runs at no more servers than its route allows', () => {
  fc.assert(fc.property(cases, given => {
    const { run, sent } = runRequest(createEntry(), given.isIdempotent, given.maxAttempts, given.outcomes, given.tookMs)
    const runs = sent.filter(mayHaveRun).length
    assert.ok(runs <= (given.isIdempotent ? given.maxAttempts : 1))
    assert.equal(run.tried.size, sent.length, 'no server gets the request twice')
    if (!given.isIdempotent) assert.ok(sent.slice(0, -1).every(outcome => !mayHaveRun(outcome)))
  }), { seed })
})

test('only a request that certainly did not run is refused, and only a request that may have run fails', () => {
  fc.assert(fc.property(cases, given => {
    const { sent, last } = runRequest(createEntry(), given.isIdempotent, given.maxAttempts, given.outcomes, given.tookMs)
    if (last.type === 'refuse') assert.ok(!sent.some(mayHaveRun))
    if (last.type === 'fail') assert.ok(sent.some(mayHaveRun))
    if (last.type === 'answer') assert.ok(sent.some(outcome => outcome.type === 'answered'))
  }), { seed })
})

test('after any outcome, a request no longer counts as in flight', () => {
  fc.assert(fc.property(cases, given => {
    const entry = createEntry()
    runRequest(entry, given.isIdempotent, given.maxAttempts, given.outcomes, given.tookMs)
    assert.equal(getConcurrency(entry.fleet, desk).underWay, 0)
    for (const { running } of entry.fleet.byId.values()) assert.equal(running.size, 0)
  }), { seed })
})

test('a VM that is stopping lets no request wait for capacity', () => {
  const entry = createEntry()
  const { tried: _, ...incoming } = request()
  getConcurrency(entry.fleet, desk).underWay = 1000
  assert.equal(decideNextStep(entry, startRequest(entry, incoming, createPolledCaller(), conditions, startedAt), conditions, startedAt).type, 'wait')
  const stopping = { ...conditions, isStopping: true }
  assert.equal(decideNextStep(entry, startRequest(entry, incoming, createPolledCaller(), stopping, startedAt), stopping, startedAt).type, 'refuse')
})

/**
 * Guards against requests that reach an evacuated failure domain long after they were sent, and against abandoning work that is
 * still running.
 */
test('a send is stranded if it is overdue at a closed server that has answered nothing since the send started', () => {
  const entry = createEntry()
  const { tried: _, ...incoming } = request({ route: createRoute('read', { isIdempotent: false }), arrivedAt: startedAt, deadline: startedAt + 60_000 })
  const step = decideNextStep(entry, startRequest(entry, incoming, createPolledCaller(), conditions, startedAt), conditions, startedAt)
  assert.ok(step.type === 'send')
  const { placement: placed } = step
  const sending = beginSend(entry, startRequest(entry, incoming, createPolledCaller(), conditions, startedAt), placed, startedAt)
  const overdueAt = sending.overdueAt
  assert.equal(isServerUnresponsive(entry, sending, conditions, overdueAt), false)
  placed.server.facts = { ...placed.server.facts, isClosed: true }
  assert.equal(isServerUnresponsive(entry, sending, conditions, overdueAt - 1), false)
  assert.equal(isServerUnresponsive(entry, sending, conditions, overdueAt), true)
  assert.equal(isServerUnresponsive(entry, sending, { ...conditions, isStopping: true }, overdueAt), false)
  placed.server.lastAnsweredAt = startedAt + 1
  assert.equal(isServerUnresponsive(entry, sending, conditions, overdueAt), false)
})

const withoutRetries: DecisionConditions = { ...conditions, retryBudget: { ratio: 0, windowMs: 10_000, slack: 0 } }
const unreached: SendOutcome = { type: 'notRun', reason: 'unreached' }
const answered: SendOutcome = { type: 'answered', status: 200, connectMs: 0 }
const full: SendOutcome = { type: 'notRun', reason: 'full' }

/** Guards against requests that are refused for lack of a retry although no server has got them. */
test('a send that reached no server uses no retry, and the next one may be the first to arrive', () => {
  const { sent, last } = runRequest(createEntry(), false, 2, [unreached, unreached, answered], 10, withoutRetries)
  assert.deepEqual([sent.length, last.type], [3, 'answer'])
})

/** Guards against a request that tries one server after another, each for as long as a connection may take to open. */
test('a request is refused after several servers that could not be reached', () => {
  const { sent, last } = runRequest(createEntry(), false, 2, Array.from({ length: serverCount }, () => unreached), 10)
  assert.deepEqual([sent.length, last.type], [4, 'refuse'])
})

test('a request that a server turned away is refused if the budget has no retry left', () => {
  const { run, sent, last } = runRequest(createEntry(), false, 2, [unreached, full, answered], 10, withoutRetries)
  assert.deepEqual([sent.length, last.type, run.retryCause, run.isOverBudget], [2, 'refuse', 'full', true])
})

/** Starts an idempotent request and its first send. */
function startSend (entry: EntryState, given: DecisionConditions): RequestState {
  const { tried: _, ...incoming } = request({ route: createRoute('read', { isIdempotent: true, maxAttempts: 3 }), arrivedAt: startedAt, deadline: startedAt + 1000 })
  const run = startRequest(entry, incoming, createPolledCaller(), given, startedAt)
  const step = decideNextStep(entry, run, given, startedAt)
  assert.ok(step.type === 'send')
  beginSend(entry, run, step.placement, startedAt)
  return run
}

/** Guards against a server at work that is given up, and a failure in place of its answer, since the budget has no retry. */
test('a request fails over only with a retry of the budget, and two requests do not use the same one', () => {
  const oneRetry: DecisionConditions = { ...conditions, retryBudget: { ratio: 0, windowMs: 10_000, slack: 2 } }
  const entry = createEntry()
  const [first, second, third] = [startSend(entry, oneRetry), startSend(entry, oneRetry), startSend(entry, oneRetry)]
  assert.equal(reserveFailover(entry, first, oneRetry, startedAt + 100), true)
  assert.equal(reserveFailover(entry, second, oneRetry, startedAt + 100), false)
  releaseRetry(entry, first)
  assert.equal(reserveFailover(entry, third, oneRetry, startedAt + 100), true)
})

/** Guards against a fail-over whose next send may not happen, since servers ended under the request meanwhile. */
test('a restricted request does not fail over', () => {
  const entry = createEntry()
  const run = startSend(entry, conditions)
  assert.equal(reserveFailover(entry, run, { ...conditions, restriction: { type: 'trialOnly' } }, startedAt + 100), false)
})

/** Guards against a server at work that is given up, and a failure in place of its answer, since its slowness lowers the limit of its service. */
test('a request that fails over is sent although its service takes no more requests by then', () => {
  const entry = createEntry()
  const { tried: _, ...incoming } = request({ route: createRoute('read', { isIdempotent: true, maxAttempts: 3 }), arrivedAt: startedAt, deadline: startedAt + 1000 })
  const run = startRequest(entry, incoming, createPolledCaller(), conditions, startedAt)
  const first = decideNextStep(entry, run, conditions, startedAt)
  assert.ok(first.type === 'send')
  const sending = beginSend(entry, run, first.placement, startedAt)
  assert.ok(reserveFailover(entry, run, conditions, startedAt + 100))
  endSend(entry, run, sending, { type: 'lost', reason: 'slow' }, startedAt + 100)
  const concurrency = getConcurrency(entry.fleet, desk)
  concurrency.limit = 0
  concurrency.underWay = 1
  recordPoll(run.caller, startedAt + 100)
  assert.equal(decideNextStep(entry, run, conditions, startedAt + 100).type, 'send')
})
