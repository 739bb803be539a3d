/** A fleet's control VMs on loopback: what they vouch for, and how they come back. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { rm } from 'node:fs/promises'
import { lastIndex } from '@lynxcourse/agreement'
import type { Replica } from '@lynxcourse/agreement'
import type { FailureDomainId, HolderId } from '@lynxcourse/base'
import { brandId } from '@lynxcourse/base'
import { callPeer, getCurrentTime, readRoutes, getStateAge, submitRouteCommand } from '@lynxcourse/daemon'
import type { FleetControl } from '@lynxcourse/daemon'
import { findItem } from '@lynxcourse/state'
import { getControl, publishRoutes, createReplaceRoutesCommand, createRouteToDesk, startFleetFixture, startVm, submitCommand, waitUntil } from './support/fleetFixture.js'

/** Guards against an order that lay at a frozen control VM and takes effect after newer ones. */
test('a control VM that missed the last evacuation of a failure domain can\'t undo it', async () => {
  await using rig = await startFleetFixture(1)
  await publishRoutes(rig, [], [createRouteToDesk('read')])
  const failureDomain = brandId<FailureDomainId>('kochi-a')
  await submitCommand(rig, { type: 'evacuate', failureDomain, isActive: true })
  const behind = getControl(rig, 1)
  await waitUntil(() => findItem(behind.host.machine.config, 'evacuation', failureDomain)?.isActive === true)
  const present = behind.host.machine.config.version
  behind.host.machine.config.version = 1
  const judged = submitRouteCommand(behind, { type: 'evacuate', failureDomain, isActive: false })
  behind.host.machine.config.version = present
  const answer = await judged
  assert.ok(!answer.ok && answer.code === 'versionConflict')
  assert.equal(findItem(behind.host.machine.config, 'evacuation', failureDomain)?.isActive, true)
  await waitUntil(async () => (await submitCommand(rig, { type: 'evacuate', failureDomain, isActive: false })).ok)
})

test('a control VM that lost its disk returns as a new member and the group bears the next loss', async () => {
  await using rig = await startFleetFixture(0)
  assert.equal((await submitCommand(rig, createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')]))).ok, true)
  const cfg = rig.settings[2] as (typeof rig.settings)[number]
  await rig.daemons[2]?.[Symbol.asyncDispose]()
  await rm(cfg.dataFolder ?? '', { recursive: true, force: true })
  rig.daemons[2] = await startVm({ ...cfg, isFirstStart: false })
  await waitUntil(() => getControl(rig, 2).host.replica?.members.some(member => member.id === getControl(rig, 2).host.id && member.voter) ?? false)
  await rig.daemons[0]?.[Symbol.asyncDispose]()
  rig.daemons[0] = undefined
  assert.equal((await submitCommand(rig, createReplaceRoutesCommand('two', 1, 2, [createRouteToDesk('other')]))).ok, true)
  assert.equal((await readRoutes(getControl(rig, 2))).routesVersion, 2)
})

/** Guards against this failure: a control VM takes no part any more, although its disk works again. */

/** Guards against this failure: a control VM that lost its disk never returns while no seed leads, and the next losses lose what was confirmed. */
test('a blank control VM is let in by members that do not lead, too', async () => {
  await using rig = await startFleetFixture(0)
  const leads = ({ host }: FleetControl): boolean => host.replica !== undefined && host.replica.leader === host.id
  const controls = [0, 1, 2].map(place => getControl(rig, place))
  await waitUntil(() => controls.some(leads))
  const leader = controls.find(leads) as FleetControl
  const follower = controls.find(control => !leads(control)) as FleetControl
  const id = '127.0.0.1:1/blank' as HolderId
  await waitUntil(async () => await callPeer(follower.node.client, follower.node.cfg.rpc, 'cluster.join', { id }).then(() => true, () => false))
  await waitUntil(() => leader.host.replica?.members.some(member => member.id === id) === true)
})

test('a copy whose disk failed takes part again once the disk works', async () => {
  await using rig = await startFleetFixture(0)
  await submitCommand(rig, createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')]))
  const { host } = getControl(rig, 0)
  const failing = host.storage
  await failing.file.close()
  await submitCommand(rig, createReplaceRoutesCommand('two', 1, 2, [createRouteToDesk('other')]))
  // Seen by its storage being another one: where this VM led, it has failed and come back before the change is through.
  await waitUntil(() => host.storage !== failing && host.failed === undefined && host.replica?.commit === getControl(rig, 1).host.replica?.commit)
  assert.equal((await readRoutes(getControl(rig, 0))).routesVersion, 2)
})

/** Guards against this failure: an entry VM that starts is ready without a route or a server, and refuses all. */
test('a control VM does not vouch for entries that wait for its disk', async () => {
  await using rig = await startFleetFixture(0)
  await submitCommand(rig, createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')]))
  const control = getControl(rig, 2)
  const { host } = control
  await waitUntil(() => host.machine.config.version > 0)
  for (const place of [0, 1]) {
    await rig.daemons[place]?.[Symbol.asyncDispose]()
    rig.daemons[place] = undefined
  }
  const replica = host.replica as Replica
  const sync = host.storage.file.datasync.bind(host.storage.file)
  let release = (): void => undefined
  const released = new Promise<void>(resolve => { release = resolve })
  host.storage.file.datasync = async () => {
    await released
    await sync()
  }
  const from = replica.members.find(member => member.id !== host.id)?.id as HolderId
  const version = host.machine.config.version
  const [index, term] = [lastIndex(replica) + 1, replica.term + 1]
  const command = createReplaceRoutesCommand('two', 1, 2, [createRouteToDesk('other')])
  const message = { type: 'append', term, prevIndex: index - 1, prevTerm: replica.entries.at(-1)?.term ?? 0, entries: [{ index, term, at: getCurrentTime(), body: { type: 'command', command } }], commit: index, round: 1 }
  const sentAt = getCurrentTime()
  await callPeer(control.node.client, control.node.cfg.rpc, 'log.message', { cluster: replica.cluster, from, to: host.id, message })
  await waitUntil(() => replica.commit === index)
  const vouchedAt = getCurrentTime() - getStateAge(control, getCurrentTime())
  assert.deepEqual([host.machine.config.version, vouchedAt < sentAt], [version, true])
  release()
  await waitUntil(() => host.machine.config.version > version)
  await waitUntil(() => getCurrentTime() - getStateAge(control, getCurrentTime()) >= sentAt)
})
