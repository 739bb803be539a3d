/** Requests that a VM reads long after they have arrived in its kernel. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { LoopIterations } from '@lynxcourse/placement'
import { getCurrentTime } from '@lynxcourse/daemon'
import { sendRequest, publishRoutes, createRouteToDesk, startFleetFixture, startTestServer } from './support/fleetFixture.js'
import { startTestBackend, startDaemonFixture as startServiceFixture } from './support/daemonFixture.js'
import { connectWorkerCaller } from './support/workerCaller.js'

const timeoutMs = 500
const blockedMs = 800

/*
 * Guards against deadlines that count from the time of reading. After a power loss of all VMs, the callers of one
 * region connected to the VM that was ready first. Its 984 connections (median VM: 114) used its whole share of a core
 * (27 %) for six seconds, and its event loop read requests seconds after their arrival. Of 151 requests that reached
 * their route's timeout, 109 had no answer half a second later: one that arrived at 39.96 s was sent to a server at
 * 44.07 s, and one with a timeout of 3 s was refused after 4.15 s.
 */
for (const isOld of [true, false]) {
  test(`a request with a read delay longer than its route's timeout is refused and reaches no server, on ${isOld ? 'an old' : 'a new'} connection`, async () => {
    await using fixture = await startFleetFixture(1)
    await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
    await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs })])
    await using caller = await connectWorkerCaller(fixture.settings.at(-1)?.callers ?? '', '/read/1', isOld)
    const requestsBefore = server.requests.length
    caller.sendWhileBlocked(blockedMs)
    const answer = await caller.answer
    assert.match(answer, /^HTTP\/1\.1 503 /)
    assert.match(answer, /retry-after: /i)
    assert.equal(server.requests.length, requestsBefore)
  })
}

test('a request with a read delay shorter than its route\'s timeout is served', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 20_000 })])
  await using caller = await connectWorkerCaller(fixture.settings.at(-1)?.callers ?? '', '/read/1', true)
  caller.sendWhileBlocked(blockedMs)
  assert.match(await caller.answer, /^HTTP\/1\.1 200 /)
})

// Guards against a VM that answers in place of a server that still has time, since the request may have waited unread.
test('a server that answers within the time after the request was read is not given up', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => { setTimeout(() => res.end('ok'), timeoutMs - 60) })
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs })])
  const iterations = fixture.daemons.at(-1)?.gateway?.loop.iterations as LoopIterations
  const now = getCurrentTime()
  const earliest = now - 150
  Object.assign(iterations, { isIterationRecorded: true, wasIdle: false, recordedAt: now, earliestArrivalAt: earliest, earliestFirstArrivalAt: earliest })
  assert.equal((await sendRequest(fixture, '/read/1')).status, 200)
})

/*
 * Guards against callers that stay at an overloaded VM: the VM that had the callers of a whole region kept their
 * connections for ten seconds, 984 of them, while the median VM had 114 and used a quarter of its processor.
 */
test('a VM without processor time refuses at once and ends the caller\'s connection; the next request is served', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  const iterations = fixture.daemons.at(-1)?.gateway?.loop.iterations as LoopIterations
  Object.assign(iterations, { isIterationRecorded: true, recordedAt: -Infinity })
  const refused = await sendRequest(fixture, '/read/1')
  assert.equal(refused.status, 503)
  assert.equal(refused.headers.connection, 'close')
  assert.ok(Number(refused.headers['retry-after']) > 0)
  assert.equal(server.requests.length, 0)
  iterations.isIterationRecorded = false
  assert.equal((await sendRequest(fixture, '/read/1')).status, 200)
})

/*
 * Guards against the same failure for requests that are addressed to a service: deadlines that count from the time of
 * reading.
 */
test('a request to a service with a read delay longer than its deadline reaches no server', async () => {
  await using fixture = await startServiceFixture({}, { deadlineMs: timeoutMs })
  await using backend = await startTestBackend(fixture)
  let runs = 0
  backend.handler = (req, res) => {
    if (req.url === '/late') runs += 1
    res.end('ok')
  }
  await using caller = await connectWorkerCaller(fixture.http.replace('http://', ''), '/s/offers/late', false)
  caller.sendWhileBlocked(blockedMs)
  const answer = await caller.answer
  assert.match(answer, /^HTTP\/1\.1 504 /)
  assert.match(answer, /lynx-outcome: too-late/)
  assert.equal(runs, 0)
})
