/** Requests that were abandoned during a network partition don't arrive once the partition has healed. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { test } from 'node:test'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { text } from 'node:stream/consumers'
import { callPeer, createRpcClient, delay } from '@lynxcourse/daemon'
import { ask, publish, routeTo, startRig, startServer, submit, until } from './support/fleetRig.js'
import { startHeldLink } from './support/heldLink.js'

const timeoutMs = 300
/** Time by which a partition outlasts the timeout. */
const extraPartitionMs = 100

/** Guards against this failure: requests reach a failure domain long after it was evacuated. */
test('a request that was abandoned during a partition never reaches its server', async () => {
  await using fixture = await startRig(1)
  await using server = await startServer('s1', (_req, res) => res.end('ok'))
  await using link = await startHeldLink(server.facts.address)
  const facts = { ...server.facts, address: link.address }
  await publish(fixture, [{ ...server, facts }], [routeTo('read', { timeoutMs, maxAttempts: 1 }), routeTo('write', { timeoutMs, isIdempotent: false })])
  for (const [path, method] of [['/read/', 'GET'], ['/write/', 'POST']] as const) {
    assert.equal((await ask(fixture, `${path}before`, method)).status, 200)
    link.cut()
    assert.equal((await ask(fixture, `${path}during`, method)).status, 504)
    await delay(extraPartitionMs)
    link.heal()
    await until(async () => (await ask(fixture, `${path}after`, method)).status === 200)
  }
  assert.deepEqual(server.requests.filter(({ url }) => url?.endsWith('during') === true).map(({ url }) => url), [])
})

/** Longer than the time after which the server of an overdue request is checked. */
const partitionMs = 4000

/**
 * Guards against this failure: a request with a long timeout arrives seconds after its failure domain was evacuated.
 */
test('a request written during a partition is ended once its server is evacuated and has sent no answer since', async () => {
  await using fixture = await startRig(1)
  await using server = await startServer('s1', (_req, res) => res.end('ok'))
  await using link = await startHeldLink(server.facts.address)
  const facts = { ...server.facts, address: link.address }
  await publish(fixture, [{ ...server, facts }], [routeTo('write', { timeoutMs: 3 * partitionMs, isIdempotent: false })])
  assert.equal((await ask(fixture, '/write/before', 'POST')).status, 200)
  link.cut()
  const pendingAnswer = ask(fixture, '/write/during', 'POST')
  await delay(extraPartitionMs)
  await submit(fixture, { type: 'evacuate', failureDomain: facts.failureDomain, isActive: true })
  await Promise.race([pendingAnswer, delay(partitionMs)])
  link.heal()
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
  await using link = await startHeldLink(peer.address)
  await using client = createRpcClient({ timeoutMs, localAddress: '', tls: () => undefined, metrics: undefined })
  await callPeer(client, link.address, 'before', {})
  link.cut()
  await assert.rejects(callPeer(client, link.address, 'during', {}))
  await delay(extraPartitionMs)
  link.heal()
  await callPeer(client, link.address, 'after', {})
  assert.deepEqual(peer.calls, ['before', 'after'])
})
