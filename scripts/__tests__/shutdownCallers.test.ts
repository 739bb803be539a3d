/** Tests the shutdown rig's answer reader, forwarder, callers and backend servers. */
import assert from 'node:assert/strict'
import { createServer as createHttpServer } from 'node:http'
import type { RequestListener } from 'node:http'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { test } from 'node:test'
import { request } from 'undici'
import { defaultWeights, planAnswer } from '../shutdown/answerPlan.js'
import type { AnswerBasis } from '../shutdown/answerPlan.js'
import { startCaller } from '../shutdown/callers.js'
import type { CallerOptions } from '../shutdown/callers.js'
import { startForwarder } from '../shutdown/forwarder.js'
import { createRequestText } from '../shutdown/requestParts.js'
import { MalformedAnswerError, ResponseReader } from '../shutdown/responseReader.js'
import type { ReceivedAnswer } from '../shutdown/responseReader.js'
import { startServers } from '../shutdown/servers.js'
import { createText, isWholeText } from '../shutdown/texts.js'
import { createShutdownHistory } from '../shutdown/types.js'
import type { AnswerKind, CallerHabit, ObservedRequest, ShutdownHistory } from '../shutdown/types.js'
import { sleep, waitUntil } from '../support/processes.js'

const threeAnswers = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Two: a\r\nx-two: b\r\n\r\nhello' +
  'HTTP/1.1 100 Continue\r\n\r\n' +
  'HTTP/1.1 204 No Content\r\n\r\n' +
  'HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\nConnection: Close\r\nRetry-After: 0.250\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n'

function createReader (): { reader: ResponseReader, answers: ReceivedAnswer[] } {
  const answers: ReceivedAnswer[] = []
  return { reader: new ResponseReader(answer => answers.push(answer)), answers }
}

function describe (answers: readonly ReceivedAnswer[]): string[] {
  return answers.map(({ status, headers, body }) => `${status} ${headers.get('x-two') ?? '-'} ${body.toString()}`)
}

test('the reader finds the same answers wherever the bytes are split', () => {
  const bytes = Buffer.from(threeAnswers)
  for (let split = 0; split <= bytes.length; split++) {
    const { reader, answers } = createReader()
    reader.push(bytes.subarray(0, split))
    reader.push(bytes.subarray(split))
    assert.deepEqual(describe(answers), ['200 a, b hello', '204 - ', '503 - abcde'])
    assert.equal(reader.partialBytes, 0)
    assert.equal(reader.extraBytes, 0)
    assert.equal(reader.hasSeenClose, true)
  }
  const { reader, answers } = createReader()
  for (const byte of bytes) reader.push(Buffer.from([byte]))
  assert.equal(answers.length, 3)
})

test('the reader takes no truncated answer for a whole one', () => {
  for (const answer of ['HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n']) {
    for (let length = 1; length < answer.length; length++) {
      const { reader, answers } = createReader()
      reader.push(Buffer.from(answer.slice(0, length)))
      reader.end()
      assert.equal(answers.length, 0)
      assert.equal(reader.partialBytes, length)
    }
  }
})

test('the reader completes an answer without a length at the end of the connection', () => {
  const { reader, answers } = createReader()
  reader.push(Buffer.from('HTTP/1.1 200 OK\r\n\r\nsome'))
  assert.equal(answers.length, 0)
  assert.equal(reader.hasSeenClose, true)
  reader.end()
  assert.deepEqual(describe(answers), ['200 - some'])
})

test('the reader sees `Connection: close` before the body, and counts bytes after the last answer', () => {
  const { reader, answers } = createReader()
  reader.push(Buffer.from('HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n'))
  assert.equal(reader.hasSeenClose, true)
  assert.equal(answers.length, 0)
  reader.push(Buffer.from('okHTTP/1.1'))
  assert.equal(answers.length, 1)
  assert.equal(reader.extraBytes, 8)
})

test('the reader rejects malformed answers', () => {
  for (const text of ['HTTP/1.0 200 OK\r\n', 'HTTP/1.1 20 OK\r\n', 'HTTP/1.1 200 OK\n', 'HTTP/1.1 200 OK\r\nbad header: x\r\n', 'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n', 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n']) {
    assert.throws(() => createReader().reader.push(Buffer.from(text)), MalformedAnswerError, text)
  }
})

test('a text is whole only if it is complete and of the same author and id', () => {
  const text = createText('server-1', 'a-1', 500)
  assert.equal(text.length, 500)
  assert.equal(isWholeText(text, 'server-1', 'a-1'), true)
  assert.equal(isWholeText(text.slice(0, -1), 'server-1', 'a-1'), false)
  assert.equal(isWholeText(`${text}0`, 'server-1', 'a-1'), false)
  assert.equal(isWholeText(text, 'server-2', 'a-1'), false)
  assert.equal(isWholeText(text, 'server-1', 'a-2'), false)
})

/** A plain TCP server and the connections that it accepted. */
interface TcpServer extends AsyncDisposable { readonly address: string, readonly accepted: Promise<Socket> }

async function listen (server: Server): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

async function startTcpServer (): Promise<TcpServer> {
  const sockets: Socket[] = []
  let accept = (_socket: Socket): void => undefined
  const accepted = new Promise<Socket>(resolve => { accept = resolve })
  const server = createServer({ allowHalfOpen: true }, socket => {
    socket.on('error', () => undefined)
    sockets.push(socket)
    accept(socket)
  })
  const address = await listen(server)
  return {
    address,
    accepted,
    [Symbol.asyncDispose]: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise<void>(resolve => server.close(() => resolve()))
    }
  }
}

async function connectTo (address: string): Promise<Socket> {
  const [host, port] = address.split(':')
  const socket = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true })
  socket.on('error', () => undefined)
  await new Promise(resolve => socket.once('connect', resolve))
  return socket
}

async function readAll (socket: Socket): Promise<string> {
  const chunks: Buffer[] = []
  socket.on('data', chunk => chunks.push(chunk))
  await new Promise(resolve => socket.once('end', resolve))
  return Buffer.concat(chunks).toString()
}

async function waitForError (socket: Socket): Promise<string | undefined> {
  return await new Promise(resolve => socket.once('error', err => resolve((err as NodeJS.ErrnoException).code)))
}

const fastLink = { delayMs: 5, bytesPerSecond: Infinity }

test('the forwarder forwards half-closes in both directions', async () => {
  await using server = await startTcpServer()
  await using forwarder = await startForwarder(server.address, fastLink)
  const near = await connectTo(forwarder.address)
  near.end('question')
  const far = await server.accepted
  assert.equal(await readAll(far), 'question')
  assert.equal(near.destroyed, false)
  const answer = readAll(near)
  far.end('answer')
  assert.equal(await answer, 'answer')
})

test('the forwarder forwards a reset after the bytes before it', async () => {
  await using server = await startTcpServer()
  await using forwarder = await startForwarder(server.address, { delayMs: 30, bytesPerSecond: Infinity })
  const near = await connectTo(forwarder.address)
  const far = await server.accepted
  const received: Buffer[] = []
  near.on('data', chunk => received.push(chunk))
  const error = waitForError(near)
  far.write('before')
  await sleep(10)
  far.resetAndDestroy()
  assert.equal(await error, 'ECONNRESET')
  assert.equal(Buffer.concat(received).toString(), 'before')
})

test('the forwarder resets a connection that its target refuses, and tells the caller why', async () => {
  const closed = await startTcpServer()
  await closed[Symbol.asyncDispose]()
  await using forwarder = await startForwarder(closed.address, fastLink)
  const near = await connectTo(forwarder.address)
  await assert.rejects(forwarder.whenConnected(near.localPort ?? 0), { code: 'ECONNREFUSED' })
})

test('the forwarder forwards the reset of a caller, and discards what was on its way to the caller', async () => {
  await using server = await startTcpServer()
  await using forwarder = await startForwarder(server.address, { delayMs: 30, bytesPerSecond: Infinity })
  const near = await connectTo(forwarder.address)
  near.write('question')
  const far = await server.accepted
  const received: Buffer[] = []
  far.on('data', chunk => received.push(chunk))
  const error = waitForError(far)
  await sleep(60)
  far.write('answer')
  near.resetAndDestroy()
  assert.equal(await error, 'ECONNRESET')
  assert.equal(Buffer.concat(received).toString(), 'question')
})

test('the forwarder ends a connection whose caller resets it after its half-close', async () => {
  await using server = await startTcpServer()
  await using forwarder = await startForwarder(server.address, fastLink)
  const near = await connectTo(forwarder.address)
  near.write('question')
  const far = await server.accepted
  near.end()
  assert.equal(await readAll(far), 'question')
  const error = waitForError(far)
  // A socket with unread bytes is reset when it is closed.
  near.pause()
  far.write('answer')
  await sleep(50)
  near.destroy()
  await sleep(50)
  const timer = setInterval(() => { if (far.writable) far.write('more') }, 10)
  const code = await error
  clearInterval(timer)
  assert.ok(code === 'ECONNRESET' || code === 'EPIPE', code)
})

test('the forwarder resets a caller that sends to a closed target', async () => {
  await using server = await startTcpServer()
  await using forwarder = await startForwarder(server.address, fastLink)
  const near = await connectTo(forwarder.address)
  const far = await server.accepted
  near.resume()
  const ended = new Promise(resolve => near.once('end', resolve))
  far.destroy()
  await ended
  const error = waitForError(near)
  const timer = setInterval(() => { if (near.writable) near.write('question') }, 10)
  const code = await error
  clearInterval(timer)
  assert.ok(code === 'ECONNRESET' || code === 'EPIPE', code)
})

test('the forwarder delays bytes and keeps their order', async () => {
  await using server = await startTcpServer()
  await using forwarder = await startForwarder(server.address, { delayMs: 60, bytesPerSecond: Infinity })
  const near = await connectTo(forwarder.address)
  const far = await server.accepted
  const from = performance.now()
  const received = readAll(far).then(text => ({ text, afterMs: performance.now() - from }))
  const lines = Array.from({ length: 200 }, (_, index) => `line ${index}\n`)
  for (const line of lines) near.write(line)
  near.end()
  const { text, afterMs } = await received
  assert.equal(text, lines.join(''))
  assert.ok(afterMs >= 55, `arrived after ${afterMs} ms`)
  near.destroy()
})

test('the forwarder limits the bandwidth', async () => {
  await using server = await startTcpServer()
  await using forwarder = await startForwarder(server.address, { delayMs: 1, bytesPerSecond: 500_000 })
  const near = await connectTo(forwarder.address)
  const far = await server.accepted
  const from = performance.now()
  const received = readAll(far).then(text => ({ length: text.length, afterMs: performance.now() - from }))
  near.end(Buffer.alloc(200_000, 'x'))
  const { length, afterMs } = await received
  assert.equal(length, 200_000)
  assert.ok(afterMs >= 380, `arrived after ${afterMs} ms`)
  near.destroy()
})

test('a forwarder whose receiver does not read stops taking bytes from the sender', async () => {
  await using server = await startTcpServer()
  await using forwarder = await startForwarder(server.address, fastLink)
  const near = await connectTo(forwarder.address)
  const far = await server.accepted
  far.pause()
  const total = 64 * 1024 * 1024
  let isTaken = false
  near.write(Buffer.alloc(total), () => { isTaken = true })
  await sleep(400)
  assert.equal(isTaken, false)
  near.end()
  let length = 0
  far.on('data', chunk => { length += chunk.length })
  far.resume()
  await new Promise(resolve => far.once('end', resolve))
  assert.equal(length, total)
  near.destroy()
})

/** A plain HTTP server in the place of a VM. */
interface FakeVm extends AsyncDisposable {
  readonly address: string
  /** Greatest number of requests on one connection. */
  readonly mostPerConnection: () => number
  /** Greatest number of unanswered requests on one connection. */
  readonly mostOutstanding: () => number
  /** How often a connection had no request in progress between two requests. */
  readonly idleMoments: () => number
}

interface ConnectionCount { total: number, outstanding: number }

async function startFakeVm (answer: (id: string, req: Parameters<RequestListener>[0], res: Parameters<RequestListener>[1]) => void, httpAllowHalfOpen = false): Promise<FakeVm> {
  const counts = new Map<Socket, ConnectionCount>()
  let mostPerConnection = 0
  let mostOutstanding = 0
  let idleMoments = 0
  const server = createHttpServer((req, res) => {
    const count = counts.get(req.socket) ?? { total: 0, outstanding: 0 }
    counts.set(req.socket, count)
    if (count.total > 0 && count.outstanding === 0) idleMoments += 1
    count.total += 1
    count.outstanding += 1
    res.once('finish', () => { count.outstanding -= 1 })
    mostPerConnection = Math.max(mostPerConnection, count.total)
    mostOutstanding = Math.max(mostOutstanding, count.outstanding)
    req.resume()
    req.once('end', () => answer(String(req.headers['idempotency-key']), req, res))
  })
  Object.assign(server, { httpAllowHalfOpen })
  const address = await listen(server)
  return {
    address,
    mostPerConnection: () => mostPerConnection,
    mostOutstanding: () => mostOutstanding,
    idleMoments: () => idleMoments,
    [Symbol.asyncDispose]: async () => {
      const closed = new Promise<void>(resolve => server.close(() => resolve()))
      server.closeAllConnections()
      await closed
    }
  }
}

function answerWhole (id: string, res: Parameters<RequestListener>[1], bytes = 300): void {
  res.setHeader('lynx-server', 'server-0').setHeader('idempotency-key', id).end(createText('server-0', id, bytes))
}

const basis: AnswerBasis = { seed: 3, weights: defaultWeights, limitMs: 1000, habit: undefined, isSecondTry: false }

function createOptions (habit: CallerHabit, address: string, history: ShutdownHistory, overrides: Partial<CallerOptions> = {}): CallerOptions {
  return { name: habit, habit, seed: 7, requestsPerSecond: 60, limitsMs: [1000], abandonShare: 0, idempotentShare: 0.5, idempotentPath: '/read/', otherPath: '/offer/', history, getTarget: () => ({ vm: 'entry-0', address }), ...overrides }
}

async function runCaller (options: CallerOptions, ms = 500): Promise<ObservedRequest[]> {
  const caller = startCaller(options)
  await sleep(ms)
  await caller.stop(5000)
  return [...options.history.requests.values()]
}

const habitNames: readonly CallerHabit[] = ['pool', 'fresh', 'pipeline', 'busyPipeline', 'slowBody', 'slowReader', 'halfClose', 'announcedClose']

for (const habit of habitNames) {
  test(`a caller with the habit ${habit} gets whole answers and records all times`, async () => {
    const history = createShutdownHistory()
    await using vm = await startFakeVm((id, _req, res) => { setTimeout(() => answerWhole(id, res), habit === 'busyPipeline' ? 400 : 20) }, habit === 'halfClose')
    await using forwarder = await startForwarder(vm.address, fastLink)
    const requests = await runCaller(createOptions(habit, vm.address, history, { getTarget: () => ({ vm: 'entry-0', address: vm.address, forwarder }) }))
    assert.ok(requests.length >= 4, `${requests.length} requests`)
    assert.deepEqual(history.anomalies, [])
    for (const { startedAt, sentAt, endedAt, end } of requests) {
      assert.deepEqual(end, { type: 'whole', status: 200, isFromServer: true, retryAfterMs: undefined })
      assert.ok(sentAt !== undefined && endedAt !== undefined && startedAt <= sentAt && sentAt <= endedAt)
    }
    const reuses = habit !== 'fresh' && habit !== 'halfClose' && habit !== 'announcedClose'
    assert.equal(vm.mostPerConnection() > 1, reuses)
    assert.equal(vm.mostOutstanding() > 1, habit === 'pipeline' || habit === 'busyPipeline')
    if (habit === 'busyPipeline') assert.equal(vm.idleMoments(), 0)
  })
}

/** Records what arrives on the first connection of a caller, and never answers. */
async function recordFirstConnection (habit: CallerHabit): Promise<{ readonly text: string, readonly pieces: number, readonly hasEnded: boolean }> {
  await using server = await startTcpServer()
  const caller = startCaller(createOptions(habit, server.address, createShutdownHistory()))
  const socket = await server.accepted
  const chunks: Buffer[] = []
  let hasEnded = false
  socket.on('data', chunk => chunks.push(chunk))
  socket.on('end', () => { hasEnded = true })
  await sleep(1500)
  const result = { text: Buffer.concat(chunks).toString(), pieces: chunks.length, hasEnded }
  await caller[Symbol.asyncDispose]()
  return result
}

test('a caller that closes its half does so before the answer, others keep it open', async () => {
  assert.equal((await recordFirstConnection('halfClose')).hasEnded, true)
  assert.equal((await recordFirstConnection('fresh')).hasEnded, false)
})

test('a caller announces the close of its connections only if that is its habit', async () => {
  assert.match((await recordFirstConnection('announcedClose')).text, /\r\nconnection: close\r\n/)
  assert.doesNotMatch((await recordFirstConnection('fresh')).text, /\r\nconnection:/)
})

test('a slow body arrives whole and in pieces', async () => {
  const { text, pieces } = await recordFirstConnection('slowBody')
  const [head = '', rest = ''] = text.split('\r\n\r\n', 2)
  const id = /idempotency-key: (\S+)/.exec(head)?.[1] ?? ''
  const body = head.includes('chunked') ? rest.split('\r\n').filter((_, index) => index % 2 === 1).join('') : rest
  assert.ok(pieces >= 3, `${pieces} pieces`)
  assert.equal(isWholeText(body, 'caller', id), true)
})

test('the answer to a request that is not sent completely is recorded, and the rest is not sent', async () => {
  const history = createShutdownHistory()
  await using server = await startTcpServer()
  const caller = startCaller(createOptions('slowBody', server.address, history, { requestsPerSecond: 1 }))
  const socket = await server.accepted
  socket.once('data', () => socket.write('HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n'))
  const text = await readAll(socket)
  assert.ok(text.length < createRequestText('', 3000).length, `${text.length} bytes`)
  socket.end()
  const [first] = history.requests.values()
  await caller[Symbol.asyncDispose]()
  assert.equal(first?.end?.type, 'whole')
  assert.equal(first.sentAt, undefined)
})

test('a caller through a forwarder sends nothing to a VM that refuses the connection', async () => {
  const history = createShutdownHistory()
  const refusing = await startTcpServer()
  await refusing[Symbol.asyncDispose]()
  await using forwarder = await startForwarder(refusing.address, fastLink)
  const caller = startCaller(createOptions('fresh', refusing.address, history, { getTarget: () => ({ vm: 'entry-0', address: refusing.address, forwarder }) }))
  await sleep(200)
  await caller.stop(1000)
  assert.ok(caller.connectFailures > 1)
  assert.equal(history.requests.size, 0)
})

test('a slow reader takes long for a large answer, and gets it whole', async () => {
  const history = createShutdownHistory()
  await using vm = await startFakeVm((id, _req, res) => answerWhole(id, res, 200_000))
  const requests = await runCaller(createOptions('slowReader', vm.address, history, { requestsPerSecond: 10 }))
  assert.ok(requests.length > 0)
  for (const { sentAt, endedAt, end } of requests) {
    assert.equal(end?.type === 'whole' && end.isFromServer, true)
    assert.ok((endedAt ?? 0) - (sentAt ?? 0) >= 300)
  }
})

test('a request behind `Connection: close` is recorded as crossed, and later ones use a new connection', async () => {
  const history = createShutdownHistory()
  let answered = 0
  await using vm = await startFakeVm((id, _req, res) => {
    answered += 1
    if (answered === 5) res.setHeader('connection', 'close')
    setTimeout(() => answerWhole(id, res), 100)
  })
  const requests = await runCaller(createOptions('busyPipeline', vm.address, history), 1200)
  const details = requests.map(({ end }) => end?.type === 'broken' ? end.detail : end?.type)
  assert.ok(details.includes('crossed close'), details.join())
  assert.equal(details.at(-1), 'whole')
  assert.deepEqual([...new Set(details)].sort(), ['crossed close', 'whole'])
  assert.ok(new Set(requests.map(({ connection }) => connection)).size >= 2)
})

test('a caller sends nothing more on a connection once it has seen `Connection: close`, even before the body', async () => {
  const history = createShutdownHistory()
  let announcedAt = Infinity
  await using vm = await startFakeVm((id, _req, res) => {
    const text = createText('server-0', id, 300)
    res.writeHead(200, { connection: 'close', 'content-length': 300, 'lynx-server': 'server-0', 'idempotency-key': id }).write(text.slice(0, 100))
    announcedAt = Math.min(announcedAt, performance.now())
    setTimeout(() => res.end(text.slice(100)), 800)
  })
  const requests = await runCaller(createOptions('busyPipeline', vm.address, history), 1000)
  const first = requests.filter(({ connection }) => connection === requests[0]?.connection)
  assert.equal(first[0]?.end?.type, 'whole')
  for (const { startedAt } of first) assert.ok(startedAt < announcedAt + 500)
  assert.ok(first.length < requests.length)
})

test('truncated and reset answers are recorded as broken', async () => {
  for (const [isReset, detail] of [[true, 'ECONNRESET'], [false, 'end']] as const) {
    const history = createShutdownHistory()
    await using vm = await startFakeVm((_id, req, res) => {
      res.writeHead(200, { 'content-length': 100 }).write('half')
      setTimeout(() => { if (isReset) req.socket.resetAndDestroy(); else req.socket.end() }, 30)
    })
    const requests = await runCaller(createOptions('fresh', vm.address, history))
    assert.ok(requests.length > 0)
    for (const { end } of requests) assert.ok(end?.type === 'broken' && end.detail === detail && end.receivedBytes > 50, JSON.stringify(end))
  }
})

test('an answer that is not complete or not its server\'s is not counted as from a server', async () => {
  const history = createShutdownHistory()
  await using vm = await startFakeVm((id, _req, res) => { res.setHeader('lynx-server', 'server-0').setHeader('idempotency-key', id).end(createText('server-0', id, 300).slice(1)) })
  const requests = await runCaller(createOptions('pool', vm.address, history), 200)
  assert.ok(requests.length > 0)
  for (const { end } of requests) assert.equal(end?.type === 'whole' && end.isFromServer, false)
  assert.equal(history.anomalies.length, requests.length)
})

test('an answer without a request is an anomaly', async () => {
  const history = createShutdownHistory()
  await using vm = await startFakeVm((id, req, res) => {
    answerWhole(id, res)
    res.once('finish', () => setTimeout(() => req.socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'), 5))
  })
  await runCaller(createOptions('pool', vm.address, history, { requestsPerSecond: 5 }))
  assert.ok(history.anomalies.some(({ detail }) => detail === 'answer 200 without a request'))
})

test('a caller abandons requests at their limit and closes the connection', async () => {
  const history = createShutdownHistory()
  let closed = 0
  await using vm = await startFakeVm((_id, _req, res) => { res.once('close', () => { closed += 1 }) })
  const requests = await runCaller(createOptions('pool', vm.address, history, { limitsMs: [100], abandonShare: 1 }))
  assert.ok(requests.length > 0)
  for (const { startedAt, endedAt, end } of requests) {
    assert.equal(end?.type, 'abandoned')
    assert.ok((endedAt ?? 0) - startedAt >= 95)
  }
  await waitUntil('all connections are closed', async () => closed === requests.length)
})

test('a caller that abandons a request of a pipeline abandons all requests on the connection', async () => {
  const history = createShutdownHistory()
  await using vm = await startFakeVm(() => undefined)
  const requests = await runCaller(createOptions('busyPipeline', vm.address, history, { limitsMs: [300], abandonShare: 1 }), 700)
  const first = requests.filter(({ connection }) => connection === requests[0]?.connection)
  assert.ok(first.length > 2)
  assert.deepEqual(new Set(first.map(({ end }) => end?.type)), new Set(['abandoned']))
  assert.equal(new Set(first.map(({ endedAt }) => endedAt)).size, 1)
  assert.ok(new Set(requests.map(({ connection }) => connection)).size >= 2)
})

test('a caller without a target sends nothing', async () => {
  const history = createShutdownHistory()
  assert.deepEqual(await runCaller(createOptions('pool', '', history, { getTarget: () => undefined }), 100), [])
})

test('a request without an answer keeps no end when its caller is stopped', async () => {
  const history = createShutdownHistory()
  await using vm = await startFakeVm(() => undefined)
  const caller = startCaller(createOptions('pool', vm.address, history))
  await sleep(100)
  await caller.stop(100)
  const requests = [...history.requests.values()]
  assert.ok(requests.length > 0)
  for (const { end } of requests) assert.equal(end, undefined)
})

test('refusals and refused connections don\'t stop a caller', async () => {
  const history = createShutdownHistory()
  await using vm = await startFakeVm((_id, _req, res) => { res.writeHead(503, { 'retry-after': '0.250' }).end('not run: full\n') })
  const refusing = await startTcpServer()
  await refusing[Symbol.asyncDispose]()
  let turns = 0
  const caller = startCaller(createOptions('fresh', vm.address, history, { getTarget: () => ({ vm: 'entry-0', address: turns++ % 2 === 0 ? refusing.address : vm.address }) }))
  await sleep(400)
  await caller.stop(1000)
  assert.ok(caller.connectFailures > 1)
  assert.ok(history.requests.size > 1)
  for (const { end } of history.requests.values()) assert.deepEqual(end, { type: 'whole', status: 503, isFromServer: false, retryAfterMs: 250, text: 'not run: full' })
})

test('a caller that follows lookups sends nothing more on connections to a VM that is no longer named', async () => {
  const history = createShutdownHistory()
  await using first = await startFakeVm((id, _req, res) => answerWhole(id, res))
  await using second = await startFakeVm((id, _req, res) => answerWhole(id, res))
  let named = { vm: 'entry-0', address: first.address }
  const caller = startCaller(createOptions('pool', '', history, { getTarget: () => named, isNamed: ({ vm }) => vm === named.vm }))
  await sleep(250)
  named = { vm: 'entry-1', address: second.address }
  const movedAt = performance.now()
  await sleep(250)
  await caller.stop(1000)
  const requests = [...history.requests.values()]
  assert.ok(requests.some(({ vm }) => vm === 'entry-0') && requests.some(({ vm }) => vm === 'entry-1'))
  for (const { vm, startedAt } of requests) assert.equal(vm === 'entry-1', startedAt > movedAt)
})

test('a busy pipeline is never idle at servers that answer in all ways', async () => {
  const history = createShutdownHistory()
  const weights = { ...defaultWeights, reset: 0, turnedAway: 0 }
  await using vm = await startFakeVm((id, _req, res) => {
    const plan = planAnswer(id, { ...basis, weights, habit: 'busyPipeline' })
    setTimeout(() => answerWhole(id, res), plan.delayMs + plan.pauseMs)
  })
  const requests = await runCaller(createOptions('busyPipeline', vm.address, history), 4000)
  assert.ok(requests.length > 20)
  assert.equal(new Set(requests.map(({ connection }) => connection)).size, 1)
  assert.equal(vm.idleMoments(), 0)
})

test('answers are drawn reproducibly, within the limit, and a second try is answered', () => {
  const kinds = new Set<AnswerKind>()
  for (let index = 0; index < 2000; index++) {
    const plan = planAnswer(`a-${index}`, basis)
    kinds.add(plan.kind)
    assert.deepEqual(planAnswer(`a-${index}`, basis), plan)
    assert.ok(plan.delayMs + plan.pauseMs * 3 < 1000 || plan.kind === 'headFirst')
    assert.ok(plan.delayMs + plan.pauseMs < 1000)
    const second = planAnswer(`a-${index}`, { ...basis, isSecondTry: true })
    assert.ok(second.kind !== 'turnedAway' && second.kind !== 'reset')
    assert.ok(planAnswer(`a-${index}`, { ...basis, habit: 'busyPipeline' }).delayMs >= 250)
  }
  assert.equal(kinds.size, 8)
})

function onlyKind (kind: AnswerKind): Record<AnswerKind, number> {
  return { prompt: 0, late: 0, lastMoment: 0, chunked: 0, large: 0, headFirst: 0, turnedAway: 0, reset: 0, [kind]: 1 }
}

for (const kind of Object.keys(defaultWeights) as AnswerKind[]) {
  test(`a server answers in the way ${kind} and records its run`, async () => {
    const history = createShutdownHistory()
    await using group = await startServers({ count: 2, seed: 5, history, weights: onlyKind(kind) })
    const [server] = group.servers
    const call = request(`http://${server?.address}/read/`, { headers: { 'idempotency-key': 'a-1', 'lynx-deadline-ms': '400', 'lynx-expect-server': 'server-0' } })
    if (kind === 'reset') {
      await assert.rejects(call)
    } else {
      const res = await call
      const text = await res.body.text()
      assert.equal(res.statusCode, kind === 'turnedAway' ? 503 : 200)
      assert.equal(res.headers['idempotency-key'], 'a-1')
      assert.equal(isWholeText(text, 'server-0', 'a-1'), kind !== 'turnedAway')
      assert.equal(res.headers['lynx-not-started'], kind === 'turnedAway' ? 'full' : undefined)
    }
    const [run] = history.runs
    const fails = kind === 'turnedAway' || kind === 'reset'
    await waitUntil('the run has ended', async () => run?.endedAt !== undefined)
    assert.deepEqual([run?.kind, run?.hasFailed, run?.wasCutOff, run?.hasWholeBody], [kind, fails, false, true])
    assert.ok((run?.endedAt ?? 0) >= (run?.startedAt ?? Infinity))
  })
}

test('a server stops its work when the connection closes, and refuses requests for another server', async () => {
  const history = createShutdownHistory()
  await using group = await startServers({ count: 1, seed: 5, history, weights: onlyKind('lastMoment') })
  const [server] = group.servers
  const headers = { 'idempotency-key': 'a-1', 'lynx-deadline-ms': '5000', 'lynx-expect-server': 'server-0' }
  await assert.rejects(request(`http://${server?.address}/read/`, { headers, signal: AbortSignal.timeout(100) }))
  const [run] = history.runs
  await waitUntil('the run has ended', async () => run?.endedAt !== undefined)
  assert.equal(run?.wasCutOff, true)
  assert.equal(run.hasFailed, false)
  assert.ok((run.endedAt ?? Infinity) - run.startedAt < 2000)
  const res = await request(`http://${server?.address}/read/`, { headers: { ...headers, 'lynx-expect-server': 'server-9' } })
  assert.equal(res.statusCode, 421)
  await res.body.dump()
  assert.equal(history.runs.length, 1)
})
