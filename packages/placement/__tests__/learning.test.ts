/** Tests what an entry VM learns from the outcome of a send, and reports to the other VMs. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLoadObservations, recordSendOutcome, placeRequest } from '@lynxcourse/placement'
import type { EntryState, Placement, SendOutcome } from '@lynxcourse/placement'
import { createTestFleet, request, server } from './support/fleet.js'

const now = 1000

function createSend (): { entry: EntryState, placement: Placement } {
  const fleet = createTestFleet(server('a'))
  const placement = placeRequest(fleet, request(), now)
  assert.ok(placement.type === 'send')
  return { entry: { fleet, load: createLoadObservations(now), retries: new Map(), waitingForCapacity: new Map() }, placement }
}

function countReportedAfter (outcome: SendOutcome): number {
  const { entry, placement } = createSend()
  recordSendOutcome(entry, request(), placement, outcome, 5, now + 5)
  return entry.load.failed.size
}

/*
 * Guards against this failure: 90 servers end, a sixth of all, and servers of another service take over their addresses two seconds
 * later. If each of 185 VMs detects each of these servers by itself, a fifth of all sends goes to the old addresses for three seconds
 * and is rejected there. The resends use up the shared retry budget, and callers are refused.
 */
test('a server that is no longer at its address is reported to the other VMs, like one that can\'t be reached', () => {
  assert.equal(countReportedAfter({ type: 'notRun', reason: 'unreached' }), 1)
  assert.equal(countReportedAfter({ type: 'notRun', reason: 'elsewhere' }), 1)
  assert.equal(countReportedAfter({ type: 'notRun', reason: 'full' }), 0)
})
