/** Connections of callers that a VM closes while it stops. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Socket } from 'node:net'
import { defaultFleetTimes, leaveFleet } from '@lynxcourse/daemon'
import type { FleetDaemon } from '@lynxcourse/daemon'
import type { Millis } from '@lynxcourse/base'
import { publishRoutes, createRouteToDesk, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'
import type { TestServer } from './support/fleetFixture.js'
import { createKeptLogs, findLine } from './support/keptLogs.js'
import type { LogLine } from './support/keptLogs.js'
import { asDisposable, buildGet, connectCaller } from './support/rawCaller.js'

/** An entry VM, a server whose answers are large, and a caller that is connected and does not read yet. */
interface LargeAnswerSystem extends AsyncDisposable {
  readonly entry: FleetDaemon
  readonly server: TestServer
  readonly caller: Socket
  readonly lines: readonly LogLine[]
}

async function startSystem (stopMs: Millis, answerBytes: number): Promise<LargeAnswerSystem> {
  const { logs, lines } = createKeptLogs()
  const fixture = await startFleetFixture(1, { fields: { times: { ...defaultFleetTimes, stopMs } }, logs })
  const server = await startTestServer('s1', (_req, res) => res.end(Buffer.alloc(answerBytes)))
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 10_000 })])
  const caller = connectCaller(fixture)
  caller.pause()
  return {
    entry: fixture.daemons.at(-1) as FleetDaemon,
    server,
    caller,
    lines,
    [Symbol.asyncDispose]: async () => {
      caller.destroy()
      await server[Symbol.asyncDispose]()
      await fixture[Symbol.asyncDispose]()
    }
  }
}

/** Guards against an answer that is cut off when the listener closes, since its server has sent all of it. */
test('an answer that its caller reads slowly while the listener closes arrives whole', async () => {
  const bytes = 14_000_000
  await using system = await startSystem(5000, bytes)
  const { entry, caller, lines } = system
  caller.write(buildGet('large'))
  await waitUntil(() => [...entry.gateway?.openRequests.all ?? []][0]?.step === 'writing')
  const leaving = leaveFleet(entry)
  await waitUntil(() => entry.callerServer?.listening === false)
  let received = 0
  caller.on('data', chunk => { received += chunk.length })
  caller.resume()
  await leaving
  assert.ok(received > bytes, `received ${received} bytes`)
  assert.equal(lines.some(line => line.message === 'The answer is incomplete.'), false)
})

/** Guards against a request that is sent to a server while the process ends, on a connection that had none before. */
test('a request that comes after the last answer of a stop is refused', async () => {
  const { logs, lines } = createKeptLogs()
  await using fixture = await startFleetFixture(1, { fields: { times: { ...defaultFleetTimes, stopMs: 2000 } }, logs })
  await using server = await startTestServer('s1', (_req, res) => { setTimeout(() => res.end('whole'), 400) })
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 500 })])
  const entry = fixture.daemons.at(-1) as FleetDaemon
  using caller = asDisposable(connectCaller(fixture))
  let text = ''
  caller.socket.on('data', chunk => { text += chunk.toString() })
  await waitUntil(() => entry.gateway?.connections.size === 1)
  const leaving = leaveFleet(entry)
  await waitUntil(() => lines.some(line => line.message === 'No request is open.'))
  caller.socket.write(buildGet('late'))
  await leaving
  await waitUntil(() => text !== '')
  assert.match(text, /^HTTP\/1\.1 503 /)
  assert.match(text, /\r\nconnection: close\r\n/i)
  assert.equal(server.requests.length, 0)
})

/** Guards against the rest of an answer that is lost since its caller sends another request behind the announced close. */
test('a request that crosses an announced close does not reset the connection', async () => {
  const bytes = 1_000_000
  await using system = await startSystem(2000, bytes)
  const { entry, server, caller } = system
  await waitUntil(() => entry.gateway?.connections.size === 1)
  const leaving = leaveFleet(entry)
  caller.write(buildGet('large'))
  await waitUntil(() => server.requests.length === 1 && entry.gateway?.open === 0)
  const { received, error } = await readAfterWriting(caller, buildGet('crossing'))
  assert.equal(error, undefined)
  assert.ok(received > bytes, `received ${received} bytes`)
  await leaving
})

/** Guards against the rest of an answer that is lost since its caller sends a request to a connection that was closed as idle. */
test('a request that crosses the close of an idle connection does not reset it', async () => {
  const bytes = 1_000_000
  await using system = await startSystem(800, bytes)
  const { entry, server, caller, lines } = system
  caller.write(buildGet('large'))
  await waitUntil(() => server.requests.length === 1 && entry.gateway?.open === 0)
  await leaveFleet(entry)
  assert.equal(findLine(lines, 'Listener closed.').closedIdle, 1)
  const { received, error } = await readAfterWriting(caller, buildGet('crossing'))
  assert.equal(error, undefined)
  assert.ok(received > bytes, `received ${received} bytes`)
  assert.equal(server.requests.length, 1)
})

/** Writes to a connection, then reads until it ends. */
async function readAfterWriting (socket: Socket, text: string): Promise<{ received: number, error: Error | undefined }> {
  let received = 0
  let error: Error | undefined
  socket.on('error', err => { error = err })
  socket.on('data', chunk => { received += chunk.length })
  socket.pause()
  await new Promise<void>(resolve => socket.write(text, () => resolve()))
  socket.resume()
  await new Promise<void>(resolve => socket.once('close', () => resolve()))
  return { received, error }
}
