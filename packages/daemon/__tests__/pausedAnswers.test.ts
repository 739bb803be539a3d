/** Large answers whose connection ends while the VM holds it back. */
import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { createAnnouncement, createRouteToDesk, keepAnnouncing, publishRoutes, sendRequest, startFleetFixture } from './support/fleetFixture.js'
import type { FleetFixture } from './support/fleetFixture.js'

const announcedBytes = 90_000
const sentBytes = 70_000
const breakOffMs = 60
/** Heads of answers after which the HTTP client expects the end of the connection. */
const heads = [
  `HTTP/1.0 200 OK\r\nContent-Length: ${announcedBytes}\r\n`,
  'HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n',
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n',
  `HTTP/1.1 200 OK\r\nProxy-Connection: close\r\nContent-Length: ${announcedBytes}\r\n`,
  `HTTP/1.1 200 OK\r\nContent-Length: ${announcedBytes}\r\n`,
  'HTTP/1.1 200 OK\r\n'
]

interface BreakingSetup extends AsyncDisposable {
  readonly fixture: FleetFixture
  /** What the server writes, and how it ends. */
  readonly script: { head: string, end: 'reset' | 'close' }
}

async function startBreakingServer (): Promise<BreakingSetup> {
  const script: BreakingSetup['script'] = { head: '', end: 'reset' }
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => undefined).once('close', () => sockets.delete(socket))
    socket.on('data', () => {
      socket.write(`${script.head}\r\n${script.head.includes('chunked') ? `${announcedBytes.toString(16)}\r\n` : ''}${'x'.repeat(sentBytes)}`)
      setTimeout(() => script.end === 'reset' ? socket.resetAndDestroy() : socket.end(), breakOffMs)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const fixture = await startFleetFixture(1, { fields: { capacity: { cores: undefined, linkMbps: 5.8 } } })
  const announced = [{ facts: { ...createAnnouncement('s1', `127.0.0.1:${(server.address() as AddressInfo).port}`), slots: 8 } }]
  await publishRoutes(fixture, announced, [createRouteToDesk('export', { hasLargeAnswers: true, maxAttempts: 1 })])
  const announcing = keepAnnouncing(fixture, announced)
  return {
    fixture,
    script,
    [Symbol.asyncDispose]: async () => {
      announcing[Symbol.dispose]()
      await fixture[Symbol.asyncDispose]()
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

// Guards against an assertion of the HTTP client that ends the process, with the requests of all callers, and against truncated answers that look whole.
test('an answer that breaks off while its server is held back is not passed on as whole, and the VM serves on', async () => {
  await using setup = await startBreakingServer()
  for (const head of heads) {
    setup.script.head = head
    const response = await sendRequest(setup.fixture, '/export/1').catch(() => undefined)
    assert.ok(response === undefined || response.status >= 500, `${head}: ${response?.status}, ${response?.body.length} bytes`)
  }
})
