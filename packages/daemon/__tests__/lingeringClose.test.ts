/** Connections that end after an answer, while their callers go on writing. */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { lingerAfterLastAnswer } from '@lynxcourse/daemon'
import type { LingeringSockets } from '@lynxcourse/daemon'

/** Larger than the buffers of both sockets. */
const largeBytes = 16_000_000
const readPauseMs = 20

interface ClosingServer extends AsyncDisposable {
  readonly port: number
  readonly lingering: LingeringSockets
}

async function startClosingServer (answer: (req: IncomingMessage, res: ServerResponse) => void): Promise<ClosingServer> {
  const lingering: LingeringSockets = new Set()
  const server = createServer((req, res) => {
    res.setHeader('connection', 'close')
    answer(req, res)
  })
  server.on('connection', (socket: Socket) => lingerAfterLastAnswer(lingering, socket))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    port: (server.address() as AddressInfo).port,
    lingering,
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

interface Received { readonly bytes: number, readonly error: string | undefined }

/** Reads slowly until the connection ends, and calls `onRead` after each read. */
async function readSlowly (socket: Socket, onRead: () => void): Promise<Received> {
  let bytes = 0
  let error: string | undefined
  socket.on('error', err => { error = String(err) })
  socket.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    socket.pause()
    setTimeout(() => {
      if (!socket.destroyed) onRead()
      socket.resume()
    }, readPauseMs)
  })
  await new Promise<void>(resolve => socket.once('close', () => resolve()))
  return { bytes, error }
}

// Guards against an answer that is cut off since its caller sends another request after the close was announced.
test('a caller that sends on behind the last answer of its connection receives that answer whole', async () => {
  await using server = await startClosingServer((_req, res) => res.end(Buffer.alloc(largeBytes)))
  const socket = connect(server.port, '127.0.0.1')
  const request = 'GET / HTTP/1.1\r\nhost: a.example\r\n\r\n'
  socket.write(request)
  const { bytes, error } = await readSlowly(socket, () => socket.write(request))
  assert.equal(error, undefined)
  assert.ok(bytes > largeBytes, `received ${bytes} bytes`)
})

// Guards against an answer that its caller never reads, since its write of the request's body fails first.
test('a caller that is still sending its body receives an answer that ends the connection', async () => {
  await using server = await startClosingServer((_req, res) => { res.writeHead(503, { 'content-length': 4 }).end('busy') })
  const socket = connect(server.port, '127.0.0.1')
  let text = ''
  let error: string | undefined
  socket.on('error', err => { error = String(err) })
  socket.write(`POST / HTTP/1.1\r\nhost: a.example\r\ncontent-length: ${largeBytes}\r\n\r\n`)
  await new Promise<void>(resolve => { socket.write(Buffer.alloc(largeBytes), () => resolve()) })
  socket.on('data', chunk => { text += String(chunk) })
  await new Promise<void>(resolve => socket.once('end', () => resolve()))
  socket.end()
  assert.equal(error, undefined)
  assert.match(text, /^HTTP\/1\.1 503 .*busy$/s)
})

test('a connection lingers until its caller closes', async () => {
  await using server = await startClosingServer((_req, res) => res.end('whole'))
  const socket = connect({ port: server.port, host: '127.0.0.1', allowHalfOpen: true })
  socket.resume()
  socket.write('GET / HTTP/1.1\r\nhost: a.example\r\n\r\n')
  await new Promise<void>(resolve => socket.once('end', () => resolve()))
  assert.equal(server.lingering.size, 1)
  socket.end()
  await new Promise<void>(resolve => socket.once('close', () => resolve()))
  while (server.lingering.size > 0) await new Promise(resolve => setImmediate(resolve))
})
