/** The queue of events and proposals of a control VM's replica. */
import assert from 'node:assert/strict'
import { setImmediate } from 'node:timers/promises'
import { test } from 'node:test'
import { startProcessing } from '@lynxcourse/daemon'
import type { ControlHost } from '@lynxcourse/daemon'

const maxReads = 100

/** Guards against a control VM that does nothing else any more: its replica was replaced while events waited. */
test('events that wait while no replica runs don\'t keep the event loop busy', async () => {
  let reads = 0
  // The queue seems empty after some reads, so that the test fails instead of hanging.
  const events = { get length () { return ++reads > maxReads ? 0 : 1 } }
  startProcessing({ busy: undefined, replica: undefined, events, proposals: [] } as unknown as ControlHost)
  await setImmediate()
  assert.ok(reads < maxReads, `the queue was read ${reads} times`)
})
