/** Large answers, which are forwarded to callers while they are received from servers. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { ServerResponse } from 'node:http'
import { test } from 'node:test'
import { request } from 'undici'
import { brandId } from '@lynxcourse/base'
import type { ServerId } from '@lynxcourse/base'
import { delay, leaveFleet } from '@lynxcourse/daemon'
import type { FleetDaemon } from '@lynxcourse/daemon'
import { createRouteToDesk, publishRoutes, sendRequest, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture, TestServer } from './support/fleetFixture.js'

const largeBytes = 540_000
const large = Buffer.from(Array.from({ length: largeBytes }, (_, index) => index % 251))
const timeoutMs = 5000
const routes = [createRouteToDesk('export', { hasLargeAnswers: true, timeoutMs, maxAttempts: 3 }), createRouteToDesk('read')]

type Gateway = NonNullable<FleetDaemon['gateway']>

async function startFixture (servers: readonly TestServer[], linkMbps: number | undefined = 1000): Promise<FleetFixture> {
  const fixture = await startFleetFixture(1)
  await publishRoutes(fixture, servers, routes)
  const { node } = getEntry(fixture)
  node.cfg = { ...node.cfg, capacity: { cores: undefined, linkMbps } }
  return fixture
}

function getEntry (fixture: FleetFixture): FleetDaemon {
  return fixture.daemons.at(-1) as FleetDaemon
}

function getGateway (fixture: FleetFixture): Gateway {
  return getEntry(fixture).gateway as Gateway
}

async function fetchExport (fixture: FleetFixture): Promise<{ status: number, body: Buffer, length: unknown }> {
  const res = await request(`http://${fixture.settings.at(-1)?.callers}/export/1`, { headers: { host: 'a.example' } })
  return { status: res.statusCode, body: Buffer.from(await res.body.arrayBuffer()), length: res.headers['content-length'] }
}

/** Opens a connection to the entry VM that sends raw bytes. */
function connectCaller (fixture: FleetFixture, text: string): { socket: Socket, read: () => Buffer, end: Promise<'end' | 'reset'> } {
  const [host, port] = (fixture.settings.at(-1)?.callers ?? '').split(':')
  const socket = connect({ host: host ?? '', port: Number(port) })
  const chunks: Buffer[] = []
  socket.on('data', chunk => chunks.push(chunk))
  const end = new Promise<'end' | 'reset'>(resolve => {
    socket.once('end', () => resolve('end'))
    socket.once('error', () => resolve('reset'))
  })
  socket.write(text)
  return { socket, read: () => Buffer.concat(chunks), end }
}

function buildGet (path: string, version = '1.1'): string {
  return `GET ${path} HTTP/${version}\r\nHost: a.example\r\n\r\n`
}

for (const hasLength of [true, false]) {
  test(`a large answer ${hasLength ? 'with a length' : 'without a length'} arrives unchanged`, async () => {
    await using server = await startTestServer('s1', (_req, res) => { res.writeHead(200, hasLength ? { 'content-length': largeBytes } : {}).end(large) })
    await using fixture = await startFixture([server])
    const { status, body, length } = await fetchExport(fixture)
    assert.deepEqual([status, body.equals(large), length], [200, true, hasLength ? String(largeBytes) : undefined])
    assert.equal((await getEntry(fixture).node.metrics.largeAnswerBytes.get()).values[0]?.value, largeBytes)
    await waitUntil(() => getGateway(fixture).open === 0)
    assert.equal(getGateway(fixture).link.pacing.answers.size, 0)
  })
}

test('small answers, and all answers without a known link, are read whole as on other routes', async () => {
  await using server = await startTestServer('s1', (req, res) => res.end(req.url === '/export/small' ? 'small' : large))
  await using fixture = await startFixture([server])
  assert.equal((await sendRequest(fixture, '/export/small')).body, 'small')
  assert.equal((await sendRequest(fixture, '/read/1')).body.length > 0, true)
  const { node } = getEntry(fixture)
  node.cfg = { ...node.cfg, capacity: undefined }
  assert.ok((await fetchExport(fixture)).body.equals(large))
  assert.equal((await node.metrics.largeAnswerBytes.get()).values[0]?.value, 0)
})

type Ending = (res: ServerResponse) => void
const endings: Array<[string, Ending]> = [
  ['closes its connection', res => { res.writeHead(200, { 'content-length': largeBytes }).write(large.subarray(0, 200_000), () => res.socket?.destroySoon()) }],
  ['resets its connection', res => { res.writeHead(200, { 'content-length': largeBytes }).write(large.subarray(0, 200_000), () => setTimeout(() => res.socket?.resetAndDestroy(), 50)) }],
  ['breaks off a chunked answer', res => { res.writeHead(200).write(large.subarray(0, 200_000), () => res.socket?.destroySoon()) }]
]
for (const [name, end] of endings) {
  for (const version of ['1.1', '1.0']) {
    /** Guards against a truncated answer that looks complete, and against a second run after a part has gone out. */
    test(`if the server ${name}, the connection of the HTTP/${version} caller is reset and nothing is repeated`, async () => {
      await using first = await startTestServer('s1', (_req, res) => end(res))
      await using second = await startTestServer('s2', (_req, res) => end(res))
      await using fixture = await startFixture([first, second])
      const caller = connectCaller(fixture, buildGet('/export/1', version))
      assert.equal(await caller.end, 'reset')
      assert.ok(caller.read().length > 16_384 && caller.read().length < largeBytes)
      assert.equal(first.requests.length + second.requests.length, 1)
      await waitUntil(() => getGateway(fixture).open === 0)
    })
  }
}

/** Guards against VMs that end by themselves: the HTTP client fails if a connection that it has paused closes within such an answer. */
test('answers that end with their connection are read whole: complete ones are delivered, reset ones fail', async () => {
  const whole: Ending = res => { res.writeHead(200, { connection: 'close', 'content-length': largeBytes }).end(large) }
  const cut: Ending = res => {
    res.socket?.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n')
    res.socket?.write(large.subarray(0, 200_000), () => setTimeout(() => res.socket?.resetAndDestroy(), 50))
  }
  let isCut = false
  await using server = await startTestServer('s1', (_req, res) => (isCut ? cut : whole)(res))
  await using fixture = await startFixture([server])
  assert.ok((await fetchExport(fixture)).body.equals(large))
  isCut = true
  assert.ok((await sendRequest(fixture, '/export/1')).status >= 500)
  assert.equal((await getEntry(fixture).node.metrics.largeAnswerBytes.get()).values[0]?.value, 0)
})

test('an answer that breaks off before a part has gone out is replaced by another server\'s', async () => {
  let broken = 0
  const answer = (res: ServerResponse): void => {
    if (broken++ === 0) res.writeHead(200).write(large.subarray(0, 9000), () => res.socket?.destroySoon())
    else res.end(large)
  }
  await using first = await startTestServer('s1', (_req, res) => answer(res))
  await using second = await startTestServer('s2', (_req, res) => answer(res))
  await using fixture = await startFixture([first, second])
  assert.ok((await fetchExport(fixture)).body.equals(large))
  assert.deepEqual([first.requests.length, second.requests.length], [1, 1])
})

test('large answers that are not a success are read whole: they can be replaced by another server\'s', async () => {
  await using full = await startTestServer('s1', (_req, res) => res.writeHead(503, { 'lynx-not-started': '1' }).end(large))
  await using other = await startTestServer('s2', (_req, res) => res.end(large))
  await using fixture = await startFixture([full, other])
  for (let sent = 0; sent < 4; sent++) {
    const { status, body } = await fetchExport(fixture)
    assert.deepEqual([status, body.equals(large)], [200, true])
  }
})

/** Guards against a VM whose memory holds the answers of slow callers, and against servers that work for callers that left. */
test('a caller that does not read holds back the server, and frees it when it leaves', async () => {
  const part = Buffer.alloc(1_000_000)
  let sentBytes = 0
  let isFreed = false
  await using server = await startTestServer('s1', (req, res) => {
    req.socket.once('close', () => { isFreed = true })
    const send = (): void => {
      while (sentBytes < 60_000_000 && !res.destroyed) {
        sentBytes += part.length
        if (!res.write(part)) { res.once('drain', send); return }
      }
      res.end()
    }
    send()
  })
  await using fixture = await startFixture([server])
  const { socket } = connectCaller(fixture, buildGet('/export/1'))
  await once(socket, 'data')
  socket.pause()
  let before = -1
  await waitUntil(async () => {
    const isStill = before === sentBytes
    before = sentBytes
    await delay(150)
    return isStill
  })
  assert.ok(sentBytes < 40_000_000, `the server sent ${sentBytes}`)
  const { answers } = getGateway(fixture).link.pacing
  assert.deepEqual([...answers].map(({ readyBytes }) => readyBytes), [0])
  socket.destroy()
  await waitUntil(() => isFreed && getGateway(fixture).open === 0)
  assert.equal(answers.size, 0)
})

test('a server that stalls within an answer is given up at the deadline, and the caller\'s connection is reset', async () => {
  await using server = await startTestServer('s1', (_req, res) => { res.writeHead(200, { 'content-length': largeBytes }).write(large.subarray(0, 100_000)) })
  await using fixture = await startFixture([server])
  const startedAt = Date.now()
  const caller = connectCaller(fixture, 'GET /export/1 HTTP/1.1\r\nHost: a.example\r\nLynx-Deadline-Ms: 600\r\n\r\n')
  assert.equal(await caller.end, 'reset')
  assert.ok(Date.now() - startedAt < 1500)
  assert.equal(server.requests.length, 1)
})

/** Guards against a good server that gets no more requests because a caller read slowly. */
test('the time for which a caller holds an answer back does not count as the server\'s', async () => {
  await using server = await startTestServer('s1', (req, res) => { res.end(req.url === '/read/1' ? 'small' : Buffer.alloc(30_000_000)) })
  await using fixture = await startFixture([server])
  assert.equal((await sendRequest(fixture, '/read/1')).status, 200)
  const { byId } = getGateway(fixture).fleet
  for (let sent = 0; sent < 3; sent++) {
    const { socket } = connectCaller(fixture, 'GET /export/1 HTTP/1.1\r\nHost: a.example\r\nLynx-Deadline-Ms: 1500\r\n\r\n')
    await once(socket, 'data')
    socket.pause()
    await waitUntil(() => getGateway(fixture).open === 0)
    socket.destroy()
  }
  const known = byId.get(brandId<ServerId>('s1'))
  assert.deepEqual([known?.consecutiveFailures, known?.ejectedUntil], [0, -Infinity])
})

test('pipelined answers keep their order when one of them is large', async () => {
  await using server = await startTestServer('s1', (req, res) => {
    if (req.url === '/read/slow') setTimeout(() => res.end('first'), 200)
    else res.end(req.url === '/read/last' ? 'third' : large)
  })
  await using fixture = await startFixture([server])
  const caller = connectCaller(fixture, buildGet('/read/slow') + buildGet('/export/1') + buildGet('/read/last'))
  await waitUntil(() => caller.read().includes('third'))
  const text = caller.read()
  assert.ok(text.indexOf('first') < text.indexOf(large) && text.indexOf(large) > 0 && text.indexOf(large) < text.indexOf('third'))
  caller.socket.destroy()
})

/** Guards against a connection on which no answer is sent any more, since one was dropped while it waited behind earlier ones. */
test('a large answer whose time ends behind an earlier one is replaced by a failure, and later answers follow', async () => {
  await using server = await startTestServer('s1', (req, res) => {
    if (req.url === '/read/slow') setTimeout(() => res.end('first'), 900)
    else res.end(req.url === '/read/last' ? 'third' : large)
  })
  await using fixture = await startFixture([server])
  const short = buildGet('/export/1').replace('\r\n\r\n', '\r\nLynx-Deadline-Ms: 300\r\n\r\n')
  const caller = connectCaller(fixture, buildGet('/read/slow') + short + buildGet('/read/last'))
  await waitUntil(() => caller.read().includes('third'))
  assert.deepEqual([...caller.read().toString('latin1').matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status), ['200', '504', '200'])
  caller.socket.destroy()
})

test('a planned stop waits for large answers in progress', async () => {
  await using server = await startTestServer('s1', (_req, res) => {
    res.writeHead(200, { 'content-length': largeBytes }).write(large.subarray(0, 100_000))
    setTimeout(() => res.end(large.subarray(100_000)), 700)
  })
  await using fixture = await startFixture([server])
  const answer = fetchExport(fixture)
  await waitUntil(() => getGateway(fixture).link.pacing.answers.size === 1)
  const leaving = leaveFleet(getEntry(fixture))
  assert.ok((await answer).body.equals(large))
  await leaving
})

/** Guards against a small answer that waits behind large ones. */
test('on a link of low bandwidth, large answers are written at less than the rate of the link', async () => {
  await using server = await startTestServer('s1', (_req, res) => { res.end(large) })
  await using fixture = await startFixture([server], 20)
  const startedAt = Date.now()
  assert.ok((await fetchExport(fixture)).body.equals(large))
  const tookMs = Date.now() - startedAt
  // 540 KB at 80 % of 20 Mbit/s take 270 ms, of which a burst of 28 KB saves 14 ms.
  assert.ok(tookMs > 240 && tookMs < 1500, `${tookMs} ms`)
})
