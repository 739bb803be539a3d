/** Closes of callers' connections while the VM's event loop is not saturated. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { ServerResponse } from 'node:http'
import { test } from 'node:test'
import { buildRouteTable } from '@lynxcourse/routing'
import { sendRequest, publishRoutes, createRouteToDesk, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture } from './support/fleetFixture.js'
import { startTestBackend, startDaemonFixture as startServiceFixture } from './support/daemonFixture.js'

/** Longer than `until` waits, so that a request ends by the close and not by its deadline. */
const timeoutMs = 60_000
/** Requests that a server of a service runs at once. */
const slots = 3

type Gateway = NonNullable<NonNullable<FleetFixture['daemons'][number]>['gateway']>

function getGateway (fixture: FleetFixture): Gateway {
  return fixture.daemons.at(-1)?.gateway as Gateway
}

interface Caller extends Disposable {
  readonly socket: Socket
  readonly leave: () => Promise<void>
}

async function connectCaller (address: string): Promise<Caller> {
  const [host, port] = address.split(':')
  const socket = connect({ host: host ?? '', port: Number(port) })
  await once(socket, 'connect')
  const leave = async (): Promise<void> => {
    socket.destroy()
    await once(socket, 'close')
  }
  return { socket, leave, [Symbol.dispose]: () => { socket.destroy() } }
}

function buildGet (path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: a.example\r\n\r\n`
}

/** Returns the number of sends that have ended with status 200. */
async function countAnswers (fixture: FleetFixture): Promise<number> {
  const { values } = await getGateway(fixture).node.metrics.attempts.get()
  return values.find(({ labels }) => labels.end === '200')?.value ?? 0
}

/**
 * Guards against this failure: answers that are buffered behind a slow one stop the reading of the connection, and
 * servers continue to work for a caller that has disconnected.
 */
test('a close is noticed while large answers are buffered behind a slow one', async () => {
  await using fixture = await startFleetFixture(1)
  const answer = Buffer.alloc(40_000)
  await using server = await startTestServer('s1', (req, res) => { if (req.url === '/read/large') res.end(answer) })
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs })])
  using caller = await connectCaller(fixture.settings.at(-1)?.callers ?? '')
  caller.socket.write(buildGet('/read/slow') + buildGet('/read/large') + buildGet('/read/large'))
  await waitUntil(async () => await countAnswers(fixture) === 2)
  caller.socket.write(buildGet('/read/slow'))
  await waitUntil(() => server.requests.length === 4)
  await caller.leave()
  await waitUntil(() => getGateway(fixture).open === 0)
})

/**
 * Guards against this failure: the answers of one connection that are buffered behind a slow one exhaust the VM's
 * memory.
 */
test('no further request of a connection is started while many bytes of its answers are buffered', async () => {
  await using fixture = await startFleetFixture(1)
  const answer = Buffer.alloc(1_000_000)
  const slowResponses: ServerResponse[] = []
  await using server = await startTestServer('s1', (req, res) => {
    if (req.url === '/read/slow') slowResponses.push(res)
    else res.end(answer)
  })
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs })])
  using caller = await connectCaller(fixture.settings.at(-1)?.callers ?? '')
  const countLargeSends = (): number => server.requests.filter(({ url }) => url === '/read/large').length
  let size = 0
  caller.socket.on('data', (chunk: Buffer) => { size += chunk.length })
  caller.socket.write(buildGet('/read/slow') + buildGet('/read/large') + buildGet('/read/large'))
  await waitUntil(async () => await countAnswers(fixture) === 2)
  caller.socket.write(buildGet('/read/large'))
  await waitUntil(() => getGateway(fixture).open === 4)
  assert.equal((await sendRequest(fixture, '/read/other')).status, 200)
  assert.equal(countLargeSends(), 2)
  slowResponses[0]?.end()
  await waitUntil(() => countLargeSends() === 3 && size > 3 * answer.length)
})

function buildPost (path: string, bytes: number): string {
  return `POST ${path} HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${bytes}\r\n\r\n${'b'.repeat(bytes)}`
}

/** Waits for enough event loop iterations to read all data that has arrived. */
async function waitForPolls (): Promise<void> {
  for (let iteration = 0; iteration < 50; iteration++) await new Promise(resolve => setImmediate(resolve))
}

/** Removes the routes from a VM, as before its first state. Returns a function that restores them. */
function removeRoutes (gateway: Gateway): () => void {
  const { routeTable: table } = gateway
  gateway.routeTable = buildRouteTable([])
  return () => {
    gateway.routeTable = table
    for (const listener of [...gateway.node.onChange]) listener()
  }
}

/**
 * Guards against this failure: a body that is not consumed stops the reading of its connection, and a request is held
 * and started for a caller that has disconnected.
 */
test('a close is noticed while a request with a large body waits for the first state', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs })])
  const gateway = getGateway(fixture)
  using caller = await connectCaller(fixture.settings.at(-1)?.callers ?? '')
  const restoreRoutes = removeRoutes(gateway)
  caller.socket.write(buildPost('/read/left', 90_000))
  await waitUntil(() => gateway.waitingForState === 1)
  await waitForPolls()
  await caller.leave()
  await waitForPolls()
  const { waitingForState: waiting } = gateway
  restoreRoutes()
  await waitUntil(() => gateway.open === 0)
  assert.equal(waiting, 0)
  assert.equal(server.requests.length, 0)
})

/**
 * Guards against this failure: a body behind requests in progress stops the reading of their connection, and servers
 * continue to work for a caller that has disconnected.
 */
test('a close is noticed while a request with a large body waits for earlier requests', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', () => undefined)
  await publishRoutes(fixture, [{ ...server, facts: { ...server.facts, slots: 16 } }], [createRouteToDesk('read', { timeoutMs })])
  const gateway = getGateway(fixture)
  using caller = await connectCaller(fixture.settings.at(-1)?.callers ?? '')
  caller.socket.write(buildGet('/read/slow').repeat(8) + buildPost('/read/left', 90_000))
  await waitUntil(() => gateway.open === 9 && server.requests.length === 8)
  await caller.leave()
  await waitForPolls()
  assert.equal(gateway.open, 0)
  assert.equal(server.requests.length, 8)
})

/**
 * Guards against this failure: a VM without its first state refuses a body that exceeds the default limit, although the
 * state allows it.
 */
test('a request whose body only the first state allows is served once the VM has that state', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (req, res) => {
    req.resume()
    req.once('end', () => res.end('ok'))
  })
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs })])
  const gateway = getGateway(fixture)
  const { limits } = gateway
  using caller = await connectCaller(fixture.settings.at(-1)?.callers ?? '')
  const restoreRoutes = removeRoutes(gateway)
  gateway.limits = { ...limits, maxBodyBytes: 1000 }
  const answer = once(caller.socket, 'data')
  caller.socket.write(buildPost('/read/large', 90_000))
  await waitUntil(() => gateway.waitingForState === 1)
  await waitForPolls()
  gateway.limits = limits
  restoreRoutes()
  assert.match(String((await answer)[0]), /^HTTP\/1.1 200 /)
})

/**
 * Guards against this failure: only the first of a connection's requests to a service is cancelled by a close, and
 * servers continue or start to work for the others.
 */
test('a close cancels all pipelined requests to a service', async () => {
  await using fixture = await startServiceFixture({}, { deadlineMs: timeoutMs, maxDeadlineMs: timeoutMs })
  await using backend = await startTestBackend(fixture)
  const count = { started: 0, closed: 0 }
  backend.handler = (req, res) => {
    if (req.url !== '/left') {
      res.end('ok')
      return
    }
    count.started += 1
    req.socket.once('close', () => { count.closed += 1 })
  }
  await waitUntil(async () => await fetch(`${fixture.http}/s/offers/before`).then(res => res.ok))
  using caller = await connectCaller(fixture.http.replace('http://', ''))
  caller.socket.write(buildGet('/s/offers/left').repeat(6))
  await waitUntil(() => fixture.daemon.entry?.open === 6 && count.started === slots)
  await caller.leave()
  await waitUntil(() => fixture.daemon.entry?.open === 0 && count.closed === slots)
  assert.equal(count.started, slots)
})

/** Guards against this failure: many pipelined requests of one caller make Node warn of a leak of event listeners. */
test('many pipelined requests to a service cause no warning of a leak', async () => {
  await using fixture = await startServiceFixture({}, { deadlineMs: timeoutMs, maxDeadlineMs: timeoutMs })
  await using backend = await startTestBackend(fixture)
  backend.handler = (_req, res) => res.end('ok')
  const warnings: string[] = []
  const recordWarning = ({ name }: Error): void => { warnings.push(name) }
  process.on('warning', recordWarning)
  await waitUntil(async () => await fetch(`${fixture.http}/s/offers/before`).then(res => res.ok))
  using caller = await connectCaller(fixture.http.replace('http://', ''))
  let text = ''
  caller.socket.on('data', (chunk: Buffer) => { text += chunk.toString('latin1') })
  caller.socket.write(buildGet('/s/offers/x').repeat(16))
  await waitUntil(() => text.split('HTTP/1.1 200 ').length - 1 === 16)
  process.off('warning', recordWarning)
  assert.deepEqual(warnings, [])
})
