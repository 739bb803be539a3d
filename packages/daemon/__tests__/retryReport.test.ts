/** What metrics and logs tell of the retry budget. */
import assert from 'node:assert/strict'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Writable } from 'node:stream'
import { test } from 'node:test'
import { getCurrentTime, openLogs, reportRetries } from '@lynxcourse/daemon'
import type { FleetDaemon } from '@lynxcourse/daemon'
import { createRouteToDesk, publishRoutes, sendRequest, startFleetFixture, startTestServer } from './support/fleetFixture.js'

const windowMs = 10_000

/** Guards against retries that leave no trace in logs and metrics. */
test('metrics and logs tell by service which retries the budget allowed and denied, and why they were wanted', async () => {
  await using fixture = await startFleetFixture(1, { fields: { retryBudget: { ratio: 0.2, windowMs, slack: 0 } } })
  const answerFull = (_req: IncomingMessage, res: ServerResponse): ServerResponse => res.writeHead(503, { 'lynx-not-started': '1' }).end()
  await using first = await startTestServer('s1', answerFull)
  await using second = await startTestServer('s2', answerFull)
  await publishRoutes(fixture, [first, second], [createRouteToDesk('read')])
  const { gateway } = fixture.daemons.at(-1) as FleetDaemon
  assert.ok(gateway !== undefined)
  const lines: string[] = []
  const stream = new Writable({ write: (chunk, _encoding, done) => { lines.push(String(chunk)); done() } })
  Object.assign(gateway.node.logs, { ...openLogs({ format: 'json', level: 'info', parts: {} }), stream })
  for (let sent = 0; sent < 20; sent++) await sendRequest(fixture, '/read/1')

  reportRetries(gateway, getCurrentTime() + windowMs)

  const metrics = await gateway.node.metrics.registry.metrics()
  for (const result of ['sent', 'denied']) assert.match(metrics, new RegExp(`lynxcourse_retries_total\\{service="desk",cause="full",result="${result}"\\} [1-9]`))
  assert.match(metrics, /lynxcourse_retry_budget\{service="desk",part="credits"\}/)
  const line = lines.map(text => JSON.parse(text) as Record<string, unknown>).find(({ message }) => message === 'Retry budget.')
  assert.deepEqual([line?.service, line?.requests], ['desk', 20])
  assert.match(String(line?.sent), /^full \d+$/)
  assert.match(String(line?.denied), /^full \d+$/)
})
