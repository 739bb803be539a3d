/** Steps of rollouts in simulated time, for bad versions and for good ones beside other troubles. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { ServiceId } from '@lynxcourse/base'
import { RatioTestJudge, followRollout, getCarriedPercent, planRolloutStep, recordReports } from '@lynxcourse/rollouts'
import type { RolloutReport, RolloutView, RolloutWatch } from '@lynxcourse/rollouts'
import type { RolloutItem, SoftwareVersion } from '@lynxcourse/state'
import { badVersions, goodVersions } from './support/scenarios.js'
import { simulateRollout } from './support/simulation.js'
import type { Result, Scenario } from './support/simulation.js'

const seeds = [1, 2, 3, 4, 5, 6, 7, 8]
console.log(`seeds ${seeds.join()}`)

const judge = new RatioTestJudge()
const good: Scenario = { name: 'good', isBad: false, trouble: () => undefined }
const half: Scenario = { name: 'half', isBad: true, trouble: ({ isTarget }, random) => isTarget && random() < 0.5 ? 'fail' : undefined }
const desk = brandId<ServiceId>('desk')

function run (scenario: Scenario): Result[] {
  return seeds.map(seed => simulateRollout(scenario, judge, seed))
}

for (const scenario of badVersions) {
  /** Guards against a bad version that is promoted, or gets more requests than the bounds allow. */
  test(`bad version: ${scenario.name}`, () => {
    for (const { state, reason, exposure, lateSends } of run(scenario)) {
      assert.equal(state, 'rolledBack')
      assert.match(reason, /^bad version/)
      assert.ok(exposure < 0.1, `exposure ${exposure}`)
      assert.equal(lateSends, 0)
    }
  })
}

for (const scenario of goodVersions) {
  /** Guards against a good version that is rolled back, or not in force by the deadline. */
  test(`good version: ${scenario.name}`, () => {
    for (const { state, reason, endedAt } of run(scenario)) {
      assert.equal(state, 'completed', reason)
      assert.ok(endedAt <= (scenario.durationMs ?? 12_000), `ended at ${endedAt}`)
    }
  })
}

/** Guards against a new leader that decides on counts of few VMs, or starts the rollout over. */
test('a rollout continues when the leader is lost in any step', () => {
  for (const lostAt of [1000, 3000, 5000, 5600, 6200, 6600, 7200, 7600, 8200, 9000, 10_000]) {
    for (const { state, reason, endedAt } of run({ ...good, leaderLostAt: [lostAt] })) {
      assert.equal(state, 'completed', `leader lost at ${lostAt}: ${reason}`)
      assert.ok(endedAt <= 14_500, `leader lost at ${lostAt}, ended at ${endedAt}`)
    }
    for (const { state, lateSends } of run({ ...half, leaderLostAt: [lostAt] })) {
      assert.equal(state, 'rolledBack')
      assert.equal(lateSends, 0)
    }
  }
})

/** Guards against a good version that is rolled back only because no leader acted for a time, and a bad one that goes on. */
test('after the deadline has passed without a leader, the evidence decides', () => {
  const cut = [3000, 14_000] as const
  const leaderLostAt = [14_000]
  for (const { state, reason } of run({ ...good, cut, leaderLostAt })) assert.equal(state, 'completed', reason)
  for (const { state } of run({ ...half, cut: [2000, 14_000], leaderLostAt })) assert.equal(state, 'rolledBack')
})

/** Guards against a rollout that waits for ever for its servers. */
test('a target whose servers never come is rolled back at 0.65 of the duration', () => {
  for (const { state, reason, endedAt } of run({ ...good, targetStartMs: Infinity })) {
    assert.equal(state, 'rolledBack')
    assert.match(reason, /no server/)
    assert.ok(endedAt >= 7800 && endedAt < 8200)
  }
})

/** Guards against more requests than the target's servers can carry. */
test('too few target servers are not given all requests', () => {
  for (const { state, reason } of run({ ...good, targetServers: 15 })) {
    assert.equal(state, 'rolledBack')
    assert.match(reason, /carry only/)
  }
  const view: RolloutView = { targetServers: 1, targetSlots: 0, baselineSlots: 90, entries: [], longestTimeoutMs: 2000 }
  assert.equal(getCarriedPercent(view), 0)
  assert.equal(getCarriedPercent({ ...view, targetSlots: 45 }), 58)
  assert.equal(getCarriedPercent({ ...view, targetSlots: 81 }), 100)
})

const draining: RolloutItem = { kind: 'rollout', key: desk, baseline: brandId<SoftwareVersion>('v1'), target: brandId<SoftwareVersion>('v2'), orderedAt: 0, durationMs: 12_000, state: 'draining', percent: 100, order: 7, step: 5, reason: '' }
const view: RolloutView = { targetServers: 10, targetSlots: 90, baselineSlots: 90, entries: ['vm-1', 'vm-2'], longestTimeoutMs: 2000 }

function createDrainingWatch (reports: ReadonlyArray<readonly [string, number, number]>): RolloutWatch {
  const watch = followRollout(undefined, draining, 0)
  const byVm = reports.map(([vm, step, inFlightAtBaseline]): readonly [string, readonly RolloutReport[]] => [vm, [{ service: desk, order: 7, step, inFlightAtBaseline, routes: [], servers: [] }]])
  recordReports(watch, draining, byVm)
  return watch
}

/** Guards against baseline servers that stop while requests are in flight there. */
test('a rollout completes when all VMs in contact have reported the step with nothing in flight, or after the longest timeout', () => {
  const plan = (reports: ReadonlyArray<readonly [string, number, number]>, now = 2500, entries = view.entries): string | undefined =>
    planRolloutStep(draining, createDrainingWatch(reports), { ...view, entries }, judge, now)?.event
  assert.equal(plan([['vm-1', 5, 0], ['vm-2', 5, 0]]), 'complete')
  assert.equal(plan([['vm-1', 5, 0], ['vm-2', 5, 1]]), undefined)
  assert.equal(plan([['vm-1', 5, 0], ['vm-2', 4, 0]]), undefined)
  assert.equal(plan([['vm-1', 5, 0]]), undefined)
  assert.equal(plan([['vm-1', 5, 0], ['vm-2', 4, 3]], 2500, ['vm-1']), 'complete')
  assert.equal(plan([], 2500, []), undefined)
  assert.equal(plan([['vm-1', 5, 0]], 4000), 'complete')
  // Until the VMs have had time to report to a new leader, it doesn't know all of them.
  assert.equal(plan([['vm-1', 5, 0], ['vm-2', 5, 0]], 1000), undefined)
})

/** Guards against a rollout that stops the baseline's servers while those of the target are gone. */
test('a rollout whose target servers are lost while it drains is rolled back', () => {
  assert.equal(planRolloutStep(draining, createDrainingWatch([]), { ...view, targetSlots: 18 }, judge, 2500)?.event, 'rollBack')
})
