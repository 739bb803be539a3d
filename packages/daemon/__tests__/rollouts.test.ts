/** Rollouts at the control VMs of a fleet on loopback: orders under failures, and steps by the reports of entry VMs. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import { callPeer, getCurrentTime, handleAnnouncement, isRetryableElsewhere, readRollouts, submitFleetCommand } from '@lynxcourse/daemon'
import type { FleetControl, WatchRequest } from '@lynxcourse/daemon'
import type { RolloutReport } from '@lynxcourse/rollouts'
import { findItem, getVersionInForce, isRunningRollout } from '@lynxcourse/state'
import type { RolloutItem, SoftwareVersion, StartRolloutCommand } from '@lynxcourse/state'
import { createReplaceRoutesCommand, createRouteToDesk, desk, getControl, keepAnnouncing, startFleetFixture, startTestServer, startVm, submitCommand, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture, TestServer } from './support/fleetFixture.js'
import { controlCount, stopControlVms } from './support/servingFleet.js'

const bounds = { rollouts: { exposureFraction: 0.1, exposureSlack: 50, rollbackMs: 5000 } }
const reportIntervalMs = 200

function createOrder (target = 'v2', durationMs = 60_000): StartRolloutCommand {
  return { type: 'startRollout', service: desk, target: brandId<SoftwareVersion>(target), durationMs }
}

async function startConfigured (): Promise<FleetFixture> {
  const fixture = await startFleetFixture(0, { fields: bounds })
  await submitCommand(fixture, createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')]))
  return fixture
}

/** Reads the rollout at the first control VM that answers. */
async function readRollout (fixture: FleetFixture): Promise<RolloutItem | undefined> {
  let found: RolloutItem | undefined
  await waitUntil(async () => {
    for (const daemon of fixture.daemons) {
      const result = daemon?.control === undefined ? undefined : await readRollouts(daemon.control).catch(() => undefined)
      if (result === undefined) continue
      found = result.rollouts[0]
      return true
    }
    return false
  })
  return found
}

const isLeader = ({ host }: FleetControl): boolean => host.replica !== undefined && host.replica.leader === host.id

/** Returns the number of the leader. */
async function findLeader (fixture: FleetFixture): Promise<number> {
  let leader = -1
  await waitUntil(() => {
    leader = fixture.daemons.findIndex(daemon => daemon?.control !== undefined && isLeader(daemon.control))
    return leader >= 0
  })
  return leader
}

/** Guards against an order that depends on which control VM gets it. */
test('an order and its repetition are accepted by every control VM, and another target conflicts at each', async () => {
  await using fixture = await startConfigured()
  await submitCommand(fixture, createOrder())
  const first = await readRollout(fixture)
  for (let index = 0; index < controlCount; index++) {
    const control = getControl(fixture, index)
    assert.equal((await submitFleetCommand(control, createOrder())).ok, true)
    const refused = await submitFleetCommand(control, createOrder('v3'))
    assert.equal(refused.ok ? '' : refused.code, 'versionConflict')
    assert.deepEqual((await readRollouts(control)).rollouts, [first])
  }
})

/** Guards against a rollout in a fleet whose settings do not bound what a bad version may get. */
test('without bounds in the settings, an order is not found', async () => {
  await using fixture = await startFleetFixture(0)
  await submitCommand(fixture, createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')]))
  const answer = await submitCommand(fixture, createOrder())
  assert.equal(answer.ok ? '' : answer.code, 'notFound')
})

/** Guards against an order that is lost, refused or started again after its answer was lost with the leader. */
test('an order that was committed before the leader ended is accepted when it is repeated elsewhere', async () => {
  await using fixture = await startConfigured()
  const leader = await findLeader(fixture)
  const { host } = getControl(fixture, leader)
  const answer = submitFleetCommand(getControl(fixture, leader), createOrder()).catch(() => undefined)
  await waitUntil(() => findItem(host.machine.config, 'rollout', desk) !== undefined)
  const { order } = findItem(host.machine.config, 'rollout', desk) as RolloutItem
  await fixture.daemons[leader]?.[Symbol.asyncDispose]()
  fixture.daemons[leader] = undefined
  await answer
  assert.equal((await submitCommand(fixture, createOrder())).ok, true)
  const rollout = await readRollout(fixture)
  assert.equal(rollout?.order, order)
  assert.equal(rollout?.step, 1)
})

/** Guards against an acknowledged order that a power loss of all VMs undoes. */
test('an order survives a restart of all control VMs', async () => {
  await using fixture = await startConfigured()
  await submitCommand(fixture, createOrder())
  const before = await readRollout(fixture)
  await stopControlVms(fixture)
  for (let index = 0; index < controlCount; index++) fixture.daemons[index] = await startVm({ ...fixture.settings[index] as typeof fixture.settings[0], isFirstStart: false })
  assert.deepEqual(await readRollout(fixture), before)
})

/** Guards against an order that is acknowledged, or a state that is read, while most disks don't have it. */
test('without a quorum, orders and reads fail with an error that sends the operator to another control VM', async () => {
  await using fixture = await startConfigured()
  await findLeader(fixture)
  for (const index of [0, 1]) {
    await fixture.daemons[index]?.[Symbol.asyncDispose]()
    fixture.daemons[index] = undefined
  }
  const control = getControl(fixture, 2)
  await assert.rejects(submitFleetCommand(control, createOrder()), isRetryableElsewhere)
  await assert.rejects(readRollouts(control), isRetryableElsewhere)
})

async function announceAll (fixture: FleetFixture, servers: readonly TestServer[]): Promise<void> {
  for (const { facts } of servers) await waitUntil(async () => await handleAnnouncement(getControl(fixture, 0), facts, getCurrentTime()).then(() => true, () => false))
}

async function startServers (names: readonly string[], software: string): Promise<TestServer[]> {
  return await Promise.all(names.map(async name => {
    const server = await startTestServer(name, (_req, res) => res.end('ok'))
    return { ...server, facts: { ...server.facts, software } }
  }))
}

/** Sends watches with reports as an entry VM does, to the control VMs in turn, until disposal. */
function keepReporting (fixture: FleetFixture, badFraction: number): Disposable {
  let answers = 0
  const timer = setInterval(() => {
    const control = getControl(fixture, answers++ % controlCount)
    const item = findItem(control.host.machine.config, 'rollout', desk)
    if (item === undefined) return
    const count = answers * 20
    const bad = Math.round(count * badFraction)
    const report: RolloutReport = {
      service: desk,
      order: item.order,
      step: item.step,
      inFlightAtBaseline: 0,
      routes: [{ route: 'read', baseline: { answers: count * 10, failures: 0, slow: 0 }, target: { answers: count, failures: bad, slow: 0 } }],
      servers: ['t1', 't2'].map(id => [brandId(id), count / 2, bad / 2 | 0] as const)
    }
    const self = { name: 'entry-1', address: '127.0.0.1:9', failureDomain: control.node.cfg.failureDomain, region: control.node.cfg.region, isReady: true }
    const request: WatchRequest = { version: 1, waitMs: 0, weights: 0, self, load: { servers: [], busy: [], failed: [], rollouts: [report] } }
    callPeer(control.node.client, control.node.cfg.rpc, 'fleet.watch', request).catch(() => undefined)
  }, reportIntervalMs)
  return { [Symbol.dispose]: () => clearInterval(timer) }
}

interface RolloutRun { readonly item: RolloutItem, readonly inForce: string | undefined }

async function runRollout (badFraction: number, loseLeader = false): Promise<RolloutRun> {
  await using fixture = await startConfigured()
  const servers = [...await startServers(['b1', 'b2'], 'v1'), ...await startServers(['t1', 't2'], 'v2')]
  let announcing: Disposable | undefined
  let reporting: Disposable | undefined
  try {
    announcing = keepAnnouncing(fixture, servers)
    await announceAll(fixture, servers)
    await submitCommand(fixture, createOrder('v2', 8000))
    reporting = keepReporting(fixture, badFraction)
    if (loseLeader) {
      const leader = await findLeader(fixture)
      await waitUntil(() => findItem(getControl(fixture, leader).host.machine.config, 'rollout', desk)?.state === 'promoting')
      const stopped = fixture.daemons[leader]
      await stopped?.[Symbol.asyncDispose]()
      fixture.daemons[leader] = await startVm({ ...fixture.settings[leader] as typeof fixture.settings[0], isFirstStart: false })
    }
    // Reads of the local copies, since a quorum's confirmation of each read would slow down the group.
    await waitUntil(() => fixture.daemons.some(daemon => {
      const item = daemon?.control === undefined ? undefined : findItem(daemon.control.host.machine.config, 'rollout', desk)
      return item !== undefined && !isRunningRollout(item)
    }))
    const leader = getControl(fixture, await findLeader(fixture))
    return { item: await readRollout(fixture) as RolloutItem, inForce: getVersionInForce(leader.host.machine.config, desk) }
  } finally {
    announcing?.[Symbol.dispose]()
    reporting?.[Symbol.dispose]()
    for (const server of servers) await server[Symbol.asyncDispose]()
  }
}

/** Guards against reports that are lost on their way to the leader, and a version that comes into force too late or never. */
test('a good version comes into force by the reports that control VMs relay', async () => {
  const { item, inForce } = await runRollout(0)
  assert.equal(item.state, 'completed', item.reason)
  assert.equal(inForce, 'v2')
})

/** Guards against a bad version that stays because the leader gets no evidence. */
test('a bad version is rolled back by the reports that control VMs relay', async () => {
  const { item, inForce } = await runRollout(0.5)
  assert.equal(item.state, 'rolledBack')
  assert.match(item.reason, /^bad version/)
  assert.equal(inForce, 'v1')
})

/** Guards against a rollout that stops when its leader ends. */
test('a rollout continues under the next leader', async () => {
  const { item, inForce } = await runRollout(0, true)
  assert.equal(item.state, 'completed', item.reason)
  assert.equal(inForce, 'v2')
})
