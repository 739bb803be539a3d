/** What entry VMs hear of each other, and when they may use shares of bounds over all VMs. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { listMembers, mayUseReducedShare, mayUseShare } from '@lynxcourse/placement'
import type { FleetDaemon } from '@lynxcourse/daemon'
import { readClocks } from '@lynxcourse/daemon'
import { startFleetFixture, waitUntil } from './support/fleetFixture.js'

const controlCount = 3
const windowMs = 10_000

/** Guards against VMs that divide a bound by the few VMs that a control VM has just heard of. */
test('entry VMs hear from the leader when their list is complete, and use no share until the others must have heard of them', async () => {
  await using fixture = await startFleetFixture(2)
  const entries = fixture.daemons.slice(controlCount) as FleetDaemon[]
  const [first, second] = entries.map(({ node }) => node.membership)
  assert.ok(first !== undefined && second !== undefined)
  await waitUntil(() => first.confirmedAt !== undefined && second.confirmedAt !== undefined)
  for (const membership of [first, second]) assert.deepEqual(listMembers(membership), ['vm-3', 'vm-4'])
  const now = readClocks()
  for (const { gateway } of entries) assert.equal(gateway?.fleet.mayUseShare(windowMs), false, 'right after the start')
  const later = { steady: now.steady + windowMs + 5000, wall: now.wall + windowMs + 5000 }
  assert.equal(mayUseShare(first, windowMs, later), false, 'without a later confirmation')
  const confirmed = { ...first, confirmedAt: later }
  assert.equal(mayUseShare(confirmed, windowMs, later), true)
})

/** Guards against a VM that is cut off and goes on with its share while others join. */
test('an entry VM gets no confirmation while no control VM reaches a majority', async () => {
  await using fixture = await startFleetFixture(1)
  const entry = fixture.daemons.at(-1) as FleetDaemon
  const { membership } = entry.node
  await waitUntil(() => membership.confirmedAt !== undefined && mayUseShare(membership, undefined, readClocks()))
  for (let index = 1; index < controlCount; index++) {
    await fixture.daemons[index]?.[Symbol.asyncDispose]()
    fixture.daemons[index] = undefined
  }
  await waitUntil(() => !mayUseShare({ ...membership, announcedAt: -Infinity }, windowMs, readClocks()))
  await waitUntil(() => !mayUseShare(membership, undefined, readClocks()))
  assert.equal(mayUseReducedShare(membership, readClocks()), true)
})

/** Guards against a VM that learns of a new one only with the next change of routes or servers, and divides bounds by too few until then. */
test('an entry VM counts a new one although nothing else has changed', async () => {
  await using fixture = await startFleetFixture(2)
  const [first] = fixture.daemons.slice(controlCount) as FleetDaemon[]
  const cfg = fixture.settings.at(-1)
  assert.ok(first !== undefined && cfg !== undefined)
  await waitUntil(() => listMembers(first.node.membership).length === 2)
  assert.deepEqual(first.gateway?.fleet.vms, ['vm-3', 'vm-4'])
})
