/** Tests the plans of the shutdown rig, and two short runs with real daemons. */
import assert from 'node:assert/strict'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { formatLoss } from '../shutdown/lossTable.js'
import { planShutdown } from '../shutdown/plan.js'
import type { ShutdownPlan, StopStep } from '../shutdown/plan.js'
import { runShutdown } from '../shutdown/run.js'

function listStops ({ steps }: ShutdownPlan): StopStep[] {
  return steps.flatMap(step => step.kind === 'stop' ? [step] : [])
}

test('the same seed draws the same plan, with the same stops whether VMs are paused or not', () => {
  assert.deepEqual(planShutdown(5), planShutdown(5))
  assert.notDeepEqual(planShutdown(5).steps, planShutdown(6).steps)
  const plans = Array.from({ length: 20 }, (_, seed) => planShutdown(seed, { starves: true }))
  assert.ok(plans.some(({ steps }) => steps.some(({ kind }) => kind === 'starve')))
  for (const plan of plans) assert.deepEqual(listStops(plan), listStops(planShutdown(plan.seed)))
})

test('plans stop one VM, several at once and several in turn, and pauses end when a stop begins', () => {
  const plans = Array.from({ length: 50 }, (_, seed) => planShutdown(seed, { rounds: 1, starves: true }))
  const spans = plans.map(plan => new Set(listStops(plan).map(({ at }) => at)).size - 1)
  assert.ok(plans.some(plan => listStops(plan).length === 1))
  assert.ok(plans.some((plan, index) => listStops(plan).length > 1 && spans[index] === 0))
  assert.ok(plans.some((plan, index) => listStops(plan).length > 1 && spans[index] === listStops(plan).length - 1))
  for (const { steps } of plans) {
    for (const pause of steps) {
      if (pause.kind === 'starve') assert.ok(steps.some(step => step.kind === 'stop' && step.vm === pause.vm && step.at >= pause.at + pause.forMs))
    }
  }
})

/** Two VMs are stopped in turn, one with a reload signal and a burst of callers; and one VM gets two stop signals and another early in its next start. */
const seeds = [23, 19]

// Guards against connections that a VM that stops closes before it has answered the requests that it has read on them.
test('a VM that is stopped answers every request that it has read', { timeout: 120_000 }, async () => {
  const lines: string[] = []
  for (const seed of seeds) {
    const folder = mkdtempSync(join(tmpdir(), 'lynx-shutdown-ci-'))
    const { requests, stops, openAtStop, losses } = await runShutdown(planShutdown(seed, { rounds: 1 }), folder)
    console.log(`seed ${seed}: ${requests} requests, ${stops} stops with ${openAtStop.toFixed(0)} open requests each, ${losses.length} lost`)
    assert.ok(requests >= 500 && openAtStop >= 5, `seed ${seed}: ${requests} requests, ${openAtStop} open at a stop`)
    lines.push(...losses.map(loss => `seed ${seed}: ${formatLoss(loss)}`))
    if (losses.length === 0) rmSync(folder, { recursive: true, force: true })
  }
  assert.equal(lines.length, 0, lines.join('\n'))
})
