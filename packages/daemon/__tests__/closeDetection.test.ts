/** Closes of callers' connections while the VM's event loop is calm. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { ServerResponse } from 'node:http'
import { test } from 'node:test'
import { buildRouteTable } from '@lynxcourse/routing'
import { sendRequest, publishRoutes, createRouteToDesk, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture } from './support/fleetFixture.js'
import { startTestBackend, startDaemonFixture as startServiceRig } from './support/daemonFixture.js'

/** Longer than `until` waits, so that no deadline ends what a close is to end. */
const timeoutMs = 60_000
/** Requests that a server of a service runs at once. */
const slots = 3

type Gateway = NonNullable<NonNullable<FleetFixture['daemons'][number]>['gateway']>

function gatewayOf (rig: FleetFixture): Gateway {
  return rig.daemons.at(-1)?.gateway as Gateway
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

function get (path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: a.example\r\n\r\n`
}

/** How many sends have ended with a server's answer. */
async function answersOf (rig: FleetFixture): Promise<number> {
  const { values } = await gatewayOf(rig).node.metrics.attempts.get()
  return values.find(({ labels }) => labels.end === '200')?.value ?? 0
}

/** Guards against this failure: answers that wait behind a slow one stop the reading, and servers work on for a caller that left. */
test('a close is seen while large answers wait behind a slow one', async () => {
  await using rig = await startFleetFixture(1)
  const answer = Buffer.alloc(40_000)
  await using server = await startTestServer('s1', (req, res) => { if (req.url === '/read/large') res.end(answer) })
  await publishRoutes(rig, [server], [createRouteToDesk('read', { timeoutMs })])
  using caller = await connectCaller(rig.settings.at(-1)?.callers ?? '')
  caller.socket.write(get('/read/slow') + get('/read/large') + get('/read/large'))
  await waitUntil(async () => await answersOf(rig) === 2)
  caller.socket.write(get('/read/slow'))
  await waitUntil(() => server.requests.length === 4)
  await caller.leave()
  await waitUntil(() => gatewayOf(rig).open === 0)
})

/** Guards against this failure: a connection's answers that wait for their turn take a VM's memory. */
test('no further request of a connection begins while many bytes of its answers wait', async () => {
  await using rig = await startFleetFixture(1)
  const answer = Buffer.alloc(1_000_000)
  const held: ServerResponse[] = []
  await using server = await startTestServer('s1', (req, res) => {
    if (req.url === '/read/slow') held.push(res)
    else res.end(answer)
  })
  await publishRoutes(rig, [server], [createRouteToDesk('read', { timeoutMs })])
  using caller = await connectCaller(rig.settings.at(-1)?.callers ?? '')
  const sent = (): number => server.requests.filter(({ url }) => url === '/read/large').length
  let size = 0
  caller.socket.on('data', (chunk: Buffer) => { size += chunk.length })
  caller.socket.write(get('/read/slow') + get('/read/large') + get('/read/large'))
  await waitUntil(async () => await answersOf(rig) === 2)
  caller.socket.write(get('/read/large'))
  await waitUntil(() => gatewayOf(rig).open === 4)
  assert.equal((await sendRequest(rig, '/read/other')).status, 200)
  assert.equal(sent(), 2)
  held[0]?.end()
  await waitUntil(() => sent() === 3 && size > 3 * answer.length)
})

function post (path: string, bytes: number): string {
  return `POST ${path} HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${bytes}\r\n\r\n${'b'.repeat(bytes)}`
}

/** Lets the event loop look at its sockets, so often that all that lies there was read. */
async function lookAround (): Promise<void> {
  for (let look = 0; look < 50; look++) await new Promise(resolve => setImmediate(resolve))
}

/** Takes the routes away from a VM, as before its first state; the function gives them back. */
function withoutRoutes (gateway: Gateway): () => void {
  const { routeTable: table } = gateway
  gateway.routeTable = buildRouteTable([])
  return () => {
    gateway.routeTable = table
    for (const listen of [...gateway.node.onChange]) listen()
  }
}

/** Guards against this failure: a body that is not read stops the reading, and a request is held and taken up for a caller that left. */
test('a close is seen while a request with a large body waits for the first state', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [server], [createRouteToDesk('read', { timeoutMs })])
  const gateway = gatewayOf(rig)
  using caller = await connectCaller(rig.settings.at(-1)?.callers ?? '')
  const giveBack = withoutRoutes(gateway)
  caller.socket.write(post('/read/left', 90_000))
  await waitUntil(() => gateway.waitingForRoutes === 1)
  await lookAround()
  await caller.leave()
  await lookAround()
  const { waitingForRoutes: waiting } = gateway
  giveBack()
  await waitUntil(() => gateway.open === 0)
  assert.equal(waiting, 0)
  assert.equal(server.requests.length, 0)
})

/** Guards against this failure: a body behind requests that are worked on stops the reading, and servers work on for a caller that left. */
test('a close is seen while a request with a large body waits for those before it', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', () => undefined)
  await publishRoutes(rig, [{ ...server, facts: { ...server.facts, slots: 16 } }], [createRouteToDesk('read', { timeoutMs })])
  const gateway = gatewayOf(rig)
  using caller = await connectCaller(rig.settings.at(-1)?.callers ?? '')
  caller.socket.write(get('/read/slow').repeat(8) + post('/read/left', 90_000))
  await waitUntil(() => gateway.open === 9 && server.requests.length === 8)
  await caller.leave()
  await lookAround()
  assert.equal(gateway.open, 0)
  assert.equal(server.requests.length, 8)
})

/** Guards against this failure: a body over the limit of a VM without its first state is refused although the state allows it. */
test('a body that only the first state allows is served once that is there', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (req, res) => {
    req.resume()
    req.once('end', () => res.end('ok'))
  })
  await publishRoutes(rig, [server], [createRouteToDesk('read', { timeoutMs })])
  const gateway = gatewayOf(rig)
  const { limits } = gateway
  using caller = await connectCaller(rig.settings.at(-1)?.callers ?? '')
  const giveBack = withoutRoutes(gateway)
  gateway.limits = { ...limits, maxBodyBytes: 1000 }
  const answer = once(caller.socket, 'data')
  caller.socket.write(post('/read/large', 90_000))
  await waitUntil(() => gateway.waitingForRoutes === 1)
  await lookAround()
  gateway.limits = limits
  giveBack()
  assert.match(String((await answer)[0]), /^HTTP\/1.1 200 /)
})

/** Guards against this failure: only the first of a service's requests on a connection hears of its close; servers work on, and begin, for the others. */
test('a close is seen by all requests to a service that were sent behind one another', async () => {
  await using rig = await startServiceRig({}, { deadlineMs: timeoutMs, maxDeadlineMs: timeoutMs })
  await using backend = await startTestBackend(rig)
  const count = { begun: 0, cut: 0 }
  backend.handler = (req, res) => {
    if (req.url !== '/left') {
      res.end('ok')
      return
    }
    count.begun += 1
    req.socket.once('close', () => { count.cut += 1 })
  }
  await waitUntil(async () => await fetch(`${rig.http}/s/offers/before`).then(res => res.ok))
  using caller = await connectCaller(rig.http.replace('http://', ''))
  caller.socket.write(get('/s/offers/left').repeat(6))
  await waitUntil(() => rig.daemon.entry?.open === 6 && count.begun === slots)
  await caller.leave()
  await waitUntil(() => rig.daemon.entry?.open === 0 && count.cut === slots)
  assert.equal(count.begun, slots)
})

/** Guards against this failure: a caller that sends many requests behind one another has the VM warn of a leak. */
test('many requests to a service over one connection bring no warning of a leak', async () => {
  await using rig = await startServiceRig({}, { deadlineMs: timeoutMs, maxDeadlineMs: timeoutMs })
  await using backend = await startTestBackend(rig)
  backend.handler = (_req, res) => res.end('ok')
  const warnings: string[] = []
  const note = ({ name }: Error): void => { warnings.push(name) }
  process.on('warning', note)
  await waitUntil(async () => await fetch(`${rig.http}/s/offers/before`).then(res => res.ok))
  using caller = await connectCaller(rig.http.replace('http://', ''))
  let text = ''
  caller.socket.on('data', (chunk: Buffer) => { text += chunk.toString('latin1') })
  caller.socket.write(get('/s/offers/x').repeat(16))
  await waitUntil(() => text.split('HTTP/1.1 200 ').length - 1 === 16)
  process.off('warning', note)
  assert.deepEqual(warnings, [])
})
