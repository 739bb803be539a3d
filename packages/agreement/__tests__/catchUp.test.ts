/** Copies with empty disks and slow copies become whole again, over slow links and with large entries. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSlowGroup, isWhole, loseDisk, runFor, runUntil, write } from './support/slowGroup.js'
import type { Links, SlowCopy } from './support/slowGroup.js'

/** The longest delay between regions, and links on which a log of some megabytes takes longer than a call may take. */
const betweenRegions: Links = { delayMs: 55, bandwidth: 700, callMs: 800 }

// Guards against a leader that sends the whole log in one message, which never arrives before its call ends.
test('a copy with an empty disk catches up with a log that is too large for one message', () => {
  const group = createSlowGroup(3, betweenRegions, 1)
  for (let round = 0; round < 16; round++) write(group, 0, 51_000, 3000)
  const [, , copy] = group.copies as [SlowCopy, SlowCopy, SlowCopy]
  loseDisk(group, copy)
  runFor(group, 100)
  runUntil(group, () => isWhole(group, copy), 8000, 'a copy with an empty disk is whole')
  assert.ok(group.largest < 300_000, `a message of ${group.largest} characters`)
})

// Guards against a leader that answers each heartbeat that overtakes entries by sending these entries again.
test('entries that heartbeats overtake are sent once', () => {
  const group = createSlowGroup(3, { delayMs: 55, bandwidth: 400, callMs: 800 }, 2)
  write(group, 0, 10, 3000)
  runFor(group, 1000)
  group.sent = 0
  write(group, 0, 200_000, 3000)
  runFor(group, 1000)
  assert.equal(group.sent, 2, 'messages with entries to two copies')
})
