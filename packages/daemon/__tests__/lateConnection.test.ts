/** Connections to servers that take long to open, and that the server may have closed meanwhile. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { test } from 'node:test'
import { loadChart } from '@lynxcourse/base'
import { createConnectionPool, startLoopMonitor, getCurrentTime, startExchange, acquireConnection } from '@lynxcourse/daemon'

const connectTimeoutMs = 10_000
/** Age of the connection request. It counts as late, so all sockets are polled before the connection is used. */
const connectionAgeMs = 200
/** The server stops after this number of connections, which ends an endless loop of reconnections. */
const maxConnections = 20

async function startClosingServer (onConnection: (server: Server) => void): Promise<Server> {
  const server = createServer(socket => {
    onConnection(server)
    socket.destroy()
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return server
}

/**
 * Guards against this failure: a late connection that has ended is handed over, and `undici` opens another one, again
 * and again.
 */
test('a late connection that its server has closed carries no request and is not reopened', async () => {
  let opened = 0
  const server = await startClosingServer(self => {
    opened += 1
    if (opened === maxConnections) self.close()
  })
  await using loop = startLoopMonitor()
  await using pool = createConnectionPool({ staleMs: Infinity, silentMs: Infinity }, loadChart('connection'), connectTimeoutMs, loop.polls)
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const { client } = acquireConnection(pool, address, false, getCurrentTime() - connectionAgeMs)
  const exchange = startExchange(client, { method: 'GET', path: '/' }, () => true, () => undefined)
  await assert.rejects(exchange.answer, { code: 'ECONNRESET', syscall: 'connect' })
  assert.equal(exchange.startedAt, undefined)
  assert.equal(opened, 1)
  server.close()
})

/**
 * Guards against this failure: an error while opening a connection is not recognized as such, and the request counts as
 * one that may have run.
 */
test('a late connection that fails to open fails with the error of the connect call', async () => {
  const server = await startClosingServer(() => undefined)
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  await new Promise(resolve => server.close(resolve))
  await using loop = startLoopMonitor()
  await using pool = createConnectionPool({ staleMs: Infinity, silentMs: Infinity }, loadChart('connection'), connectTimeoutMs, loop.polls)
  const { client } = acquireConnection(pool, address, false, getCurrentTime() - connectionAgeMs)
  const exchange = startExchange(client, { method: 'GET', path: '/' }, () => true, () => undefined)
  await assert.rejects(exchange.answer, { code: 'ECONNREFUSED', syscall: 'connect' })
})
