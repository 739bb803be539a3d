import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId, loadChart } from '@lynxcourse/base'
import type { VmId } from '@lynxcourse/base'
import {
  answerSyncRequest, buildSyncRequest, chooseParent, createConfigLease, createDirectory, createUplink, defaultMembershipTimes, expireRecords,
  findServer, findVm, isLeaseValid, renewConfigLease, putRecord, applySyncAnswer
} from '@lynxcourse/membership'
import type { Directory, ServerRecord, Uplink, VmRecord } from '@lynxcourse/membership'

const seed = 19
console.log(`seed ${seed}`)

const chart = loadChart('vm')
const times = defaultMembershipTimes

function vm (name: string, seq: number, incarnation = 1): VmRecord {
  return {
    kind: 'vm', key: brandId(name), incarnation, seq, state: 'joined', region: brandId('r'), failureDomain: brandId('d'), roles: ['entry'], http: '127.0.0.1:1', rpc: '127.0.0.1:2', life: brandId('x')
  }
}

function server (name: string, seq: number, state: ServerRecord['state'] = 'serving'): ServerRecord {
  return {
    kind: 'server', key: brandId(name), incarnation: 1, seq, state, service: brandId('s'), region: brandId('r'), failureDomain: brandId('d'), address: '127.0.0.1:3', slots: 3, maxConnections: 330
  }
}

interface TestNode { directory: Directory, uplink: Uplink, self: VmRecord }

function createTestNode (name: string): TestNode {
  return { directory: createDirectory(brandId(name), `${name}/1`, times, chart), uplink: createUplink(), self: vm(name, 0) }
}

/** Runs one sync of a child with its parent. */
function sync (child: TestNode, parent: TestNode, now: number): void {
  child.self = { ...child.self, seq: child.self.seq + 1 }
  putRecord(child.directory, child.self, 'direct', now)
  expireRecords(child.directory, now)
  expireRecords(parent.directory, now)
  chooseParent(child.uplink, { vm: child.self.key, region: child.self.region }, [{ vm: parent.self.key, region: parent.self.region }], now)
  const request = buildSyncRequest(child.uplink, child.directory, child.self, 0, now)
  applySyncAnswer(child.uplink, child.directory, request, answerSyncRequest(parent.directory, request, 0, '', now), now)
}

test('a backend server that one VM sees becomes known in another branch of the tree, and so does its expiry', () => {
  const [leaf, relay, root, otherRelay, otherLeaf] = ['leaf', 'relay', 'root', 'relay2', 'leaf2'].map(createTestNode) as [TestNode, TestNode, TestNode, TestNode, TestNode]
  const round = (now: number): void => {
    sync(leaf, relay, now)
    sync(relay, root, now)
    sync(otherRelay, root, now)
    sync(otherLeaf, otherRelay, now)
  }
  putRecord(leaf.directory, server('s1', 1), 'direct', 0)
  round(0)
  assert.equal(findServer(otherLeaf.directory, 's1')?.state, 'serving')
  assert.equal(findVm(otherLeaf.directory, brandId('leaf'))?.state, 'joined')
  for (let now = 500; now <= times.announceMs + 1000; now += 500) round(now)
  assert.equal(findServer(otherLeaf.directory, 's1')?.state, 'gone')
})

test('a silent VM is suspected, then lost, and returns under a new incarnation', () => {
  const parent = createTestNode('parent')
  putRecord(parent.directory, vm('a', 5), 'direct', 0)
  expireRecords(parent.directory, times.suspectMs + 1)
  assert.equal(findVm(parent.directory, brandId('a'))?.state, 'suspected')
  expireRecords(parent.directory, times.lostMs + 1)
  assert.equal(findVm(parent.directory, brandId('a'))?.state, 'lost')
  putRecord(parent.directory, vm('a', 5), 'below', times.lostMs + 2)
  assert.equal(findVm(parent.directory, brandId('a'))?.state, 'lost', 'an old report must not restore a lost VM')
  putRecord(parent.directory, vm('a', 1, 2), 'direct', times.lostMs + 3)
  assert.equal(findVm(parent.directory, brandId('a'))?.state, 'joined')
})

test('a VM whose parent changed is not lost', () => {
  // Guards against this failure: the former parent's record of a healthy VM expires and removes the VM from lookups.
  const root = createTestNode('root')
  const [first, second, child] = ['p1', 'p2', 'child'].map(createTestNode) as [TestNode, TestNode, TestNode]
  sync(child, first, 0)
  sync(first, root, 0)
  for (let now = 500; now <= times.lostMs + times.relayGraceMs + 3000; now += 500) {
    child.uplink.parent = undefined
    sync(child, second, now)
    sync(second, root, now)
    sync(first, root, now)
  }
  assert.equal(findVm(root.directory, brandId('child'))?.state, 'joined')
})

test('without changes, traffic to a parent does not grow with the number of VMs', () => {
  const root = createTestNode('root')
  const children = Array.from({ length: 50 }, (_, number) => createTestNode(`c${number}`))
  for (let now = 0; now < 3000; now += 500) for (const child of children) sync(child, root, now)
  const child = children[0] as TestNode
  const request = buildSyncRequest(child.uplink, child.directory, child.self, 0, 3000)
  const answer = answerSyncRequest(root.directory, request, 0, '', 3000)
  assert.deepEqual([request.vouched.length, answer.records.length, answer.full], [0, 0, false])
})

test('the newest record is kept, whatever order the records arrive in', () => {
  const recordLists = fc.array(fc.record({ incarnation: fc.integer({ min: 1, max: 3 }), seq: fc.nat(5), lost: fc.boolean() }), { minLength: 1, maxLength: 20 })
  fc.assert(fc.property(recordLists, list => {
    const { directory } = createTestNode('x')
    for (const { incarnation, seq, lost } of list) putRecord(directory, { ...vm('a', seq, incarnation), state: lost ? 'lost' : 'joined' }, 'direct', 0)
    const expected = [...list].sort((a, b) => b.incarnation - a.incarnation || b.seq - a.seq || Number(b.lost) - Number(a.lost))[0]
    const stored = findVm(directory, brandId<VmId>('a'))
    assert.deepEqual([stored?.incarnation, stored?.seq, stored?.state], [expected?.incarnation, expected?.seq, expected?.lost === true ? 'lost' : 'joined'])
  }), { seed, numRuns: 200 })
})

test('a lease starts at the request time minus the age of the confirmation, and never moves back', () => {
  const lease = createConfigLease(1000)
  assert.equal(isLeaseValid(lease, 0), false, 'a restarted VM holds no lease')
  renewConfigLease(lease, 5000, 400)
  assert.equal(isLeaseValid(lease, 5599), true)
  assert.equal(isLeaseValid(lease, 5600), false)
  renewConfigLease(lease, 4000, 0)
  assert.equal(lease.confirmedAt, 4600)
  renewConfigLease(lease, 6000, -50)
  assert.equal(lease.confirmedAt, 6000, 'a confirmation must not be dated after its request')
})
