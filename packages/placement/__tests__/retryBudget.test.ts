/** The retry budget as a promise of all VMs together, under any schedule of disturbances. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createFleetMembership, hasJoined, mayUseReducedShare, mayUseShare, recordBudgetedRequest, recordEntryList, recordGivenShares, refundRetry, settleRetry, trySpendRetry } from '@lynxcourse/placement'
import type { RetryUsage } from '@lynxcourse/placement'
import { desk } from './support/fleet.js'
import { findExceededWindow, playRetries } from './support/retryModel.js'
import type { LeftOut } from './support/retryModel.js'
import { disturbanceArbitrary } from './support/schedules.js'

const seed = Number(process.env.SEED ?? 58)
const runs = Number(process.env.RUNS ?? 60)
console.log(`seed ${seed}`)

const cfg = { ratio: 0.2, windowMs: 10_000, slack: 62 }
const endsAt = 60_000

const schedule = fc.record({
  vmCount: fc.integer({ min: 1, max: 12 }),
  perStep: fc.integer({ min: 1, max: 20 }),
  workMs: fc.integer({ min: 0, max: 2500 }),
  disturbances: fc.array(disturbanceArbitrary(endsAt - 10_000), { maxLength: 12 })
})

function breaksWithout (leftOut: LeftOut): boolean {
  return fc.check(fc.property(schedule, setup =>
    findExceededWindow(playRetries(cfg, setup, endsAt, leftOut), cfg) === undefined), { seed, numRuns: runs }).failed
}

/** Guards against retries beyond the budget while VMs restart, freeze, are cut off or added, or while their sends are held up. */
test('arrivals beyond the first of their request stay within the budget of all VMs in any window, under any schedule of disturbances', () => {
  fc.assert(fc.property(schedule, setup => {
    assert.equal(findExceededWindow(playRetries(cfg, setup, endsAt), cfg), undefined)
  }), { seed, numRuns: runs })
})

/** Guards against a model that no longer shows the failure: without the mended part the bound is broken. */
test('without the rule for shares of the slack, some schedule breaks the budget', () => {
  assert.equal(breaksWithout({ membership: true }), true)
})

/** Guards against the same for the rule that retries use connections that were in use a moment ago. */
test('with retries over connections that were idle for long, some schedule breaks the budget', () => {
  assert.equal(breaksWithout({ freshConnections: true }), true)
})

/** Guards against a mend that only lowers the budget: most of it is usable while nothing is disturbed. */
test('an undisturbed fleet uses at least four fifths of the credits and most of the slack', () => {
  const { requests, repeats } = playRetries(cfg, { vmCount: 11, perStep: 9, workMs: 800, disturbances: [] }, endsAt)
  const from = 30_000
  const used = repeats.filter(at => at >= from && at < from + cfg.windowMs).length
  const sent = requests.filter(at => at >= from && at < from + cfg.windowMs).length
  assert.ok(used >= 0.8 * cfg.ratio * sent, `${used} of ${cfg.ratio * sent + cfg.slack}`)
})

/** Guards against sends that were held up by a partition and reach their servers together with new retries. */
test('a retry uses the slack until a window after its send has ended', () => {
  const usage: RetryUsage = new Map()
  const charge = trySpendRetry(usage, cfg, desk, 'failed', 1, 0)
  assert.ok(charge !== undefined)
  assert.equal(trySpendRetry(usage, cfg, desk, 'full', 1, 60_000), undefined, 'the send is still open')
  settleRetry(charge, 60_000)
  assert.equal(trySpendRetry(usage, cfg, desk, 'full', 1, 69_999), undefined)
  assert.ok(trySpendRetry(usage, cfg, desk, 'full', 1, 70_000) !== undefined)
})

/** Guards against credits that are saved up and spent by several processes within one window. */
test('a credit expires after a tenth of the window, also if requests are read late', () => {
  const usage: RetryUsage = new Map()
  for (let sent = 0; sent < 100; sent++) recordBudgetedRequest(usage, cfg, desk, 1000, 1000)
  for (let sent = 0; sent < 100; sent++) recordBudgetedRequest(usage, cfg, desk, 500, 3000)
  assert.equal(trySpendRetry(usage, cfg, desk, 'full', 0, 3000), undefined)
  recordBudgetedRequest(usage, cfg, desk, 3000, 3000)
  for (let sent = 0; sent < 6; sent++) recordBudgetedRequest(usage, cfg, desk, 3000, 3000)
  assert.ok(trySpendRetry(usage, cfg, desk, 'full', 0, 3500) !== undefined)
})

/** Guards against a budget that is used up by sends that never left the VM. */
test('a retry that was never written uses nothing', () => {
  const usage: RetryUsage = new Map()
  const charge = trySpendRetry(usage, cfg, desk, 'unreached', 1, 0)
  assert.ok(charge !== undefined)
  refundRetry(usage, charge)
  assert.ok(trySpendRetry(usage, cfg, desk, 'unreached', 1, 0) !== undefined)
})

/** Guards against a VM that was frozen and divides a limit by a list from before the freeze. */
test('a VM uses its share of a limit only with a recent list that has held it for one and a half windows', () => {
  const membership = createFleetMembership('vm-1')
  const windowMs = 10_000
  const list = (steady: number, wall = steady, ageMs: number | null = 0, names = ['vm-1', 'vm-2']): void => recordEntryList(membership, { names, ageMs }, { steady, wall }, steady)
  list(0, 0, null)
  assert.equal(mayUseShare(membership, windowMs, { steady: 20_000, wall: 20_000 }), false, 'the control VM does not know all VMs')
  for (let at = 20_000; at <= 34_000; at += 1000) list(at)
  assert.equal(mayUseShare(membership, windowMs, { steady: 34_000, wall: 34_000 }), false)
  assert.equal(mayUseShare(membership, windowMs, { steady: 35_000, wall: 35_000 }), true)
  assert.equal(mayUseShare(membership, windowMs, { steady: 35_000, wall: 41_000 }), false, 'the VM was suspended')
  recordGivenShares(membership, 400, { steady: 34_400, wall: 34_400 })
  assert.equal(mayUseShare(membership, undefined, { steady: 39_000, wall: 39_000 }), true)
  assert.equal(mayUseShare(membership, undefined, { steady: 39_001, wall: 39_001 }), false, 'the leader may have given it to others')
  assert.equal(mayUseReducedShare(membership, { steady: 94_000, wall: 94_000 }), true)
  assert.equal(mayUseReducedShare(membership, { steady: 94_001, wall: 94_001 }), false)
  assert.equal(hasJoined(membership, windowMs, 29_999), false)
  assert.equal(hasJoined(membership, windowMs, 30_000), true)
  list(60_000)
  assert.equal(mayUseShare(membership, windowMs, { steady: 61_000, wall: 61_000 }), false, 'others may have forgotten the VM')
})
