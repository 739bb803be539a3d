/** What was given up while the network was cut does not arrive once it has healed. */
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
/** How much longer than the time-out a cut lasts. */
const restOfCutMs = 100

/** Guards against this failure: requests reach a failure domain long after it was evacuated. */
test('a request that was given up during a cut never reaches its server', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await using link = await startPausableForwarder(server.facts.address)
  const facts = { ...server.facts, address: link.address }
  await publishRoutes(rig, [{ ...server, facts }], [createRouteToDesk('read', { timeoutMs, maxAttempts: 1 }), createRouteToDesk('write', { timeoutMs, isIdempotent: false })])
  for (const [path, method] of [['/read/', 'GET'], ['/write/', 'POST']] as const) {
    assert.equal((await sendRequest(rig, `${path}before`, method)).status, 200)
    link.pause()
    assert.equal((await sendRequest(rig, `${path}during`, method)).status, 504)
    await delay(restOfCutMs)
    link.resume()
    await waitUntil(async () => (await sendRequest(rig, `${path}after`, method)).status === 200)
  }
  assert.deepEqual(server.requests.filter(({ url }) => url?.endsWith('during') === true).map(({ url }) => url), [])
})

/** Longer than a request may take before its server is doubted. */
const cutMs = 4000

/** Guards against this failure: a request with a long time limit arrives seconds after its failure domain was evacuated. */
test('a request written into a cut is ended once its server is closed to work and has not answered anything since', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await using link = await startPausableForwarder(server.facts.address)
  const facts = { ...server.facts, address: link.address }
  await publishRoutes(rig, [{ ...server, facts }], [createRouteToDesk('write', { timeoutMs: 3 * cutMs, isIdempotent: false })])
  assert.equal((await sendRequest(rig, '/write/before', 'POST')).status, 200)
  link.pause()
  const pending = sendRequest(rig, '/write/during', 'POST')
  await delay(restOfCutMs)
  await submitCommand(rig, { type: 'evacuate', failureDomain: facts.failureDomain, isActive: true })
  await Promise.race([pending, delay(cutMs)])
  link.resume()
  assert.equal((await pending).status, 504)
  assert.deepEqual(server.requests.map(({ url }) => url), ['/write/before'])
})

/** A VM that takes every call and notes its method. */
async function startPeer (): Promise<AsyncDisposable & { readonly address: string, readonly calls: string[] }> {
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

/** Guards against this failure: an old order, given up by the VM that relayed it, undoes a newer one. */
test('a call to another VM that was given up during a cut is never taken', async () => {
  await using peer = await startPeer()
  await using link = await startPausableForwarder(peer.address)
  await using client = createRpcClient({ timeoutMs, localAddress: '', tls: () => undefined, metrics: undefined })
  await callPeer(client, link.address, 'before', {})
  link.pause()
  await assert.rejects(callPeer(client, link.address, 'during', {}))
  await delay(restOfCutMs)
  link.resume()
  await callPeer(client, link.address, 'after', {})
  assert.deepEqual(peer.calls, ['before', 'after'])
})
