/** The steps of open requests, and what a VM that stops reports of them. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { brandId } from '@lynxcourse/base'
import type { ServerId } from '@lynxcourse/base'
import { addOpenRequest, countSteps, createOpenRequests, defaultFleetTimes, enterServer, enterStep, enterWriting, getOpenStatus, leaveFleet, leaveServer, recordFinish, removeOpenRequest, reportSignal } from '@lynxcourse/daemon'
import type { FleetDaemon } from '@lynxcourse/daemon'
import { publishRoutes, createRouteToDesk, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'
import { createKeptLogs, findLine } from './support/keptLogs.js'
import { asDisposable, buildGet, connectCaller } from './support/rawCaller.js'

/** Holds requests whose path ends with `held`, and answers all others at once. */
function holdSome (req: IncomingMessage, res: ServerResponse): void {
  if (req.url?.endsWith('held') !== true) res.end('whole')
}

async function readMetric (entry: FleetDaemon, name: string): Promise<string[]> {
  const text = await entry.node.metrics.registry.getSingleMetricAsString(name)
  return text.split('\n').filter(line => line !== '' && !line.startsWith('#'))
}

function createFakeRequest (): IncomingMessage & { socket: { bytesWritten: number, writableLength: number, destroyed: boolean } } {
  return { socket: { bytesWritten: 100, writableLength: 0, destroyed: false } } as unknown as ReturnType<typeof createFakeRequest>
}

test('the status of an open request names its step, the times, its server and the bytes of its answer', () => {
  const requests = createOpenRequests()
  const req = createFakeRequest()
  const open = addOpenRequest(requests, req, 1000, 1010)
  enterStep(open, 'body', 1020)
  assert.deepEqual(getOpenStatus(open, 1050), { step: 'body', openMs: 50, stepMs: 30, sends: 0, server: undefined, writtenBytes: 0, unsentBytes: 0 })
  enterServer(open, brandId<ServerId>('s1'), 1060)
  assert.deepEqual(getOpenStatus(open, 1100), { step: 'server', openMs: 100, stepMs: 40, sends: 1, server: 's1', writtenBytes: 0, unsentBytes: 0 })
  leaveServer(open)
  enterWriting(open, 1200)
  req.socket.bytesWritten = 600
  req.socket.writableLength = 450
  assert.deepEqual(getOpenStatus(open, 1300), { step: 'writing', openMs: 300, stepMs: 100, sends: 1, server: undefined, writtenBytes: 500, unsentBytes: 450 })
  assert.deepEqual(countSteps(requests.all), { writing: 1 })
  removeOpenRequest(requests, open, 1400)
  assert.deepEqual([requests.all.size, requests.lastEndedAt], [0, 1400])
})

/** Guards against a line that names a later step than the one in which the request was cut. */
test('a request keeps its step and server once its caller is gone, and an answer that has begun stays in its step', () => {
  const open = addOpenRequest(createOpenRequests(), createFakeRequest(), 0, 0)
  open.gone = { aborted: true } as unknown as NonNullable<typeof open.gone>
  enterStep(open, 'decision', 10)
  assert.deepEqual([open.step, open.stepSince], ['start', 0])
  const begun = addOpenRequest(createOpenRequests(), createFakeRequest(), 0, 0)
  enterWriting(begun, 5)
  enterStep(begun, 'decision', 10)
  assert.deepEqual([begun.step, begun.stepSince], ['writing', 5])
})

/** Guards against a cut answer that counts as sent, since Node reports its end as usual. */
test('the end of an answer on a destroyed connection does not count as sent', () => {
  const req = createFakeRequest()
  const open = addOpenRequest(createOpenRequests(), req, 0, 0)
  req.socket.destroyed = true
  recordFinish(open)
  assert.equal(open.isSent, false)
  req.socket.destroyed = false
  recordFinish(open)
  assert.equal(open.isSent, true)
})

/** Guards against a stop that cuts requests without a trace of them. */
test('a VM that exits names each incomplete answer with its step and ages, and the phases of its stop', async () => {
  const { logs, lines } = createKeptLogs()
  await using fixture = await startFleetFixture(1, { fields: { times: { ...defaultFleetTimes, stopMs: 600 } }, logs })
  await using server = await startTestServer('s1', holdSome)
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 10_000 })])
  const callers = [connectCaller(fixture), connectCaller(fixture), connectCaller(fixture)] as const
  callers[0].write(buildGet('r1-held') + buildGet('r2'))
  callers[1].write('POST /read/r3 HTTP/1.1\r\nHost: a.example\r\nIdempotency-Key: r3\r\nContent-Length: 10\r\n\r\nabc')
  const entry = fixture.daemons.at(-1) as FleetDaemon
  await waitUntil(() => server.requests.length === 2 && entry.gateway?.open === 3)
  await leaveFleet(entry)
  for (const caller of callers) caller.destroy()

  const waitEnd = findLine(lines, 'Time to stop is over.')
  assert.deepEqual([waitEnd.server, waitEnd.earlierAnswers, waitEnd.body], [1, 1, 1])
  const failed = findLine(lines, 'Failed.', 'r1-held')
  assert.deepEqual([failed.status, failed.sends], [504, 1])
  const summary = findLine(lines, 'Answers are incomplete at the exit.')
  assert.deepEqual([summary.answers, summary.serverWorks, summary.body], [1, 0, 1])
  assert.deepEqual(lines.filter(line => line.message === 'The answer is incomplete.').map(line => line.id), ['r3'])
  const { step, cause, serverWorks, sends, writtenBytes, openMs, stepMs } = findLine(lines, 'The answer is incomplete.', 'r3')
  assert.deepEqual({ step, cause, serverWorks, sends, writtenBytes }, { step: 'body', cause: 'exit', serverWorks: false, sends: 0, writtenBytes: 0 })
  assert.ok(Number(openMs) >= Number(stepMs) && Number(stepMs) >= 590, `open ${String(openMs)} ms, in the step ${String(stepMs)} ms`)

  const closed = findLine(lines, 'Listener closed.')
  assert.deepEqual([closed.inUse, closed.unused, closed.open], [2, 1, 3])
  assert.ok(Number(closed.afterMs) >= 300 && Number(closed.afterMs) < 600, `closed after ${String(closed.afterMs)} ms`)
  assert.ok(Number(findLine(lines, 'Time to stop is over.').afterMs) >= 600)
  assert.equal(findLine(lines, 'Left.').open, 1)
})

/** Guards against an answer that is cut at the exit and counts as sent. */
test('an answer that its caller has not read by the end of a stop is reported with its unsent bytes', async () => {
  const { logs, lines } = createKeptLogs()
  await using fixture = await startFleetFixture(1, { fields: { times: { ...defaultFleetTimes, stopMs: 600 } }, logs })
  await using server = await startTestServer('s1', (_req, res) => res.end(Buffer.alloc(14_000_000)))
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 10_000 })])
  using caller = asDisposable(connectCaller(fixture))
  caller.socket.pause()
  caller.socket.write(buildGet('large'))
  const entry = fixture.daemons.at(-1) as FleetDaemon
  await waitUntil(() => [...entry.gateway?.openRequests.all ?? []][0]?.step === 'writing')
  await leaveFleet(entry)
  const { step, cause, writtenBytes, unsentBytes } = findLine(lines, 'The answer is incomplete.', 'large')
  assert.deepEqual([step, cause], ['writing', 'exit'])
  assert.ok(Number(writtenBytes) > 14_000_000, `written ${String(writtenBytes)}, unsent ${String(unsentBytes)}`)
  assert.ok(Number(unsentBytes) > 0)
  assert.deepEqual(await readMetric(entry, 'lynxcourse_incomplete_answers_total'), ['lynxcourse_incomplete_answers_total{step="writing",cause="exit"} 1'])
})

test('connections that a stop closes are counted by reason, and whole answers are not reported', async () => {
  const { logs, lines } = createKeptLogs()
  await using fixture = await startFleetFixture(1, { fields: { times: { ...defaultFleetTimes, stopMs: 2000 } }, logs })
  await using server = await startTestServer('s1', (req, res) => { setTimeout(() => res.end('whole'), req.url?.endsWith('slow') === true ? 400 : 0) })
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 10_000 })])
  const entry = fixture.daemons.at(-1) as FleetDaemon
  using idle = asDisposable(connectCaller(fixture))
  idle.socket.write(buildGet('first'))
  await waitUntil(() => server.requests.length === 1 && entry.gateway?.open === 0)
  using active = asDisposable(connectCaller(fixture))
  // Follows the answer that announces the close before the caller can have it.
  active.socket.once('data', () => active.socket.write(buildGet('later')))
  active.socket.write(buildGet('slow'))
  await waitUntil(() => server.requests.length === 2)
  await leaveFleet(entry)
  await waitUntil(async () => (await readMetric(entry, 'lynxcourse_caller_connections_closed_total')).length === 2)
  const reasons = (await readMetric(entry, 'lynxcourse_caller_connections_closed_total')).map(line => line.slice(line.indexOf('{')))
  assert.ok(reasons.includes('{reason="idle"} 1') && reasons.some(reason => reason.startsWith('{reason="announced')), reasons.join())
  assert.equal(lines.filter(line => line.message === 'The answer is incomplete.' && line.id !== 'later').length, 0)
  assert.equal(findLine(lines, 'No request is open.').lastEndMs !== undefined, true)
})

/** Guards against requests that end with an announced close and can't be told from those that a server had. */
test('a request that follows an announced close is reported as never sent, and its connection as closed with later requests', async () => {
  const { logs, lines } = createKeptLogs()
  await using fixture = await startFleetFixture(1, { fields: { times: { ...defaultFleetTimes, stopMs: 4000 } }, logs })
  let answer = (): void => undefined
  await using server = await startTestServer('s1', (_req, res) => { answer = () => res.end(Buffer.alloc(14_000_000)) })
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 10_000 })])
  const entry = fixture.daemons.at(-1) as FleetDaemon
  using caller = asDisposable(connectCaller(fixture))
  caller.socket.write(buildGet('large'))
  await waitUntil(() => server.requests.length === 1)
  const leaving = leaveFleet(entry)
  caller.socket.pause()
  answer()
  await waitUntil(() => [...entry.gateway?.openRequests.all ?? []][0]?.step === 'writing')
  caller.socket.write(buildGet('later'))
  await waitUntil(() => lines.some(line => line.id === 'later'))
  caller.socket.resume()
  await leaving
  const { level, step, cause, sends, serverWorks } = findLine(lines, 'The answer is incomplete.', 'later')
  assert.deepEqual({ level, step, cause, sends, serverWorks }, { level: 'info', step: 'start', cause: 'announcedLater', sends: 0, serverWorks: false })
  assert.equal(lines.some(line => line.message === 'The answer is incomplete.' && line.id === 'large'), false)
  assert.deepEqual(await readMetric(entry, 'lynxcourse_caller_connections_closed_total'), ['lynxcourse_caller_connections_closed_total{reason="announcedLater"} 1'])
})

/** Guards against a second signal that ends the process without a trace of the requests that it cuts. */
test('a second signal is logged with the open requests', async () => {
  const { logs, lines } = createKeptLogs()
  await using fixture = await startFleetFixture(1, { logs })
  await using server = await startTestServer('s1', holdSome)
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 10_000 })])
  using caller = asDisposable(connectCaller(fixture))
  caller.socket.write(buildGet('held'))
  await waitUntil(() => server.requests.length === 1)
  const entry = fixture.daemons.at(-1) as FleetDaemon
  reportSignal(entry, 'SIGTERM', undefined, 5000)
  assert.equal(lines.some(line => line.message === 'The answer is incomplete.'), false)
  reportSignal(entry, 'SIGTERM', 5000, 5250)
  const signals = lines.filter(line => line.message === 'Signal received.')
  assert.deepEqual(signals.map(({ level, signal, afterMs, open }) => [level, signal, afterMs, open]), [['info', 'SIGTERM', undefined, 1], ['warn', 'SIGTERM', 250, 1]])
  assert.equal(findLine(lines, 'The answer is incomplete.', 'held').step, 'server')
})
