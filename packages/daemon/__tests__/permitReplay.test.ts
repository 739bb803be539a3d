/** Permits under the load of many small entry VMs and many teams, in virtual time. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { replayPermits } from './support/permitReplay.js'
import type { ReplayCfg } from './support/permitReplay.js'

/**
 * Few large teams and many small ones below their rates, so that most teams have less than one request in four seconds at an
 * entry VM; small control VMs; the regions' load peaks in turn.
 */
const cfg: ReplayCfg = {
  entries: 56,
  issuers: 6,
  regions: 3,
  perSecond: 25,
  variation: 0.55,
  periodMs: 36_000,
  weights: Array.from({ length: 73 }, (_, index) => index < 4 ? 10 : 1),
  headroom: 1.6,
  excess: 1,
  warmupMs: 20_000,
  durationMs: 10_000,
  questionMs: 1.2,
  teamMs: 0.05,
  freeShare: 0.4,
  frozenFrom: Infinity,
  frozenUntil: Infinity,
  seed: 11
}

/** Guards against questions that use up the control VMs' processors, so that answers come late and teams count as over their rates. */
test('teams below their rates are served, with few questions and short waits', async () => {
  const result = await replayPermits(cfg)
  assert.equal(result.overRate + result.noPermits, 0)
  assert.ok(result.p99 < 100, `${result.p99} ms`)
  assert.ok(result.questions < 12.5, `${result.questions} questions a second`)
  assert.ok(result.timedOut < 0.01)
})

/** Guards against refusals below the rate while a control VM is frozen: the others' buckets carry the load. */
test('teams below their rates are served while a control VM is frozen', async () => {
  const result = await replayPermits({ ...cfg, frozenFrom: 2000, frozenUntil: 8000 })
  assert.equal(result.overRate, 0)
  assert.ok(result.noPermits < 0.001)
  assert.equal(result.failed, 0)
  assert.ok(result.p99 < 300, `${result.p99} ms`)
  assert.ok(result.timedOut < 0.05)
})

/** Guards against load that keeps itself up: control VMs that are busy with other work answer late, and callers return. */
test('teams below their rates are served while control VMs have little processor time for questions', async () => {
  const result = await replayPermits({ ...cfg, freeShare: 0.28, frozenFrom: 2000, frozenUntil: 8000 })
  assert.ok(result.overRate + result.noPermits < 0.005)
  assert.ok(result.failed < 0.001)
})

/** Guards against requests that wait for others to be asked for with them where there are none. */
test('a request at a VM with little load waits for the answer alone', async () => {
  const result = await replayPermits({ ...cfg, perSecond: 1, headroom: 40 })
  assert.equal(result.overRate + result.noPermits, 0)
  assert.ok(result.p50 < 10, `${result.p50} ms`)
  assert.ok(result.questions < 1.5, `${result.questions} questions a second`)
})

/** Guards against reserves that use up all permits when all VMs start at once. */
test('few requests are refused while buckets and reserves are empty after a start of all VMs', async () => {
  const result = await replayPermits({ ...cfg, warmupMs: 0 })
  assert.ok(result.overRate + result.noPermits < 0.015, `${result.overRate + result.noPermits} refused`)
  assert.ok(result.failed < 0.001)
})

/** Guards against a large team over its rate whose requests take the control VMs' processor time from the others. */
test('a team over its rate gets its rate, and the others are not refused', async () => {
  const result = await replayPermits({ ...cfg, excess: 3 })
  assert.equal(result.othersRefused, 0)
  assert.equal(result.noPermits, 0)
  assert.ok(result.firstServed > 0.95 && result.firstServed < 1.2, `${result.firstServed} of its rate`)
  const frozen = await replayPermits({ ...cfg, excess: 3, frozenFrom: 2000, frozenUntil: 8000 })
  assert.equal(frozen.othersRefused, 0)
  assert.ok(frozen.firstServed > 0.85, `${frozen.firstServed} of its rate`)
})
