/** Requests and the placement after restarts of VMs, and which failures count against a server. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { isFleetReady, readPlacement, writePlacement } from '@lynxcourse/daemon'
import { createLoadBoard } from '@lynxcourse/placement'
import type { FleetServer, LoadUpdate } from '@lynxcourse/placement'
import type { FleetDaemon } from '@lynxcourse/daemon'
import { brandId, isLynxError } from '@lynxcourse/base'
import type { RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { sendRequest, getControl, publishRoutes, createRouteToDesk, startFleetFixture, startTestServer, startVm, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture } from './support/fleetFixture.js'

async function stop (fixture: FleetFixture, index: number): Promise<void> {
  await fixture.daemons[index]?.[Symbol.asyncDispose]()
  fixture.daemons[index] = undefined
}

/** Guards against callers that are rejected repeatedly after a start of all VMs. */
test('a request that arrives before the state is known waits for the state and is served', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  for (const index of [3, 2, 1, 0]) await stop(fixture, index)
  const settings = fixture.settings.map(cfg => ({ ...cfg, isFirstStart: false }))
  fixture.daemons[3] = await startVm(settings[3] as typeof settings[0])
  const earlyResponse = sendRequest(fixture, '/read/1')
  for (const index of [0, 1, 2]) fixture.daemons[index] = await startVm(settings[index] as typeof settings[0])
  assert.equal((await earlyResponse).status, 200)
})

/*
 * Guards against the rejection of a request that waited for the state. The VM measured the event loop iteration in
 * which it had read the request; 0.3 s later that iteration looked long, as if the VM had no processor time.
 */
test('a request that waited for the state is not rejected for a long event loop iteration', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 20_000, aimMs: 10_000 })])
  for (const index of [3, 2, 1, 0]) await stop(fixture, index)
  const settings = fixture.settings.map(cfg => ({ ...cfg, isFirstStart: false }))
  fixture.daemons[3] = await startVm(settings[3] as typeof settings[0])
  const earlyResponse = sendRequest(fixture, '/read/1')
  await waitUntil(() => fixture.daemons[3]?.gateway?.waitingForState === 1)
  await new Promise(resolve => setTimeout(resolve, 300))
  for (const index of [0, 1, 2]) fixture.daemons[index] = await startVm(settings[index] as typeof settings[0])
  assert.equal((await earlyResponse).status, 200)
})

/** Guards against requests that wait forever at a VM that finds no control VM. */
test('a request to a VM without a state is rejected with a retry-after header within about a second', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  for (const index of [3, 2, 1, 0]) await stop(fixture, index)
  fixture.daemons[3] = await startVm({ ...fixture.settings[3] as typeof fixture.settings[0], isFirstStart: false })
  const response = await sendRequest(fixture, '/read/1')
  assert.equal(response.status, 503)
  assert.ok(Number(response.headers['retry-after']) > 0)
  assert.equal(isFleetReady(fixture.daemons[3] as FleetDaemon), false)
})

/** Guards against a crash of all control VMs that moves every object to a server that is cold for it. */
test('restarted control VMs continue from the placement that they saved', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  for (const index of [2, 1, 0]) await stop(fixture, index)
  const id = server.facts.id
  const service = server.facts.service
  const region = brandId<RegionId>('kochi')
  const saved: LoadUpdate = {
    full: [],
    silent: [],
    weights: { version: 17, servers: [[id, 0.4]] },
    plans: [{ service, isMeasured: true, fill: 0.5, busy: 4, demand: [[region, 4]], shares: [[region, [[region, 1]]]] }]
  }
  for (const index of [0, 1, 2]) {
    const cfg = fixture.settings[index] as typeof fixture.settings[0]
    await writePlacement(cfg.dataFolder ?? '', saved)
    fixture.daemons[index] = await startVm({ ...cfg, isFirstStart: false })
  }
  for (const index of [0, 1, 2]) await waitUntil(() => getControl(fixture, index).board.weights.get(id) === 0.4)
  const { gateway } = fixture.daemons[3] as FleetDaemon
  await waitUntil(() => gateway?.fleet.byId.get(id)?.weight === 0.4)
})

test('a saved placement is read back unchanged; a truncated file is reported by name, and a missing one is no error', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'lynx-placement-'))
  try {
    assert.equal(await readPlacement(folder), undefined)
    const board = createLoadBoard()
    const service = brandId<ServiceId>('desk')
    const region = brandId<RegionId>('kochi')
    const update: LoadUpdate = { ...board.news, weights: { version: 3, servers: [[brandId<ServerId>('s'), 0.5]] }, plans: [{ service, isMeasured: true, fill: 0.5, busy: 3, demand: [[region, 3]], shares: [[region, [[region, 1]]]] }] }
    await writePlacement(folder, update)
    assert.deepEqual(await readPlacement(folder), update)
    await writeFile(join(folder, 'placement.json'), '{"plans":[{"ser')
    await assert.rejects(readPlacement(folder), err => isLynxError(err, 'badRequest') && err.field === 'placement.json')
  } finally {
    await rm(folder, { recursive: true, force: true })
  }
})

/** Guards against the ejection of a server that answers requests. */
test('a route\'s timeout does not count against a server that answers others', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (req, res) => { if (req.url?.endsWith('never') !== true) res.end('ok') })
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { isIdempotent: false, timeoutMs: 340, aimMs: 350 })])
  for (let sent = 0; sent < 3; sent++) {
    const timedOut = sendRequest(fixture, '/read/never')
    await new Promise(resolve => setTimeout(resolve, 100))
    assert.equal((await sendRequest(fixture, '/read/1')).status, 200)
    assert.equal((await timedOut).status, 504)
  }
  const fleetServer = fixture.daemons.at(-1)?.gateway?.fleet.byId.get(server.facts.id)
  assert.deepEqual([fleetServer?.consecutiveFailures, fleetServer?.ejectedUntil], [0, -Infinity])
})

/** Guards against servers that are reported as silent while all their slots are busy, so that their objects move. */
test('a timeout counts against a server only if it has not answered for longer than the longest request takes', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', () => undefined)
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { isIdempotent: false, timeoutMs: 1000, aimMs: 1000 })])
  const gateway = fixture.daemons.at(-1)?.gateway
  const getFleetServer = (): FleetServer | undefined => gateway?.fleet.byId.get(server.facts.id)
  assert.equal((await sendRequest(fixture, '/read/1')).status, 504)
  assert.deepEqual([getFleetServer()?.consecutiveFailures, gateway?.node.load.failed.size], [0, 0])
  for (let sent = 1; sent < 20 && getFleetServer()?.consecutiveFailures === 0; sent++) assert.equal((await sendRequest(fixture, '/read/1')).status, 504)
  assert.ok((getFleetServer()?.consecutiveFailures ?? 0) > 0, 'a server that answers no request at all has failures')
})

/*
 * Guards against servers that stay in the directory after another server took over their address. The responses of the
 * new server counted as responses of the former one: as its load, as a sign of life for the leader, and against reports
 * of failures from other VMs.
 */
test('a response of another server at the same address does not count for the former server', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.writeHead(421, { 'lynx-load': '2' }).end())
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  assert.equal((await sendRequest(fixture, '/read/1')).status, 503)
  const fleetServer = fixture.daemons.at(-1)?.gateway?.fleet.byId.get(server.facts.id)
  assert.deepEqual([fleetServer?.reportedQueueDepth, fleetServer?.lastAnsweredAt, fleetServer?.consecutiveFailures], [0, -Infinity, 2])
})
