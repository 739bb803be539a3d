/** HTTP pipelining, by a caller that writes raw bytes. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { leaveFleet } from '@lynxcourse/daemon'
import type { FleetDaemon } from '@lynxcourse/daemon'
import { publishRoutes, createRouteToDesk, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture } from './support/fleetFixture.js'

interface Caller extends Disposable {
  readonly socket: Socket
  /** The bytes received so far, as text. */
  readonly text: () => string
  readonly isClosed: () => boolean
}

function connectCaller (fixture: FleetFixture): Caller {
  const [host, port] = (fixture.settings.at(-1)?.callers ?? '').split(':')
  const socket = connect({ host: host ?? '', port: Number(port) })
  let text = ''
  let closed = false
  socket.on('data', chunk => { text += chunk.toString('latin1') })
  socket.on('close', () => { closed = true })
  socket.on('error', () => { closed = true })
  return { socket, text: () => text, isClosed: () => closed, [Symbol.dispose]: () => { socket.destroy() } }
}

function buildGet (path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: a.example\r\n\r\n`
}

function findBodies (text: string): string[] {
  return [...text.matchAll(/body-[a-z0-9]+/g)].map(match => match[0])
}

/** Answers with the last segment of the path; answers to `slow` requests are delayed behind those to later requests. */
function answerAfterDelay (req: IncomingMessage, res: ServerResponse): void {
  const name = req.url?.split('/').at(-1) ?? ''
  setTimeout(() => res.end(`body-${name}`), name.startsWith('slow') ? 300 : 5)
}

test('answers to pipelined requests are complete and in the order of the requests', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', answerAfterDelay)
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  using caller = connectCaller(fixture)
  const names = ['slow1', 'b', 'c', 'slow2', ...Array.from({ length: 12 }, (_, index) => `n${index}`)]
  caller.socket.write(names.map(name => buildGet(`/read/${name}`)).join(''))
  await waitUntil(() => findBodies(caller.text()).length === names.length)
  assert.deepEqual(findBodies(caller.text()), names.map(name => `body-${name}`))
})

/** Guards against this failure: servers continue to work for callers that have disconnected. */
test('when a caller closes its connection, servers stop working on all its requests', async () => {
  await using fixture = await startFleetFixture(1)
  let closedCount = 0
  await using server = await startTestServer('s1', req => { req.socket.once('close', () => { closedCount += 1 }) })
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 10_000 })])
  using caller = connectCaller(fixture)
  caller.socket.write([1, 2, 3, 4].map(number => buildGet(`/read/${number}`)).join(''))
  await waitUntil(() => server.requests.length === 4)
  caller.socket.destroy()
  await waitUntil(() => closedCount === 4)
})

/** Guards against this failure: a planned stop loses requests. */
test('a VM that stops answers all requests that were sent over a connection before it closes the connection', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', answerAfterDelay)
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  using caller = connectCaller(fixture)
  caller.socket.write(['slow1', 'slow2', 'slow3'].map(name => buildGet(`/read/${name}`)).join(''))
  await waitUntil(() => server.requests.length === 3)
  await Promise.all([leaveFleet(fixture.daemons.at(-1) as FleetDaemon), waitUntil(() => caller.isClosed())])
  assert.deepEqual(findBodies(caller.text()), ['body-slow1', 'body-slow2', 'body-slow3'])
  assert.equal(caller.text().toLowerCase().split('connection: close').length - 1, 1)
})

/** Guards against this failure: the answers that the VM buffers exhaust its memory. */
test('the number of pipelined requests of one connection that are at servers at once is limited', async () => {
  await using fixture = await startFleetFixture(1)
  const maxConcurrent = 8
  let concurrentCount = 0
  let maxSeen = 0
  await using server = await startTestServer('s1', (_req, res) => {
    concurrentCount += 1
    maxSeen = Math.max(maxSeen, concurrentCount)
    setTimeout(() => {
      concurrentCount -= 1
      res.end('body-x')
    }, 10)
  })
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  using caller = connectCaller(fixture)
  caller.socket.write(Array.from({ length: 60 }, () => buildGet('/read/1')).join(''))
  await waitUntil(() => findBodies(caller.text()).length === 60)
  assert.ok(maxSeen <= maxConcurrent, `${maxSeen} at once`)
})

/** Sends requests that take longer than the pauses between them, until an answer announces the close. */
async function sendWithoutGap ({ socket, text, isClosed }: Caller): Promise<void> {
  for (let sent = 0; !isClosed() && !/connection: close/i.test(text()); sent++) {
    socket.write(buildGet(`/read/slow${sent}`))
    await new Promise(resolve => setTimeout(resolve, 100))
  }
}

function countAnswers (text: string): number {
  return [...text.matchAll(/HTTP\/1\.1 \d+ /g)].length
}

/** Guards against a VM that serves a connection until its process ends, since the connection is never without a request. */
test('a VM that stops ends a connection that is never without a request, and answers each of its requests', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', answerAfterDelay)
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  const entry = fixture.daemons.at(-1) as FleetDaemon
  using caller = connectCaller(fixture)
  const sending = sendWithoutGap(caller)
  await waitUntil(() => countAnswers(caller.text()) > 2)
  await leaveFleet(entry)
  assert.equal(entry.gateway?.open, 0)
  await sending
  // A request that crosses the close is not passed on.
  assert.equal(findBodies(caller.text()).length, server.requests.length)
})

/** Guards against a request that is taken shortly before the process ends, and that its end cuts off. */
test('a VM that stops refuses a request that may take longer than the VM runs, and serves the others', async () => {
  await using fixture = await startFleetFixture(1)
  const held: ServerResponse[] = []
  const answer = (req: IncomingMessage, res: ServerResponse): void => {
    if (req.url?.endsWith('held') === true) held.push(res)
    else res.end('whole')
  }
  await using first = await startTestServer('s1', answer)
  await using second = await startTestServer('s2', answer)
  await publishRoutes(fixture, [first, second], [createRouteToDesk('read', { timeoutMs: 300 }), createRouteToDesk('long', { timeoutMs: 3000 })])
  const entry = fixture.daemons.at(-1) as FleetDaemon
  using holding = connectCaller(fixture)
  using short = connectCaller(fixture)
  using long = connectCaller(fixture)
  holding.socket.write(buildGet('/long/held'))
  await waitUntil(() => held.length === 1 && entry.gateway?.connections.size === 3)
  const leaving = leaveFleet(entry)
  await waitUntil(() => entry.callerServer?.listening === false)
  short.socket.write(buildGet('/read/b'))
  long.socket.write(buildGet('/long/b'))
  await waitUntil(() => short.text() !== '' && long.text() !== '')
  for (const res of held) res.end('whole')
  await leaving
  assert.match(short.text(), /^HTTP\/1\.1 200 /)
  assert.match(long.text(), /^HTTP\/1\.1 503 /)
  assert.match(long.text(), /\r\nretry-after: \d+/i)
  assert.equal(first.requests.length + second.requests.length, 2)
})

/** Guards against a request that is sent to a server long after its head was read, shortly before the process ends. */
test('a VM that stops refuses a request whose body ends too late for its whole time', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', answerAfterDelay)
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 3000 })])
  const entry = fixture.daemons.at(-1) as FleetDaemon
  using caller = connectCaller(fixture)
  caller.socket.write('POST /read/b HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbo')
  await waitUntil(() => entry.gateway?.open === 1)
  const leaving = leaveFleet(entry)
  await waitUntil(() => entry.callerServer?.listening === false)
  caller.socket.write('dy')
  await leaving
  assert.match(caller.text(), /^HTTP\/1\.1 503 /)
  assert.equal(server.requests.length, 0)
})

/** Guards against answers that wait behind one that doesn't come, and that the end of the process cuts off. */
test('a VM that stops sends the answers behind a request that outlasts it', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (req, res) => { if (req.url?.endsWith('held') !== true) res.end('body-last') })
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 10_000 })])
  using caller = connectCaller(fixture)
  caller.socket.write(buildGet('/read/held') + buildGet('/read/last'))
  await waitUntil(() => server.requests.length === 2)
  await leaveFleet(fixture.daemons.at(-1) as FleetDaemon)
  assert.match(caller.text(), /^HTTP\/1\.1 504 /)
  assert.deepEqual(findBodies(caller.text()), ['body-last'])
})
