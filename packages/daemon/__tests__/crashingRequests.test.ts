/** Requests that end the servers that run them. */
import assert from 'node:assert/strict'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { test } from 'node:test'
import { delay, getCurrentTime } from '@lynxcourse/daemon'
import type { FleetDaemon, FleetSettings } from '@lynxcourse/daemon'
import { listItems } from '@lynxcourse/state'
import type { CrashingRequestItem } from '@lynxcourse/state'
import { createRouteToDesk, getControl, hasServers, publishRoutes, sendRequestTo, startFleetFixture, startVm, submitCommand, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture, TestResponse, TestServer } from './support/fleetFixture.js'
import { endServer, startCrashableServers } from './support/crashableServers.js'
import type { CrashableServers } from './support/crashableServers.js'

const serverCount = 14
/** Number of servers that a request may end before it counts as crashing. */
const toleratedEnds = 3
/** Time that VMs have from then on to stop sending the request, and how often it may still be sent after that. */
const contactMs = 4000
const maxLateSends = 3
/** Precision of the retry time in an answer. */
const roundingMs = 1
const crashingPath = '/read/crash'
/** Time in which entry VMs learn of a restriction; changes that can wait are sent 200 ms after they were made. */
const maxLearningMs = 200

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

/** Sends the crashing request to the entry VMs in turn, and checks how many servers it still ends. */
async function assertFewLateEnds (fixture: FleetFixture, crashable: CrashableServers): Promise<void> {
  const endedBefore = crashable.ended
  for (let sent = 0; sent < 2 * maxLateSends; sent++) await sendRequestTo(getEntryAddress(fixture, sent), crashingPath)
  assert.ok(crashable.ended - endedBefore <= maxLateSends, `${crashable.ended - endedBefore} more servers ended`)
}

/** Guards against a request that ends one server after the other, since each VM and each attempt starts without knowledge of it. */
test('a request that ended three servers is sent at most three times more, by any VM', async () => {
  await using crashable = await startCrashableServers(serverCount, req => req.url === crashingPath)
  await using fixture = await startFleet(2, crashable)
  await crashServers(fixture, crashable, toleratedEnds)
  await delay(contactMs)
  await assertFewLateEnds(fixture, crashable)
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
  assert.equal(crashable.ended, endedBefore, 'no server ended meanwhile')
  await assertFewLateEnds(fixture, crashable)
})

function listRestricted (fixture: FleetFixture): CrashingRequestItem[] {
  return listItems(getControl(fixture, 0).host.machine.config, 'crashingRequest').filter(({ state }) => state !== 'released')
}

/** Waits until all entry VMs restrict the given number of requests. */
async function waitForRestrictions (fixture: FleetFixture, count: number): Promise<void> {
  await waitUntil(() => fixture.daemons.every(daemon => daemon?.gateway === undefined || daemon.gateway.crashes.restricted.size === count))
}

/**
 * Sends a crashing request until it is blocked at all VMs, and checks that it ended no more servers than that takes.
 *
 * Each send ends a server. A request that was repeated without a wait would end all servers before the VMs learn of the
 * restriction, and the other requests of these tests would rightly find none.
 */
async function blockCrashingRequest (fixture: FleetFixture, crashable: CrashableServers, send: () => Promise<TestResponse>): Promise<void> {
  for (let sent = 0; sent < toleratedEnds; sent++) await send()
  await waitForRestrictions(fixture, 1)
  await waitUntil(async () => {
    await send()
    return listRestricted(fixture).some(({ state }) => state === 'blocked')
  })
  const { blockedUntil } = listRestricted(fixture)[0] as CrashingRequestItem
  await waitUntil(() => fixture.daemons.every(daemon => daemon?.gateway === undefined || [...daemon.gateway.crashes.restricted.values()].includes(blockedUntil)))
  assert.ok(crashable.ended <= toleratedEnds + maxLateSends, `${crashable.ended} servers ended`)
}

/** Guards against a restriction that waits for other changes of the state, while a caller that repeats the request ends further servers. */
test('entry VMs learn of a restricted request at once', async () => {
  await using crashable = await startCrashableServers(serverCount, req => req.url === crashingPath)
  await using fixture = await startFleet(1, crashable)
  const gateway = fixture.daemons.at(-1)?.gateway as NonNullable<FleetDaemon['gateway']>
  let restrictedAt = Infinity
  let learnedAt = Infinity
  for (const { control } of fixture.daemons as FleetDaemon[]) {
    control?.host.progressListeners.push(() => { if (listItems(control.host.machine.config, 'crashingRequest').length > 0) restrictedAt = Math.min(restrictedAt, getCurrentTime()) })
  }
  gateway.node.onChange.push(() => { if (gateway.crashes.restricted.size > 0) learnedAt = Math.min(learnedAt, getCurrentTime()) })
  for (let sent = 0; sent < toleratedEnds; sent++) await sendRequestTo(getEntryAddress(fixture, 0), crashingPath)
  await waitForRestrictions(fixture, 1)
  assert.ok(learnedAt - restrictedAt < maxLearningMs, `learned after ${learnedAt - restrictedAt} ms`)
})

/** Guards against other requests that are turned away with the one that ends servers. */
test('while a request is blocked, requests with another path, method, body or caller are served', async () => {
  await using crashable = await startCrashableServers(serverCount, req => req.url === crashingPath && req.method === 'GET' && req.headers.authorization === undefined)
  await using fixture = await startFleet(2, crashable)
  await blockCrashingRequest(fixture, crashable, async () => await sendRequestTo(getEntryAddress(fixture, 0), crashingPath))
  const endedBefore = crashable.ended
  for (const address of [getEntryAddress(fixture, 0), getEntryAddress(fixture, 1)]) {
    const sentAt = getCurrentTime()
    const refused = await sendRequestTo(address, crashingPath)
    assert.equal(refused.status, 503)
    const retryAfterMs = Number(refused.headers['retry-after']) * 1000
    const blockedUntil = listRestricted(fixture)[0]?.blockedUntil ?? 0
    const isTrue = sentAt + retryAfterMs <= blockedUntil + roundingMs && getCurrentTime() + retryAfterMs >= blockedUntil - roundingMs
    assert.ok(isTrue, 'the caller hears when the block ends')
    assert.equal((await sendRequestTo(address, '/read/other')).status, 200)
    assert.equal((await sendRequestTo(address, `${crashingPath}?page=2`)).status, 200)
    assert.equal((await sendRequestTo(address, crashingPath, 'POST')).status, 200)
    assert.equal((await sendRequestTo(address, crashingPath, 'GET', { authorization: 'Token other' })).status, 200)
  }
  assert.equal(crashable.ended, endedBefore)
})

/** Guards against requests with equal paths that are taken for one since their bodies are not compared. */
test('a blocked request that must not run twice is refused as not run, and the same path with another body is served', async () => {
  const crashingLength = String('crash'.length)
  await using crashable = await startCrashableServers(serverCount, req => req.headers['content-length'] === crashingLength)
  await using fixture = await startFleet(1, crashable)
  const address = getEntryAddress(fixture, 0)
  await blockCrashingRequest(fixture, crashable, async () => await sendRequestTo(address, '/write/1', 'POST', {}, 'crash'))
  const endedBefore = crashable.ended
  const refused = await sendRequestTo(address, '/write/1', 'POST', {}, 'crash')
  assert.equal(refused.status, 503)
  assert.match(refused.body, /^not run/)
  assert.equal((await sendRequestTo(address, '/write/1', 'POST', {}, 'harmless')).status, 200)
  assert.equal(crashable.ended, endedBefore)
})

/** Servers that hold their requests while `isHeld` is set, so that a test can end the one that has a request. */
interface HoldableServers extends CrashableServers { isHeld: boolean }

async function startHoldableServers (): Promise<HoldableServers> {
  const holdable: HoldableServers = Object.assign(await startCrashableServers(serverCount, () => false), { isHeld: true })
  for (const { server, requests } of holdable.servers) {
    const [answer] = server.listeners('request') as Array<(...args: unknown[]) => void>
    server.removeAllListeners('request')
    server.on('request', (req: IncomingMessage, res: ServerResponse) => {
      if (holdable.isHeld) requests.push(req)
      else answer?.(req, res)
    })
  }
  return holdable
}

/** Sends a request and ends the server that got it. */
async function endServerUnder (holdable: HoldableServers, address: string, path: string): Promise<void> {
  holdable.isHeld = true
  const requestCounts = holdable.servers.map(({ requests }) => requests.length)
  const pending = sendRequestTo(address, path)
  let busy: TestServer | undefined
  await waitUntil(() => {
    busy = holdable.servers.find(({ requests }, index) => requests.length > (requestCounts[index] ?? 0))
    return busy !== undefined
  })
  endServer(busy as TestServer)
  assert.equal((await pending).status, 502)
  holdable.isHeld = false
}

/** Guards against a harmless request that is turned away since the servers that it ran at ended for another reason. */
test('a request whose servers ended for another reason is served again after one trial', async () => {
  await using holdable = await startHoldableServers()
  await using fixture = await startFleet(2, holdable)
  const address = getEntryAddress(fixture, 0)
  for (let index = 0; index < toleratedEnds; index++) await endServerUnder(holdable, address, '/read/1')
  await waitForRestrictions(fixture, 1)
  assert.equal((await sendRequestTo(address, '/read/1')).status, 200)
  await waitForRestrictions(fixture, 0)
  const answers = await Promise.all(Array.from({ length: 8 }, async (_, index) => (await sendRequestTo(getEntryAddress(fixture, index), '/read/1')).status))
  assert.deepEqual(answers, answers.map(() => 200))
})

/** Guards against a popular request that runs as a single trial since some of many servers ended under it. */
test('a request that is answered between the ends of its servers is never restricted', async () => {
  await using holdable = await startHoldableServers()
  await using fixture = await startFleet(1, holdable)
  const address = getEntryAddress(fixture, 0)
  for (let index = 0; index < 2 * toleratedEnds; index++) {
    await endServerUnder(holdable, address, '/read/1')
    await waitUntil(() => getControl(fixture, 0).host.machine.crashes.size === 1)
    assert.equal((await sendRequestTo(address, '/read/1')).status, 200)
    await waitUntil(() => getControl(fixture, 0).host.machine.crashes.size === 0)
    assert.deepEqual(listRestricted(fixture), [])
  }
})

/** Guards against requests that count as ending servers although only their connections were lost. */
test('a request whose connections are reset by running servers is never restricted', async () => {
  await using crashable = await startCrashableServers(serverCount, () => false)
  for (const { server } of crashable.servers) {
    server.removeAllListeners('request')
    server.on('request', req => req.socket.resetAndDestroy())
  }
  await using fixture = await startFleet(1, crashable)
  for (let sent = 0; sent < 4 * toleratedEnds; sent++) await sendRequestTo(getEntryAddress(fixture, 0), '/read/1')
  await delay(500)
  assert.deepEqual(listRestricted(fixture), [])
  assert.equal(getControl(fixture, 0).host.machine.crashes.size, 0)
})

/** Guards against a VM that sends a blocked request since it started after the block. */
test('a VM that starts refuses a blocked request from its first request on', async () => {
  await using crashable = await startCrashableServers(serverCount, req => req.url === crashingPath)
  await using fixture = await startFleet(2, crashable)
  await blockCrashingRequest(fixture, crashable, async () => await sendRequestTo(getEntryAddress(fixture, 0), crashingPath))
  const endedBefore = crashable.ended
  await fixture.daemons.pop()?.[Symbol.asyncDispose]()
  fixture.daemons.push(await startVm({ ...fixture.settings.at(-1) as FleetSettings, isFirstStart: false }))
  assert.equal((await sendRequestTo(getEntryAddress(fixture, 1), crashingPath)).status, 503)
  await waitUntil(() => hasServers(fixture.daemons.at(-1) as FleetDaemon, serverCount))
  assert.equal((await sendRequestTo(getEntryAddress(fixture, 1), '/read/other')).status, 200)
  assert.equal(crashable.ended, endedBefore)
})

test('an operator can release a blocked request', async () => {
  let isFixed = false
  await using crashable = await startCrashableServers(serverCount, req => req.url === crashingPath && !isFixed)
  await using fixture = await startFleet(1, crashable)
  await blockCrashingRequest(fixture, crashable, async () => await sendRequestTo(getEntryAddress(fixture, 0), crashingPath))
  isFixed = true
  const [item] = listRestricted(fixture)
  assert.equal((await submitCommand(fixture, { type: 'releaseRequest', request: (item as CrashingRequestItem).key })).ok, true)
  await waitForRestrictions(fixture, 0)
  assert.equal((await sendRequestTo(getEntryAddress(fixture, 0), crashingPath)).status, 200)
})
