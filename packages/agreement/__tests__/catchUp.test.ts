/** Copies with empty disks and slow copies become whole again, over slow links and with large entries. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { getEntrySize, hasData, lastIndex, voters } from '@lynxcourse/agreement'
import { createSlowGroup, describe, findLeader, isWhole, loseDisk, readState, resetConnections, runFor, runUntil, startCopy, step, stopCopy, tryWrite, write } from './support/slowGroup.js'
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
  group.isCut = envelope => (envelope.to === first.id || envelope.to === second.id) && hasData(envelope.message)
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

/** An entry of the largest size that an operator may send, and one that is not replaced by a snapshot once it is committed. */
const largestEntry = 2_000_000
const uncompactedEntry = 900_000
/** Links on which these entries take longer than a connection lasts. */
const resetIntervalMs = 1000
const resetLinks: Links = { delayMs: 55, bandwidth: 700, callMs: 800, minBandwidth: 32 }

/** Runs until a condition holds, while the connections of some copies are reset again and again. */
function runWithResets (group: SlowGroup, copies: readonly SlowCopy[], isTrue: () => boolean, limitMs: number, what: string): void {
  const startedAt = group.now
  while (!isTrue()) {
    assert.ok(group.now - startedAt < limitMs, `${what} within ${limitMs} ms: ${describe(group)}`)
    runFor(group, resetIntervalMs)
    for (const copy of copies) resetConnections(group, copy)
  }
}

/** Appends an entry of about the given size at the leader; returns whether it is committed there. */
function proposeEntry (group: SlowGroup, size: number): () => boolean {
  const { replica } = findLeader(group) as SlowCopy
  assert.ok(replica !== undefined)
  const index = lastIndex(replica) + 1
  step(group, findLeader(group) as SlowCopy, { type: 'propose', commands: [{ type: 'put', slot: 0, value: 'x'.repeat(size) }] })
  return () => replica.commit >= index
}

// Guards against a large entry that starts over after each reset of its connection and never arrives.
test('an entry that takes longer than a connection lasts goes on where it stopped', () => {
  const group = createSlowGroup(3, resetLinks, 9)
  write(group, 0, 10, 3000)
  const copy = group.copies.find(other => other !== findLeader(group)) as SlowCopy
  const isCommitted = proposeEntry(group, uncompactedEntry)
  runWithResets(group, [copy], () => isCommitted() && isWhole(group, copy), 20_000, 'a copy whose connections are reset has the entry')
})

// Guards against a large change that is never confirmed when each copy that could confirm it has a bad link.
test('an entry that takes longer than a connection lasts is committed although the connections of all followers are reset', () => {
  const group = createSlowGroup(3, resetLinks, 10)
  write(group, 0, 10, 3000)
  const followers = group.copies.filter(other => other !== findLeader(group))
  const isCommitted = proposeEntry(group, largestEntry)
  runWithResets(group, followers, isCommitted, 20_000, 'the entry is committed')
})

// Guards against a large entry that never arrives over a steady link on which it takes longer than a call may take.
test('an entry that takes longer than a call is committed', () => {
  const group = createSlowGroup(3, betweenRegions, 11)
  write(group, 0, 10, 3000)
  runUntil(group, proposeEntry(group, largestEntry), 12_000, 'the entry is committed')
})

// Guards against parts that are all lost because each takes longer than a call may take.
test('an entry is committed over a link on which the first parts of it take longer than a call', () => {
  const group = createSlowGroup(3, { ...betweenRegions, bandwidth: 60 }, 14)
  write(group, 0, 10, 3000)
  runUntil(group, proposeEntry(group, 400_000), 20_000, 'the entry is committed')
})

// Guards against a new leader that sends a large entry from its beginning although a copy has most of it.
test('the next leader continues an entry that has arrived in part', () => {
  const group = createSlowGroup(3, betweenRegions, 12)
  write(group, 0, 10, 3000)
  const leader = findLeader(group) as SlowCopy
  const copy = group.copies.find(other => other !== leader) as SlowCopy
  group.isCut = envelope => envelope.to === copy.id && hasData(envelope.message)
  runUntil(group, proposeEntry(group, uncompactedEntry), 12_000, 'the entry is committed')
  group.isCut = () => false
  runFor(group, 2000)
  stopCopy(leader)
  group.dataSize = 0
  runUntil(group, () => findLeader(group) !== undefined && isWhole(group, copy), 12_000, 'the copy has the entry')
  assert.ok(group.dataSize < uncompactedEntry / 2, `${group.dataSize} characters were sent`)
})

// Guards against a copy of an earlier version that refuses parts of entries and never gets the entry.
test('a copy that refuses parts gets a lost entry as a whole again', () => {
  const group = createSlowGroup(3, resetLinks, 13)
  write(group, 0, 10, 3000)
  const copy = group.copies.find(other => other !== findLeader(group)) as SlowCopy
  group.isRefused = ({ to, message }) => to === copy.id && message.type === 'append' && message.part !== undefined
  const isCommitted = proposeEntry(group, uncompactedEntry)
  runFor(group, resetIntervalMs)
  resetConnections(group, copy)
  runUntil(group, () => isCommitted() && isWhole(group, copy), 8000, 'a copy of an earlier version has the entry')
})

function isVoterAtLeader (group: SlowGroup, { id }: SlowCopy): boolean {
  const leader = findLeader(group)?.replica
  return leader !== undefined && voters(leader).includes(id)
}

const seed = 68
const slotCount = 8
const largestValue = 150_000
/** Writes before the first loss: with 5 of them there is a log, with more a snapshot. */
const firstWrites = 9

const actionArbitrary = fc.oneof(
  { weight: 6, arbitrary: fc.record({ do: fc.constant('writeLarge' as const), pick: fc.nat(), size: fc.integer({ min: 20_000, max: largestValue }) }) },
  { weight: 3, arbitrary: fc.record({ do: fc.constant('writeSmall' as const), pick: fc.nat(), size: fc.integer({ min: 20, max: 2000 }) }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('loseDisk' as const), pick: fc.nat(), size: fc.integer({ min: 100, max: 3000 }) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('restart' as const), pick: fc.nat(), size: fc.integer({ min: 100, max: 3000 }) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('cut' as const), pick: fc.nat(), size: fc.integer({ min: 100, max: 900 }) }) }
)
const linksArbitrary = fc.record({ delayMs: fc.integer({ min: 1, max: 55 }), bandwidth: fc.integer({ min: 400, max: 1500 }), callMs: fc.constant(800) })

/** Time in which an empty copy is whole: it joins, gets the snapshot and the log at half of the bandwidth, and becomes a voter. */
function getCatchUpMs (group: SlowGroup): number {
  const { bandwidth, delayMs } = group.links
  const sizes = group.copies.map(({ replica }) => (replica?.snapshot.data.length ?? 0) + (replica?.entries ?? []).reduce((sum, entry) => sum + getEntrySize(entry), 0))
  const size = Math.max(...sizes)
  return 4000 + 2 * size / bandwidth + size / 32_768 * 2 * delayMs
}

// Guards against any of the ways in which a copy doesn't become whole again, and against the loss of what was confirmed.
test('what was confirmed can be read back, and empty copies are whole in their time, with entries of any size and disks lost in turn', () => {
  fc.assert(fc.property(fc.constantFrom(3, 5), linksArbitrary, fc.array(actionArbitrary, { minLength: 8, maxLength: 24 }), (size, links, actions) => {
    const group = createSlowGroup(size, links, seed)
    const written = new Map<number, string>()
    const unknown = new Set<number>()
    for (let slot = 0; slot < firstWrites; slot++) tryWrite(group, slotCount + slot, largestValue, 10_000)
    for (const { do: kind, pick, size: amount } of actions) {
      const copy = group.copies[pick % size] as SlowCopy
      if (kind === 'writeLarge' || kind === 'writeSmall') {
        const slot = pick % slotCount
        const value = tryWrite(group, slot, amount, 10_000)
        if (value === undefined) unknown.add(slot)
        else written.set(slot, value)
      } else if (kind === 'cut') {
        group.isCut = ({ from, to }) => from === copy.id || to === copy.id
        runFor(group, amount)
        group.isCut = () => false
      } else {
        if (kind === 'loseDisk') loseDisk(group, copy)
        else stopCopy(copy)
        copy.joinAt = Infinity
        runFor(group, amount)
        startCopy(group, copy)
        copy.joinAt = group.now
        runUntil(group, () => isWhole(group, copy), getCatchUpMs(group), `the copy is whole after '${kind}'`)
      }
    }
    const state = readState(group)
    for (const [slot, value] of written) {
      if (!unknown.has(slot)) assert.equal(state.get(slot), value, `slot ${slot}`)
    }
  }), { seed, numRuns: 40 })
})
