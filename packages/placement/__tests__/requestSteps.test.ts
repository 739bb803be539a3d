/** A request's course, whatever its servers do. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { beginSend, getConcurrency, createCallerView, createLoadNotes, endSend, isServerUnresponsive, decideNextStep, noteLook, startRequest } from '@lynxcourse/placement'
import type { CallerView, EntryState, DecisionConditions, RequestState, RequestStep, SendOutcome } from '@lynxcourse/placement'
import { desk, createTestFleet, request, route, server } from './support/fleet.js'

const seed = 53
console.log(`seed ${seed}`)

const terms: DecisionConditions = { retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 1000 }, isStopping: false }
const startedAt = 1000
const serverCount = 8

/** What a VM knows of a caller at whose connection it has just looked. */
function seenCaller (): CallerView {
  const view = createCallerView()
  noteLook(view, startedAt)
  return view
}

function entryOf (): EntryState {
  return { fleet: createTestFleet(...Array.from({ length: serverCount }, (_, place) => server(`s${place}`))), load: createLoadNotes(startedAt), retries: new Map(), waitingForCapacity: new Map() }
}

const ends: fc.Arbitrary<SendOutcome> = fc.oneof(
  fc.record({ type: fc.constant('answered' as const), status: fc.constantFrom(200, 404, 500, 503), openMs: fc.constant(0) }),
  fc.record({ type: fc.constant('notRun' as const), reason: fc.constantFrom('full' as const, 'elsewhere' as const, 'unreached' as const) }),
  fc.record({ type: fc.constant('lost' as const), reason: fc.constantFrom('failed' as const, 'spoiled' as const, 'deadline' as const, 'slow' as const, 'stranded' as const, 'gone' as const) })
)

interface Course {
  readonly run: RequestState
  readonly sent: SendOutcome[]
  readonly last: RequestStep
}

/** Plays a request whose sends end like this, each after some time, to its final step. */
function play (entry: EntryState, isIdempotent: boolean, maxAttempts: number, given: readonly SendOutcome[], tookMs: number): Course {
  const { tried: _, ...asked } = request({ route: route('read', { isIdempotent, maxAttempts }), arrivedAt: startedAt, deadline: startedAt + 1000 })
  let now = startedAt
  const run = startRequest(entry, asked, seenCaller(), terms, now)
  const sent: SendOutcome[] = []
  for (;;) {
    const step = decideNextStep(entry, run, terms, now)
    if (step.type === 'look') {
      noteLook(run.caller, now)
      continue
    }
    if (step.type === 'wait') {
      now += step.pauseMs
      continue
    }
    const end = given[sent.length]
    if (step.type !== 'send' || end === undefined) return { run, sent, last: step }
    const sending = beginSend(entry, run, step.placement, now)
    now += tookMs
    sent.push(end)
    endSend(entry, run, sending, end, now)
  }
}

const courses = fc.record({ isIdempotent: fc.boolean(), maxAttempts: fc.integer({ min: 1, max: 4 }), ends: fc.array(ends, { minLength: 12, maxLength: 12 }), tookMs: fc.integer({ min: 1, max: 600 }) })

function mayHaveRun (end: SendOutcome): boolean {
  return end.type !== 'notRun'
}

test('a request that must not repeat is sent no more once a server may have run it; another runs at no more servers than its route allows', () => {
  fc.assert(fc.property(courses, given => {
    const { run, sent } = play(entryOf(), given.isIdempotent, given.maxAttempts, given.ends, given.tookMs)
    const runs = sent.filter(mayHaveRun).length
    assert.ok(runs <= (given.isIdempotent ? given.maxAttempts : 1))
    assert.equal(run.tried.size, sent.length, 'no server gets it twice')
    if (!given.isIdempotent) assert.ok(sent.slice(0, -1).every(end => !mayHaveRun(end)))
  }), { seed })
})

test('only what no server may have run is refused, and only what some server may have run fails', () => {
  fc.assert(fc.property(courses, given => {
    const { sent, last } = play(entryOf(), given.isIdempotent, given.maxAttempts, given.ends, given.tookMs)
    if (last.type === 'refuse') assert.ok(!sent.some(mayHaveRun))
    if (last.type === 'fail') assert.ok(sent.some(mayHaveRun))
    if (last.type === 'answer') assert.ok(sent.some(end => end.type === 'answered'))
  }), { seed })
})

test('whatever ends a request, nothing of it stays counted', () => {
  fc.assert(fc.property(courses, given => {
    const entry = entryOf()
    play(entry, given.isIdempotent, given.maxAttempts, given.ends, given.tookMs)
    assert.equal(getConcurrency(entry.fleet, desk).underWay, 0)
    for (const { running } of entry.fleet.byId.values()) assert.equal(running.size, 0)
  }), { seed })
})

test('a VM that stops lets nothing wait for room', () => {
  const entry = entryOf()
  const { tried: _, ...asked } = request()
  getConcurrency(entry.fleet, desk).underWay = 1000
  assert.equal(decideNextStep(entry, startRequest(entry, asked, seenCaller(), terms, startedAt), terms, startedAt).type, 'wait')
  const leaving = { ...terms, isLeaving: true }
  assert.equal(decideNextStep(entry, startRequest(entry, asked, seenCaller(), leaving, startedAt), leaving, startedAt).type, 'refuse')
})

/** Guards against requests that reach an evacuated failure domain long after they were sent, and against ended work that goes on well. */
test('a send is stranded where it is overdue, its server is closed to work, and nothing was heard of it since', () => {
  const entry = entryOf()
  const { tried: _, ...asked } = request({ route: route('read', { isIdempotent: false }), arrivedAt: startedAt, deadline: startedAt + 60_000 })
  const step = decideNextStep(entry, startRequest(entry, asked, seenCaller(), terms, startedAt), terms, startedAt)
  assert.ok(step.type === 'send')
  const { placement: placed } = step
  const sending = beginSend(entry, startRequest(entry, asked, seenCaller(), terms, startedAt), placed, startedAt)
  const late = sending.overdueAt
  assert.equal(isServerUnresponsive(entry, sending, terms, late), false)
  placed.server.facts = { ...placed.server.facts, isClosed: true }
  assert.equal(isServerUnresponsive(entry, sending, terms, late - 1), false)
  assert.equal(isServerUnresponsive(entry, sending, terms, late), true)
  assert.equal(isServerUnresponsive(entry, sending, { ...terms, isStopping: true }, late), false)
  placed.server.lastAnsweredAt = startedAt + 1
  assert.equal(isServerUnresponsive(entry, sending, terms, late), false)
})
