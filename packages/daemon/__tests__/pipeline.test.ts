/** Requests sent behind one another over one connection, by a caller of our own that writes raw bytes. */
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
  /** All that came so far. */
  readonly text: () => string
  readonly isClosed: () => boolean
}

function call (rig: FleetFixture): Caller {
  const [host, port] = (rig.settings.at(-1)?.callers ?? '').split(':')
  const socket = connect({ host: host ?? '', port: Number(port) })
  let text = ''
  let closed = false
  socket.on('data', chunk => { text += chunk.toString('latin1') })
  socket.on('close', () => { closed = true })
  socket.on('error', () => { closed = true })
  return { socket, text: () => text, isClosed: () => closed, [Symbol.dispose]: () => { socket.destroy() } }
}

function get (path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: a.example\r\n\r\n`
}

function bodiesOf (text: string): string[] {
  return [...text.matchAll(/body-[a-z0-9]+/g)].map(match => match[0])
}

/** Answers with the last part of the path, the first ones later than those behind them. */
function answerInTurn (req: IncomingMessage, res: ServerResponse): void {
  const name = req.url?.split('/').at(-1) ?? ''
  setTimeout(() => res.end(`body-${name}`), name.startsWith('slow') ? 300 : 5)
}

test('answers to requests sent behind one another come whole and in their order', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', answerInTurn)
  await publishRoutes(rig, [server], [createRouteToDesk('read')])
  using caller = call(rig)
  const names = ['slow1', 'b', 'c', 'slow2', ...Array.from({ length: 12 }, (_, place) => `n${place}`)]
  caller.socket.write(names.map(name => get(`/read/${name}`)).join(''))
  await waitUntil(() => bodiesOf(caller.text()).length === names.length)
  assert.deepEqual(bodiesOf(caller.text()), names.map(name => `body-${name}`))
})

/** Guards against this failure: servers work on for callers that left. */
test('when a caller closes its connection, servers stop working on all its requests', async () => {
  await using rig = await startFleetFixture(1)
  let stopped = 0
  await using server = await startTestServer('s1', req => { req.socket.once('close', () => { stopped += 1 }) })
  await publishRoutes(rig, [server], [createRouteToDesk('read', { timeoutMs: 10_000 })])
  using caller = call(rig)
  caller.socket.write([1, 2, 3, 4].map(number => get(`/read/${number}`)).join(''))
  await waitUntil(() => server.requests.length === 4)
  caller.socket.destroy()
  await waitUntil(() => stopped === 4)
})

/** Guards against this failure: a planned stop cuts requests. */
test('a VM that stops answers all that was sent over a connection before it closes it', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', answerInTurn)
  await publishRoutes(rig, [server], [createRouteToDesk('read')])
  using caller = call(rig)
  caller.socket.write(['slow1', 'slow2', 'slow3'].map(name => get(`/read/${name}`)).join(''))
  await waitUntil(() => server.requests.length === 3)
  await Promise.all([leaveFleet(rig.daemons.at(-1) as FleetDaemon), waitUntil(() => caller.isClosed())])
  assert.deepEqual(bodiesOf(caller.text()), ['body-slow1', 'body-slow2', 'body-slow3'])
  assert.equal(caller.text().toLowerCase().split('connection: close').length - 1, 1)
})

/** Guards against this failure: a VM runs out of memory. */
test('only some of the requests sent behind one another are at servers at once', async () => {
  await using rig = await startFleetFixture(1)
  const most = 8
  let atOnce = 0
  let mostAtOnce = 0
  await using server = await startTestServer('s1', (_req, res) => {
    atOnce += 1
    mostAtOnce = Math.max(mostAtOnce, atOnce)
    setTimeout(() => {
      atOnce -= 1
      res.end('body-x')
    }, 10)
  })
  await publishRoutes(rig, [server], [createRouteToDesk('read')])
  using caller = call(rig)
  caller.socket.write(Array.from({ length: 60 }, () => get('/read/1')).join(''))
  await waitUntil(() => bodiesOf(caller.text()).length === 60)
  assert.ok(mostAtOnce <= most, `${mostAtOnce} at once`)
})
