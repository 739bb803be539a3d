/** Properties of the replicated log under random schedules of messages, crashes and restarts. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId, hashText, loadChart, createRandom } from '@lynxcourse/base'
import type { HolderId } from '@lynxcourse/base'
import { createReplica, createInitialSnapshot, getUpToDateAt, isLeader, isEstablishedLeader, stepReplica, voters } from '@lynxcourse/agreement'
import type { Entry, Envelope, ReplicaOutput, Replica, ReplicaEvent, StoredLog } from '@lynxcourse/agreement'

const seed = 11
console.log(`seed ${seed}`)

const chart = loadChart('agreementRole')
const times = { heartbeatMs: 50, electionMs: 200 }
const tickMs = 25

interface Copy {
  id: HolderId
  disk: StoredLog
  replica: Replica | undefined
}

/** Copies of the log, messages in flight, and the entries and leaders seen so far. */
interface Group {
  now: number
  copies: Copy[]
  inFlight: Envelope[]
  committed: Map<number, string>
  /** When each index was first committed at a copy. */
  committedAt: Map<number, number>
  leaders: Map<number, string>
  commands: number
}

function start (group: Group, copy: Copy): void {
  const random = createRandom(hashText(copy.id) + group.now)
  copy.replica = createReplica({ id: copy.id, cluster: 'c', chart, times, random, stored: copy.disk }, group.now)
}

function buildGroup (size: number): Group {
  const ids = Array.from({ length: size }, (_, number) => brandId<HolderId>(`v${number}/i1`))
  const group: Group = { now: 1000, copies: [], inFlight: [], committed: new Map(), committedAt: new Map(), leaders: new Map(), commands: 0 }
  for (const id of ids) {
    const copy: Copy = { id, disk: { hardState: { term: 0, votedFor: undefined }, snapshot: createInitialSnapshot(ids, ''), entries: [] }, replica: undefined }
    group.copies.push(copy)
    start(group, copy)
  }
  return group
}

function checkSafety (group: Group, entries: readonly Entry[], replica: Replica): void {
  for (const entry of entries) {
    const text = JSON.stringify(entry)
    const known = group.committed.get(entry.index) ?? text
    assert.equal(text, known, `two different entries committed at index ${entry.index}`)
    group.committed.set(entry.index, text)
    if (!group.committedAt.has(entry.index)) group.committedAt.set(entry.index, group.now)
  }
  if (!isLeader(replica)) return
  const known = group.leaders.get(replica.term) ?? replica.id
  assert.equal(replica.id, known, `two leaders in term ${replica.term}`)
  group.leaders.set(replica.term, replica.id)
}

function applyOutput (group: Group, copy: Copy, out: ReplicaOutput): void {
  const replica = copy.replica as Replica
  copy.disk = { hardState: out.hardState ?? copy.disk.hardState, snapshot: out.snapshot ?? copy.disk.snapshot, entries: [...replica.entries] }
  group.inFlight.push(...out.messages)
  checkSafety(group, out.committed, replica)
}

function step (group: Group, copy: Copy, event: ReplicaEvent): void {
  if (copy.replica === undefined) return
  applyOutput(group, copy, stepReplica(copy.replica, event, group.now))
  applyOutput(group, copy, stepReplica(copy.replica, { type: 'synced' }, group.now))
}

function deliver (group: Group, position: number): void {
  const [envelope] = group.inFlight.splice(position, 1)
  const target = group.copies.find(copy => copy.id === envelope?.to)
  if (envelope !== undefined && target !== undefined) step(group, target, { type: 'receive', envelope: structuredClone(envelope) })
}

/** Restarts stopped copies and runs the given number of ticks, with up to 500 deliveries after each tick. */
function runRounds (group: Group, rounds = 120): void {
  for (const copy of group.copies) if (copy.replica === undefined) start(group, copy)
  for (let round = 0; round < rounds; round++) {
    group.now += tickMs
    for (const copy of group.copies) step(group, copy, { type: 'tick' })
    for (let left = 500; group.inFlight.length > 0 && left > 0; left--) deliver(group, 0)
  }
}

function findLeader (group: Group): Copy {
  const leader = group.copies.find(copy => copy.replica !== undefined && isEstablishedLeader(copy.replica))
  assert.ok(leader, 'no leader with a committed entry of its own term')
  return leader
}

const actionArbitrary = fc.oneof(
  { weight: 8, arbitrary: fc.record({ do: fc.constant('deliver' as const), pick: fc.nat() }) },
  { weight: 5, arbitrary: fc.record({ do: fc.constant('tick' as const), pick: fc.nat() }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('propose' as const), pick: fc.nat() }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('drop' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('double' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('crash' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('restart' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('compact' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('handOver' as const), pick: fc.nat() }) }
)

type Action = { do: 'deliver' | 'tick' | 'propose' | 'drop' | 'double' | 'crash' | 'restart' | 'compact' | 'handOver', pick: number }

function applyAction (group: Group, { do: kind, pick }: Action): void {
  const copy = group.copies[pick % group.copies.length] as Copy
  const position = group.inFlight.length === 0 ? 0 : pick % group.inFlight.length
  switch (kind) {
    case 'deliver': deliver(group, position); break
    case 'drop': group.inFlight.splice(position, 1); break
    case 'double': group.inFlight.push(...group.inFlight.slice(position, position + 1)); break
    case 'crash': copy.replica = undefined; break
    case 'restart': if (copy.replica === undefined) start(group, copy); break
    case 'propose': step(group, copy, { type: 'propose', commands: [{ n: group.commands++ }] }); break
    case 'compact': if (copy.replica !== undefined) step(group, copy, { type: 'compact', index: copy.replica.commit, data: 'x' }); break
    case 'handOver': step(group, copy, { type: 'handOver' }); break
    case 'tick':
      group.now += tickMs
      step(group, copy, { type: 'tick' })
      break
  }
}

for (const size of [3, 5]) {
  test(`${size} copies never commit two entries at one index or have two leaders in one term`, () => {
    fc.assert(fc.property(fc.array(actionArbitrary, { minLength: 50, maxLength: 400 }), actions => {
      const group = buildGroup(size)
      runRounds(group, 30)
      for (const action of actions) applyAction(group, action)
      runRounds(group)
      const leader = findLeader(group)
      const before = group.committed.size
      step(group, leader, { type: 'propose', commands: ['last'] })
      runRounds(group, 40)
      assert.ok(group.committed.size > before, 'no entry was committed after the network recovered')
    }), { seed, numRuns: 60 })
  })
}

/** Checks that each copy has all entries that were committed before the time as of which it counts its copy as complete. */
function checkFreshness (group: Group): void {
  for (const { replica, id } of group.copies) {
    if (replica === undefined) continue
    const completeAt = getUpToDateAt(replica)
    for (const [index, at] of group.committedAt) {
      assert.ok(at >= completeAt || index <= replica.commit, `${id} counts as complete at ${completeAt} without entry ${index}, committed at ${at}`)
    }
  }
}

// Guards against copies that count as current because they process an old message of the leader late.
test('a copy has every entry that was committed before the time as of which it counts as up to date, however late messages come', () => {
  fc.assert(fc.property(fc.array(actionArbitrary, { minLength: 50, maxLength: 400 }), actions => {
    const group = buildGroup(3)
    runRounds(group, 30)
    for (const action of actions) {
      applyAction(group, action)
      checkFreshness(group)
    }
    runRounds(group)
    checkFreshness(group)
    const leader = findLeader(group)
    const ages = group.copies.filter(copy => copy !== leader).map(({ replica }) => group.now - (replica as Replica).upToDateAt)
    assert.ok(ages.every(age => age <= 4 * times.heartbeatMs), `ages ${ages.join()} once the network recovered`)
  }), { seed, numRuns: 200 })
})

/** Runs the given number of ticks while the network drops some messages. */
function runWithDrops (group: Group, isDropped: (envelope: Envelope) => boolean, rounds: number): void {
  for (let round = 0; round < rounds; round++) {
    group.now += tickMs
    for (const other of group.copies) step(group, other, { type: 'tick' })
    for (let left = 500; group.inFlight.length > 0 && left > 0; left--) {
      const [first] = group.inFlight
      if (first !== undefined && isDropped(first)) group.inFlight.shift()
      else deliver(group, 0)
    }
  }
}

/** Runs the given number of ticks while the network drops all messages from and to one copy. */
function runWithIsolatedCopy (group: Group, { id }: Copy, rounds: number): void {
  runWithDrops(group, ({ from, to }) => from === id || to === id, rounds)
}

test('while two failure domains of a group can\'t reach each other, its leader stays and commits', () => {
  // Guards against this failure: copies that can't reach the leader force one election after the other.
  for (const leaderDomain of [0, 1, 2]) {
    const group = buildGroup(5)
    runRounds(group, 30)
    const leader = findLeader(group)
    const others = group.copies.filter(copy => copy !== leader)
    // Domain 2 has one copy and reaches the other two, which have two copies each.
    const order = leaderDomain === 2 ? [...others, leader] : leaderDomain === 0 ? [leader, ...others] : [...others.slice(0, 2), leader, ...others.slice(2)]
    const domains = new Map(order.map(({ id }, index) => [id, Math.floor(index / 2)]))
    const { term } = leader.replica as Replica
    const isCut = ({ from, to }: Envelope): boolean => Math.abs((domains.get(from) ?? 0) - (domains.get(to) ?? 0)) === 1 && domains.get(from) !== 2 && domains.get(to) !== 2
    for (let round = 0; round < 100; round++) {
      step(group, leader, { type: 'propose', commands: [{ n: group.commands++ }] })
      runWithDrops(group, isCut, 4)
    }
    assert.deepEqual([findLeader(group).id, (leader.replica as Replica).term], [leader.id, term])
    assert.ok(group.committed.size > 100, 'the leader commits meanwhile')
    runRounds(group, 60)
    assert.ok(group.copies.every(({ replica }) => replica?.term === term && replica.commit === (leader.replica as Replica).commit))
  }
})

test('a leader that hands over is followed by another within a few messages, and loses no committed entry', () => {
  // Guards against this failure: a leader whose disk fails leaves the group without one for an election timeout.
  const group = buildGroup(5)
  runRounds(group, 30)
  const old = findLeader(group)
  const [behind] = group.copies.filter(copy => copy !== old)
  step(group, old, { type: 'propose', commands: [1] })
  runWithIsolatedCopy(group, behind as Copy, 4)
  const committed = (old.replica as Replica).commit
  step(group, old, { type: 'handOver' })
  old.replica = undefined
  runRounds(group, 2)
  const next = findLeader(group)
  assert.ok(next !== old && next !== behind && (next.replica as Replica).commit > committed)
})

test('a partitioned leader steps down and returns without disrupting the new leader', () => {
  // Guards against this failure: two VMs act as leader, or a returning VM forces a working leader to step down.
  const group = buildGroup(3)
  runRounds(group, 30)
  const old = findLeader(group)
  runWithIsolatedCopy(group, old, 40)
  assert.equal(isLeader(old.replica as Replica), false)
  const next = findLeader(group)
  const { term } = next.replica as Replica
  runRounds(group, 30)
  assert.equal(findLeader(group).id, next.id)
  assert.equal((old.replica as Replica).term, term)
})

// Guards against a leader that gives up its role because it applied large entries for longer than an election timeout.
test('a leader that stood still keeps its role if a quorum has answered meanwhile', () => {
  const group = buildGroup(3)
  runRounds(group, 30)
  const leader = findLeader(group)
  const { term } = leader.replica as Replica
  group.now += times.electionMs * 2
  step(group, leader, { type: 'tick' })
  runRounds(group, 10)
  assert.deepEqual([findLeader(group).id, (leader.replica as Replica).term], [leader.id, term])
})

test('a read is answered only after a quorum confirms a round that started after the read', () => {
  // Guards against this failure: a partitioned leader answers a read with outdated state.
  const group = buildGroup(3)
  runRounds(group, 30)
  const old = findLeader(group)
  const out = stepReplica(old.replica as Replica, { type: 'read', token: 5 }, group.now)
  assert.deepEqual(out.confirmedReads, [])
  runWithIsolatedCopy(group, old, 40)
  const reads: number[] = []
  group.now += tickMs
  const failed = stepReplica(old.replica as Replica, { type: 'read', token: 6 }, group.now)
  reads.push(...failed.confirmedReads)
  assert.deepEqual(reads, [])
  assert.deepEqual(failed.failedReads, [6])
})

test('a VM with an empty disk becomes a voter only under a new incarnation and once it has the whole log', () => {
  // Guards against this failure: a quorum forms that lacks a committed entry.
  const group = buildGroup(3)
  runRounds(group, 30)
  const leader = findLeader(group)
  step(group, leader, { type: 'propose', commands: Array.from({ length: 40 }, (_, n) => n) })
  runRounds(group, 10)
  step(group, leader, { type: 'compact', index: (leader.replica as Replica).commit, data: 'state' })
  const lost = group.copies.find(copy => copy !== leader) as Copy
  const fresh: Copy = { id: brandId<HolderId>(lost.id.replace('i1', 'i2')), disk: { hardState: { term: 0, votedFor: undefined }, snapshot: createInitialSnapshot([], ''), entries: [] }, replica: undefined }
  group.copies = group.copies.map(copy => copy === lost ? fresh : copy)
  start(group, fresh)
  step(group, leader, { type: 'join', id: fresh.id })
  const memberships = new Set<string>()
  for (let round = 0; round < 60; round++) {
    runRounds(group, 1)
    memberships.add(voters(leader.replica as Replica).join())
  }
  assert.deepEqual(voters(leader.replica as Replica).includes(fresh.id), true)
  assert.equal(voters(leader.replica as Replica).includes(lost.id), false)
  // One change at a time: the old copy is removed first, so that any two quorums overlap.
  assert.deepEqual([...memberships].map(text => text.split(',').length), [3, 2, 3])
  assert.equal((fresh.replica as Replica).commit, (leader.replica as Replica).commit)
  // A second loss directly after the first: the two remaining copies elect a leader that has all committed entries.
  const third = group.copies.find(copy => copy !== leader && copy !== fresh) as Copy
  const index = (leader.replica as Replica).commit
  group.copies = group.copies.filter(copy => copy !== third)
  runRounds(group, 60)
  assert.ok((findLeader(group).replica as Replica).commit >= index)
})

test('a message to an earlier incarnation of a disk is not answered', () => {
  const group = buildGroup(3)
  const [copy] = group.copies
  const envelope: Envelope = { cluster: 'c', from: brandId('v1/i1'), to: brandId('v0/i0'), message: { type: 'vote', pre: false, term: 9, lastIndex: 99, lastTerm: 9 } }
  const out = stepReplica(copy?.replica as Replica, { type: 'receive', envelope }, group.now)
  assert.deepEqual(out.messages, [])
  assert.equal(copy?.replica?.term, 0)
})

test('a copy under a new VM name replaces a copy that is permanently lost', () => {
  // Guards against this failure: lost copies stay voters, so that after several replaced VMs the cluster has no quorum
  // at a number of failures that it should tolerate.
  const group = buildGroup(5)
  runRounds(group, 30)
  for (const name of ['new-1', 'new-2']) {
    const leader = findLeader(group)
    const lost = group.copies.find(copy => copy !== leader) as Copy
    const fresh: Copy = { id: brandId<HolderId>(`${name}/i1`), disk: { hardState: { term: 0, votedFor: undefined }, snapshot: createInitialSnapshot([], ''), entries: [] }, replica: undefined }
    group.copies = group.copies.map(copy => copy === lost ? fresh : copy)
    start(group, fresh)
    step(group, leader, { type: 'join', id: fresh.id })
    runRounds(group, 160)
    const names = voters(findLeader(group).replica as Replica)
    assert.deepEqual([names.length, names.includes(fresh.id), names.includes(lost.id)], [5, true, false])
  }
})

test('after a restart of all copies, no copy counts as up to date before it has applied all committed entries', () => {
  // Guards against this failure: a starting entry VM applies outdated routes.
  const group = buildGroup(3)
  runRounds(group, 30)
  const compactAll = (): void => {
    for (const copy of group.copies) step(group, copy, { type: 'compact', index: (copy.replica as Replica).commit, data: 'x' })
  }
  step(group, findLeader(group), { type: 'propose', commands: [1] })
  runRounds(group, 10)
  compactAll()
  step(group, findLeader(group), { type: 'propose', commands: [2, 3] })
  runRounds(group, 10)
  const committed = Math.max(...group.committed.keys())
  for (const copy of group.copies) copy.replica = undefined
  group.inFlight = []
  for (const copy of group.copies) start(group, copy)
  for (let round = 0; round < 120; round++) {
    group.now += tickMs
    for (const copy of group.copies) step(group, copy, { type: 'tick' })
    for (let left = 500; group.inFlight.length > 0 && left > 0; left--) {
      deliver(group, 0)
      for (const { replica } of group.copies) {
        if (replica === undefined || replica.upToDateAt === -Infinity) continue
        assert.ok(replica.commit >= committed, `counts as up to date at index ${replica.commit}, committed index ${committed}`)
      }
    }
  }
  assert.ok(group.copies.some(({ replica }) => replica !== undefined && replica.upToDateAt > -Infinity))
})
