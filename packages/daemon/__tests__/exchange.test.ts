/** One request over one connection: what was never written did not run, and opening a connection is not the server's time. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { test } from 'node:test'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Client, buildConnector } from 'undici'
import { isLynxError } from '@lynxcourse/base'
import { getCurrentTime, startExchange } from '@lynxcourse/daemon'

const openingMs = 120
const options = { method: 'POST' as const, path: '/offer', body: 'offer' }

interface Rig extends AsyncDisposable {
  readonly client: Client
  readonly paths: string[]
}

/** A server, and a client whose connection takes a while to open. */
async function startSlowOpening (): Promise<Rig> {
  const paths: string[] = []
  const server = createServer((req, res) => {
    paths.push(req.url ?? '')
    res.end('done')
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const connect = buildConnector({})
  const client = new Client(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {
    connect: (opts, callback) => { setTimeout(() => connect(opts, callback), openingMs) }
  })
  return {
    client,
    paths,
    [Symbol.asyncDispose]: async () => {
      await client.destroy()
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

/** Guards against this failure: a caller is told that its offer may have run, although no server saw it. */
test('an exchange that ends while its connection opens is never written', async () => {
  await using rig = await startSlowOpening()
  const exchange = startExchange(rig.client, options, Infinity, () => undefined)
  exchange.abort()
  await assert.rejects(exchange.answer, err => isLynxError(err, 'cancelled'))
  const next = startExchange(rig.client, { ...options, path: '/next' }, Infinity, () => undefined)
  assert.equal((await next.answer).body?.toString(), 'done')
  assert.deepEqual([exchange.startedAt, rig.paths], [undefined, ['/next']])
})

test('an exchange tells when it began, after its connection was open', async () => {
  await using rig = await startSlowOpening()
  const askedAt = getCurrentTime()
  const exchange = startExchange(rig.client, options, Infinity, () => undefined)
  const { status, body } = await exchange.answer
  assert.deepEqual([status, body?.toString()], [200, 'done'])
  assert.ok((exchange.startedAt ?? 0) - askedAt >= openingMs - 5)
})

/** Guards against requests that a VM which was frozen writes on waking, by a decision of before. */
test('a request whose connection opens after its decision has lapsed is never written', async () => {
  await using rig = await startSlowOpening()
  const exchange = startExchange(rig.client, options, getCurrentTime() + openingMs / 2, () => undefined)
  await assert.rejects(exchange.answer, err => isLynxError(err, 'cancelled'))
  const next = startExchange(rig.client, { ...options, path: '/next' }, Infinity, () => undefined)
  assert.equal((await next.answer).body?.toString(), 'done')
  assert.deepEqual([exchange.startedAt, rig.paths], [undefined, ['/next']])
})
