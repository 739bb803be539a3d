/** Requests that were abandoned during a network partition don't arrive once the partition has healed. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { test } from 'node:test'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { text } from 'node:stream/consumers'
import { callPeer, createRpcClient, delay } from '@lynxcourse/daemon'
import { sendRequest, publishRoutes, createRouteToDesk, startFleetFixture, startTestServer, submitCommand, waitUntil } from './support/fleetFixture.js'
import { startPausableForwarder } from './support/pausableForwarder.js'

const timeoutMs = 300
/**
 * Timeout of requests. With 300 ms on a busy machine, the request before the partition was refused, since the VM expected no
 * answer in time.
 */
const requestTimeoutMs = 1500
/** Time by which a partition outlasts the timeout. */
const extraPartitionMs = 100

/** Guards against this failure: requests reach a failure domain long after it was evacuated. */
test('a request that was abandoned during a partition never reaches its server', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await using link = await startPausableForwarder(server.facts.address)
  const facts = { ...server.facts, address: link.address }
  await publishRoutes(fixture, [{ ...server, facts }], [createRouteToDesk('read', { timeoutMs: requestTimeoutMs, maxAttempts: 1 }), createRouteToDesk('write', { timeoutMs: requestTimeoutMs, isIdempotent: false })])
  for (const [path, method] of [['/read/', 'GET'], ['/write/', 'POST']] as const) {
    assert.equal((await sendRequest(fixture, `${path}before`, method)).status, 200)
    link.pause()
    assert.equal((await sendRequest(fixture, `${path}during`, method)).status, 504)
    await delay(extraPartitionMs)
    link.resume()
    await waitUntil(async () => (await sendRequest(fixture, `${path}after`, method)).status === 200)
  }
  assert.deepEqual(server.requests.filter(({ url }) => url?.endsWith('during') === true).map(({ url }) => url), [])
})

/** Longer than the time after which the server of an overdue request is checked. */
const partitionMs = 4000

/**
 * Guards against this failure: a request with a long timeout arrives seconds after its failure domain was evacuated.
 */
test('a request written during a partition is ended once its server is evacuated and has sent no answer since', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await using link = await startPausableForwarder(server.facts.address)
  const facts = { ...server.facts, address: link.address }
  await publishRoutes(fixture, [{ ...server, facts }], [createRouteToDesk('write', { timeoutMs: 3 * partitionMs, isIdempotent: false })])
  assert.equal((await sendRequest(fixture, '/write/before', 'POST')).status, 200)
  link.pause()
  const pendingAnswer = sendRequest(fixture, '/write/during', 'POST')
  await delay(extraPartitionMs)
  await submitCommand(fixture, { type: 'evacuate', failureDomain: facts.failureDomain, isActive: true })
  await Promise.race([pendingAnswer, delay(partitionMs)])
  link.resume()
  assert.equal((await pendingAnswer).status, 504)
  assert.deepEqual(server.requests.map(({ url }) => url), ['/write/before'])
})

/** Starts a VM that accepts every call and records its method. */
async function startRecordingPeer (): Promise<AsyncDisposable & { readonly address: string, readonly calls: string[] }> {
  const calls: string[] = []
  const server = createServer((req, res) => {
    text(req).then(body => {
      const { id, method } = JSON.parse(body) as { id: number, method: string }
      calls.push(method)
      res.end(JSON.stringify({ jsonrpc: '2.0', id, result: {} }))
    }, () => res.destroy())
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    calls,
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

/** Guards against this failure: an old command, abandoned by the VM that forwarded it, overwrites a newer one. */
test('a call to another VM that was abandoned during a partition is never accepted', async () => {
  await using peer = await startRecordingPeer()
  await using link = await startPausableForwarder(peer.address)
  await using client = createRpcClient({ timeoutMs, localAddress: '', tls: () => undefined, metrics: undefined })
  await callPeer(client, link.address, 'before', {})
  link.pause()
  await assert.rejects(callPeer(client, link.address, 'during', {}))
  await delay(extraPartitionMs)
  link.resume()
  await callPeer(client, link.address, 'after', {})
  assert.deepEqual(peer.calls, ['before', 'after'])
})
