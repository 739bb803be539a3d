/** Output of `lynxcourse fleet rollouts`. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId, isLynxError } from '@lynxcourse/base'
import type { ServiceId } from '@lynxcourse/base'
import { createRolloutRow, parseDuration } from '@lynxcourse/cli'
import type { RolloutItem, SoftwareVersion } from '@lynxcourse/state'

/** Guards against a row that hides why a rollout is in its state, or by when it is to be finished. */
test('a rollout is shown with its deadline and its reason', () => {
  const item: RolloutItem = { kind: 'rollout', key: brandId<ServiceId>('desk'), baseline: brandId<SoftwareVersion>(''), target: brandId<SoftwareVersion>('v2'), orderedAt: 1_800_000_000_000, durationMs: 12_000, state: 'observing', percent: 8, order: 7, step: 1, reason: 'ordered' }
  assert.deepEqual(createRolloutRow(item), { service: 'desk', state: 'observing', baseline: undefined, target: 'v2', percent: 8, step: 1, deadline: '2027-01-15T08:00:12.000Z', reason: 'ordered' })
})

/** Guards against a mistyped duration that becomes a rollout without a deadline. */
test('a duration must be a positive number of seconds', () => {
  assert.equal(parseDuration('12.5'), 12_500)
  for (const text of ['', '0', '-1', 'soon', 'Infinity']) assert.throws(() => parseDuration(text), err => isLynxError(err, 'badRequest') && err.field === 'duration')
})
