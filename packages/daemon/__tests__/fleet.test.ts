/** VMs of a fleet on loopback: founding of the group, changes, routing, retries and graceful stops. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { once } from 'node:events'
import { connect, createServer as createTcpServer } from 'node:net'
import type { FailureDomainId, ServerId } from '@lynxcourse/base'
import { brandId, isLynxError } from '@lynxcourse/base'
import { isFleetReady, leaveFleet, getCurrentTime, readRoutes } from '@lynxcourse/daemon'
import type { FleetDaemon, FleetSettings } from '@lynxcourse/daemon'
import { findItem } from '@lynxcourse/state'
import { sendRequest, getControl, publishRoutes, createReplaceRoutesCommand, createRouteToDesk, startFleetFixture, startTestServer, startVm, submitCommand, waitUntil } from './support/fleetFixture.js'
import { findFreePorts } from './support/freePorts.js'

test('the seeds found the group, the entry VM applies a change, and requests reach servers by route', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (req, res) => res.end(`${req.method} ${req.url}`))
  await publishRoutes(fixture, [server], [createRouteToDesk('read'), createRouteToDesk('write', { isIdempotent: false })])
  assert.deepEqual([(await sendRequest(fixture, '/read/1?x=2')).body, (await sendRequest(fixture, '/write/1', 'POST')).body], ['GET /read/1?x=2', 'POST /write/1'])
  assert.equal((await sendRequest(fixture, '/none/1')).status, 404)
  assert.equal(server.requests[0]?.headers['lynx-expect-server'], 's1')
  const read = await readRoutes(getControl(fixture, 1))
  assert.deepEqual([read.routesVersion, read.set?.routes.length], [1, 2])
})

/** Guards against a VM that fails to start but keeps a port open, so that its process never ends. */
test('a VM that can\'t listen on one of its ports closes the others', async () => {
  await using fixture = await startFleetFixture(0)
  const runningCfg = fixture.settings[0] as FleetSettings
  const [freePort] = await findFreePorts(1)
  const cfg: FleetSettings = { ...runningCfg, name: 'late', roles: ['entry'], rpc: `127.0.0.1:${freePort}` }
  await assert.rejects(startVm(cfg), err => isLynxError(err, 'badSettings'))
  await using portHolder = createTcpServer().listen(freePort, '127.0.0.1')
  await once(portHolder, 'listening')
})

test('an evacuated failure domain and a draining server get no requests, and callers receive a retry-after header', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  const domain = brandId<FailureDomainId>('kochi-a')
  await submitCommand(fixture, { type: 'evacuate', failureDomain: domain, isActive: true })
  await waitUntil(async () => (await sendRequest(fixture, '/read/1')).status === 503)
  const rejected = await sendRequest(fixture, '/read/1')
  assert.ok(Number(rejected.headers['retry-after']) > 0)
  await waitUntil(async () => (await submitCommand(fixture, { type: 'evacuate', failureDomain: domain, isActive: false })).ok)
  await waitUntil(async () => (await sendRequest(fixture, '/read/1')).status === 200)
  await submitCommand(fixture, { type: 'announce', facts: { ...server.facts, isDraining: true, seq: 2 } })
  await waitUntil(async () => (await sendRequest(fixture, '/read/1')).status === 503)
})

/** Guards against a non-idempotent request, such as a firm offer, that is executed twice. */
test('a non-idempotent request is not sent again after its connection was lost, and the caller gets a 502', async () => {
  await using fixture = await startFleetFixture(1)
  await using first = await startTestServer('s1', req => req.socket.destroy())
  await using second = await startTestServer('s2', req => req.socket.destroy())
  await publishRoutes(fixture, [first, second], [createRouteToDesk('write', { isIdempotent: false, maxAttempts: 3 }), createRouteToDesk('read', { maxAttempts: 2 })])
  assert.equal((await sendRequest(fixture, '/write/1', 'POST')).status, 502)
  assert.equal(first.requests.length + second.requests.length, 1)
  assert.equal((await sendRequest(fixture, '/read/1')).status, 502)
  assert.equal(first.requests.length + second.requests.length, 3, 'an idempotent request is sent to a second server')
})

test('a request that a server declares as not started is sent to another server, even if it is not idempotent', async () => {
  await using fixture = await startFleetFixture(1)
  await using full = await startTestServer('s1', (_req, res) => res.writeHead(503, { 'lynx-not-started': '1' }).end())
  await using free = await startTestServer('s2', (_req, res) => res.end('ran'))
  await publishRoutes(fixture, [full, free], [createRouteToDesk('write', { isIdempotent: false })])
  for (let sent = 0; sent < 4; sent++) assert.equal((await sendRequest(fixture, '/write/1', 'POST')).body, 'ran')
})

/** Guards against a truncated response that looks complete to the caller. */
test('a response that is truncated in transit is not forwarded as complete', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (req, res) => {
    res.writeHead(200, { 'content-length': '100' })
    res.write('half')
    setTimeout(() => req.socket.destroy(), 20)
  })
  await publishRoutes(fixture, [server], [createRouteToDesk('write', { isIdempotent: false })])
  const response = await sendRequest(fixture, '/write/1', 'POST')
  assert.deepEqual([response.status, response.body.includes('half')], [502, false])
})

/** Guards against a truncated response that looks complete to the caller. */
test('a response without a content length is forwarded if its connection ends, but not if it is reset', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (req, res) => {
    req.socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf')
    const isComplete = req.url === '/write/whole'
    if (req.url === '/write/at-once') req.socket.resetAndDestroy()
    else setTimeout(() => { if (isComplete) req.socket.end(); else req.socket.resetAndDestroy() }, 30)
    res.detachSocket(req.socket)
  })
  await publishRoutes(fixture, [server], [createRouteToDesk('write', { isIdempotent: false })])
  const complete = await sendRequest(fixture, '/write/whole', 'POST')
  assert.deepEqual([complete.status, complete.body], [200, 'half'])
  for (const path of ['/write/reset', '/write/at-once']) {
    const truncated = await sendRequest(fixture, path, 'POST')
    assert.deepEqual([truncated.status, truncated.body.includes('half')], [502, false], path)
  }
})

test('a request is aborted at the server when its caller closes the connection', async () => {
  await using fixture = await startFleetFixture(1)
  let closed = 0
  await using server = await startTestServer('s1', (_req, res) => { res.once('close', () => { closed += 1 }) })
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  const port = Number(fixture.settings.at(-1)?.callers?.split(':')[1])
  const socket = connect(port, '127.0.0.1')
  socket.write('GET /read/1 HTTP/1.1\r\nHost: a.example\r\n\r\n')
  await waitUntil(() => server.requests.length === 1)
  socket.destroy()
  await waitUntil(() => closed === 1)
})

test('the caller receives a 504 when the route\'s timeout has passed', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', () => undefined)
  await publishRoutes(fixture, [server], [createRouteToDesk('write', { isIdempotent: false, timeoutMs: 300 })])
  let sentBefore: number
  let status: number
  do {
    sentBefore = server.requests.length
    status = (await sendRequest(fixture, '/write/1', 'POST')).status
    // A VM that was blocked when the request arrived has no time left for it, and must not send it.
  } while (status === 503 && server.requests.length === sentBefore)
  assert.deepEqual([status, server.requests.length - sentBefore], [504, 1])
})

/** Guards against a restarted VM that sends requests to a server that has left. */
test('a restarted entry VM is ready only after a control VM confirms that its state is current', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  const entry = fixture.daemons.pop() as FleetDaemon
  await entry[Symbol.asyncDispose]()
  for (const index of [0, 1]) {
    await fixture.daemons[index]?.[Symbol.asyncDispose]()
    fixture.daemons[index] = undefined
  }
  const { staleMs } = fixture.settings[3]?.times ?? { staleMs: 0 }
  await new Promise(resolve => setTimeout(resolve, staleMs + 500))
  const restarted = await startVm(fixture.settings[3] as (typeof fixture.settings)[number])
  fixture.daemons.push(restarted)
  await new Promise(resolve => setTimeout(resolve, 1500))
  assert.equal(isFleetReady(restarted), false)
  assert.equal((await sendRequest(fixture, '/read/1')).status, 503)
  fixture.daemons[0] = await startVm({ ...fixture.settings[0] as (typeof fixture.settings)[number], isFirstStart: false })
  await waitUntil(() => isFleetReady(restarted))
  assert.equal((await sendRequest(fixture, '/read/1')).status, 200)
})

test('the leader marks a silent server as lost, and its next announcement restores it', async () => {
  await using fixture = await startFleetFixture(0)
  await submitCommand(fixture, createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')]))
  await using server = await startTestServer('s1', (_req, res) => res.end())
  const id: ServerId = server.facts.id
  await submitCommand(fixture, { type: 'announce', facts: server.facts })
  await waitUntil(() => findItem(getControl(fixture, 1).host.machine.config, 'backend', id)?.state === 'lost')
  await submitCommand(fixture, { type: 'announce', facts: { ...server.facts, seq: 2 } })
  await waitUntil(() => findItem(getControl(fixture, 1).host.machine.config, 'backend', id)?.state === 'serving')
})

test('a VM that stops is not ready, completes its requests and sends connection: close', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => setTimeout(() => res.end('complete'), 300))
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  const entry = fixture.daemons.at(-1) as FleetDaemon
  const pendingResponse = sendRequest(fixture, '/read/1')
  await waitUntil(() => server.requests.length === 1)
  const leaving = leaveFleet(entry)
  assert.equal(isFleetReady(entry), false)
  const response = await pendingResponse
  assert.deepEqual([response.body, response.headers.connection], ['complete', 'close'])
  await leaving
  await waitUntil(() => getControl(fixture, 0).presence.entries.get('vm-3')?.presence.isReady !== true)
})

/** Guards against the rejection of nearly all requests for seconds after a restart of all VMs. */
test('a restarted entry VM treats servers that do not announce a cold time as warm', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  const order = createReplaceRoutesCommand('first', 0, 1, [createRouteToDesk('read')])
  if (order.type === 'replaceRoutes') {
    const upstreams = order.set.upstreams.map(upstream => ({ ...upstream, warmupMs: 60_000, warmupPerSecond: 1 }))
    await submitCommand(fixture, { ...order, set: { ...order.set, upstreams } })
  }
  await submitCommand(fixture, { type: 'announce', facts: server.facts })
  await waitUntil(async () => (await sendRequest(fixture, '/read/1')).status === 200)
  for (let sent = 0; sent < 10; sent++) assert.equal((await sendRequest(fixture, '/read/1')).status, 200)
})

/** Guards against entry VMs whose watch fails every second, so that they try all control VMs in turn. */
test('a watch without changes stays with its control VM', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  const stateWatch = (fixture.daemons.at(-1) as FleetDaemon).stateWatch
  await waitUntil(() => stateWatch?.currentControl !== undefined)
  await new Promise(resolve => setTimeout(resolve, 2200))
  const { currentControl } = stateWatch ?? {}
  await new Promise(resolve => setTimeout(resolve, 2500))
  assert.equal(stateWatch?.currentControl, currentControl)
  const isAvoided = [...stateWatch?.avoidedUntil.values() ?? []].some(avoidedUntil => avoidedUntil > getCurrentTime())
  assert.equal(isAvoided, false)
})

/** Guards against a failure in place of a late response, and against a graceful stop that aborts a request. */
test('a request in flight is abandoned only if another server can take it immediately', async () => {
  await using fixture = await startFleetFixture(1)
  await using slow = await startTestServer('s1', (_req, res) => setTimeout(() => res.end('late'), 1300))
  await publishRoutes(fixture, [slow], [createRouteToDesk('read', { timeoutMs: 3000 })])
  const response = await sendRequest(fixture, '/read/1')
  assert.deepEqual([response.status, response.body], [200, 'late'])
  assert.equal(slow.requests.length, 1)
})
