/** Calls between VMs that are in progress at a control VM when it stops. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isLynxError } from '@lynxcourse/base'
import { callPeer, countOpenCalls, createRpcClient, defaultFleetTimes, delay, getCurrentTime, isLeading, leaveFleet, submitFleetCommand } from '@lynxcourse/daemon'
import type { FleetDaemon, WatchReply } from '@lynxcourse/daemon'
import { createReplaceRoutesCommand, createRouteToDesk, getControl, startFleetFixture, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture } from './support/fleetFixture.js'

/** Longer than any stop. */
const watchMs = 8000
const maxStopMs = 1000

/** Stops a VM as its program does: leaves, and then ends everything that is left. */
async function stopVm (fixture: FleetFixture, index: number): Promise<void> {
  const daemon = fixture.daemons[index] as FleetDaemon
  await leaveFleet(daemon)
  await daemon[Symbol.asyncDispose]()
  fixture.daemons[index] = undefined
}

async function findLeader (fixture: FleetFixture): Promise<number> {
  let leader = -1
  await waitUntil(() => {
    leader = fixture.daemons.findIndex(daemon => isLeading(daemon?.control?.host))
    return leader >= 0
  })
  return leader
}

// Guards against entry VMs that take a planned stop of their control VM for a failure of the network, or wait for it in vain.
test('a watch that a stopping control VM holds gets an answer at once', async () => {
  await using fixture = await startFleetFixture(0)
  await publishFirstRoutes(fixture)
  await using client = createRpcClient({ timeoutMs: watchMs, localAddress: '', tls: () => undefined, metrics: undefined })
  const daemon = fixture.daemons[0] as FleetDaemon
  const { cfg } = daemon.node
  const self = { name: 'entry-1', address: '127.0.0.1:1', failureDomain: cfg.failureDomain, region: cfg.region, isReady: false }
  const watch = callPeer<WatchReply>(client, cfg.rpc, 'fleet.watch', { version: getControl(fixture, 0).host.machine.config.version, waitMs: watchMs, self, weights: 0 }, watchMs)
  const outcome = watch.then(() => 'answered', (err: unknown) => String(err))
  await delay(maxStopMs / 2)
  assert.ok(daemon.internalServers.some(server => countOpenCalls(server) > 0))
  const startedAt = getCurrentTime()
  await stopVm(fixture, 0)
  assert.match(await outcome, /this VM is stopping/)
  assert.ok(getCurrentTime() - startedAt < maxStopMs)
})

// Guards against changes whose outcome is unknown because the leader is told to stop, and a handover that fails since changes go on.
test('changes that other control VMs relay to a stopping leader get an answer, and are accepted again before an election would be due', async () => {
  await using fixture = await startFleetFixture(0)
  await publishFirstRoutes(fixture)
  const leader = await findLeader(fixture)
  const others = [0, 1, 2].filter(index => index !== leader)
  const outcomes: string[] = []
  const answeredAt: number[] = []
  const state = { isStopped: false }
  const submitRepeatedly = async (index: number): Promise<void> => {
    for (let count = 0; !state.isStopped; count++) {
      const command = createReplaceRoutesCommand(`order-${index}-${count}`, 0, 1, [createRouteToDesk('read')])
      const outcome = await submitFleetCommand(getControl(fixture, index), command).then(() => 'answered', (err: unknown) => isLynxError(err) ? `${err.code} ${err.message}` : String(err))
      outcomes.push(outcome)
      if (outcome === 'answered') answeredAt.push(getCurrentTime())
      await delay(1)
    }
  }
  const submitting = others.map(submitRepeatedly)
  await delay(maxStopMs / 4)
  await stopVm(fixture, leader)
  await delay(maxStopMs / 4)
  state.isStopped = true
  await Promise.all(submitting)
  answeredAt.push(getCurrentTime())
  assert.deepEqual(outcomes.filter(outcome => outcome.startsWith('peerFailed')), [])
  const gaps = answeredAt.map((at, index) => at - (answeredAt[index - 1] ?? at))
  assert.ok(Math.max(...gaps) < defaultFleetTimes.electionMs, `no change was accepted for ${Math.max(...gaps)} ms`)
})

async function publishFirstRoutes (fixture: FleetFixture): Promise<void> {
  for (let index = 0; index < 3; index++) await waitUntil(() => getControl(fixture, index).host.replica?.leader !== undefined)
  await waitUntil(async () => await submitFleetCommand(getControl(fixture, 0), createReplaceRoutesCommand('first', 0, 1, [createRouteToDesk('read')])).then(() => true, () => false))
  for (let index = 0; index < 3; index++) await waitUntil(() => getControl(fixture, index).host.machine.config.version > 0)
}
