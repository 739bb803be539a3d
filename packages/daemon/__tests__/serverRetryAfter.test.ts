/** Servers that turn a VM away with a time for which they want nothing from it. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, getCurrentTime, listNotices } from '@lynxcourse/daemon'
import type { FleetDaemon } from '@lynxcourse/daemon'
import { countStrayRequests, maxStrayRequests, startRestingFleet } from './support/restingServers.js'
import { countArrivals, sendForMs, sendTo, stopControlVms } from './support/servingFleet.js'

/** Guards against a server that gets its usual load from a VM although it asked the VM for rest, and against VMs that it did not ask. */
test('a server that turns a VM away with Retry-After gets nothing from it for so long, and other servers take the rest', async () => {
  await using fleet = await startRestingFleet(2, 3)
  const { fixture, servers: [resting] } = fleet
  assert.ok(resting !== undefined)
  resting.refuse = entry => entry === '0' ? '2' : undefined
  const startedAt = getCurrentTime()
  const responses = await sendForMs(fixture, [0, 1], 90, 5000)
  assert.ok(resting.refusals.length > 0)
  assert.ok(countStrayRequests(resting) <= maxStrayRequests, `${countStrayRequests(resting)} requests`)
  assert.equal(responses.filter(({ status }) => status !== 200).length, 0, 'the other servers have room for all')
  assert.ok(countArrivals(resting, startedAt, Infinity, 1) > 50, 'the other VM goes on sending')
})

/** Guards against objects, and requests that must not repeat, that go to their server whatever it asked for. */
test('requests of a sticky object and requests that must not repeat keep away from a paused server, without control VMs too', async () => {
  await using fleet = await startRestingFleet(1, 2)
  const { fixture, servers } = fleet
  await sendTo(fixture, 0, '/sticky/1', { 'lynx-object': '7' })
  const primary = servers.find(({ arrivals }) => arrivals.length > 0)
  assert.ok(primary !== undefined)
  await stopControlVms(fixture)
  primary.refuse = () => '2'
  const sends = ['/sticky/1', '/write/1', '/read/1'].map(async path => {
    for (let sent = 0; sent < 40; sent++) {
      assert.equal((await sendTo(fixture, 0, path, { 'lynx-object': '7' })).status, 200, path)
      await delay(40)
    }
  })
  await Promise.all(sends)
  assert.ok(primary.refusals.length > 0)
  assert.ok(countStrayRequests(primary) <= maxStrayRequests, `${countStrayRequests(primary)} requests`)
})

/** Guards against callers that are held although no server takes requests, or that are told to come back too early. */
test('while all servers pause, requests are refused at once until the pause ends, and are served after it', async () => {
  await using fleet = await startRestingFleet(1, 2)
  const { fixture, servers } = fleet
  for (const server of servers) server.refuse = () => '2.5'
  await sendTo(fixture, 0)
  await sendTo(fixture, 0)
  const endsAt = Math.max(...servers.flatMap(({ refusals }) => refusals.map(({ at }) => at + 2500)))
  for (const server of servers) server.refuse = () => undefined
  const sentAt = getCurrentTime()
  const refusals = await Promise.all(Array.from({ length: 20 }, async () => await sendTo(fixture, 0)))
  const answeredAt = getCurrentTime()
  assert.ok(refusals.every(({ status, body }) => status === 503 && /^not run: paused/.test(body)))
  const times = refusals.map(({ headers }) => Number(headers['retry-after']) * 1000)
  const firstEnd = Math.min(...servers.map(({ refusals: [first] }) => (first?.at ?? Infinity) + 2500))
  assert.ok(sentAt + Math.max(...times) >= firstEnd && answeredAt + Math.min(...times) >= firstEnd, `${Math.min(...times)}`)
  assert.ok(Math.max(...times) - Math.min(...times) >= 100, 'callers don\'t come back together')
  await delay(Math.max(0, endsAt + 100 - getCurrentTime()))
  assert.equal((await sendTo(fixture, 0)).status, 200)
})

/** Guards against a server that stays unused after its pause, or that a header no one can read takes out of use. */
test('a server is used again when its pause ends, and an unreadable Retry-After asks for none', async () => {
  await using fleet = await startRestingFleet(1, 1)
  const { fixture, servers: [server] } = fleet
  assert.ok(server !== undefined)
  for (const text of ['soon', '-1', '', '0']) {
    server.refuse = () => text
    await sendTo(fixture, 0)
    server.refuse = () => undefined
    await delay(60)
    assert.equal((await sendTo(fixture, 0)).status, 200, `'${text}'`)
  }
  server.refuse = () => '0.8'
  await sendTo(fixture, 0)
  server.refuse = () => undefined
  const gateway = (fixture.daemons.at(-1) as FleetDaemon).gateway
  assert.ok(gateway !== undefined)
  const [notice] = listNotices(gateway, getCurrentTime())
  assert.ok(notice !== undefined && notice.pausedMs > 0 && notice.pausedMs <= 800 && !notice.isLeaving)
  await delay(900)
  assert.equal((await sendTo(fixture, 0)).status, 200)
  assert.deepEqual(listNotices(gateway, getCurrentTime()), [])
})

/** Guards against a request that reaches a server which spoke while the connection to it was opened. */
test('a request is not written to a server that closed while its connection was opened, and another server gets it', async () => {
  await using fleet = await startRestingFleet(1, 2)
  const { fixture, servers } = fleet
  const gateway = (fixture.daemons.at(-1) as FleetDaemon).gateway
  assert.ok(gateway !== undefined)
  let closed: string | undefined
  gateway.pool.onConnect = address => {
    if (closed !== undefined) return
    const opened = [...gateway.fleet.byId.values()].find(({ facts }) => facts.address === address)
    if (opened === undefined) return
    closed = opened.facts.id
    opened.notice.pausedUntil = getCurrentTime() + 5000
  }
  assert.equal((await sendTo(fixture, 0, '/write/1')).status, 200)
  assert.deepEqual(servers.map(({ test: { facts }, arrivals }) => [facts.id, arrivals.length]), servers.map(({ test: { facts } }) => [facts.id, facts.id === closed ? 0 : 1]))
})
