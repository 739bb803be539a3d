/** Control VMs of a fleet on loopback: which state they confirm as current, and how they recover. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { rm } from 'node:fs/promises'
import { lastIndex } from '@lynxcourse/agreement'
import type { Replica } from '@lynxcourse/agreement'
import type { FailureDomainId, HolderId } from '@lynxcourse/base'
import { brandId } from '@lynxcourse/base'
import { callPeer, getCurrentTime, readRoutes, getStateAge, submitFleetCommand } from '@lynxcourse/daemon'
import type { FleetControl } from '@lynxcourse/daemon'
import { findItem } from '@lynxcourse/state'
import { getControl, publishRoutes, createReplaceRoutesCommand, createRouteToDesk, startFleetFixture, startVm, submitCommand, waitUntil } from './support/fleetFixture.js'

/** Guards against an order that was delayed at a suspended control VM and takes effect after newer ones. */
test('a control VM that missed the last evacuation of a failure domain can\'t undo it', async () => {
  await using fixture = await startFleetFixture(1)
  await publishRoutes(fixture, [], [createRouteToDesk('read')])
  const failureDomain = brandId<FailureDomainId>('kochi-a')
  await submitCommand(fixture, { type: 'evacuate', failureDomain, isActive: true })
  const staleControl = getControl(fixture, 1)
  await waitUntil(() => findItem(staleControl.host.machine.config, 'evacuation', failureDomain)?.isActive === true)
  const currentVersion = staleControl.host.machine.config.version
  staleControl.host.machine.config.version = 1
  const pendingAnswer = submitFleetCommand(staleControl, { type: 'evacuate', failureDomain, isActive: false })
  staleControl.host.machine.config.version = currentVersion
  const answer = await pendingAnswer
  assert.ok(!answer.ok && answer.code === 'versionConflict')
  assert.equal(findItem(staleControl.host.machine.config, 'evacuation', failureDomain)?.isActive, true)
  await waitUntil(async () => (await submitCommand(fixture, { type: 'evacuate', failureDomain, isActive: false })).ok)
})

test('a control VM that lost its disk rejoins as a new member, and the group tolerates the next failure', async () => {
  await using fixture = await startFleetFixture(0)
  assert.equal((await submitCommand(fixture, createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')]))).ok, true)
  const cfg = fixture.settings[2] as (typeof fixture.settings)[number]
  await fixture.daemons[2]?.[Symbol.asyncDispose]()
  await rm(cfg.dataFolder ?? '', { recursive: true, force: true })
  fixture.daemons[2] = await startVm({ ...cfg, isFirstStart: false })
  await waitUntil(() => getControl(fixture, 2).host.replica?.members.some(member => member.id === getControl(fixture, 2).host.id && member.voter) ?? false)
  await fixture.daemons[0]?.[Symbol.asyncDispose]()
  fixture.daemons[0] = undefined
  assert.equal((await submitCommand(fixture, createReplaceRoutesCommand('two', 1, 2, [createRouteToDesk('other')]))).ok, true)
  assert.equal((await readRoutes(getControl(fixture, 2))).routesVersion, 2)
})

/**
 * Guards against a control VM with a lost disk that can't rejoin while no seed leads, so that the next failures lose
 * confirmed changes.
 */
test('a control VM with an empty disk can also join through a follower', async () => {
  await using fixture = await startFleetFixture(0)
  const isLeader = ({ host }: FleetControl): boolean => host.replica !== undefined && host.replica.leader === host.id
  const controls = [0, 1, 2].map(index => getControl(fixture, index))
  await waitUntil(() => controls.some(isLeader))
  const leader = controls.find(isLeader) as FleetControl
  const follower = controls.find(control => !isLeader(control)) as FleetControl
  const id = '127.0.0.1:1/blank' as HolderId
  await waitUntil(async () => await callPeer(follower.node.client, follower.node.cfg.rpc, 'cluster.join', { id }).then(() => true, () => false))
  await waitUntil(() => leader.host.replica?.members.some(member => member.id === id) === true)
})

/** Guards against a control VM that stays out of the group although its disk works again. */
test('a replica whose disk failed takes part again once the disk works', async () => {
  await using fixture = await startFleetFixture(0)
  await submitCommand(fixture, createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')]))
  const { host } = getControl(fixture, 0)
  const failedStorage = host.storage
  await failedStorage.file.close()
  await submitCommand(fixture, createReplaceRoutesCommand('two', 1, 2, [createRouteToDesk('other')]))
  // A new storage object shows the recovery: if this VM led, it may have failed and recovered before the change is
  // committed.
  await waitUntil(() => host.storage !== failedStorage && host.failed === undefined && host.replica?.commit === getControl(fixture, 1).host.replica?.commit)
  assert.equal((await readRoutes(getControl(fixture, 0))).routesVersion, 2)
})

/** Whether a control VM counts its state as current as of a time. Both ages are taken at one reading of the clock, and rounded in the same way. */
function isCurrentAsOf (control: FleetControl, at: number): boolean {
  const now = getCurrentTime()
  return getStateAge(control, now) <= now - at
}

/** Guards against a restarted entry VM that is ready without routes or servers and rejects all requests. */
test('a control VM does not confirm its state as current before committed entries are on its disk', async () => {
  await using fixture = await startFleetFixture(0)
  await submitCommand(fixture, createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')]))
  const control = getControl(fixture, 2)
  const { host } = control
  await waitUntil(() => host.machine.config.version > 0)
  for (const index of [0, 1]) {
    await fixture.daemons[index]?.[Symbol.asyncDispose]()
    fixture.daemons[index] = undefined
  }
  const replica = host.replica as Replica
  const sync = host.storage.file.datasync.bind(host.storage.file)
  let releaseSync = (): void => undefined
  const released = new Promise<void>(resolve => { releaseSync = resolve })
  host.storage.file.datasync = async () => {
    await released
    await sync()
  }
  const from = replica.members.find(member => member.id !== host.id)?.id as HolderId
  const version = host.machine.config.version
  const [index, term] = [lastIndex(replica) + 1, replica.term + 1]
  const command = createReplaceRoutesCommand('two', 1, 2, [createRouteToDesk('other')])
  const sentAt = getCurrentTime()
  const message = { type: 'append', term, prevIndex: index - 1, prevTerm: replica.entries.at(-1)?.term ?? 0, entries: [{ index, term, at: getCurrentTime(), body: { type: 'command', command } }], commit: index, round: 1, answeredAt: sentAt, confirmedAgeMs: 0 }
  await callPeer(control.node.client, control.node.cfg.rpc, 'log.message', { cluster: replica.cluster, from, to: host.id, message })
  await waitUntil(() => replica.commit === index)
  assert.deepEqual([host.machine.config.version, isCurrentAsOf(control, sentAt)], [version, false])
  releaseSync()
  await waitUntil(() => host.machine.config.version > version)
  await waitUntil(() => isCurrentAsOf(control, sentAt))
})
