/** A fleet's VMs on loopback: founding, changes, forwarding by route, and what must not run twice. */
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

test('seeds found the group; a change is in force at the entry VM; requests reach servers by route', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (req, res) => res.end(`${req.method} ${req.url}`))
  await publishRoutes(rig, [server], [createRouteToDesk('read'), createRouteToDesk('write', { isIdempotent: false })])
  assert.deepEqual([(await sendRequest(rig, '/read/1?x=2')).body, (await sendRequest(rig, '/write/1', 'POST')).body], ['GET /read/1?x=2', 'POST /write/1'])
  assert.equal((await sendRequest(rig, '/none/1')).status, 404)
  assert.equal(server.requests[0]?.headers['lynx-expect-server'], 's1')
  const read = await readRoutes(getControl(rig, 1))
  assert.deepEqual([read.routesVersion, read.set?.routes.length], [1, 2])
})

/** Guards against this failure: a VM that can't start stays alive with a port open, and its process never ends. */
test('a VM that finds one of its ports taken closes the others', async () => {
  await using rig = await startFleetFixture(0)
  const taken = rig.settings[0] as FleetSettings
  const [free] = await findFreePorts(1)
  const cfg: FleetSettings = { ...taken, name: 'late', roles: ['entry'], rpc: `127.0.0.1:${free}` }
  await assert.rejects(startVm(cfg), err => isLynxError(err, 'badSettings'))
  await using holder = createTcpServer().listen(free, '127.0.0.1')
  await once(holder, 'listening')
})

test('an evacuated failure domain and a server that leaves get nothing more; callers hear when to come back', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [server], [createRouteToDesk('read')])
  const domain = brandId<FailureDomainId>('kochi-a')
  await submitCommand(rig, { type: 'evacuate', failureDomain: domain, isActive: true })
  await waitUntil(async () => (await sendRequest(rig, '/read/1')).status === 503)
  const refused = await sendRequest(rig, '/read/1')
  assert.ok(Number(refused.headers['retry-after']) > 0)
  await waitUntil(async () => (await submitCommand(rig, { type: 'evacuate', failureDomain: domain, isActive: false })).ok)
  await waitUntil(async () => (await sendRequest(rig, '/read/1')).status === 200)
  await submitCommand(rig, { type: 'announce', facts: { ...server.facts, isDraining: true, seq: 2 } })
  await waitUntil(async () => (await sendRequest(rig, '/read/1')).status === 503)
})

/** Guards against this failure: a firm offer binds an owner twice. */
test('a request that must not repeat is not sent again after its connection was lost, and the caller is promised nothing', async () => {
  await using rig = await startFleetFixture(1)
  await using first = await startTestServer('s1', req => req.socket.destroy())
  await using second = await startTestServer('s2', req => req.socket.destroy())
  await publishRoutes(rig, [first, second], [createRouteToDesk('write', { isIdempotent: false, maxAttempts: 3 }), createRouteToDesk('read', { maxAttempts: 2 })])
  assert.equal((await sendRequest(rig, '/write/1', 'POST')).status, 502)
  assert.equal(first.requests.length + second.requests.length, 1)
  assert.equal((await sendRequest(rig, '/read/1')).status, 502)
  assert.equal(first.requests.length + second.requests.length, 3, 'a repeatable one goes to a second server')
})

test('a request that a server proves it did not run goes to another one, also when it must not repeat', async () => {
  await using rig = await startFleetFixture(1)
  await using full = await startTestServer('s1', (_req, res) => res.writeHead(503, { 'lynx-not-started': '1' }).end())
  await using free = await startTestServer('s2', (_req, res) => res.end('ran'))
  await publishRoutes(rig, [full, free], [createRouteToDesk('write', { isIdempotent: false })])
  for (let sent = 0; sent < 4; sent++) assert.equal((await sendRequest(rig, '/write/1', 'POST')).body, 'ran')
})

/** Guards against this failure: a caller gets half an answer that looks whole. */
test('an answer that breaks off on its way is never passed on as whole', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (req, res) => {
    res.writeHead(200, { 'content-length': '100' })
    res.write('half')
    setTimeout(() => req.socket.destroy(), 20)
  })
  await publishRoutes(rig, [server], [createRouteToDesk('write', { isIdempotent: false })])
  const got = await sendRequest(rig, '/write/1', 'POST')
  assert.deepEqual([got.status, got.body.includes('half')], [502, false])
})

/** Guards against this failure: a caller gets half an answer that looks whole. */
test('an answer without a length whose connection is reset is not passed on; one whose connection ends is', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (req, res) => {
    req.socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf')
    const isWhole = req.url === '/write/whole'
    if (req.url === '/write/at-once') req.socket.resetAndDestroy()
    else setTimeout(() => { if (isWhole) req.socket.end(); else req.socket.resetAndDestroy() }, 30)
    res.detachSocket(req.socket)
  })
  await publishRoutes(rig, [server], [createRouteToDesk('write', { isIdempotent: false })])
  const whole = await sendRequest(rig, '/write/whole', 'POST')
  assert.deepEqual([whole.status, whole.body], [200, 'half'])
  for (const path of ['/write/reset', '/write/at-once']) {
    const got = await sendRequest(rig, path, 'POST')
    assert.deepEqual([got.status, got.body.includes('half')], [502, false], path)
  }
})

test('a caller that closes its connection ends the work at the server', async () => {
  await using rig = await startFleetFixture(1)
  let closed = 0
  await using server = await startTestServer('s1', (_req, res) => { res.once('close', () => { closed += 1 }) })
  await publishRoutes(rig, [server], [createRouteToDesk('read')])
  const port = Number(rig.settings.at(-1)?.callers?.split(':')[1])
  const socket = connect(port, '127.0.0.1')
  socket.write('GET /read/1 HTTP/1.1\r\nHost: a.example\r\n\r\n')
  await waitUntil(() => server.requests.length === 1)
  socket.destroy()
  await waitUntil(() => closed === 1)
})

test('at the route\'s time-out the caller has its final answer', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', () => undefined)
  await publishRoutes(rig, [server], [createRouteToDesk('write', { isIdempotent: false, timeoutMs: 300 })])
  assert.equal((await sendRequest(rig, '/write/1', 'POST')).status, 504)
})

/** Guards against this failure: after a restart a VM sends work to a server that has left. */
test('a VM that starts serves only once a control VM vouches that its state is the present one', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [server], [createRouteToDesk('read')])
  const entry = rig.daemons.pop() as FleetDaemon
  await entry[Symbol.asyncDispose]()
  for (const place of [0, 1]) {
    await rig.daemons[place]?.[Symbol.asyncDispose]()
    rig.daemons[place] = undefined
  }
  const { staleMs } = rig.settings[3]?.times ?? { staleMs: 0 }
  await new Promise(resolve => setTimeout(resolve, staleMs + 500))
  const back = await startVm(rig.settings[3] as (typeof rig.settings)[number])
  rig.daemons.push(back)
  await new Promise(resolve => setTimeout(resolve, 1500))
  assert.equal(isFleetReady(back), false)
  assert.equal((await sendRequest(rig, '/read/1')).status, 503)
  rig.daemons[0] = await startVm({ ...rig.settings[0] as (typeof rig.settings)[number], isFirstStart: false })
  await waitUntil(() => isFleetReady(back))
  assert.equal((await sendRequest(rig, '/read/1')).status, 200)
})

test('a server that falls silent is noted by the leader and taken back by its next announcement', async () => {
  await using rig = await startFleetFixture(0)
  await submitCommand(rig, createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')]))
  await using server = await startTestServer('s1', (_req, res) => res.end())
  const id: ServerId = server.facts.id
  await submitCommand(rig, { type: 'announce', facts: server.facts })
  await waitUntil(() => findItem(getControl(rig, 1).host.machine.config, 'backend', id)?.state === 'lost')
  await submitCommand(rig, { type: 'announce', facts: { ...server.facts, seq: 2 } })
  await waitUntil(() => findItem(getControl(rig, 1).host.machine.config, 'backend', id)?.state === 'serving')
})

test('a VM that leaves is not ready, answers what it has, and says that it closes', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => setTimeout(() => res.end('whole'), 300))
  await publishRoutes(rig, [server], [createRouteToDesk('read')])
  const entry = rig.daemons.at(-1) as FleetDaemon
  const answer = sendRequest(rig, '/read/1')
  await waitUntil(() => server.requests.length === 1)
  const left = leaveFleet(entry)
  assert.equal(isFleetReady(entry), false)
  const got = await answer
  assert.deepEqual([got.body, got.headers.connection], ['whole', 'close'])
  await left
  await waitUntil(() => getControl(rig, 0).presence.entries.get('vm-3')?.presence.isReady !== true)
})

/** Guards against this failure: after a restart of all VMs nearly all requests are refused for seconds. */
test('a VM that starts anew trusts servers that do not say they are cold', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  const slowToWarm = createReplaceRoutesCommand('first', 0, 1, [createRouteToDesk('read')])
  if (slowToWarm.type === 'replaceRoutes') {
    const upstreams = slowToWarm.set.upstreams.map(upstream => ({ ...upstream, warmupMs: 60_000, warmupPerSecond: 1 }))
    await submitCommand(rig, { ...slowToWarm, set: { ...slowToWarm.set, upstreams } })
  }
  await submitCommand(rig, { type: 'announce', facts: server.facts })
  await waitUntil(async () => (await sendRequest(rig, '/read/1')).status === 200)
  for (let sent = 0; sent < 10; sent++) assert.equal((await sendRequest(rig, '/read/1')).status, 200)
})

/** Guards against this failure: entry VMs lose their control VM every second and go round all of them. */
test('a watch without news stays with its control VM', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [server], [createRouteToDesk('read')])
  const watching = (rig.daemons.at(-1) as FleetDaemon).watching
  await waitUntil(() => watching?.parent !== undefined)
  await new Promise(resolve => setTimeout(resolve, 2200))
  const { parent } = watching ?? {}
  await new Promise(resolve => setTimeout(resolve, 2500))
  assert.equal(watching?.parent, parent)
  const isAvoided = [...watching?.avoided.values() ?? []].some(until => until > getCurrentTime())
  assert.equal(isAvoided, false)
})

/** Guards against this failure: a caller gets a failure in place of an answer that was nearly there; at a VM that stops, a planned stop cuts a request. */
test('work under way is given up only where another server takes the request now', async () => {
  await using rig = await startFleetFixture(1)
  await using slow = await startTestServer('s1', (_req, res) => setTimeout(() => res.end('late'), 1300))
  await publishRoutes(rig, [slow], [createRouteToDesk('read', { timeoutMs: 3000 })])
  const alone = await sendRequest(rig, '/read/1')
  assert.deepEqual([alone.status, alone.body], [200, 'late'])
  assert.equal(slow.requests.length, 1)
})
