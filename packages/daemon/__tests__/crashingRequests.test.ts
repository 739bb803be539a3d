/** Requests that end the servers that run them. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay } from '@lynxcourse/daemon'
import type { FleetDaemon, FleetSettings } from '@lynxcourse/daemon'
import { createRouteToDesk, hasServers, publishRoutes, sendRequestTo, startFleetFixture, startVm, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture } from './support/fleetFixture.js'
import { startCrashableServers } from './support/crashableServers.js'
import type { CrashableServers } from './support/crashableServers.js'

const serverCount = 14
/** Number of servers that a request may end before it counts as crashing. */
const toleratedEnds = 3
/** Time that VMs have from then on to stop sending the request, and how often it may still be sent after that. */
const contactMs = 4000
const maxLateSends = 3
const crashingPath = '/read/crash'

async function startFleet (entryCount: number, crashable: CrashableServers): Promise<FleetFixture> {
  const fixture = await startFleetFixture(entryCount)
  const route = createRouteToDesk('read', { maxAttempts: 1 })
  await publishRoutes(fixture, crashable.servers, [route, createRouteToDesk('write', { isIdempotent: false })])
  await waitUntil(() => fixture.daemons.every(daemon => daemon?.gateway === undefined || hasServers(daemon, serverCount)))
  return fixture
}

function getEntryAddress (fixture: FleetFixture, entry: number): string {
  const addresses = fixture.settings.flatMap(cfg => cfg.callers ?? [])
  return addresses[entry % addresses.length] ?? ''
}

/** Sends the crashing request to the entry VMs in turn, until it has ended the given number of servers. */
async function crashServers (fixture: FleetFixture, crashable: CrashableServers, count: number): Promise<void> {
  for (let sent = 0; crashable.ended < count; sent++) await sendRequestTo(getEntryAddress(fixture, sent), crashingPath)
}

/** Guards against a request that ends one server after the other, since each VM and each attempt starts without knowledge of it. */
test('a request that ended three servers is sent at most three times more, by any VM', async () => {
  await using crashable = await startCrashableServers(serverCount, req => req.url === crashingPath)
  await using fixture = await startFleet(2, crashable)
  await crashServers(fixture, crashable, toleratedEnds)
  await delay(contactMs)
  const endedBefore = crashable.ended
  for (let sent = 0; sent < 2 * maxLateSends; sent++) await sendRequestTo(getEntryAddress(fixture, sent), crashingPath)
  assert.ok(crashable.ended - endedBefore <= maxLateSends, `${crashable.ended - endedBefore} more servers ended`)
})

/** Guards against the same request ending servers again after the VMs that knew of it have restarted. */
test('a request that ended three servers is sent at most three times more after all VMs have restarted', async () => {
  await using crashable = await startCrashableServers(serverCount, req => req.url === crashingPath)
  await using fixture = await startFleet(1, crashable)
  await crashServers(fixture, crashable, toleratedEnds)
  await delay(contactMs)
  const endedBefore = crashable.ended
  for (const daemon of fixture.daemons.splice(0)) await daemon?.[Symbol.asyncDispose]()
  for (const cfg of fixture.settings) fixture.daemons.push(await startVm({ ...cfg, isFirstStart: false } satisfies FleetSettings))
  await waitUntil(() => hasServers(fixture.daemons.at(-1) as FleetDaemon, serverCount))
  for (let sent = 0; sent < 2 * maxLateSends; sent++) await sendRequestTo(getEntryAddress(fixture, sent), crashingPath)
  assert.ok(crashable.ended - endedBefore <= maxLateSends, `${crashable.ended - endedBefore} more servers ended`)
})
