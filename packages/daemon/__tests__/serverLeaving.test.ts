/** Servers that say in their answers that they leave. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { getCurrentTime, handleAnnouncement } from '@lynxcourse/daemon'
import { getControl, waitUntil } from './support/fleetFixture.js'
import { countLateRequests, startRestingFleet, startRestingServer } from './support/restingServers.js'
import { countArrivals, sendForMs, sendTo, stopControlVms } from './support/servingFleet.js'

/** Guards against a server that gets requests until it is gone, because only its announcements can close it. */
test('a server whose answers say that it leaves gets no requests after the drain time, and other servers take them', async () => {
  await using fleet = await startRestingFleet(2, 2)
  const { fixture, servers: [leaving] } = fleet
  assert.ok(leaving !== undefined)
  leaving.leaving = '1'
  const responses = await sendForMs(fixture, [0, 1], 60, 4000)
  assert.equal(leaving.leftAt.size, 2)
  assert.equal(countLateRequests(leaving), 0)
  assert.equal(responses.filter(({ status }) => status !== 200).length, 0, 'the other server has room for all')
})

/** Guards against VMs that need a control VM to close a server. */
test('a server whose answers say that it leaves gets no requests from VMs that reach no control VM', async () => {
  await using fleet = await startRestingFleet(1, 2)
  const { fixture, servers: [leaving] } = fleet
  assert.ok(leaving !== undefined)
  await stopControlVms(fixture)
  leaving.leaving = '1'
  const responses = await sendForMs(fixture, [0], 40, 4000)
  assert.equal(leaving.leftAt.size, 1)
  assert.equal(countLateRequests(leaving), 0)
  assert.ok(responses.every(({ status }) => status === 200))
})

/** Guards against objects that stay at their server, and requests that must not repeat, until the server is gone. */
test('requests of a sticky object and requests that must not repeat leave a server that leaves, and stay away from it', async () => {
  await using fleet = await startRestingFleet(1, 2)
  const { fixture, servers } = fleet
  await sendTo(fixture, 0, '/sticky/1', { 'lynx-object': '7' })
  const leaving = servers.find(({ arrivals }) => arrivals.length > 0)
  assert.ok(leaving !== undefined)
  leaving.leaving = '1'
  await sendTo(fixture, 0, '/sticky/1', { 'lynx-object': '7' })
  leaving.leaving = undefined
  const since = getCurrentTime()
  for (const path of ['/sticky/1', '/write/1', '/read/1']) {
    for (let sent = 0; sent < 10; sent++) assert.equal((await sendTo(fixture, 0, path, { 'lynx-object': '7' })).status, 200)
  }
  assert.equal(countArrivals(leaving, since), 0)
})

/** Guards against callers that wait for a server that takes no more requests. */
test('if the only server leaves, requests are refused at once, and a new server serves them', async () => {
  await using fleet = await startRestingFleet(1, 1)
  const { fixture, servers: [server] } = fleet
  assert.ok(server !== undefined)
  server.leaving = '1'
  assert.equal((await sendTo(fixture, 0)).status, 200)
  const refused = await sendTo(fixture, 0)
  assert.ok(refused.status === 503 && /^not run: noServer/.test(refused.body) && Number(refused.headers['retry-after']) > 0)
  await using next = (await startRestingServer('next')).test
  await handleAnnouncement(getControl(fixture, 0), next.facts, getCurrentTime())
  await waitUntil(async () => (await sendTo(fixture, 0)).status === 200)
  assert.equal(server.arrivals.length, 1)
})
