/** What callers and the placement meet after VMs start anew. */
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

async function stop (rig: FleetFixture, place: number): Promise<void> {
  await rig.daemons[place]?.[Symbol.asyncDispose]()
  rig.daemons[place] = undefined
}

/** Guards against this failure: after all VMs start, callers are refused, come back and are refused again. */
test('a request that comes before the state is known waits for it and is served', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [server], [createRouteToDesk('read')])
  for (const place of [3, 2, 1, 0]) await stop(rig, place)
  const settings = rig.settings.map(cfg => ({ ...cfg, isFirstStart: false }))
  rig.daemons[3] = await startVm(settings[3] as typeof settings[0])
  const early = sendRequest(rig, '/read/1')
  for (const place of [0, 1, 2]) rig.daemons[place] = await startVm(settings[place] as typeof settings[0])
  assert.equal((await early).status, 200)
})

/*
 * A request that had been held for the state was judged by the turn of the event loop in which it had been read: 0.3 s later that
 * turn looked long, so it was refused as if the VM had no processor time. Seven of eight runs beside busy processes ended so.
 */
test('a request that waited for the state is not taken for one of a long turn', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [server], [createRouteToDesk('read', { timeoutMs: 20_000, aimMs: 10_000 })])
  for (const place of [3, 2, 1, 0]) await stop(rig, place)
  const settings = rig.settings.map(cfg => ({ ...cfg, isFirstStart: false }))
  rig.daemons[3] = await startVm(settings[3] as typeof settings[0])
  const early = sendRequest(rig, '/read/1')
  await waitUntil(() => rig.daemons[3]?.gateway?.waitingForRoutes === 1)
  await new Promise(resolve => setTimeout(resolve, 300))
  for (const place of [0, 1, 2]) rig.daemons[place] = await startVm(settings[place] as typeof settings[0])
  assert.equal((await early).status, 200)
})

/** Guards against this failure: requests hang at a VM that finds no control VM. */
test('a request to a VM that does not get the state is told to come back within about a second', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [server], [createRouteToDesk('read')])
  for (const place of [3, 2, 1, 0]) await stop(rig, place)
  rig.daemons[3] = await startVm({ ...rig.settings[3] as typeof rig.settings[0], isFirstStart: false })
  const got = await sendRequest(rig, '/read/1')
  assert.equal(got.status, 503)
  assert.ok(Number(got.headers['retry-after']) > 0)
  assert.equal(isFleetReady(rig.daemons[3] as FleetDaemon), false)
})

/** Guards against this failure: after all control VMs died, every object has another server, cold for it. */
test('control VMs that start anew go on from the placement that they kept', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [server], [createRouteToDesk('read')])
  for (const place of [2, 1, 0]) await stop(rig, place)
  const id = server.facts.id
  const service = server.facts.service
  const region = brandId<RegionId>('kochi')
  const kept: LoadUpdate = {
    full: [],
    silent: [],
    weights: { version: 17, servers: [[id, 0.4]] },
    plans: [{ service, isMeasured: true, fill: 0.5, busy: 4, demand: [[region, 4]], shares: [[region, [[region, 1]]]] }]
  }
  for (const place of [0, 1, 2]) {
    const cfg = rig.settings[place] as typeof rig.settings[0]
    await writePlacement(cfg.dataFolder ?? '', kept)
    rig.daemons[place] = await startVm({ ...cfg, isFirstStart: false })
  }
  for (const place of [0, 1, 2]) await waitUntil(() => getControl(rig, place).board.weights.get(id) === 0.4)
  const { gateway } = rig.daemons[3] as FleetDaemon
  await waitUntil(() => gateway?.fleet.byId.get(id)?.weight === 0.4)
})

test('a kept placement is read back as it was; a torn file names itself, and none is no error', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'lynx-placement-'))
  try {
    assert.equal(await readPlacement(folder), undefined)
    const board = createLoadBoard()
    const service = brandId<ServiceId>('desk')
    const region = brandId<RegionId>('kochi')
    const news: LoadUpdate = { ...board.news, weights: { version: 3, servers: [[brandId<ServerId>('s'), 0.5]] }, plans: [{ service, isMeasured: true, fill: 0.5, busy: 3, demand: [[region, 3]], shares: [[region, [[region, 1]]]] }] }
    await writePlacement(folder, news)
    assert.deepEqual(await readPlacement(folder), news)
    await writeFile(join(folder, 'placement.json'), '{"plans":[{"ser')
    await assert.rejects(readPlacement(folder), err => isLynxError(err, 'badRequest') && err.field === 'placement.json')
  } finally {
    await rm(folder, { recursive: true, force: true })
  }
})

/** Guards against this failure: a server is left alone by a VM though it answers. */
test('a route\'s timeout does not count against a server that answers others', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (req, res) => { if (req.url?.endsWith('never') !== true) res.end('ok') })
  await publishRoutes(rig, [server], [createRouteToDesk('read', { isIdempotent: false, timeoutMs: 340, aimMs: 350 })])
  for (let sent = 0; sent < 3; sent++) {
    const late = sendRequest(rig, '/read/never')
    await new Promise(resolve => setTimeout(resolve, 100))
    assert.equal((await sendRequest(rig, '/read/1')).status, 200)
    assert.equal((await late).status, 504)
  }
  const known = rig.daemons.at(-1)?.gateway?.fleet.byId.get(server.facts.id)
  assert.deepEqual([known?.consecutiveFailures, known?.ejectedUntil], [0, -Infinity])
})

/** Guards against this failure: servers are named as answering nobody while all their slots are at work, and their objects move. */
test('work that its timeout cuts does not count against a server until it owes an answer for longer than the longest work takes', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', () => undefined)
  await publishRoutes(rig, [server], [createRouteToDesk('read', { isIdempotent: false, timeoutMs: 1000, aimMs: 1000 })])
  const gateway = rig.daemons.at(-1)?.gateway
  const known = (): FleetServer | undefined => gateway?.fleet.byId.get(server.facts.id)
  assert.equal((await sendRequest(rig, '/read/1')).status, 504)
  assert.deepEqual([known()?.consecutiveFailures, gateway?.node.load.failed.size], [0, 0])
  for (let sent = 1; sent < 20 && known()?.consecutiveFailures === 0; sent++) assert.equal((await sendRequest(rig, '/read/1')).status, 504)
  assert.ok((known()?.consecutiveFailures ?? 0) > 0, 'a server that answers nothing at all is doubted')
})

/*
 * Servers whose addresses had gone to others stayed in the directory for three seconds and more although nothing of them was left. Each answer
 * of the new server at such an address carried that one's load and counted as an answer of the former one: as its load, as a sign of
 * its life at the leader, and against the word of other VMs that it failed them.
 */
test('the word of another server at an address says nothing of the server that was there', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.writeHead(421, { 'lynx-load': '2' }).end())
  await publishRoutes(rig, [server], [createRouteToDesk('read')])
  assert.equal((await sendRequest(rig, '/read/1')).status, 503)
  const known = rig.daemons.at(-1)?.gateway?.fleet.byId.get(server.facts.id)
  assert.deepEqual([known?.reportedQueueDepth, known?.lastAnsweredAt, known?.consecutiveFailures], [0, -Infinity, 2])
})
