/** What an entry VM does when its copy of the state may be older than a confirmed change. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import { delay, dismissServer, getCurrentTime, handleAnnouncement } from '@lynxcourse/daemon'
import type { FleetDaemon } from '@lynxcourse/daemon'
import { createTeam, createTeamsUpdate } from '@lynxcourse/state/testing'
import { createReplaceRoutesCommand, createRouteToDesk, getControl, keepAnnouncing, publishRoutes, sendRequest, sendRequestTo, sendSteadily, startFleetFixture, startTestServer, submitCommand, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture, TestServer } from './support/fleetFixture.js'

/** Time from the confirmation of a change until no entry VM in touch may decide by an older version. */
const applyMs = 2500

/** Guards against requests that are routed by a replaced configuration because a control VM answers late. */
test('an entry VM whose control VM does not answer routes no request by a replaced configuration', async () => {
  await using fixture = await startFleetFixture(1, { controlCount: 1, hasControlLinks: true })
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read'), createRouteToDesk('kept')])
  const announcing = keepAnnouncing(fixture, [server])
  assert.equal((await sendRequest(fixture, '/read/1')).status, 200)
  const [link] = fixture.controlLinks
  link?.pause()
  const answer = await submitCommand(fixture, createReplaceRoutesCommand('second', 1, 2, [createRouteToDesk('kept')]))
  const confirmedAt = getCurrentTime()
  assert.equal(answer.ok, true)
  await delay(applyMs - (getCurrentTime() - confirmedAt))
  const arrivedBefore = server.requests.length
  const responses = await sendSteadily(async () => await sendRequest(fixture, '/read/2'), 10, 1500)
  assert.deepEqual([...new Set(responses.map(({ status }) => status))], [503])
  assert.equal(server.requests.length, arrivedBefore, 'requests that reached the server')
  link?.resume()
  await waitUntil(async () => (await sendRequest(fixture, '/kept/1')).status === 200)
  assert.equal((await sendRequest(fixture, '/read/3')).status, 404)
  announcing[Symbol.dispose]()
})

/** Orders that bind all entry VMs once they are confirmed, each with the status of the request that it concerns. */
const orders: ReadonlyArray<{ readonly name: string, readonly give: (fixture: FleetFixture, server: TestServer) => Promise<unknown>, readonly status: number }> = [
  { name: 'an evacuation', status: 503, give: async fixture => await submitCommand(fixture, { type: 'evacuate', failureDomain: brandId('kochi-a'), isActive: true }) },
  { name: 'the drain of a server', status: 503, give: async (fixture, { facts }) => await handleAnnouncement(getControl(fixture, 0), { ...facts, isDraining: true, seq: facts.seq + 1 }, getCurrentTime()) },
  { name: 'the end of a server', status: 503, give: async (fixture, { facts }) => await dismissServer(getControl(fixture, 0), facts.id) },
  { name: 'a key that is taken away', status: 401, give: async fixture => await submitCommand(fixture, createTeamsUpdate(2, [createTeam('a', ['other'])])) }
]

for (const { name, give, status } of orders) {
  /** Guards against VMs that go on against a confirmed order because they have not heard of it. */
  test(`${name} binds an entry VM whose control VM does not answer`, async () => {
    await using fixture = await startFleetFixture(1, { controlCount: 1, hasControlLinks: true })
    await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
    await publishRoutes(fixture, [server], [createRouteToDesk('read')])
    await submitCommand(fixture, createTeamsUpdate(1, [createTeam('a', ['k1'])]))
    const send = async (): Promise<number> => (await sendRequest(fixture, '/read/1', 'GET', { authorization: 'Bearer k1' })).status
    await waitUntil(async () => await send() === 200)
    const [link] = fixture.controlLinks
    link?.pause()
    await give(fixture, server)
    await delay(applyMs)
    const arrivedBefore = server.requests.length
    assert.equal(await send(), 503)
    assert.equal(server.requests.length, arrivedBefore, 'requests that reached the server')
    link?.resume()
    await waitUntil(() => (fixture.daemons[1] as FleetDaemon).node.config.version === getControl(fixture, 0).host.machine.config.version)
    assert.equal(await send(), status)
    assert.equal(server.requests.length, arrivedBefore, 'requests that reached the server after the VM had heard of the order')
  })
}

/** Guards against a change whose size keeps VMs from serving, or from the change itself. */
test('changes of many routes in quick succession under load are in force in time, and no request fails', async () => {
  await using fixture = await startFleetFixture(2)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  const announcing = keepAnnouncing(fixture, [server])
  try {
    await changeUnderLoad(fixture)
  } finally {
    // Its timer would keep the process alive after a failure.
    announcing[Symbol.dispose]()
  }
})

async function changeUnderLoad (fixture: FleetFixture): Promise<void> {
  const routeCount = 1400
  const load = sendSteadily(async () => await sendRequest(fixture, '/read/1'), 50, 6000)
  let version = 1
  for (const prefix of ['a', 'b', 'c']) {
    const extras = Array.from({ length: routeCount }, (_, index) => createRouteToDesk(`${prefix}-${index}`))
    assert.equal((await submitCommand(fixture, createReplaceRoutesCommand(prefix, version, version + 1, [createRouteToDesk('read'), ...extras]))).ok, true)
    version += 1
  }
  const confirmedAt = getCurrentTime()
  for (const { callers } of fixture.settings.slice(3)) await waitUntil(async () => (await sendRequestTo(callers ?? '', `/c-${routeCount - 1}/1`)).status === 200)
  const tookMs = getCurrentTime() - confirmedAt
  assert.ok(tookMs < applyMs, `in force after ${tookMs} ms`)
  for (const { callers } of fixture.settings.slice(3)) assert.equal((await sendRequestTo(callers ?? '', '/a-1/1')).status, 404)
  assert.deepEqual((await load).filter(({ status }) => status !== 200), [])
}

/** Guards against callers that are refused by a VM that reaches no control VM. */
test('an entry VM that is cut off from the control VMs serves on by the configuration that it has', async () => {
  await using fixture = await startFleetFixture(1, { controlCount: 1, hasControlLinks: true })
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  await fixture.controlLinks[0]?.[Symbol.asyncDispose]()
  const responses = await sendSteadily(async () => await sendRequest(fixture, '/read/1'), 20, 2 * applyMs)
  assert.deepEqual(responses.filter(({ status }) => status !== 200), [])
})
