/** Servers of several software versions behind entry VMs, and requests in flight when a rollout changes. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, getCurrentTime, notifyFleetChange, reloadFleetSettings } from '@lynxcourse/daemon'
import type { FleetDaemon } from '@lynxcourse/daemon'
import { setItem } from '@lynxcourse/state'
import type { ConfigItem, RolloutItem, ServiceVersionItem, SoftwareVersion } from '@lynxcourse/state'
import { desk, hasServers, startVm, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture, TestServer } from './support/fleetFixture.js'
import { controlCount, countArrivals, sendForMs, sendTo, startRecordingServer, startServingFleet, stopControlVms } from './support/servingFleet.js'
import type { RecordingServer, ServingFleet } from './support/servingFleet.js'

const [v1, v2] = ['v1', 'v2'] as [SoftwareVersion, SoftwareVersion]
const rollouts = { exposureFraction: 0.1, exposureSlack: 50, rollbackMs: 5000 }
const inForce: ServiceVersionItem = { kind: 'serviceVersion', key: desk, version: v1 }
const observing: RolloutItem = { kind: 'rollout', key: desk, baseline: v1, target: v2, orderedAt: 0, durationMs: 12_000, state: 'observing', percent: 50, order: 1, step: 1, reason: '' }
/** Answers of the slow route take this long. */
const slowMs = 700

async function startVersion (id: string, software: string, respondAfterMs = 0): Promise<RecordingServer> {
  const server = await startRecordingServer(id, (_entry, res) => { setTimeout(() => res.end(id), respondAfterMs) })
  const test: TestServer = { ...server.test, facts: { ...server.test.facts, software } }
  return { ...server, test }
}

/** Starts one entry VM with servers of the versions `v1` and `v2`, whose settings hold bounds of rollouts. */
async function startVersions (baselineDelayMs = 0): Promise<ServingFleet<RecordingServer>> {
  const fleet = await startServingFleet(1, [await startVersion('old', v1, baselineDelayMs), await startVersion('new', v2)])
  gate(getEntry(fleet.fixture))
  return fleet
}

function getEntry (fixture: FleetFixture): FleetDaemon {
  return fixture.daemons.at(-1) as FleetDaemon
}

function gate ({ node }: FleetDaemon): void {
  reloadFleetSettings(node, { ...node.cfg, rollouts })
}

/** Puts items into the entry VM's copy of the state, as an update from a control VM does. */
function applyItems ({ node }: FleetDaemon, ...items: ConfigItem[]): void {
  for (const item of items) setItem(node.config, node.config.version, item)
  notifyFleetChange(node)
}

/** Guards against requests that reach a server of a version that nobody ordered, also from a VM that has just started. */
test('a server of a version that no order allowed gets no request, also after a restart of the entry VM', async () => {
  await using fleet = await startVersions()
  const { fixture, servers: [, other] } = fleet
  assert.ok(other !== undefined)
  applyItems(getEntry(fixture), inForce)
  const before = countArrivals(other, 0)
  assert.ok((await sendForMs(fixture, [0], 60, 1000)).every(({ status }) => status === 200))
  for (const daemon of fixture.daemons.slice(0, controlCount)) {
    const config = daemon?.control?.host.machine.config
    if (config !== undefined) setItem(config, config.version, inForce)
  }
  await getEntry(fixture)[Symbol.asyncDispose]()
  const cfg = { ...fixture.settings[controlCount], rollouts } as FleetFixture['settings'][number]
  fixture.daemons[controlCount] = await startVm(cfg)
  // Few enough for the slots of the only open server.
  const early = await Promise.all(Array.from({ length: 3 }, async () => await sendTo(fixture, 0)))
  assert.ok(early.every(({ status, body }) => status === 200 && body === 'old'))
  await waitUntil(() => hasServers(getEntry(fixture), 2))
  assert.ok((await sendForMs(fixture, [0], 60, 1000)).every(({ status }) => status === 200))
  assert.equal(countArrivals(other, 0), before)
})

/** Guards against a request that was placed before a version was closed and is written to its server after that. */
test('a request that waits for a connection to a closed version is placed at another server', async () => {
  await using fleet = await startVersions()
  const { fixture, servers: [, next] } = fleet
  assert.ok(next !== undefined)
  const entry = getEntry(fixture)
  applyItems(entry, inForce, { ...observing, state: 'draining', percent: 100 })
  const placed = entry.gateway?.fleet.byId.get(next.test.facts.id)
  assert.ok(placed !== undefined)
  const { running } = placed
  // The first connection to the server is not open yet when the request has been placed.
  running.add = request => {
    queueMicrotask(() => applyItems(entry, { ...observing, state: 'rolledBack', percent: 0, step: 2 }))
    return Set.prototype.add.call(running, request) as typeof running
  }
  assert.equal((await sendTo(fixture, 0)).body, 'old')
  assert.equal(countArrivals(next, 0), 0)
})

/** Guards against a server that restarts with another version under its id and gets the requests of the version before. */
test('a server that restarts with a version that no order allowed gets nothing more, and what was placed at it is withdrawn', async () => {
  await using fleet = await startVersions()
  const { fixture, servers: [, next] } = fleet
  assert.ok(next !== undefined)
  const entry = getEntry(fixture)
  applyItems(entry, inForce, { ...observing, state: 'promoting', percent: 100 })
  assert.equal((await sendTo(fixture, 0)).body, 'new')
  const before = entry.gateway?.fleet.byId.get(next.test.facts.id)
  Object.assign(next.test, { facts: { ...next.test.facts, software: 'v3', bornAt: Date.now(), seq: 1 } })
  await waitUntil(() => entry.gateway?.fleet.byId.get(next.test.facts.id) !== before)
  const since = getCurrentTime()
  assert.equal(before?.role, 'unused')
  assert.ok((await sendForMs(fixture, [0], 30, 500)).every(({ body }) => body === 'old'))
  assert.equal(countArrivals(next, since), 0)
})

/** Guards against requests in flight at the baseline that are cut, repeated or lost when a rollout drains. */
test('requests in flight at the baseline finish while a rollout drains, and new ones go to the target', async () => {
  await using fleet = await startVersions(slowMs)
  const { fixture, servers: [old, next] } = fleet
  assert.ok(old !== undefined && next !== undefined)
  const entry = getEntry(fixture)
  applyItems(entry, inForce)
  const before = countArrivals(old, 0)
  const inFlight = ['/read/1', '/write/1'].map(async path => await sendTo(fixture, 0, path))
  await waitUntil(() => countArrivals(old, 0) === before + 2)
  applyItems(entry, inForce, { ...observing, state: 'draining', percent: 100, step: 6 })
  assert.deepEqual(entry.node.listRolloutReports(getCurrentTime()).map(({ step, inFlightAtBaseline }) => [step, inFlightAtBaseline]), [[6, 2]])
  assert.equal((await sendTo(fixture, 0)).body, 'new')
  assert.deepEqual((await Promise.all(inFlight)).map(({ status, body }) => [status, body]), [[200, 'old'], [200, 'old']])
  assert.equal(countArrivals(old, 0), before + 2)
  assert.equal(entry.node.listRolloutReports(getCurrentTime())[0]?.inFlightAtBaseline, 0)
})

/** Guards against a VM that lost contact and keeps sending to a version that was rolled back meanwhile. */
test('a VM that reaches no control VM stops sending to a version under observation, and serves all requests', async () => {
  await using fleet = await startVersions()
  const { fixture, servers: [, next] } = fleet
  assert.ok(next !== undefined)
  const entry = getEntry(fixture)
  applyItems(entry, inForce, observing)
  await sendForMs(fixture, [0], 150, 1500)
  const sent = countArrivals(next, 0)
  assert.ok(sent > 0 && sent <= 0.09 * 1.5 * 150 + 1, `${sent}`)
  await stopControlVms(fixture)
  await delay(entry.node.cfg.times.staleMs + 100)
  const since = getCurrentTime()
  assert.ok((await sendForMs(fixture, [0], 150, 1000)).every(({ status }) => status === 200))
  assert.equal(countArrivals(next, since), 0)
})
