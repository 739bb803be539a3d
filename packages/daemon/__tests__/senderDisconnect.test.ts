/** Calls between VMs whose senders gave them up before they were read, or while they were worked on. */
import assert from 'node:assert/strict'
import { ServerResponse } from 'node:http'
import { test } from 'node:test'
import type { FailureDomainId } from '@lynxcourse/base'
import { brandId } from '@lynxcourse/base'
import { callPeer, leaderOf } from '@lynxcourse/daemon'
import type { FleetControl } from '@lynxcourse/daemon'
import { findItem } from '@lynxcourse/state'
import type { RouteCommand } from '@lynxcourse/state'
import { getControl, createReplaceRoutesCommand, createRouteToDesk, startFleetFixture, startTestServer, submitCommand, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture } from './support/fleetFixture.js'
import { connectWorkerCaller, formatPostRequest } from './support/workerCaller.js'

const failureDomain = brandId<FailureDomainId>('kochi-a')
/** Less than the time without a leader after which another one is elected. */
const blockedMs = 300

/** Starts three control VMs, has them agree on a first state, and finds their leader. */
async function startControls (): Promise<{ readonly rig: FleetFixture, readonly leader: FleetControl } & AsyncDisposable> {
  const rig = await startFleetFixture(0)
  await submitCommand(rig, createReplaceRoutesCommand('first', 0, 1, [createRouteToDesk('read')]))
  const controls = [0, 1, 2].map(place => getControl(rig, place))
  const leader = controls.find(control => leaderOf(control) === control.node.cfg.rpc) as FleetControl
  return { rig, leader, [Symbol.asyncDispose]: async () => await rig[Symbol.asyncDispose]() }
}

/** How many calls of a method a VM has taken up. */
async function callsOf ({ node }: FleetControl, method: string): Promise<number> {
  const { values } = await node.metrics.rpc.get()
  return values.filter(({ labels }) => labels.method === method && labels.side === 'in').reduce((sum, { value }) => sum + value, 0)
}

/** Has a sender call a method and leave while the VM stands still, and waits until the VM is past that call. */
async function callAndLeave (control: FleetControl, method: string, params: object): Promise<void> {
  const before = await callsOf(control, method)
  const body = JSON.stringify({ jsonrpc: '2.0', id: 1, method, params })
  await using sender = await connectWorkerCaller(control.node.cfg.rpc, '/none', false, formatPostRequest('/rpc', body))
  sender.sendAndDisconnectWhileBlocked(blockedMs)
  await waitUntil(async () => await callsOf(control, method) > before)
  await callPeer(control.node.client, control.node.cfg.rpc, 'fleet.lookup', {})
}

/** Guards against this failure: an evacuation takes effect that the VM which relayed it has told its operator nothing of. */
test('an evacuation that its sender gave up before the leader read it is not carried out', async () => {
  await using controls = await startControls()
  const { rig, leader } = controls
  const command: RouteCommand = { type: 'evacuate', failureDomain, isActive: true, baseVersion: leader.host.machine.config.version }
  await callAndLeave(leader, 'fleet.submit', { command })
  assert.equal((await submitCommand(rig, createReplaceRoutesCommand('next', 1, 2, [createRouteToDesk('other')]))).ok, true)
  assert.equal(findItem(leader.host.machine.config, 'evacuation', failureDomain)?.isActive ?? false, false)
})

/** Guards against this failure: a server that has ended or leaves gets work, since its word was dropped with the call that brought it. */
test('what a server said is taken although the VM that passed it on gave the call up', async () => {
  await using controls = await startControls()
  const { rig, leader } = controls
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  const { facts } = server
  await callAndLeave(leader, 'fleet.submit', { command: { type: 'announceAll', servers: [facts] } })
  assert.equal((await submitCommand(rig, createReplaceRoutesCommand('next', 1, 2, [createRouteToDesk('other')]))).ok, true)
  assert.equal(findItem(leader.host.machine.config, 'backend', facts.id)?.state, 'serving')
  await callAndLeave(leader, 'fleet.submit', { command: { type: 'dismiss', ids: [facts.id] } })
  assert.equal((await submitCommand(rig, createReplaceRoutesCommand('last', 2, 3, [createRouteToDesk('read')]))).ok, true)
  assert.equal(findItem(leader.host.machine.config, 'backend', facts.id)?.state, 'gone')
})

/** Guards against this failure: after a start of all VMs the leader asks its quorum again and again for reads that nobody waits for. */
test('a read that its sender gave up before it was read asks no quorum', async () => {
  await using controls = await startControls()
  const { host } = controls.leader
  const before = host.nextReadToken
  await callAndLeave(controls.leader, 'fleet.read', {})
  assert.equal(host.nextReadToken, before)
})

function watchOf (control: FleetControl, isReady: boolean): object {
  const self = { name: 'entry', address: '127.0.0.1:1', failureDomain, region: 'kochi', isReady }
  return { version: control.host.machine.config.version, waitMs: 10_000, weights: 0, self }
}

/** Calls that a VM answers while it reads of a close; they take far less time than the watch below waits. */
const callsMeanwhile = 20

/** Lets a VM answer some calls, until no more than so many wait for news. */
async function untilFewer ({ host, node }: FleetControl, waiting: number): Promise<void> {
  for (let done = 0; done < callsMeanwhile && host.progressListeners.length > waiting; done++) await callPeer(node.client, node.cfg.rpc, 'fleet.lookup', {})
}

/** Guards against this failure: control VMs that are behind hold watches of entry VMs that gave up waiting, or forget that those VMs live. */
test('a watch that its VM gave up before it was read waits for nothing, and what it said of that VM is taken', async () => {
  await using controls = await startControls()
  const { host, presence } = controls.leader
  const before = host.progressListeners.length
  for (const isReady of [true, false]) {
    await callAndLeave(controls.leader, 'fleet.watch', watchOf(controls.leader, isReady))
    await untilFewer(controls.leader, before)
    assert.equal(host.progressListeners.length, before)
    assert.equal(presence.entries.get('entry')?.presence.isReady, isReady)
  }
})

/** Guards against this failure: control VMs hold watches of VMs that are gone, and pack each change for them. */
test('a watch ends once its VM gives it up', async () => {
  await using controls = await startControls()
  const { host, node } = controls.leader
  const before = host.progressListeners.length
  const given = callPeer(node.client, node.cfg.rpc, 'fleet.watch', watchOf(controls.leader, true), blockedMs)
  await waitUntil(() => host.progressListeners.length > before)
  await assert.rejects(given)
  await untilFewer(controls.leader, before)
  assert.equal(host.progressListeners.length, before)
})

/** Guards against this failure: a VM that stood still ends the waits of watches first, and packs the state for VMs that left meanwhile. */
test('a watch whose VM leaves while the control VM stands still past its wait is not answered', async t => {
  await using controls = await startControls()
  const { host, node } = controls.leader
  const before = host.progressListeners.length
  const body = JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'fleet.watch', params: { ...watchOf(controls.leader, true), waitMs: blockedMs / 2 } })
  await using sender = await connectWorkerCaller(node.cfg.rpc, '/none', false, formatPostRequest('/rpc', body))
  const { mock } = t.mock.method(ServerResponse.prototype, 'end')
  sender.send()
  await waitUntil(() => host.progressListeners.length > before)
  sender.disconnectWhileBlocked(blockedMs)
  for (let done = 0; done < callsMeanwhile; done++) await callPeer(node.client, node.cfg.rpc, 'fleet.lookup', {})
  assert.equal(mock.calls.filter(call => String(call.arguments[0]).includes('"entries":["entry"]')).length, 0)
})
