/** Rows of `lynxcourse fleet notices`. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createNoticeRow } from '@lynxcourse/cli'

const quiet = { server: 's1', service: 'desk', perSecond: null, share: null, pausedMs: 0, isLeaving: false }

test('what a server has said is listed for each VM, and what it has not said is left empty', () => {
  const empty = { vm: 'vm-1', server: 's1', service: 'desk', perSecond: undefined, share: undefined, pausedMs: undefined, leaving: undefined }
  assert.deepEqual(createNoticeRow('vm-1', { ...quiet, perSecond: 4.5, share: 0.333 }), { ...empty, perSecond: 4.5, share: '33%' })
  assert.deepEqual(createNoticeRow('vm-1', { ...quiet, pausedMs: 1200, isLeaving: true }), { ...empty, pausedMs: 1200, leaving: true })
})
