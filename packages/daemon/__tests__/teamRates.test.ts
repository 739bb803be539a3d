/** Rate limits of teams over several entry VMs. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay } from '@lynxcourse/daemon'
import type { FleetDaemon } from '@lynxcourse/daemon'
import type { Team } from '@lynxcourse/state'
import { createTeam, createTeamsUpdate } from '@lynxcourse/state/testing'
import { createRouteToDesk, hasServers, keepAnnouncing, publishRoutes, sendRequestTo, sendSteadily, startFleetFixture, startTestServer, submitCommand, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture, TestResponse, TestServer } from './support/fleetFixture.js'

const controlCount = 3
const windowMs = 5000
const overage = 0.1
const slack = 20
const ampleSlots = 300

interface RatesFixture extends AsyncDisposable {
  readonly fixture: FleetFixture
  readonly server: TestServer
}

async function startFleet (entryCount: number, teams: readonly Team[]): Promise<RatesFixture> {
  const started = await startTestServer('s1', (_req, res) => { res.end('ok') })
  // Only rates may refuse a request here, also if requests arrive all at once after a stall.
  const server: TestServer = { ...started, facts: { ...started.facts, slots: ampleSlots } }
  const fixture = await startFleetFixture(entryCount)
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  assert.ok((await submitCommand(fixture, createTeamsUpdate(1, teams))).ok)
  for (const daemon of fixture.daemons.slice(controlCount)) await waitUntil(() => hasServers(daemon as FleetDaemon, 1) && daemon?.gateway?.teams.isRequired === true)
  const announcing = keepAnnouncing(fixture, [server])
  return {
    fixture,
    server,
    [Symbol.asyncDispose]: async () => {
      announcing[Symbol.dispose]()
      await fixture[Symbol.asyncDispose]()
      await server[Symbol.asyncDispose]()
    }
  }
}

async function sendAs (fixture: FleetFixture, entry: number, key: string): Promise<TestResponse> {
  return await sendRequestTo(fixture.settings[controlCount + entry]?.callers ?? '', '/read/1', 'GET', { authorization: `Bearer ${key}` })
}

/** Sends requests through all entry VMs at a rate for some time; returns all responses. */
async function sendForMs (fixture: FleetFixture, key: string, perSecond: number, durationMs: number): Promise<TestResponse[]> {
  const entryCount = fixture.settings.length - controlCount
  return await sendSteadily(async index => await sendAs(fixture, index % entryCount, key), perSecond, durationMs)
}

function countStatus (responses: readonly TestResponse[], status: number): number {
  return responses.filter(response => response.status === status).length
}

/** Guards against a team that takes the room of all others, and against refusals that don't say when to come back. */
test('a team over its rate gets no more than its bound, and hears at once when to come back', async () => {
  await using fleet = await startFleet(2, [createTeam('a', ['k1'], { ratePerSecond: 30, burst: 10 }), createTeam('b', ['k2'])])
  const { fixture } = fleet
  const responses = await sendForMs(fixture, 'k1', 150, windowMs)
  const served = countStatus(responses, 200)
  const refused = responses.filter(({ status }) => status === 429)
  assert.equal(served + refused.length, responses.length)
  assert.ok(served <= (30 * windowMs / 1000 + 10) * (1 + overage) + slack, `${served} served`)
  assert.ok(served >= 30 * windowMs / 1000 * 0.8, `${served} served`)
  assert.ok(refused.every(({ headers, body }) => Number(headers['retry-after']) > 0 && /^not run/.test(body)))
  assert.equal((await sendAs(fixture, 0, 'k2')).status, 200, 'a team without a limit is served')
})

/** Guards against refusals below the limit where requests are few and reach changing VMs. */
test('a team below its rate is served at every VM', async () => {
  await using fleet = await startFleet(3, [createTeam('a', ['k1'], { ratePerSecond: 40, burst: 40 })])
  const { fixture } = fleet
  await delay(1000)
  const responses = await sendForMs(fixture, 'k1', 25, 4000)
  assert.equal(countStatus(responses, 200), responses.length)
})

/** Guards against a small limit that is used up by permits that VMs hold in reserve. */
test('a team with a small limit is served at changing VMs', async () => {
  await using fleet = await startFleet(3, [createTeam('a', ['k1'], { ratePerSecond: 2, burst: 2 })])
  const { fixture } = fleet
  await delay(2000)
  const responses = await sendForMs(fixture, 'k1', 1.5, 4000)
  assert.equal(countStatus(responses, 200), responses.length)
})

/** Guards against a limit that ends with the leader or with one control VM. */
test('a team is served below its rate while one control VM is gone, and not at all while none is in touch', async () => {
  await using fleet = await startFleet(1, [createTeam('a', ['k1'], { ratePerSecond: 40, burst: 40 }), createTeam('b', ['k2'])])
  const { fixture } = fleet
  await delay(1000)
  const [first, ...others] = fixture.daemons.splice(0, controlCount)
  await first?.[Symbol.asyncDispose]()
  const responses = await sendForMs(fixture, 'k1', 15, 2000)
  assert.ok(countStatus(responses, 200) >= responses.length - 1, `${countStatus(responses, 200)} of ${responses.length} served`)
  for (const daemon of others) await daemon?.[Symbol.asyncDispose]()
  await waitUntil(async () => (await sendAs(fixture, 0, 'k1')).status === 503)
  assert.ok(Number((await sendAs(fixture, 0, 'k1')).headers['retry-after']) > 0)
  assert.equal((await sendAs(fixture, 0, 'k2')).status, 200, 'a team without a limit is served by a VM that is cut off')
})

test('a lower rate binds soon after it was confirmed, and a lifted limit lets everything through', async () => {
  await using fleet = await startFleet(2, [createTeam('a', ['k1'], { ratePerSecond: 200, burst: 50 })])
  const { fixture } = fleet
  await delay(1000)
  assert.ok((await submitCommand(fixture, createTeamsUpdate(2, [createTeam('a', ['k1'], { ratePerSecond: 5, burst: 5 })]))).ok)
  await delay(2500 + windowMs)
  const served = countStatus(await sendForMs(fixture, 'k1', 60, windowMs), 200)
  assert.ok(served <= (5 * windowMs / 1000 + 5) * (1 + overage) + slack, `${served} served`)
  assert.ok((await submitCommand(fixture, createTeamsUpdate(3, [createTeam('a', ['k1'])]))).ok)
  await delay(1000)
  const responses = await sendForMs(fixture, 'k1', 60, 1000)
  assert.equal(countStatus(responses, 200), responses.length)
})

/** Guards against permits that are lost with requests that never ran. */
test('requests that find no free server use up no permits', async () => {
  await using fleet = await startFleet(1, [createTeam('a', ['k1'], { ratePerSecond: 20, burst: 20 })])
  const { fixture, server } = fleet
  server.server.removeAllListeners('request')
  server.server.on('request', (_req, res) => { res.writeHead(503, { 'lynx-not-started': 'true' }).end() })
  await sendForMs(fixture, 'k1', 100, 3000)
  server.server.removeAllListeners('request')
  server.server.on('request', (_req, res) => { res.end('ok') })
  await delay(600)
  const responses = await sendForMs(fixture, 'k1', 15, 2000)
  const overRate = countStatus(responses, 429)
  assert.equal(overRate, 0)
})
