/** Copies with empty disks and slow copies become whole again, over slow links and with large entries. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { voters } from '@lynxcourse/agreement'
import { createSlowGroup, describe, findLeader, hasData, isWhole, loseDisk, runFor, runUntil, startCopy, step, stopCopy, write } from './support/slowGroup.js'
import type { Links, SlowCopy, SlowGroup } from './support/slowGroup.js'

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

/** Fills the state with values that together are larger than a call can carry in its time, and compacts the log. */
function fillState (group: SlowGroup): void {
  for (let slot = 0; slot < 24; slot++) write(group, slot, 51_000, 3000)
  runFor(group, 1000)
}

// Guards against a snapshot that is sent in one message, which never arrives before its call ends.
test('a copy with an empty disk catches up with a snapshot that is too large for one message', () => {
  const group = createSlowGroup(3, betweenRegions, 3)
  fillState(group)
  const [, , copy] = group.copies as [SlowCopy, SlowCopy, SlowCopy]
  assert.ok((findLeader(group)?.replica?.snapshot.data.length ?? 0) > 1_000_000, 'the state is a large snapshot')
  loseDisk(group, copy)
  runUntil(group, () => isWhole(group, copy), 12_000, 'a copy with an empty disk is whole')
  assert.ok(group.largest < 300_000, `a message of ${group.largest} characters`)
})

// Guards against a transfer that starts over after each short cut and never ends on a link that is cut again and again.
test('a snapshot goes on where it stopped when the link is cut again and again', () => {
  const group = createSlowGroup(3, { ...betweenRegions, bandwidth: 300 }, 4)
  fillState(group)
  const copy = group.copies.find(other => other !== findLeader(group)) as SlowCopy
  loseDisk(group, copy)
  const isCut = (): boolean => group.now % 2500 > 1500
  group.isCut = ({ from, to }) => isCut() && (from === copy.id || to === copy.id)
  runUntil(group, () => isWhole(group, copy), 40_000, 'a copy behind a link that is cut 40% of the time is whole')
})

// Guards against a copy that loses what has arrived, or a group without a quorum, when the leader is lost during a transfer.
test('a transfer is completed by the next leader when the leader restarts in its middle', () => {
  const group = createSlowGroup(5, betweenRegions, 5)
  fillState(group)
  const copy = group.copies.find(other => other !== findLeader(group)) as SlowCopy
  loseDisk(group, copy)
  runFor(group, 1500)
  const leader = findLeader(group) as SlowCopy
  stopCopy(leader)
  runFor(group, 300)
  startCopy(group, leader)
  runUntil(group, () => isWhole(group, copy), 20_000, 'a copy with an empty disk is whole')
})

// Guards against copies that are sent one snapshot after the other because the log is compacted faster than a snapshot arrives.
test('a copy catches up while large changes go on and the log is compacted', () => {
  const group = createSlowGroup(3, { ...betweenRegions, bandwidth: 1500 }, 6)
  fillState(group)
  const copy = group.copies.find(other => other !== findLeader(group)) as SlowCopy
  loseDisk(group, copy)
  const startedAt = group.now
  for (let round = 0; !isWhole(group, copy) && round < 60; round++) {
    write(group, round % 24, 51_000, 3000)
    runFor(group, 150)
  }
  assert.ok(isWhole(group, copy), `not whole after ${group.now - startedAt} ms: ${describe(group)}`)
})

// Guards against copies that are gone but still count as voters, so that the loss of another disk leaves too few voters.
test('a voter is removed once its VM has come back with an empty disk, before the new copy has caught up', () => {
  const group = createSlowGroup(5, betweenRegions, 7)
  write(group, 0, 10, 3000)
  const [first, second] = group.copies.filter(copy => copy !== findLeader(group)) as [SlowCopy, SlowCopy]
  const [firstId, secondId] = [first.id, second.id]
  group.isCut = envelope => (envelope.to === first.id || envelope.to === second.id) && hasData(envelope)
  for (const copy of [first, second]) {
    loseDisk(group, copy)
    runFor(group, 4000)
  }
  const leader = findLeader(group)
  assert.ok(leader?.replica !== undefined, describe(group))
  assert.ok(!voters(leader.replica).some(id => id === firstId || id === secondId), `voters ${voters(leader.replica).join()}`)
})

// Guards against a new copy that stays a learner for as long as changes go on, since it never has the very last entry.
test('a copy with an empty disk becomes a voter while many small changes go on', () => {
  const group = createSlowGroup(3, betweenRegions, 8)
  for (let slot = 0; slot < 5; slot++) write(group, slot, 100, 3000)
  const copy = group.copies.find(other => other !== findLeader(group)) as SlowCopy
  loseDisk(group, copy)
  const startedAt = group.now
  while (!isVoterAtLeader(group, copy) && group.now - startedAt < 6000) {
    const leader = findLeader(group)
    if (leader !== undefined) step(group, leader, { type: 'propose', commands: [{ type: 'put', slot: 0, value: String(group.now) }] })
    runFor(group, 30)
  }
  assert.ok(isVoterAtLeader(group, copy), `no voter after ${group.now - startedAt} ms: ${describe(group)}`)
})

function isVoterAtLeader (group: SlowGroup, { id }: SlowCopy): boolean {
  const leader = findLeader(group)?.replica
  return leader !== undefined && voters(leader).includes(id)
}
