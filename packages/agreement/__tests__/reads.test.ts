/** Reads that a quorum confirms, when there are many at once. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId, createRandom, loadChart } from '@lynxcourse/base'
import type { HolderId } from '@lynxcourse/base'
import { createInitialSnapshot, createReplica, isEstablishedLeader, stepReplica } from '@lynxcourse/agreement'
import type { Envelope, Replica, ReplicaEvent, ReplicaOutput } from '@lynxcourse/agreement'

const ids = ['a', 'b', 'c'].map(name => brandId<HolderId>(`${name}/1`))
const times = { heartbeatMs: 100, electionMs: 700 }

/** Copies whose messages arrive at once, and the reads that were confirmed. */
interface Group {
  readonly replicas: Map<HolderId, Replica>
  readonly confirmed: number[]
  readonly sent: Envelope[]
  now: number
}

function createGroup (): Group {
  const stored = { hardState: { term: 0, votedFor: undefined }, snapshot: createInitialSnapshot(ids, ''), entries: [] }
  const replicas = new Map(ids.map(id => [id, createReplica({ id, cluster: 'c', chart: loadChart('agreementRole'), times, random: createRandom(1), stored }, 0)]))
  return { replicas, confirmed: [], sent: [], now: 0 }
}

/** Processes an event at a copy, and delivers the messages that follow from it. */
function process (group: Group, id: HolderId, event: ReplicaEvent): void {
  const replica = group.replicas.get(id) as Replica
  const outputs: ReplicaOutput[] = [stepReplica(replica, event, group.now), stepReplica(replica, { type: 'synced' }, group.now)]
  group.confirmed.push(...outputs.flatMap(output => output.confirmedReads))
  for (const envelope of outputs.flatMap(output => output.messages)) {
    group.sent.push(envelope)
    process(group, envelope.to, { type: 'receive', envelope })
  }
}

function tick (group: Group): void {
  group.now += 30
  for (const id of ids) process(group, id, { type: 'tick' })
}

// Guards against a leader that floods its group with a round of messages for each of many reads.
test('reads that arrive while others wait share the next round, and each is confirmed by a round that began after it', () => {
  const group = createGroup()
  const findLeader = (): Replica | undefined => [...group.replicas.values()].find(isEstablishedLeader)
  while (findLeader() === undefined && group.now < 5000) tick(group)
  const leader = findLeader() as Replica
  const startRead = (token: number): Envelope[] => stepReplica(leader, { type: 'read', token }, group.now).messages
  const first = startRead(1)
  assert.equal(first.length, 2)
  for (let token = 2; token <= 20; token++) assert.deepEqual(startRead(token), [])
  for (const envelope of first) process(group, envelope.to, { type: 'receive', envelope })
  assert.deepEqual(group.confirmed, [1])
  group.sent.length = 0
  tick(group)
  assert.deepEqual(group.confirmed, Array.from({ length: 20 }, (_, index) => index + 1))
  assert.equal(group.sent.filter(({ from }) => from === leader.id).length, 2)
})
