/** Keys of teams at an entry VM: who is served, what servers see, and when a change of keys takes effect. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { RegionId, ServiceId } from '@lynxcourse/base'
import { delay } from '@lynxcourse/daemon'
import type { FleetDaemon, FleetSettings } from '@lynxcourse/daemon'
import type { Route, Team } from '@lynxcourse/state'
import { createTeam, createTeamsUpdate } from '@lynxcourse/state/testing'
import { createReplaceRoutesCommand, createRouteToDesk, hasServers, keepAnnouncing, publishRoutes, sendRequest, startFleetFixture, startTestServer, startVm, submitCommand, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture, TestServer } from './support/fleetFixture.js'

/** Time after its confirmation within which a change takes effect at every VM. */
const applyMs = 2500
const kochi = brandId<RegionId>('kochi')
const chennai = brandId<RegionId>('chennai')

const routes: readonly Route[] = [
  createRouteToDesk('read'),
  createRouteToDesk('write', { isIdempotent: false }),
  createRouteToDesk('open', { isPublic: true }),
  createRouteToDesk('kochi', { homes: [kochi] })
]

interface TeamsFixture extends AsyncDisposable {
  readonly fixture: FleetFixture
  readonly server: TestServer
}

/** Starts a fleet with one entry VM and one server, and publishes routes and teams. */
async function startFleet (teams: readonly Team[] | undefined): Promise<TeamsFixture> {
  const server = await startTestServer('s1', (_req, res) => { res.end('ok') })
  const fixture = await startFleetFixture(1)
  await publishRoutes(fixture, [server], routes)
  if (teams !== undefined) {
    assert.ok((await submitCommand(fixture, createTeamsUpdate(1, teams))).ok)
    await waitUntil(() => getEntry(fixture).gateway?.teams.isRequired === true)
  }
  return {
    fixture,
    server,
    [Symbol.asyncDispose]: async () => {
      await fixture[Symbol.asyncDispose]()
      await server[Symbol.asyncDispose]()
    }
  }
}

function getEntry (fixture: FleetFixture): FleetDaemon {
  return fixture.daemons.at(-1) as FleetDaemon
}

async function getStatus (fixture: FleetFixture, path: string, headers: Record<string, string>): Promise<number> {
  return (await sendRequest(fixture, path, 'GET', headers)).status
}

/** Guards against keys that reach servers, and against callers that name another team. */
test('servers get the team of the key and never the key, on every route', async () => {
  await using fleet = await startFleet([createTeam('a', ['k1']), createTeam('b', ['k2'])])
  const { fixture, server } = fleet
  const forged = { 'LYNX-Team': 'b', authorization: 'Bearer k1' }
  assert.equal(await getStatus(fixture, '/read/1', forged), 200)
  assert.equal((await sendRequest(fixture, '/write/1', 'POST', forged)).status, 200)
  assert.equal(await getStatus(fixture, '/open/1', forged), 200)
  assert.deepEqual(server.requests.map(({ headers }) => headers['lynx-team']), ['a', 'a', 'a'])
  assert.equal(await getStatus(fixture, '/open/2', { 'lynx-team': 'b' }), 200)
  assert.equal(await getStatus(fixture, '/open/3', { 'lynx-team': 'b', authorization: 'Bearer unknown' }), 200)
  assert.deepEqual(server.requests.slice(3).map(({ headers }) => headers['lynx-team']), [undefined, undefined])
  assert.ok(server.requests.every(({ headers }) => headers.authorization === undefined))
})

/** Guards against requests without a known key that reach servers. */
test('a request without a known key is rejected with 401 and reaches no server', async () => {
  await using fleet = await startFleet([createTeam('a', ['k1'])])
  const { fixture, server } = fleet
  const credentials = ['Bearer k2', 'bearer', 'Token k1', 'Bearer k1 k1', '', `Bearer ${'x'.repeat(5000)}`, 'Bearer k\u00fc']
  for (const authorization of credentials) assert.equal(await getStatus(fixture, '/read/1', { authorization }), 401, authorization)
  const rejected = await sendRequest(fixture, '/read/1')
  assert.deepEqual([rejected.status, rejected.headers['www-authenticate'], rejected.headers.connection], [401, 'Bearer', 'keep-alive'])
  assert.equal(server.requests.length, 0)
  assert.equal(await getStatus(fixture, '/read/1', { authorization: 'bEARER  k1' }), 200, 'the scheme is compared without case')
  assert.equal(await getStatus(fixture, '/none/1', {}), 404)
})

/** Guards against a second header that one reader takes and the other does not. */
test('a request with two Authorization headers is rejected', async () => {
  await using fleet = await startFleet([createTeam('a', ['k1'])])
  const { fixture, server } = fleet
  const [host, port] = (fixture.settings.at(-1)?.callers ?? '').split(':')
  const socket = connect(Number(port), host)
  socket.write('GET /read/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\nAuthorization: Bearer k1\r\n\r\n')
  const [head] = await new Promise<Buffer[]>(resolve => socket.once('data', (chunk: Buffer) => resolve([chunk])))
  socket.destroy()
  assert.match(String(head), /^HTTP\/1.1 401 /)
  assert.equal(server.requests.length, 0)
})

test('without teams in the configuration, credentials are passed on', async () => {
  await using fleet = await startFleet(undefined)
  const { fixture, server } = fleet
  assert.equal(await getStatus(fixture, '/read/1', { authorization: 'Bearer k1' }), 200)
  assert.equal(await getStatus(fixture, '/read/1', {}), 200)
  assert.deepEqual(server.requests.map(({ headers }) => headers.authorization), ['Bearer k1', undefined])
})

test('a key that was taken away or added takes effect at the entry VM', async () => {
  await using fleet = await startFleet([createTeam('a', ['k1', 'k2'])])
  const { fixture } = fleet
  assert.ok((await submitCommand(fixture, createTeamsUpdate(2, [createTeam('a', ['k2', 'k3'])]))).ok)
  await waitUntil(async () => await getStatus(fixture, '/read/1', { authorization: 'Bearer k3' }) === 200)
  assert.equal(await getStatus(fixture, '/read/1', { authorization: 'Bearer k1' }), 401)
  assert.equal(await getStatus(fixture, '/read/1', { authorization: 'Bearer k2' }), 200)
})

/** Guards against a request that is sent for a caller whose key was taken away while it waited for capacity. */
test('a waiting request is not sent after its key was taken away', async () => {
  const held: Array<() => void> = []
  await using server = await startTestServer('s1', (_req, res) => { held.push(() => res.end('ok')) })
  await using fixture = await startFleetFixture(1)
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 20_000, aimMs: 10_000, maxAttempts: 1 })])
  assert.ok((await submitCommand(fixture, createTeamsUpdate(1, [createTeam('a', ['k1']), createTeam('b', ['k2'])]))).ok)
  await waitUntil(() => getEntry(fixture).gateway?.teams.isRequired === true)
  const { gateway } = getEntry(fixture)
  const sendAs = async (key: string): Promise<number> => await getStatus(fixture, '/read/1', { authorization: `Bearer ${key}` })
  const running: Array<Promise<number>> = []
  const isWaiting = (): boolean => (gateway?.waitingForCapacity.get(brandId<ServiceId>('desk')) ?? 0) > 0
  while (!isWaiting()) {
    running.push(sendAs('k2'))
    await waitUntil(() => isWaiting() || held.length === running.length)
  }
  const waiting = sendAs('k1')
  await waitUntil(() => (gateway?.waitingForCapacity.get(brandId<ServiceId>('desk')) ?? 0) > 1)
  const sent = server.requests.length
  assert.ok((await submitCommand(fixture, createTeamsUpdate(2, [createTeam('a', [])]))).ok)
  assert.equal(await waiting, 401)
  assert.ok(server.requests.slice(sent).every(({ headers }) => headers['lynx-team'] !== 'a'))
  const release = setInterval(() => { for (const answer of held.splice(0)) answer() }, 10)
  await Promise.all(running)
  clearInterval(release)
})

/** Guards against a final rejection of requests on their way while their team gets another name and keeps its key. */
test('a waiting request whose key was given to another team is refused as not run, and served when it comes again', async () => {
  const held: Array<() => void> = []
  await using server = await startTestServer('s1', (_req, res) => { held.push(() => res.end('ok')) })
  await using fixture = await startFleetFixture(1)
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 20_000, aimMs: 10_000, maxAttempts: 1 })])
  assert.ok((await submitCommand(fixture, createTeamsUpdate(1, [createTeam('a', ['k1']), createTeam('b', ['k2'])]))).ok)
  await waitUntil(() => getEntry(fixture).gateway?.teams.isRequired === true)
  const countWaiting = (): number => getEntry(fixture).gateway?.waitingForCapacity.get(brandId<ServiceId>('desk')) ?? 0
  const running: Array<Promise<number>> = []
  while (countWaiting() === 0) {
    running.push(getStatus(fixture, '/read/1', { authorization: 'Bearer k2' }))
    await waitUntil(() => countWaiting() > 0 || held.length === running.length)
  }
  const waiting = sendRequest(fixture, '/read/1', 'GET', { authorization: 'Bearer k1' })
  await waitUntil(() => countWaiting() > 1)
  assert.ok((await submitCommand(fixture, createTeamsUpdate(2, [createTeam('a', []), createTeam('c', ['k1'])]))).ok)
  const { status, headers } = await waiting
  assert.deepEqual([status, headers['retry-after']], [503, '0.020'])
  const release = setInterval(() => { for (const answer of held.splice(0)) answer() }, 10)
  await waitUntil(async () => await getStatus(fixture, '/read/1', { authorization: 'Bearer k1' }) === 200)
  await Promise.all(running)
  clearInterval(release)
  const teams = new Set(server.requests.map(req => req.headers['lynx-team']))
  assert.deepEqual([...teams].sort(), ['b', 'c'])
})

/** Guards against a caller that is told that its key is unknown by a VM that can't know it yet. */
test('a VM whose state is not confirmed refuses unknown keys as not run, and serves known ones', async () => {
  await using fleet = await startFleet([createTeam('a', ['k1'])])
  const { fixture } = fleet
  for (const daemon of fixture.daemons.splice(0, 3)) await daemon?.[Symbol.asyncDispose]()
  await waitUntil(async () => await getStatus(fixture, '/read/1', { authorization: 'Bearer k2' }) === 503)
  const refused = await sendRequest(fixture, '/read/1', 'GET', { authorization: 'Bearer k2' })
  assert.ok(Number(refused.headers['retry-after']) > 0)
  assert.equal(await getStatus(fixture, '/read/1', { authorization: 'Bearer k1' }), 200)
  assert.equal(await getStatus(fixture, '/read/1', {}), 401, 'no key is known, whatever the state')
})

/** Guards against a team that is served in a region that it must not use. */
test('a team without a region in common with the route is refused at once, and others are served', async () => {
  await using fleet = await startFleet([createTeam('a', ['k1'], { homes: [chennai] }), createTeam('b', ['k2'], { homes: [kochi] })])
  const { fixture, server } = fleet
  assert.equal(await getStatus(fixture, '/kochi/1', { authorization: 'Bearer k1' }), 503)
  assert.equal(await getStatus(fixture, '/read/1', { authorization: 'Bearer k1' }), 503)
  assert.equal(server.requests.length, 0)
  assert.equal(await getStatus(fixture, '/kochi/1', { authorization: 'Bearer k2' }), 200)
})

/** Guards against a VM that lets callers in by an old state when it starts. */
test('an entry VM that starts accepts no key that was taken away while it was down', async () => {
  await using fleet = await startFleet([createTeam('a', ['k1', 'k2'])])
  const { fixture } = fleet
  await fixture.daemons.pop()?.[Symbol.asyncDispose]()
  assert.ok((await submitCommand(fixture, createTeamsUpdate(2, [createTeam('a', ['k2'])]))).ok)
  await delay(applyMs)
  fixture.daemons.push(await startVm({ ...fixture.settings.at(-1) as FleetSettings, isFirstStart: false }))
  const statuses = await Promise.all([1, 2, 3, 4].map(async () => await getStatus(fixture, '/read/1', { authorization: 'Bearer k1' })))
  assert.ok(statuses.every(status => status === 401 || status === 503), statuses.join())
  await waitUntil(() => hasServers(getEntry(fixture), 1))
  assert.equal(await getStatus(fixture, '/read/1', { authorization: 'Bearer k1' }), 401)
  assert.equal(await getStatus(fixture, '/read/1', { authorization: 'Bearer k2' }), 200)
})

test('after a configuration without teams, callers need no key', async () => {
  await using fleet = await startFleet([createTeam('a', ['k1'])])
  const { fixture } = fleet
  assert.ok((await submitCommand(fixture, createReplaceRoutesCommand('second', 2, 3, routes))).ok)
  await waitUntil(async () => await getStatus(fixture, '/read/1', {}) === 200)
})

/** Guards against this failure: while servers start or are replaced, each change of a server costs each VM new tables of all routes and teams. */
test('a change of a server leaves the tables of routes and teams as they are; a change of a team replaces them', async () => {
  await using fleet = await startFleet([createTeam('a', ['k1'])])
  const { fixture, server } = fleet
  const entry = getEntry(fixture)
  const before = { ...entry.gateway }
  await using second = await startTestServer('s2', (_req, res) => { res.end('ok') })
  using announcing = keepAnnouncing(fixture, [server, second])
  assert.ok(announcing !== undefined)
  await waitUntil(() => hasServers(entry, 2))
  assert.equal(entry.gateway?.routeTable, before.routeTable)
  assert.equal(entry.gateway?.teams, before.teams)
  assert.ok((await submitCommand(fixture, createTeamsUpdate(2, [createTeam('b', ['k2'])]))).ok)
  await waitUntil(() => entry.gateway?.teams !== before.teams)
  assert.equal(await getStatus(fixture, '/read/1', { authorization: 'Bearer k2' }), 200)
})
