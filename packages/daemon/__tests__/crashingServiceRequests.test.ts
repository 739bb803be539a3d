/** Requests by service that end the servers that run them. */
import assert from 'node:assert/strict'
import type { IncomingMessage, Server } from 'node:http'
import { test } from 'node:test'
import { createRandom, createRequestId } from '@lynxcourse/base'
import { delay, getCurrentTime } from '@lynxcourse/daemon'
import { listItems } from '@lynxcourse/state'
import { request } from 'undici'
import { startDaemonFixture, startTestBackend, testSeed, waitForEvent } from './support/daemonFixture.js'
import type { DaemonFixture, TestBackend } from './support/daemonFixture.js'

const backendCount = 12
/** Number of servers that a request may end before it counts as crashing, and how often it may still be sent after a pause. */
const toleratedEnds = 3
const pauseMs = 1000
const maxLateSends = 3
const random = createRandom(testSeed)

interface CrashableBackends extends AsyncDisposable { ended: number }

/** Starts servers that answer `ok`, except to paths that end with `crash`: these end the server. */
async function startBackends (fixture: DaemonFixture): Promise<CrashableBackends> {
  const backends: TestBackend[] = []
  const crashable: CrashableBackends = {
    ended: 0,
    [Symbol.asyncDispose]: async () => { for (const backend of backends) await backend[Symbol.asyncDispose]() }
  }
  for (let index = 0; index < backendCount; index++) {
    const backend = await startTestBackend(fixture)
    backend.handler = (req, res) => {
      if (req.url?.endsWith('crash') !== true) {
        res.end('ok')
        return
      }
      crashable.ended += 1
      endServer(req)
    }
    backends.push(backend)
  }
  return crashable
}

function endServer (req: IncomingMessage): void {
  const { server } = req.socket as unknown as { server: Server }
  server.close()
  server.closeAllConnections()
}

interface ServiceAnswer { readonly status: number, readonly outcome: string | undefined, readonly retryAfter: number }

async function send ({ http }: DaemonFixture, path: string, method: 'GET' | 'POST' = 'GET'): Promise<ServiceAnswer> {
  const headers = method === 'POST' ? { 'idempotency-key': createRequestId(getCurrentTime(), random) } : {}
  const res = await request(`${http}/s/offers/${path}`, { method, headers, body: method === 'POST' ? 'offer' : null })
  await res.body.dump()
  return { status: res.statusCode, outcome: res.headers['lynx-outcome']?.toString(), retryAfter: Number(res.headers['retry-after']) }
}

/** Guards against a request that ends one server after the other, since each attempt starts without knowledge of it. */
test('a request by service that ended three servers is sent at most three times more, and others are served', async () => {
  for (const method of ['GET', 'POST'] as const) {
    await using fixture = await startDaemonFixture({}, { maxAttempts: 1 })
    await using crashable = await startBackends(fixture)
    await waitForEvent('requests are served', async () => (await send(fixture, 'other')).status === 200)
    while (crashable.ended < toleratedEnds) await send(fixture, 'crash', method)
    await delay(pauseMs)
    const endedBefore = crashable.ended
    for (let sent = 0; sent < 2 * maxLateSends; sent++) await send(fixture, 'crash', method)
    await waitForEvent('the request is blocked', async () => {
      await send(fixture, 'crash', method)
      return listItems(fixture.daemon.node.config, 'crashingRequest')[0]?.state === 'blocked'
    })
    assert.ok(crashable.ended - endedBefore <= maxLateSends, `${method}: ${crashable.ended - endedBefore} more servers ended`)
    const refused = await send(fixture, 'crash', method)
    assert.deepEqual([refused.status, refused.outcome], [503, 'not-run'])
    assert.ok(refused.retryAfter > 60, 'the caller hears when the block ends')
    assert.equal((await send(fixture, 'other', method)).status, 200)
  }
})
