/** Connections to servers that open late, when their server has closed them meanwhile. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { test } from 'node:test'
import { loadChart } from '@lynxcourse/base'
import { createConnectionPool, startLoopMonitor, getCurrentTime, startExchange, acquireConnection } from '@lynxcourse/daemon'

const connectTimeoutMs = 10_000
/** The connection was asked for so long ago that all sockets are looked at before it is used. */
const lateMs = 200
/** Ends a loop of connections. */
const mostConnections = 20

async function startClosing (onOpened: (server: Server) => void): Promise<Server> {
  const server = createServer(socket => {
    onOpened(server)
    socket.destroy()
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return server
}

/** Guards against this failure: a late connection that has ended is handed over, and another is opened, again and again, for one request. */
test('a late connection that its server has closed carries no request and is not opened anew', async () => {
  let opened = 0
  const server = await startClosing(each => {
    opened += 1
    if (opened === mostConnections) each.close()
  })
  await using loop = startLoopMonitor()
  await using pool = createConnectionPool({ staleMs: Infinity, silentMs: Infinity }, loadChart('connection'), connectTimeoutMs, loop.polls)
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const { client } = acquireConnection(pool, address, false, getCurrentTime() - lateMs)
  const exchange = startExchange(client, { method: 'GET', path: '/' }, Infinity, () => undefined)
  await assert.rejects(exchange.answer, { code: 'ECONNRESET', syscall: 'connect' })
  assert.equal(exchange.startedAt, undefined)
  assert.equal(opened, 1)
  server.close()
})

/** Guards against this failure: a connection that could not be opened is taken for a fault of another kind, and its request for one that may have run. */
test('a connection that fails late fails with its own error', async () => {
  const server = await startClosing(() => undefined)
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  await new Promise(resolve => server.close(resolve))
  await using loop = startLoopMonitor()
  await using pool = createConnectionPool({ staleMs: Infinity, silentMs: Infinity }, loadChart('connection'), connectTimeoutMs, loop.polls)
  const { client } = acquireConnection(pool, address, false, getCurrentTime() - lateMs)
  const exchange = startExchange(client, { method: 'GET', path: '/' }, Infinity, () => undefined)
  await assert.rejects(exchange.answer, { code: 'ECONNREFUSED', syscall: 'connect' })
})
