/** Tests the connections and failures of calls between VMs. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { isLynxError } from '@lynxcourse/base'
import { callPeer, createRpcClient } from '@lynxcourse/daemon'
import type { RpcClient } from '@lynxcourse/daemon'

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
