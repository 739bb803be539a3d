/** The number of connections that a VM has open to backend servers. */
import assert from 'node:assert/strict'
import type { ServerResponse } from 'node:http'
import { test } from 'node:test'
import { loadChart } from '@lynxcourse/base'
import { acquireConnection, createConnectionPool, hasRoom, releaseConnection, startLoopMonitor } from '@lynxcourse/daemon'
import type { FleetDaemon } from '@lynxcourse/daemon'
import { createRouteToDesk, keepAnnouncing, publishRoutes, sendRequest, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture, TestServer } from './support/fleetFixture.js'

const resources = { memoryMb: 200, descriptors: 400 }
const requestCount = 70
const routes = [
  createRouteToDesk('read', { timeoutMs: 5000, maxAttempts: 1 }),
  createRouteToDesk('write', { timeoutMs: 5000, maxAttempts: 1, isIdempotent: false })
]

interface Setup extends AsyncDisposable {
  readonly fixture: FleetFixture
  readonly server: TestServer
  /** Answers that the server holds back. */
  readonly waiting: ServerResponse[]
  isHolding: boolean
}

/** Starts a fleet whose VMs may have few descriptors, with one large server. */
async function startSetup (): Promise<Setup> {
  const fixture = await startFleetFixture(1, { fields: { resources } })
  const waiting: ServerResponse[] = []
  const model = await startTestServer('large', (_req, res) => {
    if (setup.isHolding) waiting.push(res)
    else res.end('ok')
  })
  const server = { ...model, facts: { ...model.facts, slots: 500 } }
  const setup: Setup = {
    fixture,
    server,
    waiting,
    isHolding: false,
    [Symbol.asyncDispose]: async () => {
      announcing[Symbol.dispose]()
      await fixture[Symbol.asyncDispose]()
      await model[Symbol.asyncDispose]()
    }
  }
  await publishRoutes(fixture, [server], routes)
  const announcing = keepAnnouncing(fixture, [server])
  return setup
}

function getMaxConnections ({ fixture }: Setup): number {
  return (fixture.daemons.at(-1) as FleetDaemon).gateway?.node.guard.limits.serverConnections ?? 0
}

async function countConnections ({ server }: TestServer): Promise<number> {
  return await new Promise<number>(resolve => server.getConnections((_err, count) => resolve(count)))
}

// Guards against a VM without descriptors, on which nobody is served, because requests wait at servers.
test('requests beyond the connections to servers are refused at once, and the others are served', async () => {
  await using setup = await startSetup()
  const { fixture, server, waiting } = setup
  const limit = getMaxConnections(setup)
  assert.ok(limit > 0 && limit < requestCount, `${limit} connections`)
  setup.isHolding = true
  let refusedCount = 0
  const responses = Array.from({ length: requestCount }, async () => {
    const response = await sendRequest(fixture, '/read/1')
    if (response.status === 503) refusedCount += 1
    return response
  })
  await waitUntil(() => waiting.length + refusedCount === requestCount)
  assert.ok(await countConnections(server) <= limit, `${waiting.length} requests wait at the server`)
  setup.isHolding = false
  for (const res of waiting) res.end('ok')
  for (const { status, headers } of await Promise.all(responses)) {
    assert.ok(status === 200 || (status === 503 && Number(headers['retry-after']) > 0), `${status}`)
  }
  assert.equal((await sendRequest(fixture, '/read/1')).status, 200)
})

// Guards against idle connections, of which each request that must not repeat leaves one, that take the descriptors of others.
test('the connection that is idle for longest makes room for another one', async () => {
  await using setup = await startSetup()
  const { fixture, server } = setup
  const limit = getMaxConnections(setup)
  for (let count = 0; count < limit * 2; count++) assert.equal((await sendRequest(fixture, '/write/1', 'POST')).status, 200)
  assert.ok(await countConnections(server) <= limit)
})

// Guards against a connection at work that is closed for a new one.
test('a pool whose connections are all at work has no room until one is released', async () => {
  await using loop = startLoopMonitor()
  await using pool = createConnectionPool({ staleMs: 1000, silentMs: Infinity }, loadChart('connection'), 1000, loop.polls, 2)
  const [first, second] = [acquireConnection(pool, '127.0.0.1:1', true, 1), acquireConnection(pool, '127.0.0.1:2', true, 2)]
  assert.equal(hasRoom(pool), false)
  releaseConnection(pool, first, 3)
  assert.equal(hasRoom(pool), true)
  acquireConnection(pool, '127.0.0.1:3', true, 4)
  assert.deepEqual([first.state.state, second.state.state, hasRoom(pool)], ['closed', 'busy', false])
})
