/** RPC calls that their senders abandoned before they were read or while they were in progress. */
import assert from 'node:assert/strict'
import { ServerResponse } from 'node:http'
import { test } from 'node:test'
import type { FailureDomainId } from '@lynxcourse/base'
import { brandId } from '@lynxcourse/base'
import { callPeer, getLeaderAddress } from '@lynxcourse/daemon'
import type { FleetControl } from '@lynxcourse/daemon'
import { findItem } from '@lynxcourse/state'
import type { RouteCommand } from '@lynxcourse/state'
import { getControl, createReplaceRoutesCommand, createRouteToDesk, startFleetFixture, startTestServer, submitCommand, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture } from './support/fleetFixture.js'
import { connectWorkerCaller, formatPostRequest } from './support/workerCaller.js'

const failureDomain = brandId<FailureDomainId>('kochi-a')
/** Shorter than the election timeout. */
const blockedMs = 300

/** Starts three control VMs, commits a first state and finds the leader. */
async function startControls (): Promise<{ readonly fixture: FleetFixture, readonly leader: FleetControl } & AsyncDisposable> {
  const fixture = await startFleetFixture(0)
  await submitCommand(fixture, createReplaceRoutesCommand('first', 0, 1, [createRouteToDesk('read')]))
  const controls = [0, 1, 2].map(index => getControl(fixture, index))
  const leader = controls.find(control => getLeaderAddress(control) === control.node.cfg.rpc) as FleetControl
  return { fixture, leader, [Symbol.asyncDispose]: async () => await fixture[Symbol.asyncDispose]() }
}

/** Returns how many calls of a method a VM has started. */
async function countCalls ({ node }: FleetControl, method: string): Promise<number> {
  const { values } = await node.metrics.rpc.get()
  return values.filter(({ labels }) => labels.method === method && labels.side === 'in').reduce((sum, { value }) => sum + value, 0)
}

/**
 * Lets a sender call a method and disconnect while the VM is blocked, and waits until the VM has processed the call.
 */
async function callAndDisconnect (control: FleetControl, method: string, params: object): Promise<void> {
  const callsBefore = await countCalls(control, method)
  const body = JSON.stringify({ jsonrpc: '2.0', id: 1, method, params })
  await using sender = await connectWorkerCaller(control.node.cfg.rpc, '/none', false, formatPostRequest('/rpc', body))
  sender.sendAndDisconnectWhileBlocked(blockedMs)
  await waitUntil(async () => await countCalls(control, method) > callsBefore)
  await callPeer(control.node.client, control.node.cfg.rpc, 'fleet.lookup', {})
}

/** Guards against an evacuation that takes effect although its operator received no confirmation. */
test('an evacuation whose sender disconnected before the leader read it is not executed', async () => {
  await using controls = await startControls()
  const { fixture, leader } = controls
  const command: RouteCommand = { type: 'evacuate', failureDomain, isActive: true, baseVersion: leader.host.machine.config.version }
  await callAndDisconnect(leader, 'fleet.submit', { command })
  assert.equal((await submitCommand(fixture, createReplaceRoutesCommand('next', 1, 2, [createRouteToDesk('other')]))).ok, true)
  assert.equal(findItem(leader.host.machine.config, 'evacuation', failureDomain)?.isActive ?? false, false)
})

/**
 * Guards against requests to a server that has ended or is leaving, because its announcement was dropped with an
 * abandoned call.
 */
test('an announcement is applied although the VM that relayed it abandoned the call', async () => {
  await using controls = await startControls()
  const { fixture, leader } = controls
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  const { facts } = server
  await callAndDisconnect(leader, 'fleet.submit', { command: { type: 'announceAll', servers: [facts] } })
  assert.equal((await submitCommand(fixture, createReplaceRoutesCommand('next', 1, 2, [createRouteToDesk('other')]))).ok, true)
  assert.equal(findItem(leader.host.machine.config, 'backend', facts.id)?.state, 'serving')
  await callAndDisconnect(leader, 'fleet.submit', { command: { type: 'dismiss', ids: [facts.id] } })
  assert.equal((await submitCommand(fixture, createReplaceRoutesCommand('last', 2, 3, [createRouteToDesk('read')]))).ok, true)
  assert.equal(findItem(leader.host.machine.config, 'backend', facts.id)?.state, 'gone')
})

/** Guards against repeated quorum checks after a start of all VMs, for reads that no sender waits for. */
test('an abandoned read starts no quorum check', async () => {
  await using controls = await startControls()
  const { host } = controls.leader
  const tokenBefore = host.nextReadToken
  await callAndDisconnect(controls.leader, 'fleet.read', {})
  assert.equal(host.nextReadToken, tokenBefore)
})

function createWatchRequest (control: FleetControl, isReady: boolean): object {
  const self = { name: 'entry', address: '127.0.0.1:1', failureDomain, region: 'kochi', isReady }
  return { version: control.host.machine.config.version, waitMs: 10_000, weights: 0, self }
}

/** Calls that a VM answers until it has read a close; they take far less time than the watch below waits. */
const maxCallsUntilClose = 20

/** Makes calls to a VM until at most `maxWaiting` of its watches wait for a change. */
async function waitForFewerWatches ({ host, node }: FleetControl, maxWaiting: number): Promise<void> {
  for (let done = 0; done < maxCallsUntilClose && host.progressListeners.length > maxWaiting; done++) await callPeer(node.client, node.cfg.rpc, 'fleet.lookup', {})
}

/**
 * Guards against slow control VMs that keep abandoned watches of entry VMs, or that forget the presence of these VMs.
 */
test('an abandoned watch does not wait, but its presence is recorded', async () => {
  await using controls = await startControls()
  const { host, presence } = controls.leader
  const watchesBefore = host.progressListeners.length
  for (const isReady of [true, false]) {
    await callAndDisconnect(controls.leader, 'fleet.watch', createWatchRequest(controls.leader, isReady))
    await waitForFewerWatches(controls.leader, watchesBefore)
    assert.equal(host.progressListeners.length, watchesBefore)
    assert.equal(presence.entries.get('entry')?.presence.isReady, isReady)
  }
})

/** Guards against control VMs that keep watches of disconnected VMs and compress each change for them. */
test('a watch ends when its VM disconnects', async () => {
  await using controls = await startControls()
  const { host, node } = controls.leader
  const watchesBefore = host.progressListeners.length
  const pendingWatch = callPeer(node.client, node.cfg.rpc, 'fleet.watch', createWatchRequest(controls.leader, true), blockedMs)
  await waitUntil(() => host.progressListeners.length > watchesBefore)
  await assert.rejects(pendingWatch)
  await waitForFewerWatches(controls.leader, watchesBefore)
  assert.equal(host.progressListeners.length, watchesBefore)
})

/**
 * Guards against a control VM that, after it was blocked, ends waits first and compresses the state for disconnected
 * VMs.
 */
test('a watch whose VM disconnects while the control VM is blocked beyond the end of the wait is not answered', async t => {
  await using controls = await startControls()
  const { host, node } = controls.leader
  const watchesBefore = host.progressListeners.length
  const body = JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'fleet.watch', params: { ...createWatchRequest(controls.leader, true), waitMs: blockedMs / 2 } })
  await using sender = await connectWorkerCaller(node.cfg.rpc, '/none', false, formatPostRequest('/rpc', body))
  const { mock: endMock } = t.mock.method(ServerResponse.prototype, 'end')
  sender.send()
  await waitUntil(() => host.progressListeners.length > watchesBefore)
  sender.disconnectWhileBlocked(blockedMs)
  for (let done = 0; done < maxCallsUntilClose; done++) await callPeer(node.client, node.cfg.rpc, 'fleet.lookup', {})
  assert.equal(endMock.calls.filter(call => String(call.arguments[0]).includes('"entries":["entry"]')).length, 0)
})
