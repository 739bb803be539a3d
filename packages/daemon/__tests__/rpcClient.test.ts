/** Tests the connections and failures of calls between VMs. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { randomBytes } from 'node:crypto'
import { createServer as createTcpServer } from 'node:net'
import { gunzipSync } from 'node:zlib'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { isLynxError } from '@lynxcourse/base'
import { callPeer, createRpcClient } from '@lynxcourse/daemon'
import type { RpcClient } from '@lynxcourse/daemon'
import { startSlowForwarder } from './support/slowForwarder.js'

interface TestPeer extends AsyncDisposable {
  readonly address: string
  readonly sockets: Socket[]
}

async function startPeer (answer: (req: IncomingMessage, res: ServerResponse) => void): Promise<TestPeer> {
  const sockets: Socket[] = []
  const server: Server = createServer(answer)
  server.on('connection', socket => sockets.push(socket))
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    sockets,
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections()
      server.close()
    }
  }
}

function createClient (): RpcClient {
  return createRpcClient({ timeoutMs: 200, localAddress: '', tls: () => undefined, metrics: undefined })
}

/** Guards against this failure: each of the frequent calls between VMs opens a connection. */
test('calls one after the other reuse their connections', async () => {
  await using peer = await startPeer((_req, res) => res.end(JSON.stringify({ jsonrpc: '2.0', id: 1, result: { text: 'ok' } })))
  await using client = createClient()
  for (let count = 0; count < 20; count++) assert.deepEqual(await callPeer(client, peer.address, 'test.ping', {}), { text: 'ok' })
  // `undici` reuses a connection one iteration of the event loop after a response, so that the next call may need a second one.
  assert.ok(peer.sockets.length <= 2, `${peer.sockets.length} connections`)
})

/** Guards against this failure: a peer processes a call that its caller has given up. */
test('a call without a response in time fails as a failure of the peer, and its connection is closed', async () => {
  await using peer = await startPeer(() => undefined)
  await using client = createClient()
  await assert.rejects(callPeer(client, peer.address, 'test.ping', {}), err => isLynxError(err, 'peerFailed') && err.message.includes(peer.address))
  const [socket] = peer.sockets
  assert.ok(socket !== undefined)
  if (!socket.destroyed) await once(socket, 'close').catch(() => undefined)
  assert.equal(peer.sockets.length, 1)
})

test('the error of a peer keeps its code, field and message', async () => {
  const error = { code: -32_000, message: 'bad request: version: too old', data: { code: 'badRequest', field: 'version' } }
  await using peer = await startPeer((_req, res) => res.end(JSON.stringify({ jsonrpc: '2.0', id: 1, error })))
  await using client = createClient()
  await assert.rejects(callPeer(client, peer.address, 'test.ping', {}), err => isLynxError(err, 'badRequest') && err.field === 'version' && err.message.includes('too old'))
})

async function startEchoPeer (sizes: number[], accepted: string | undefined): Promise<TestPeer> {
  return await startPeer((req, res) => {
    const chunks: Buffer[] = []
    req.on('data', chunk => chunks.push(chunk))
    req.on('end', () => {
      const body = Buffer.concat(chunks)
      sizes.push(body.length)
      const text = req.headers['content-encoding'] === 'gzip' ? gunzipSync(body).toString() : body.toString()
      const { params } = JSON.parse(text) as { params: { text: string } }
      if (accepted !== undefined) res.setHeader('accept-encoding', accepted)
      res.end(JSON.stringify({ jsonrpc: '2.0', id: 1, result: params.text.length }))
    })
  })
}

/** Guards against a large message over a slow link whose call always ends before it is written, however often it is sent. */
test('a large message that takes longer than the timeout arrives as long as the link takes more of it', async () => {
  const sizes: number[] = []
  await using peer = await startEchoPeer(sizes, undefined)
  await using link = await startSlowForwarder(peer.address, { delayMs: 20, bytesPerSecond: 1_000_000 })
  await using client = createClient()
  const text = randomBytes(600_000).toString('hex')
  assert.equal(await callPeer(client, link.address, 'test.store', { text }), text.length)
})

/** Guards against a call to a peer that reads nothing and blocks its caller for good. */
test('a large message to a peer that takes none of it fails after the timeout', async () => {
  const server = createTcpServer(socket => socket.pause()).listen(0, '127.0.0.1')
  await once(server, 'listening')
  await using client = createClient()
  const startedAt = performance.now()
  const text = 'x'.repeat(1_000_000)
  await assert.rejects(callPeer(client, `127.0.0.1:${(server.address() as AddressInfo).port}`, 'test.store', { text }), err => isLynxError(err, 'peerFailed'))
  assert.ok(performance.now() - startedAt < 10_000)
  server.close()
})

/** Guards against large messages that are sent uncompressed, and against compressed ones to a peer that can't read them. */
test('large messages are compressed once the peer has said that it reads them', async () => {
  const text = 'route '.repeat(20_000)
  for (const [accepted, isCompressed] of [['gzip', true], [undefined, false]] as const) {
    const sizes: number[] = []
    await using peer = await startEchoPeer(sizes, accepted)
    await using client = createClient()
    for (let count = 0; count < 2; count++) assert.equal(await callPeer(client, peer.address, 'test.store', { text }), text.length)
    assert.ok((sizes[0] ?? 0) > text.length, 'the first message is plain')
    assert.equal((sizes[1] ?? 0) < text.length / 10, isCompressed)
  }
})
