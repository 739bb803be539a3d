/** Requests whose callers closed their connections while the VM's event loop was blocked. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Histogram } from 'prom-client'
import { DefaultServerDialect } from '@lynxcourse/daemon'
import type { Metrics } from '@lynxcourse/daemon'
import { getConcurrency } from '@lynxcourse/placement'
import { sendRequest, desk, publishRoutes, createRouteToDesk, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'
import type { TestServer, FleetFixture } from './support/fleetFixture.js'
import { startTestBackend, startDaemonFixture as startServiceFixture } from './support/daemonFixture.js'
import type { TestBackend, DaemonFixture } from './support/daemonFixture.js'
import { connectWorkerCaller, formatPostRequest } from './support/workerCaller.js'
import type { WorkerCaller } from './support/workerCaller.js'

const timeoutMs = 20_000
const blockedMs = 300
const path = '/read/left'
const largeBytes = 400_000

type Gateway = NonNullable<NonNullable<FleetFixture['daemons'][number]>['gateway']>

function getGateway (fixture: FleetFixture): Gateway {
  return fixture.daemons.at(-1)?.gateway as Gateway
}

async function connectCaller (fixture: FleetFixture, isOld: boolean): Promise<WorkerCaller> {
  return await connectWorkerCaller(fixture.settings.at(-1)?.callers ?? '', path, isOld)
}

/** Returns the number of observations in a histogram, over all labels. */
async function getCount (histogram: Histogram<string>): Promise<number> {
  const { values } = await histogram.get()
  return values.filter(({ metricName }) => metricName?.endsWith('_count') === true).reduce((sum, { value }) => sum + value, 0)
}

/**
 * Waits for the point in an event loop iteration after which timers run next, and sockets are read after the timers.
 */
async function waitForTimersPhase (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

/**
 * Makes a caller send a request and disconnect while the VM is blocked, and waits until the VM has finished the
 * request.
 */
async function sendAndDisconnect (fixture: FleetFixture, caller: WorkerCaller): Promise<void> {
  const gateway = getGateway(fixture)
  const { unreadSeconds } = gateway.node.metrics
  const before = await getCount(unreadSeconds)
  caller.sendAndDisconnectWhileBlocked(blockedMs)
  await waitUntil(async () => await getCount(unreadSeconds) > before && gateway.open === 0)
}

/**
 * Returns, once no request is in progress, the number of the caller's requests that reached a server, without the
 * `answered` ones.
 */
async function countSends (fixture: FleetFixture, server: TestServer, answered: number): Promise<number> {
  await waitUntil(() => getGateway(fixture).open === 0)
  assert.equal((await sendRequest(fixture, '/read/after')).status, 200)
  return server.requests.filter(({ url }) => url === path).length - answered
}

for (const isOld of [true, false]) {
  /** Guards against this failure: servers run requests whose callers disconnected while the VM was busy. */
  test(`a request whose caller disconnected before the request was read reaches no server, on ${isOld ? 'an old' : 'a new'} connection`, async () => {
    await using fixture = await startFleetFixture(1)
    await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
    await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs })])
    assert.equal((await sendRequest(fixture, '/read/before')).status, 200)
    await using caller = await connectCaller(fixture, isOld)
    await sendAndDisconnect(fixture, caller)
    assert.equal(await countSends(fixture, server, isOld ? 1 : 0), 0)
  })
}

/**
 * Guards against this failure: a body is read over several event loop iterations, and a poll that began when the head
 * was read misses the close after the body.
 */
test('a request with a large body whose caller disconnected before the request was read reaches no server', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs })])
  const gateway = getGateway(fixture)
  gateway.limits = { ...gateway.limits, maxBodyBytes: 2 * largeBytes }
  assert.equal((await sendRequest(fixture, '/read/before')).status, 200)
  await using caller = await connectWorkerCaller(fixture.settings.at(-1)?.callers ?? '', path, false, formatPostRequest(path, 'x'.repeat(largeBytes)))
  await sendAndDisconnect(fixture, caller)
  assert.equal(await countSends(fixture, server, 0), 0)
})

/**
 * Guards against this failure: metrics don't distinguish a close that was pending when its request was sent from a
 * later one.
 */
test('the read delay of a close that arrives while the VM is blocked is recorded', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs })])
  const { closeUnreadSeconds } = getGateway(fixture).node.metrics
  for (const isOld of [true, false]) {
    closeUnreadSeconds.reset()
    await using caller = await connectCaller(fixture, isOld)
    await sendAndDisconnect(fixture, caller)
    const { values } = await closeUnreadSeconds.get()
    const sum = values.find(({ metricName }) => metricName === 'lynxcourse_close_unread_seconds_sum')?.value ?? 0
    assert.ok(sum >= blockedMs / 1000, `${sum} s`)
  }
})

/**
 * Guards against this failure: the timer of a wait runs before sockets are read, and the VM sends a request whose
 * caller has disconnected.
 */
test('a request that waits for capacity is not sent once its caller has disconnected', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs })])
  await using caller = await connectCaller(fixture, true)
  const gateway = getGateway(fixture)
  const concurrency = getConcurrency(gateway.fleet, desk)
  concurrency.underWay += concurrency.limit
  caller.send()
  await waitUntil(() => gateway.waitingForCapacity.get(desk) === 1)
  await waitForTimersPhase()
  concurrency.underWay -= concurrency.limit
  caller.disconnectWhileBlocked(blockedMs)
  assert.equal(await countSends(fixture, server, 1), 0)
})

/** Calls `onSend` once the connection of a send has begun to open, before the event loop reads sockets again. */
class HookedDialect extends DefaultServerDialect {
  constructor (private readonly onSend: () => void) { super() }

  override buildRequestHeaders (...args: Parameters<DefaultServerDialect['buildRequestHeaders']>): ReturnType<DefaultServerDialect['buildRequestHeaders']> {
    // `connect` to an IP address starts in the next tick.
    process.nextTick(() => process.nextTick(this.onSend))
    return super.buildRequestHeaders(...args)
  }
}

/**
 * Guards against this failure: a connection to a server opens in the event loop iteration in which the caller's close
 * is read, and the request is written to it.
 */
test('a request is not written to a connection that opens once its caller has disconnected', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs })])
  const gateway = getGateway(fixture)
  await using caller = await connectCaller(fixture, false)
  const disconnected = new Promise<void>(resolve => {
    const hooked = new HookedDialect(() => {
      Object.assign(gateway, { servers: new DefaultServerDialect() })
      caller.disconnectWhileBlocked(blockedMs)
      resolve()
    })
    Object.assign(gateway, { servers: hooked })
  })
  caller.send()
  await disconnected
  assert.equal(await countSends(fixture, server, 0), 0)
})

/** A socket that becomes readable on `trigger`, and is read before sockets that become readable later. */
interface SocketTrigger extends AsyncDisposable {
  readonly trigger: () => void
  readonly triggered: Promise<unknown>
}

async function startSocketTrigger (): Promise<SocketTrigger> {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const far = connect((server.address() as AddressInfo).port, '127.0.0.1')
  const [near] = await once(server, 'connection') as [Socket]
  await once(far, 'connect')
  return {
    trigger: () => far.write('trigger'),
    triggered: once(near, 'data'),
    [Symbol.asyncDispose]: async () => {
      far.destroy()
      near.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

/**
 * Opens a connection to a server, then makes the caller disconnect, both while the event loop is blocked. Returns the
 * number of sends; undefined if the VM noticed the open connection before the loop was blocked.
 */
async function countSendsWhileBlocked (): Promise<number | undefined> {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await using socketTrigger = await startSocketTrigger()
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs })])
  const gateway = getGateway(fixture)
  await using caller = await connectCaller(fixture, false)
  let hasTriggered = false
  let isConclusive = false
  gateway.pool.onConnect = () => { isConclusive = hasTriggered }
  const hooked = new HookedDialect(() => {
    Object.assign(gateway, { servers: new DefaultServerDialect() })
    socketTrigger.trigger()
  })
  Object.assign(gateway, { servers: hooked })
  caller.send()
  await socketTrigger.triggered.then(() => {
    hasTriggered = true
    caller.disconnectWhileBlocked(blockedMs)
  })
  const sends = await countSends(fixture, server, 0)
  return isConclusive ? sends : undefined
}

/** The operating system doesn't guarantee the order in which two sockets become ready. */
const maxTries = 10

/**
 * Guards against this failure: a connection opens while the event loop is blocked, is handled before the caller's close
 * of the same time, and the request is written to it.
 */
test('a request is not written to a connection that opened before its caller disconnected, both while the event loop was blocked', async () => {
  let sends: number | undefined
  for (let tries = 0; tries < maxTries && sends === undefined; tries++) sends = await countSendsWhileBlocked()
  assert.equal(sends, 0)
})

/**
 * Guards against this failure: a server's refusal is read before the caller's close, and the request is sent to the
 * next server.
 */
test('a request that a server refused is not sent to another server once its caller has disconnected', async () => {
  await using fixture = await startFleetFixture(1)
  await using caller = await connectCaller(fixture, false)
  const refuseOnce = (req: IncomingMessage, res: ServerResponse): void => {
    const isFirst = req.url === path && first.requests.concat(second.requests).filter(({ url }) => url === path).length === 1
    if (isFirst) res.writeHead(503, { 'lynx-not-started': 'true' })
    res.end('ok')
    if (isFirst) caller.disconnectWhileBlocked(blockedMs)
  }
  await using first = await startTestServer('s1', refuseOnce)
  await using second = await startTestServer('s2', refuseOnce)
  await publishRoutes(fixture, [first, second], [createRouteToDesk('read', { timeoutMs })])
  // Both servers get an idle connection, to which a second send would be written at once.
  await waitUntil(async () => {
    await Promise.all(Array.from({ length: 4 }, async () => await sendRequest(fixture, '/read/before')))
    return getGateway(fixture).pool.byAddress.size === 2
  })
  caller.send()
  await waitUntil(() => first.requests.concat(second.requests).some(({ url }) => url === path))
  assert.equal(await countSends(fixture, first, 0) + await countSends(fixture, second, 0), 1)
})

const servicePath = '/s/offers/left'

async function connectServiceCaller (fixture: DaemonFixture, isOld: boolean): Promise<WorkerCaller> {
  return await connectWorkerCaller(fixture.http.replace('http://', ''), servicePath, isOld)
}

/** Counts the caller's requests that reach a server. */
function countCallerRequests (backend: TestBackend): { runs: number } {
  const count = { runs: 0 }
  backend.handler = (req, res) => {
    if (req.url === '/left') count.runs += 1
    res.end('ok')
  }
  return count
}

async function waitUntilServing (fixture: DaemonFixture): Promise<void> {
  await waitUntil(() => fixture.daemon.entry?.open === 0)
  const res = await fetch(`${fixture.http}/s/offers/after`)
  assert.equal(res.status, 200)
}

for (const isOld of [true, false]) {
  /**
   * Guards against this failure: servers of a service run requests whose callers disconnected while the VM was busy.
   */
  test(`a request to a service whose caller disconnected before the request was read reaches no server, on ${isOld ? 'an old' : 'a new'} connection`, async () => {
    await using fixture = await startServiceFixture({}, { deadlineMs: timeoutMs })
    await using backend = await startTestBackend(fixture)
    const count = countCallerRequests(backend)
    await waitUntilServing(fixture)
    await using caller = await connectServiceCaller(fixture, isOld)
    const before = count.runs
    const { requestSeconds } = fixture.daemon.entry?.node.metrics as Metrics
    const served = await getCount(requestSeconds)
    caller.sendAndDisconnectWhileBlocked(blockedMs)
    await waitUntil(async () => await getCount(requestSeconds) > served)
    await waitUntilServing(fixture)
    assert.equal(count.runs, before)
  })
}

/**
 * Guards against this failure: a server's retry time ends, and a waiting request is sent although its caller has
 * disconnected.
 */
test('a request to a service that waits for a slot is not sent once its caller has disconnected', async () => {
  await using fixture = await startServiceFixture({}, { deadlineMs: timeoutMs })
  await using backend = await startTestBackend(fixture)
  const paths: string[] = []
  backend.handler = (req, res) => {
    if (req.url === '/left' && !paths.includes('/left')) res.writeHead(503, { 'lynx-not-started': 'true', 'retry-after': '0.2' })
    paths.push(req.url ?? '')
    res.end('ok')
  }
  await waitUntilServing(fixture)
  await using caller = await connectServiceCaller(fixture, false)
  caller.send()
  await waitUntil(() => [...fixture.daemon.entry?.queues.values() ?? []].some(({ queue }) => queue.heap.length === 1))
  await waitForTimersPhase()
  caller.disconnectWhileBlocked(blockedMs)
  await waitUntilServing(fixture)
  assert.equal(paths.filter(each => each === '/left').length, 1)
})
