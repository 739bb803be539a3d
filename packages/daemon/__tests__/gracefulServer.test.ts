/** Servers that close while calls are in progress, seen from their callers' connections. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { createServer as createTlsServer } from 'node:https'
import { connect as connectTls } from 'node:tls'
import { test } from 'node:test'
import { closeGracefully, closeServer, countOpenCalls, getCurrentTime, trackConnections } from '@lynxcourse/daemon'
import type { ConnectionTracker } from '@lynxcourse/daemon'
import { createCertificateAuthority } from './support/certificates.js'
import type { TlsIdentity } from './support/certificates.js'

const answerDelayMs = 150
const limitMs = 3000
/** Larger than the buffers of both sockets. */
const largeBytes = 16_000_000

interface TestServer extends AsyncDisposable {
  readonly server: Server
  readonly tracker: ConnectionTracker
  readonly port: number
  /** Paths of the requests that were handled. */
  readonly handled: string[]
}

async function startServer (handler: (req: IncomingMessage, res: ServerResponse) => void, identity?: TlsIdentity): Promise<TestServer> {
  const handled: string[] = []
  const listener = (req: IncomingMessage, res: ServerResponse): void => {
    handled.push(req.url ?? '')
    handler(req, res)
  }
  const server = identity === undefined ? createServer(listener) : createTlsServer(identity, listener)
  const tracker = trackConnections(server)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return { server, tracker, port: (server.address() as AddressInfo).port, handled, [Symbol.asyncDispose]: async () => await closeServer(server) }
}

function answerLate (_req: IncomingMessage, res: ServerResponse): void {
  setTimeout(() => res.end('whole'), answerDelayMs)
}

interface Caller {
  readonly socket: Socket
  readonly text: () => string
  /** Resolves when the connection has closed, with the error that closed it. */
  readonly closed: Promise<string | undefined>
}

async function connectCaller (port: number, hasTls = false): Promise<Caller> {
  const socket = hasTls ? connectTls({ port, host: '127.0.0.1', rejectUnauthorized: false }) : connect(port, '127.0.0.1')
  let text = ''
  let error: string | undefined
  socket.setEncoding('latin1')
  socket.on('data', (chunk: string) => { text += chunk })
  socket.on('error', err => { error = String(err) })
  const closed = new Promise<string | undefined>(resolve => socket.once('close', () => resolve(error)))
  await once(socket, hasTls ? 'secureConnect' : 'connect')
  return { socket, text: () => text, closed }
}

function formatGet (path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: a.example\r\n\r\n`
}

async function waitUntil (condition: () => boolean): Promise<void> {
  const end = Date.now() + limitMs
  while (!condition()) {
    assert.ok(Date.now() < end, 'the condition was not met in time')
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}

for (const hasTls of [false, true]) {
  // Guards against a call that is cut, or a stop that waits for connections that have no call.
  test(`a call in progress gets its whole answer with connection: close, and connections without a call close, ${hasTls ? 'with' : 'without'} TLS`, async () => {
    await using site = await startServer(answerLate, hasTls ? await (await createCertificateAuthority()).sign('vm:vm-1') : undefined)
    const [busy, kept, unused] = [await connectCaller(site.port, hasTls), await connectCaller(site.port, hasTls), await connectCaller(site.port, hasTls)]
    kept.socket.write(formatGet('/kept'))
    await waitUntil(() => kept.text().endsWith('whole'))
    busy.socket.write(formatGet('/busy'))
    await waitUntil(() => countOpenCalls(site.tracker) === 1)
    const startedAt = getCurrentTime()
    assert.equal(await closeGracefully(site.tracker, startedAt + limitMs), 0)
    assert.ok(getCurrentTime() - startedAt < limitMs / 2)
    for (const caller of [busy, kept, unused]) assert.equal(await caller.closed, undefined)
    assert.match(busy.text(), /connection: close\r\n[^]*whole$/i)
    assert.equal(unused.text(), '')
  })
}

// Guards against a connection that closes between two calls of a caller that always has one under way.
test('a caller that sends the next call after each answer gets a whole answer to every call', async () => {
  await using site = await startServer((_req, res) => res.end('whole'))
  const caller = await connectCaller(site.port)
  let sent = 0
  const send = (): void => {
    sent += 1
    caller.socket.write(formatGet(`/${sent}`))
  }
  caller.socket.on('data', () => { if (!/connection: close/i.test(caller.text())) send() })
  send()
  await waitUntil(() => sent > 100)
  assert.equal(await closeGracefully(site.tracker, getCurrentTime() + limitMs), 0)
  assert.equal(await caller.closed, undefined)
  assert.equal(caller.text().split('whole').length - 1, sent)
})

// Guards against answers that are dropped because an earlier one on the connection has closed it.
test('pipelined calls are all answered, and only the last answer closes the connection', async () => {
  await using site = await startServer(answerLate)
  const caller = await connectCaller(site.port)
  caller.socket.write(formatGet('/1'))
  await waitUntil(() => site.handled.length === 1)
  const closing = closeGracefully(site.tracker, getCurrentTime() + limitMs)
  caller.socket.write(formatGet('/2') + formatGet('/3'))
  assert.equal(await closing, 0)
  assert.equal(await caller.closed, undefined)
  assert.equal(caller.text().split('whole').length - 1, 3)
  assert.equal(caller.text().match(/connection: close/gi)?.length, 1)
  assert.ok(caller.text().lastIndexOf('HTTP/1.1') < caller.text().search(/connection: close/i))
})

// Guards against a reset that discards the part of an answer that the caller has not received: it sent bytes that were not read.
test('a slow caller that keeps sending gets the whole of a large answer, and its later calls are not executed', async () => {
  await using site = await startServer((_req, res) => { setTimeout(() => res.end(Buffer.alloc(largeBytes, 'a')), answerDelayMs) })
  const caller = await connectCaller(site.port)
  caller.socket.write(formatGet('/large'))
  await waitUntil(() => countOpenCalls(site.tracker) === 1)
  const closing = closeGracefully(site.tracker, getCurrentTime() + limitMs * 2)
  await once(caller.socket, 'data')
  caller.socket.pause()
  await new Promise(resolve => setTimeout(resolve, answerDelayMs))
  caller.socket.write(formatGet('/later').repeat(1000))
  caller.socket.resume()
  assert.equal(await closing, 0)
  assert.equal(await caller.closed, undefined)
  assert.equal(caller.text().split('\r\n\r\n')[1]?.length, largeBytes)
  assert.deepEqual(site.handled, ['/large'])
})

// Guards against the same loss where the last answer is sent before the request's body was read.
test('a caller whose body is refused unread gets the whole answer', async () => {
  await using site = await startServer((_req, res) => { setTimeout(() => res.writeHead(413, { 'content-length': 9 }).end('too large'), answerDelayMs) })
  const caller = await connectCaller(site.port)
  caller.socket.write(`POST /body HTTP/1.1\r\nhost: a.example\r\ncontent-length: ${largeBytes}\r\n\r\n`)
  caller.socket.write('x'.repeat(largeBytes / 2))
  await waitUntil(() => countOpenCalls(site.tracker) === 1)
  assert.equal(await closeGracefully(site.tracker, getCurrentTime() + limitMs), 0)
  assert.equal(await caller.closed, undefined)
  assert.match(caller.text(), /413[^]*too large$/)
})

// Guards against a stop that never ends.
test('calls that are not answered by the deadline are counted and their connections destroyed', async () => {
  await using site = await startServer(() => undefined)
  const caller = await connectCaller(site.port)
  caller.socket.write(formatGet('/never'))
  await waitUntil(() => countOpenCalls(site.tracker) === 1)
  const startedAt = getCurrentTime()
  assert.equal(await closeGracefully(site.tracker, startedAt + 300), 1)
  assert.ok(getCurrentTime() - startedAt < limitMs)
  await caller.closed
  assert.equal(caller.text(), '')
})
