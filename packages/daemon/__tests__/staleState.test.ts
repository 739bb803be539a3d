/** What an entry VM does when its copy of the state may be older than a confirmed change. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, getCurrentTime } from '@lynxcourse/daemon'
import { createReplaceRoutesCommand, createRouteToDesk, keepAnnouncing, publishRoutes, sendRequest, sendSteadily, startFleetFixture, startTestServer, submitCommand, waitUntil } from './support/fleetFixture.js'

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

/** Guards against callers that are refused by a VM that reaches no control VM. */
test('an entry VM that is cut off from the control VMs serves on by the configuration that it has', async () => {
  await using fixture = await startFleetFixture(1, { controlCount: 1, hasControlLinks: true })
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  await fixture.controlLinks[0]?.[Symbol.asyncDispose]()
  const responses = await sendSteadily(async () => await sendRequest(fixture, '/read/1'), 20, 2 * applyMs)
  assert.deepEqual(responses.filter(({ status }) => status !== 200), [])
})
