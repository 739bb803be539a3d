/** The retry budget of all VMs together, with real daemons. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { FleetDaemon, FleetSettings } from '@lynxcourse/daemon'
import { createRouteToDesk, hasServers, keepAnnouncing, publishRoutes, sendRequestTo, startFleetFixture, startTestServer, startVm, waitUntil } from './support/fleetFixture.js'
import { createArrivalRecorder, findExceededWindow } from './support/retryWindows.js'

const controlCount = 3
const entryCount = 2
const restarts = 4
const requestsPerProcess = 8
const retryBudget: FleetSettings['retryBudget'] = { ratio: 0.2, windowMs: 10_000, slack: 10 }

/** Guards against restarts that renew the retry budget: servers that failed got as many retries from each new process. */
test('entry VMs that restart again and again observe the retry budget together', async () => {
  await using fixture = await startFleetFixture(entryCount, { fields: { retryBudget } })
  const recorder = createArrivalRecorder()
  const startFullServer = async (id: string): ReturnType<typeof startTestServer> => await startTestServer(id, (req, res) => {
    recorder.record(req)
    res.writeHead(503, { 'lynx-not-started': '1' }).end()
  })
  await using first = await startFullServer('s1')
  await using second = await startFullServer('s2')
  const servers = [first, second]
  await publishRoutes(fixture, servers, [createRouteToDesk('read')])
  const announcing = keepAnnouncing(fixture, servers)
  for (let restart = 0; restart < restarts; restart++) {
    for (let vm = controlCount; vm < controlCount + entryCount; vm++) {
      const cfg = fixture.settings[vm] as FleetSettings
      await fixture.daemons[vm]?.[Symbol.asyncDispose]()
      const daemon: FleetDaemon = await startVm(cfg)
      fixture.daemons[vm] = daemon
      await waitUntil(() => hasServers(daemon, servers.length))
      await Promise.all(Array.from({ length: requestsPerProcess }, async () => await sendRequestTo(cfg.callers ?? '', '/read/1', 'GET', recorder.nameRequest())))
    }
  }
  announcing[Symbol.dispose]()
  assert.equal(findExceededWindow(recorder.arrivals, retryBudget), undefined)
})
