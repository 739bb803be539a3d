/** What an entry VM learns from how a send ended, and tells the others. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLoadNotes, noteResult, placeRequest } from '@lynxcourse/placement'
import type { EntryState, Placement, SendOutcome } from '@lynxcourse/placement'
import { createTestFleet, request, server } from './support/fleet.js'

const now = 1000

function stateOf (): { entry: EntryState, placed: Placement } {
  const fleet = createTestFleet(server('a'))
  const placed = placeRequest(fleet, request(), now)
  assert.ok(placed.type === 'send')
  return { entry: { fleet, load: createLoadNotes(now), retries: new Map(), waitingForCapacity: new Map() }, placed }
}

function toldAfter (end: SendOutcome): number {
  const { entry, placed } = stateOf()
  noteResult(entry, request(), placed, end, 5, now + 5)
  return entry.load.failed.size
}

/*
 * Every sixth server ended and its address went to one of another service two seconds later. For three seconds after that a fifth of all
 * sends of 185 VMs still went to those addresses and were turned away there: each VM found out about each of the 90 servers by itself, until their
 * announcements had been missed. Each such send took one of the repeats that all VMs share, and when these were used up callers were refused.
 */
test('a server that is not at its address any more is told to the other VMs, like one that can\'t be reached', () => {
  assert.equal(toldAfter({ type: 'notRun', reason: 'unreached' }), 1)
  assert.equal(toldAfter({ type: 'notRun', reason: 'elsewhere' }), 1)
  assert.equal(toldAfter({ type: 'notRun', reason: 'full' }), 0)
})
