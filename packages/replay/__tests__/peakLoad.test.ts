/** Load at its worst: the figures that tell why benefit is lost, and callers that arrive together after a loss of power. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { replayPattern } from '@lynxcourse/replay'
import type { Pattern } from '@lynxcourse/replay'
import { createSmallPattern } from './support/smallPattern.js'

/** Guards against loss that has no cause, which would hide what costs most. */
test('the benefit and the losses by cause add up to the attainable benefit', () => {
  const { benefit, lost, served, refused, failed } = replayPattern(createSmallPattern({ seconds: 4 }), 1)
  const sum = Object.values(lost).reduce((total, part) => total + part, benefit)
  assert.ok(Math.abs(sum - 1) < 1e-9, `${sum}`)
  assert.ok(Math.abs(served + refused + failed - 1) < 1e-9)
})

/** Guards against a model in which all callers fail at once when no VM runs, so that a return of power shows no peak. */
test('callers that find no running VM try again until their patience ends', () => {
  const pattern = createSmallPattern({ seconds: 4, disturbances: [{ kind: 'entryVmsStop', atS: 1, forS: 0.5, share: 1 }] })
  const reconnecting: Pattern = { ...pattern, callers: { impatient: 0, reconnectMs: 250 } }
  assert.ok((replayPattern(reconnecting, 1).lost.lost ?? 0) < (replayPattern(pattern, 1).lost.lost ?? 0) * 0.7)
})
