/** Backend servers that send bytes that are no answer, or no end of one. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, getCurrentTime, maxHeldBytes } from '@lynxcourse/daemon'
import type { FleetDaemon } from '@lynxcourse/daemon'
import { createRouteToDesk, keepAnnouncing, publishRoutes, sendRequest, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture, TestResponse, TestServer } from './support/fleetFixture.js'
import { endlessAnswers, startEndlessServer } from './support/endlessServer.js'
import type { EndlessKind, EndlessServer } from './support/endlessServer.js'

const timeoutMs = 1500
/** Time after its timeout within which a request has an answer. */
const slackMs = 500
type Gateway = NonNullable<FleetDaemon['gateway']>

const routes = [
  createRouteToDesk('read', { timeoutMs, maxAttempts: 1 }),
  createRouteToDesk('write', { timeoutMs, maxAttempts: 1, isIdempotent: false }),
  createRouteToDesk('export', { timeoutMs, maxAttempts: 1, hasLargeAnswers: true })
]
/** Statuses that say nothing about whether the request has run. */
const unknownStatuses = [502, 504]
/** Bytes that an entry VM reads of what is no answer, and those that the buffers of both sockets hold on loopback. */
const maxNoAnswerBytes = 262_144
const socketBufferBytes = 12_000_000
/** Size to which an answer is read whole. */
const maxAnswerBytes = 16_777_216
const kinds = Object.keys(endlessAnswers) as EndlessKind[]
const bodyKinds = new Set<EndlessKind>(['a body without a length', 'a chunked body', 'chunks of one byte'])

interface Setup extends AsyncDisposable {
  readonly fixture: FleetFixture
  readonly endless: EndlessServer
}

async function startSetup (): Promise<Setup> {
  const fixture = await startFleetFixture(1)
  const endless = await startEndlessServer('a status line')
  const model = await startTestServer('endless', (_req, res) => res.end())
  const server: TestServer = { ...model, facts: { ...model.facts, address: endless.address, slots: 500 } }
  await publishRoutes(fixture, [server], routes)
  const announcing = keepAnnouncing(fixture, [server])
  return {
    fixture,
    endless,
    [Symbol.asyncDispose]: async () => {
      announcing[Symbol.dispose]()
      await fixture[Symbol.asyncDispose]()
      await endless[Symbol.asyncDispose]()
      await model[Symbol.asyncDispose]()
    }
  }
}

async function send (fixture: FleetFixture, path: string): Promise<TestResponse & { readonly tookMs: number }> {
  const startedAt = getCurrentTime()
  const method = path.startsWith('/write') ? 'POST' : 'GET'
  const response = await sendRequest(fixture, path, method).catch((err: Error) => ({ status: 0, body: err.message, headers: {} }))
  return { ...response, tookMs: getCurrentTime() - startedAt }
}

/** Checks that a request has an answer in time that claims nothing that isn't known. */
function checkAnswer ({ status, body, tookMs }: Awaited<ReturnType<typeof send>>, kind: EndlessKind, path: string): void {
  const what = `${kind} ${path}: ${status} after ${Math.round(tookMs)} ms, ${body.length} bytes`
  assert.ok(tookMs < timeoutMs + slackMs, what)
  // The head and the two bytes of this answer are complete and valid; what follows belongs to no request. A download may also be
  // forwarded until its connection is reset.
  const isAllowed = unknownStatuses.includes(status) || (kind === 'a body beyond its length' && status === 200 && body === 'ok') || (path.startsWith('/export') && status === 0)
  assert.ok(isAllowed, what)
}

// Guards against requests without an answer in time, memory and processor time that grow without a bound, and connections that stay open.
test('bytes without end are cut off, in whatever part of an answer they come', async () => {
  await using setup = await startSetup()
  const { fixture, endless } = setup
  for (const kind of kinds) {
    endless.kind = kind
    for (const path of ['/read/1', '/write/1', '/export/1']) {
      const before = endless.sent.length
      checkAnswer(await send(fixture, path), kind, path)
      await waitUntil(() => endless.sockets.size === 0)
      const most = Math.max(0, ...endless.sent.slice(before))
      const limit = bodyKinds.has(kind) ? maxAnswerBytes : maxNoAnswerBytes
      assert.ok(most <= limit + socketBufferBytes, `${kind} ${path}: ${most} bytes were sent`)
    }
  }
})

// Guards against requests that hang, and against connections that are never closed, because each piece looks like progress.
test('slow bytes without end are cut off at the deadline', async () => {
  await using setup = await startSetup()
  const { fixture, endless } = setup
  endless.pauseMs = 40
  const endings = await Promise.all(kinds.map(async (kind, index) => {
    await delay(index * 30)
    endless.kind = kind
    return { kind, path: index % 2 === 0 ? '/read/1' : '/write/1', response: await send(fixture, index % 2 === 0 ? '/read/1' : '/write/1') }
  }))
  // The server's kind may have changed before a request arrived; the checks are the same for all of them.
  for (const { kind, path, response } of endings) if (response.body !== 'ok') checkAnswer(response, kind, path)
  await waitUntil(() => endless.sockets.size === 0)
})

// Guards against a VM that runs out of memory because some hundred answers are each within their own limit, and against other callers that wait meanwhile.
test('some hundred bodies without end at once stay within the memory for answers while other callers are served', async () => {
  await using setup = await startSetup()
  const { fixture, endless } = setup
  const gateway = fixture.daemons.at(-1)?.gateway as Gateway
  // The servers share the processor of this test with the VM; as fast as possible, they would leave it none.
  endless.pauseMs = 40
  endless.pieceBytes = Infinity
  let mostHeld = 0
  const sampling = setInterval(() => { mostHeld = Math.max(mostHeld, gateway.answerBudget.heldBytes) }, 1).unref()
  for (const kind of ['a body without a length', 'a chunked body'] as const) {
    endless.kind = kind
    const sends = Array.from({ length: 300 }, async (_, index) => ({ path: index % 2 === 0 ? '/read/1' : '/write/1', response: await send(fixture, index % 2 === 0 ? '/read/1' : '/write/1') }))
    for (const { path, response } of await Promise.all(sends)) if (response.status !== 503) checkAnswer(response, kind, path)
    await waitUntil(() => endless.sockets.size === 0)
    endless.goodAnswers = 1
    await waitUntil(async () => (await send(fixture, '/read/2')).body === 'good')
  }
  clearInterval(sampling)
  const { maxBytes, heldBytes, count } = gateway.answerBudget
  assert.ok(maxBytes <= maxHeldBytes && mostHeld > 0 && mostHeld < maxBytes + 1_048_576, `${mostHeld} of ${maxBytes} bytes held`)
  assert.deepEqual({ heldBytes, count }, { heldBytes: 0, count: 0 })
})

// Guards against bytes behind an answer that reach the next request on a reused connection.
test('a reused connection that carries bytes without end is closed, and none of them reaches a caller', async () => {
  await using setup = await startSetup()
  const { fixture, endless } = setup
  for (const kind of kinds) {
    endless.kind = kind
    endless.goodAnswers = 1
    await waitUntil(async () => (await send(fixture, '/read/1')).body === 'good')
    checkAnswer(await send(fixture, '/read/2'), kind, '/read/2')
    await waitUntil(() => endless.sockets.size === 0)
  }
})

// Guards against limits that cut off answers that are long but sound.
test('a large answer within the limits passes, and so do its interim answers', async () => {
  await using fixture = await startFleetFixture(1)
  const body = Buffer.alloc(12_000_000, 'y')
  await using server = await startTestServer('sound', (_req, res) => {
    for (let count = 0; count < 20; count++) res.writeEarlyHints({ link: '</style.css>; rel=preload; as=style' })
    for (let offset = 0; offset < body.length; offset += 1000) res.write(body.subarray(offset, offset + 1000))
    res.end()
  })
  await publishRoutes(fixture, [server], routes.map(route => ({ ...route, timeoutMs: 10_000 })))
  for (const path of ['/read/1', '/export/1']) {
    const response = await sendRequest(fixture, path)
    assert.deepEqual([response.status, response.body.length], [200, body.length])
  }
})
