/**
 * One request over one connection: a request that was never written did not run, and the time to open a connection
 * doesn't count as the server's.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { test } from 'node:test'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Client, buildConnector } from 'undici'
import { isLynxError } from '@lynxcourse/base'
import { getCurrentTime, startExchange } from '@lynxcourse/daemon'
import type { Exchange, ReceivedAnswer } from '@lynxcourse/daemon'

const openingMs = 120
const options = { method: 'POST' as const, path: '/offer', body: 'offer' }

interface Fixture extends AsyncDisposable {
  readonly client: Client
  readonly paths: string[]
}

/** Starts a server, and a client whose connections take `openingMs` to open. */
async function startSlowOpeningFixture (): Promise<Fixture> {
  const paths: string[] = []
  const server = createServer((req, res) => {
    paths.push(req.url ?? '')
    res.end('done')
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const connect = buildConnector({})
  const client = new Client(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {
    connect: (connectOptions, callback) => { setTimeout(() => connect(connectOptions, callback), openingMs) }
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

async function readWhole (exchange: Exchange): Promise<ReceivedAnswer> {
  const received = await exchange.answer
  assert.ok(received.type === 'whole')
  return received
}

/**
 * Guards against this failure: a caller gets the answer that its request may have run, although no server received the
 * request.
 */
test('an exchange that is aborted while its connection opens is never written', async () => {
  await using fixture = await startSlowOpeningFixture()
  const exchange = startExchange(fixture.client, options, () => true, () => undefined)
  exchange.abort()
  await assert.rejects(exchange.answer, err => isLynxError(err, 'cancelled'))
  const nextExchange = startExchange(fixture.client, { ...options, path: '/next' }, () => true, () => undefined)
  assert.equal((await readWhole(nextExchange)).body.toString(), 'done')
  assert.deepEqual([exchange.startedAt, fixture.paths], [undefined, ['/next']])
})

test('an exchange records when writing began, after its connection was open', async () => {
  await using fixture = await startSlowOpeningFixture()
  const dispatchedAt = getCurrentTime()
  const exchange = startExchange(fixture.client, options, () => true, () => undefined)
  const { status, body } = await readWhole(exchange)
  assert.deepEqual([status, body.toString()], [200, 'done'])
  assert.ok((exchange.startedAt ?? 0) - dispatchedAt >= openingMs - 5)
})

/**
 * Guards against this failure: a VM that was suspended writes requests after it resumes, although their servers were
 * chosen before the pause.
 */
test('a request whose connection opens after its write deadline is never written', async () => {
  await using fixture = await startSlowOpeningFixture()
  const openedBy = getCurrentTime() + openingMs / 2
  const exchange = startExchange(fixture.client, options, now => now <= openedBy, () => undefined)
  await assert.rejects(exchange.answer, err => isLynxError(err, 'cancelled'))
  const nextExchange = startExchange(fixture.client, { ...options, path: '/next' }, () => true, () => undefined)
  assert.equal((await readWhole(nextExchange)).body.toString(), 'done')
  assert.deepEqual([exchange.startedAt, fixture.paths], [undefined, ['/next']])
})
