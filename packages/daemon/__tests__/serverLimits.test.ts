/** Servers that name a limit for the requests of all entry VMs together. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, getCurrentTime } from '@lynxcourse/daemon'
import type { FleetDaemon, FleetSettings } from '@lynxcourse/daemon'
import { hasServers, startVm, waitUntil } from './support/fleetFixture.js'
import { computeWindowBound, countBusiestWindow, startLimitedFleet } from './support/limitedServers.js'
import { controlCount, countArrivals, sendForMs, sendTo, stopControlVms } from './support/servingFleet.js'

/** Guards against a server that gets its usual load although it names a limit. */
test('a server that names a limit gets no more from all VMs together, and other servers take the rest', async () => {
  await using fleet = await startLimitedFleet(3, 2)
  const { fixture, servers: [limited, other] } = fleet
  assert.ok(limited !== undefined && other !== undefined)
  await sendForMs(fixture, [0, 1, 2], 60, 1000)
  limited.named = '4.5'
  const startedAt = getCurrentTime()
  const responses = await sendForMs(fixture, [0, 1, 2], 60, 9000)
  assert.ok(countBusiestWindow(limited) <= computeWindowBound(4.5), `${countBusiestWindow(limited)} requests in one window`)
  assert.equal(responses.filter(({ status }) => status !== 200).length, 0, 'the other server has room for all')
  assert.ok(countArrivals(other, startedAt) > 0)
})

/** Guards against a limit that is kept only while control VMs can be reached, and forgotten by VMs that start. */
test('a limit holds without control VMs, and a VM that starts knows it before its first request', async () => {
  await using fleet = await startLimitedFleet(2, 2)
  const { fixture, servers: [limited] } = fleet
  assert.ok(limited !== undefined)
  limited.named = '4.5'
  await sendForMs(fixture, [0, 1], 60, 2000)
  const restarted = controlCount + 1
  await fixture.daemons[restarted]?.[Symbol.asyncDispose]()
  fixture.daemons[restarted] = await startVm(fixture.settings[restarted] as FleetSettings)
  await waitUntil(() => hasServers(fixture.daemons[restarted] as FleetDaemon, 2))
  assert.equal(fixture.daemons[restarted]?.gateway?.fleet.byId.get(limited.test.facts.id)?.notice.limit.perSecond, 4.5)
  await stopControlVms(fixture)
  const cutAt = getCurrentTime()
  const responses = await sendForMs(fixture, [0, 1], 60, 5000)
  assert.ok(countBusiestWindow(limited) <= computeWindowBound(4.5), `${countBusiestWindow(limited)} requests in one window`)
  assert.ok(countArrivals(limited, cutAt) >= 4.5 * 5 * 0.4, 'the server still gets requests')
  assert.ok(responses.every(({ status }) => status === 200))
})

/** Guards against callers that hear nothing until their deadline, or come back before the server takes a request. */
test('requests that only a limited server could take are refused at once, and the server gets what it takes', async () => {
  await using fleet = await startLimitedFleet(2, 1)
  const { fixture, servers: [limited] } = fleet
  assert.ok(limited !== undefined)
  limited.named = '5'
  await sendForMs(fixture, [0, 1], 20, 2500)
  const startedAt = getCurrentTime()
  const responses = await sendForMs(fixture, [0, 1], 30, 5000)
  const refused = responses.filter(({ status }) => status === 503)
  assert.ok(countArrivals(limited, startedAt) >= 5 * 5 * 0.7, `${countArrivals(limited, startedAt)} requests in 5 s`)
  assert.ok(countBusiestWindow(limited) <= computeWindowBound(5))
  assert.equal(refused.length + responses.filter(({ status }) => status === 200).length, responses.length)
  assert.ok(refused.length > 0 && refused.every(({ headers, body }) => Number(headers['retry-after']) > 0 && /^not run: limited/.test(body)))
})

/** Guards against servers that stay limited at VMs which got none of the answers that show the end. */
test('all VMs hear of a limit that falls and of one that ends, also while callers move', async () => {
  await using fleet = await startLimitedFleet(3, 2)
  const { fixture, servers: [limited] } = fleet
  assert.ok(limited !== undefined)
  limited.named = '12'
  await sendForMs(fixture, [0, 1, 2], 60, 3000)
  limited.named = '1.5'
  const fallenAt = getCurrentTime()
  await sendForMs(fixture, [0], 60, 5000)
  assert.ok(countArrivals(limited, fallenAt + 1000) <= computeWindowBound(1.5), `${countArrivals(limited, fallenAt + 1000)} requests in 4 s`)
  limited.named = undefined
  const hasEnded = (): boolean => fixture.daemons.every(daemon => daemon?.gateway?.fleet.byId.get(limited.test.facts.id)?.notice.limit.perSecond === undefined)
  await waitUntil(async () => {
    await sendForMs(fixture, [0], 60, 200)
    return hasEnded()
  })
  const endedAt = getCurrentTime()
  await sendForMs(fixture, [0, 1, 2], 60, 1000)
  assert.ok(countArrivals(limited, endedAt) >= 10, `${countArrivals(limited, endedAt)} requests in a second`)
})

/** Guards against a header that takes a sound server out of use, or lifts a limit. */
test('an unreadable limit changes nothing', async () => {
  await using fleet = await startLimitedFleet(1, 1)
  const { fixture, servers: [server] } = fleet
  assert.ok(server !== undefined)
  for (const named of ['soon', '-3', '1e9', '']) {
    server.named = named
    assert.equal((await sendTo(fixture, 0)).status, 200, named)
  }
  const limit = (): number | undefined => fixture.daemons.at(-1)?.gateway?.fleet.byId.get(server.test.facts.id)?.notice.limit.perSecond
  assert.equal(limit(), undefined)
  server.named = ['7', '3']
  await sendTo(fixture, 0)
  assert.equal(limit(), 3)
  server.named = 'soon'
  await delay(500)
  await sendTo(fixture, 0)
  assert.equal(limit(), 3)
})
