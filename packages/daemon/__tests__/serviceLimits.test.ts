/** Servers of a service that name a limit for the requests of all VMs together. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, getCurrentTime } from '@lynxcourse/daemon'
import { request } from 'undici'
import { startDaemonFixture, startTestBackend, waitForEvent } from './support/daemonFixture.js'
import type { DaemonFixture, TestBackend } from './support/daemonFixture.js'

const windowMs = 4000
const perSecond = 4.5
const maxPerWindow = perSecond * windowMs / 1000 * 1.5 + 5

async function send ({ http }: DaemonFixture): Promise<number> {
  const res = await request(`${http}/s/offers/read`)
  await res.body.dump()
  return res.statusCode
}

/** Counts the requests of callers that a server gets, and makes it name a limit. */
function countRequests (backend: TestBackend, named: string | undefined): number[] {
  const arrivals: number[] = []
  backend.handler = (req, res) => {
    if (req.url?.endsWith('/read') === true) arrivals.push(getCurrentTime())
    if (named !== undefined) res.setHeader('lynx-server-limit', named)
    res.end('ok')
  }
  return arrivals
}

/** Guards against a server that gets its usual load by service although it names a limit. */
test('a server of a service that names a limit gets no more, and other servers take the rest', async () => {
  await using fixture = await startDaemonFixture()
  await using limited = await startTestBackend(fixture)
  await using other = await startTestBackend(fixture)
  const arrivals = countRequests(limited, String(perSecond))
  const otherArrivals = countRequests(other, undefined)
  await waitForEvent('requests are served', async () => await send(fixture) === 200)
  const startedAt = getCurrentTime()
  const statuses: Array<Promise<number>> = []
  while (getCurrentTime() - startedAt < windowMs) {
    statuses.push(send(fixture))
    await delay(20)
  }
  assert.ok((await Promise.all(statuses)).every(status => status === 200), 'the other server has room for all')
  const got = arrivals.filter(at => at > startedAt).length
  assert.ok(got <= maxPerWindow, `${got} requests in one window`)
  assert.ok(got >= perSecond * windowMs / 1000 * 0.7, `${got} requests in one window`)
  assert.ok(otherArrivals.length > got)
})
