/** Servers of a service that turn this VM away for a time, or say that they leave. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, getCurrentTime, refreshRoutingState } from '@lynxcourse/daemon'
import { request } from 'undici'
import { startDaemonFixture, startTestBackend, waitForEvent } from './support/daemonFixture.js'
import type { DaemonFixture, TestBackend } from './support/daemonFixture.js'
import { maxStrayRequests } from './support/restingServers.js'

const sendIntervalMs = 20
const learningMs = 500

async function send ({ http }: DaemonFixture): Promise<number> {
  const res = await request(`${http}/s/offers/read`)
  await res.body.dump()
  return res.statusCode
}

/** Sends requests at a steady rate for some time; returns their statuses. */
async function sendForMs (fixture: DaemonFixture, forMs: number): Promise<number[]> {
  const statuses: Array<Promise<number>> = []
  const endsAt = getCurrentTime() + forMs
  while (getCurrentTime() < endsAt) {
    statuses.push(send(fixture))
    await delay(sendIntervalMs)
  }
  return await Promise.all(statuses)
}

/** Records the requests that a server gets, polls of its load included, and sets the headers of its answers. */
function record (backend: TestBackend, headers: Record<string, string>, status = 200): number[] {
  const arrivals: number[] = []
  backend.handler = (_req, res) => {
    arrivals.push(getCurrentTime())
    res.writeHead(status, headers).end('ok')
  }
  return arrivals
}

/** Guards against a server that gets its usual load by service, or polls, although it asked the VM for rest. */
test('a server of a service that turns the VM away with Retry-After gets nothing for so long', async () => {
  await using fixture = await startDaemonFixture()
  await using resting = await startTestBackend(fixture)
  await using other = await startTestBackend(fixture)
  await waitForEvent('requests are served', async () => await send(fixture) === 200)
  const arrivals = record(resting, { 'lynx-not-started': 'true', 'retry-after': '4' }, 503)
  record(other, {})
  const statuses = await sendForMs(fixture, 3500)
  const [firstAt] = arrivals
  assert.ok(firstAt !== undefined)
  const strays = arrivals.filter(at => at > firstAt + learningMs).length
  assert.ok(strays <= maxStrayRequests, `${strays} requests`)
  assert.ok(statuses.every(status => status === 200), 'the other server has room for all')
})

/** Guards against a server that gets requests by service until it is gone, because only its announcements can close it. */
test('a server of a service whose answers say that it leaves gets no more requests', async () => {
  await using fixture = await startDaemonFixture()
  await using leaving = await startTestBackend(fixture)
  await using other = await startTestBackend(fixture)
  await waitForEvent('requests are served', async () => await send(fixture) === 200)
  const arrivals = record(leaving, { 'lynx-server-leaving': '1' })
  record(other, {})
  const statuses = await sendForMs(fixture, 2500)
  const [firstAt] = arrivals
  assert.ok(firstAt !== undefined)
  assert.equal(arrivals.filter(at => at > firstAt + learningMs).length, 0)
  assert.ok(statuses.every(status => status === 200))
})

/** Guards against callers that are held until their deadline, and told to come back too early, while no server takes requests. */
test('while all servers of a service pause, new requests and those that wait are refused at once until then', async () => {
  await using fixture = await startDaemonFixture()
  await using resting = await startTestBackend(fixture)
  await waitForEvent('requests are served', async () => await send(fixture) === 200)
  const arrivals = record(resting, { 'lynx-not-started': 'true', 'retry-after': '40' }, 503)
  const startedAt = getCurrentTime()
  const responses = await Promise.all(Array.from({ length: 12 }, async () => await request(`${fixture.http}/s/offers/read`, { headers: { 'lynx-deadline-ms': '5000' } })))
  for (const res of responses) await res.body.dump()
  assert.ok(getCurrentTime() - startedAt < 3000, 'nothing waits for the deadline')
  assert.ok(responses.every(({ statusCode }) => statusCode === 503))
  const refusedUntil = arrivals[0] as number + 40_000
  const res = await request(`${fixture.http}/s/offers/read`)
  await res.body.dump()
  assert.ok(getCurrentTime() + Number(res.headers['lynx-retry-after-ms']) >= refusedUntil - 50, `${String(res.headers['lynx-retry-after-ms'])}`)
})

/** Guards against the second attempt of a slow request, which doesn't ask before it chooses a server. */
test('a hedge keeps away from a paused server', async () => {
  await using fixture = await startDaemonFixture({}, { hedgeAfterMs: 40, maxAttempts: 2 })
  await using slow = await startTestBackend(fixture)
  await using resting = await startTestBackend(fixture)
  await waitForEvent('both servers are used', async () => await send(fixture) === 200 && fixture.daemon.entry?.router.backends.byId.size === 2)
  const arrivals = record(resting, { 'lynx-not-started': 'true', 'retry-after': '30' }, 503)
  slow.handler = (_req, res) => { setTimeout(() => res.end('late'), 150) }
  const statuses = await Promise.all(Array.from({ length: 10 }, async () => await send(fixture)))
  assert.ok(statuses.every(status => status === 200))
  const before = arrivals.length
  assert.ok(before >= 1)
  for (let sent = 0; sent < 10; sent++) assert.equal(await send(fixture), 200)
  assert.equal(arrivals.length, before)
})

/** Guards against a request that reaches a server of a service which spoke while the connection to it was opened. */
test('a request is not written to a server of a service that closed while its connection was opened', async () => {
  await using fixture = await startDaemonFixture()
  await using first = await startTestBackend(fixture)
  await using second = await startTestBackend(fixture)
  const { entry } = fixture.daemon
  assert.ok(entry !== undefined)
  await waitForEvent('both servers are known', () => {
    refreshRoutingState(entry, getCurrentTime())
    return entry.router.backends.byId.size === 2
  })
  const arrivals = [record(first, {}), record(second, {})]
  let closed: string | undefined
  entry.pool.onConnect = address => {
    const opened = [...entry.router.backends.byId.values()].find(({ backend }) => backend.address === address)
    if (closed !== undefined || opened === undefined) return
    closed = address
    opened.notice.pausedUntil = getCurrentTime() + 10_000
  }
  assert.equal(await send(fixture), 200)
  assert.deepEqual(arrivals.map(({ length }) => length), [first, second].map(({ address }) => address === closed ? 0 : 1))
})
