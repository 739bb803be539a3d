/** Requests whose callers closed their connections while the VM's event loop stood still. */
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
import { startTestBackend, startDaemonFixture as startServiceRig } from './support/daemonFixture.js'
import type { TestBackend, DaemonFixture } from './support/daemonFixture.js'
import { connectWorkerCaller, formatPostRequest } from './support/workerCaller.js'
import type { WorkerCaller } from './support/workerCaller.js'

const timeoutMs = 20_000
const blockedMs = 300
const path = '/read/left'
const largeBytes = 400_000

type Gateway = NonNullable<NonNullable<FleetFixture['daemons'][number]>['gateway']>

function gatewayOf (rig: FleetFixture): Gateway {
  return rig.daemons.at(-1)?.gateway as Gateway
}

async function connectCaller (rig: FleetFixture, isOld: boolean): Promise<WorkerCaller> {
  return await connectWorkerCaller(rig.settings.at(-1)?.callers ?? '', path, isOld)
}

/** What a histogram has counted, over all labels. */
async function countOf (histogram: Histogram<string>): Promise<number> {
  const { values } = await histogram.get()
  return values.filter(({ metricName }) => metricName?.endsWith('_count') === true).reduce((sum, { value }) => sum + value, 0)
}

/** Waits until the event loop runs timers next, and reads sockets after them. */
async function beforeTimers (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

/** Has a caller send and leave while the VM stands still, and waits until the VM is done with its request. */
async function sendAndLeave (rig: FleetFixture, caller: WorkerCaller): Promise<void> {
  const gateway = gatewayOf(rig)
  const { unreadSeconds } = gateway.node.metrics
  const before = await countOf(unreadSeconds)
  caller.sendAndDisconnectWhileBlocked(blockedMs)
  await waitUntil(async () => await countOf(unreadSeconds) > before && gateway.open === 0)
}

/** Requests that a server got, apart from those that a caller waited for, once nothing is under way any more. */
async function leftAt (rig: FleetFixture, server: TestServer, answered: number): Promise<number> {
  await waitUntil(() => gatewayOf(rig).open === 0)
  assert.equal((await sendRequest(rig, '/read/after')).status, 200)
  return server.requests.filter(({ url }) => url === path).length - answered
}

for (const isOld of [true, false]) {
  /** Guards against this failure: servers run requests whose callers left while their VM was busy. */
  test(`a request whose caller left before it was read reaches no server, on ${isOld ? 'an old' : 'a new'} connection`, async () => {
    await using rig = await startFleetFixture(1)
    await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
    await publishRoutes(rig, [server], [createRouteToDesk('read', { timeoutMs })])
    assert.equal((await sendRequest(rig, '/read/before')).status, 200)
    await using caller = await connectCaller(rig, isOld)
    await sendAndLeave(rig, caller)
    assert.equal(await leftAt(rig, server, isOld ? 1 : 0), 0)
  })
}

/** Guards against this failure: a body that is read over several turns hides the close behind it from a look that began with its head. */
test('a request with a large body whose caller left before it was read reaches no server', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [server], [createRouteToDesk('read', { timeoutMs })])
  const gateway = gatewayOf(rig)
  gateway.limits = { ...gateway.limits, maxBodyBytes: 2 * largeBytes }
  assert.equal((await sendRequest(rig, '/read/before')).status, 200)
  await using caller = await connectWorkerCaller(rig.settings.at(-1)?.callers ?? '', path, false, formatPostRequest(path, 'x'.repeat(largeBytes)))
  await sendAndLeave(rig, caller)
  assert.equal(await leftAt(rig, server, 0), 0)
})

/** Guards against this failure: nothing tells a close that lay unread when its request was sent from one that came later. */
test('a close that lay unread while the VM stood still is counted with that time', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [server], [createRouteToDesk('read', { timeoutMs })])
  const { closeUnreadSeconds } = gatewayOf(rig).node.metrics
  for (const isOld of [true, false]) {
    closeUnreadSeconds.reset()
    await using caller = await connectCaller(rig, isOld)
    await sendAndLeave(rig, caller)
    const { values } = await closeUnreadSeconds.get()
    const sum = values.find(({ metricName }) => metricName === 'lynxcourse_close_unread_seconds_sum')?.value ?? 0
    assert.ok(sum >= blockedMs / 1000, `${sum} s`)
  }
})

/** Guards against this failure: a wait's timer, which runs before sockets are read, sends a request whose caller has left. */
test('a request that waits for room is not sent once its caller has left', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [server], [createRouteToDesk('read', { timeoutMs })])
  await using caller = await connectCaller(rig, true)
  const gateway = gatewayOf(rig)
  const concurrency = getConcurrency(gateway.fleet, desk)
  concurrency.underWay += concurrency.limit
  caller.send()
  await waitUntil(() => gateway.waitingForCapacity.get(desk) === 1)
  await beforeTimers()
  concurrency.underWay -= concurrency.limit
  caller.disconnectWhileBlocked(blockedMs)
  assert.equal(await leftAt(rig, server, 1), 0)
})

/** Calls back once the connection of a send has begun to open, before the event loop reads sockets again. */
class HookedDialect extends DefaultServerDialect {
  constructor (private readonly onSend: () => void) { super() }

  override buildRequestHeaders (...args: Parameters<DefaultServerDialect['buildRequestHeaders']>): ReturnType<DefaultServerDialect['buildRequestHeaders']> {
    // A connection to an address begins to open in the next tick.
    process.nextTick(() => process.nextTick(this.onSend))
    return super.buildRequestHeaders(...args)
  }
}

/** Guards against this failure: a connection to a server that opens in the turn in which the caller's close is read carries the request. */
test('a request is not written to a connection that opens once its caller has left', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [server], [createRouteToDesk('read', { timeoutMs })])
  const gateway = gatewayOf(rig)
  await using caller = await connectCaller(rig, false)
  const left = new Promise<void>(resolve => {
    const hooked = new HookedDialect(() => {
      Object.assign(gateway, { servers: new DefaultServerDialect() })
      caller.disconnectWhileBlocked(blockedMs)
      resolve()
    })
    Object.assign(gateway, { servers: hooked })
  })
  caller.send()
  await left
  assert.equal(await leftAt(rig, server, 0), 0)
})

/** A socket that is read, once it is rung, before those that become ready later. */
interface Bell extends AsyncDisposable {
  readonly ring: () => void
  readonly rung: Promise<unknown>
}

async function startBell (): Promise<Bell> {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const far = connect((server.address() as AddressInfo).port, '127.0.0.1')
  const [near] = await once(server, 'connection') as [Socket]
  await once(far, 'connect')
  return {
    ring: () => far.write('ring'),
    rung: once(near, 'data'),
    [Symbol.asyncDispose]: async () => {
      far.destroy()
      near.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

/** Has a connection to a server open, then its caller leave, in one stall; undefined where the connection was read before the stall began. */
async function sendsInStall (): Promise<number | undefined> {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await using bell = await startBell()
  await publishRoutes(rig, [server], [createRouteToDesk('read', { timeoutMs })])
  const gateway = gatewayOf(rig)
  await using caller = await connectCaller(rig, false)
  let hasRung = false
  let isConclusive = false
  gateway.pool.onConnect = () => { isConclusive = hasRung }
  const hooked = new HookedDialect(() => {
    Object.assign(gateway, { servers: new DefaultServerDialect() })
    bell.ring()
  })
  Object.assign(gateway, { servers: hooked })
  caller.send()
  await bell.rung.then(() => {
    hasRung = true
    caller.disconnectWhileBlocked(blockedMs)
  })
  const sends = await leftAt(rig, server, 0)
  return isConclusive ? sends : undefined
}

/** The system does not promise the order in which two sockets become ready. */
const mostTries = 10

/** Guards against this failure: a connection that opened in a stall is read before the caller's close in the same stall, and carries the request. */
test('a request is not written to a connection that opened before its caller left, in one stall', async () => {
  let sends: number | undefined
  for (let tries = 0; tries < mostTries && sends === undefined; tries++) sends = await sendsInStall()
  assert.equal(sends, 0)
})

/** Guards against this failure: a server's refusal that is read before the caller's close sends the request to the next server. */
test('a request that a server refused is not sent to another once its caller has left', async () => {
  await using rig = await startFleetFixture(1)
  await using caller = await connectCaller(rig, false)
  const refuseOnce = (req: IncomingMessage, res: ServerResponse): void => {
    const isFirst = req.url === path && first.requests.concat(second.requests).filter(({ url }) => url === path).length === 1
    if (isFirst) res.writeHead(503, { 'lynx-not-started': 'true' })
    res.end('ok')
    if (isFirst) caller.disconnectWhileBlocked(blockedMs)
  }
  await using first = await startTestServer('s1', refuseOnce)
  await using second = await startTestServer('s2', refuseOnce)
  await publishRoutes(rig, [first, second], [createRouteToDesk('read', { timeoutMs })])
  // Both servers have a connection at rest, over which a second send is written at once.
  await waitUntil(async () => {
    await Promise.all(Array.from({ length: 4 }, async () => await sendRequest(rig, '/read/before')))
    return gatewayOf(rig).pool.byAddress.size === 2
  })
  caller.send()
  await waitUntil(() => first.requests.concat(second.requests).some(({ url }) => url === path))
  assert.equal(await leftAt(rig, first, 0) + await leftAt(rig, second, 0), 1)
})

const servicePath = '/s/offers/left'

async function connectServiceCaller (rig: DaemonFixture, isOld: boolean): Promise<WorkerCaller> {
  return await connectWorkerCaller(rig.http.replace('http://', ''), servicePath, isOld)
}

/** Has a server count the requests of the caller. */
function countLeft (backend: TestBackend): { runs: number } {
  const count = { runs: 0 }
  backend.handler = (req, res) => {
    if (req.url === '/left') count.runs += 1
    res.end('ok')
  }
  return count
}

async function untilServed (rig: DaemonFixture): Promise<void> {
  await waitUntil(() => rig.daemon.entry?.open === 0)
  const res = await fetch(`${rig.http}/s/offers/after`)
  assert.equal(res.status, 200)
}

for (const isOld of [true, false]) {
  /** Guards against this failure: servers of a service run requests whose callers left while their VM was busy. */
  test(`a request to a service whose caller left before it was read reaches no server, on ${isOld ? 'an old' : 'a new'} connection`, async () => {
    await using rig = await startServiceRig({}, { deadlineMs: timeoutMs })
    await using backend = await startTestBackend(rig)
    const count = countLeft(backend)
    await untilServed(rig)
    await using caller = await connectServiceCaller(rig, isOld)
    const before = count.runs
    const { requestSeconds } = rig.daemon.entry?.node.metrics as Metrics
    const served = await countOf(requestSeconds)
    caller.sendAndDisconnectWhileBlocked(blockedMs)
    await waitUntil(async () => await countOf(requestSeconds) > served)
    await untilServed(rig)
    assert.equal(count.runs, before)
  })
}

/** Guards against this failure: the end of a server's pause sends a request whose caller has left. */
test('a request to a service that waits for a slot is not sent once its caller has left', async () => {
  await using rig = await startServiceRig({}, { deadlineMs: timeoutMs })
  await using backend = await startTestBackend(rig)
  const paths: string[] = []
  backend.handler = (req, res) => {
    if (req.url === '/left' && !paths.includes('/left')) res.writeHead(503, { 'lynx-not-started': 'true', 'retry-after': '0.2' })
    paths.push(req.url ?? '')
    res.end('ok')
  }
  await untilServed(rig)
  await using caller = await connectServiceCaller(rig, false)
  caller.send()
  await waitUntil(() => [...rig.daemon.entry?.queues.values() ?? []].some(({ queue }) => queue.heap.length === 1))
  await beforeTimers()
  caller.disconnectWhileBlocked(blockedMs)
  await untilServed(rig)
  assert.equal(paths.filter(each => each === '/left').length, 1)
})
