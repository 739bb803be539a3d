/** Servers that name a limit for the requests of all entry VMs together. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { getCurrentTime } from '@lynxcourse/daemon'
import { computeWindowBound, countArrivals, countBusiestWindow, sendForMs, startLimitedFleet } from './support/limitedServers.js'

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
