/**
 * Invalid input from callers, servers, peers and operators gets an error that names the field, and the daemon keeps
 * serving.
 */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { Readable } from 'node:stream'
import { after, before, test } from 'node:test'
import fc from 'fast-check'
import { isLynxError, createRandom, createRequestId } from '@lynxcourse/base'
import { callPeer, getCurrentTime } from '@lynxcourse/daemon'
import { request } from 'undici'
import { waitForEvent, startTestBackend, startDaemonFixture, testSeed } from './support/daemonFixture.js'
import type { TestBackend, DaemonFixture } from './support/daemonFixture.js'

console.log(`seed ${testSeed}`)

let rig: DaemonFixture
let backend: TestBackend

before(async () => {
  rig = await startDaemonFixture({ limits: { maxBodyBytes: 10_000, bufferBytes: 1000 } })
  backend = await startTestBackend(rig)
})

after(async () => {
  await backend[Symbol.asyncDispose]()
  await rig[Symbol.asyncDispose]()
})

interface Reply { status: number, outcome: unknown, detail: string }

async function sendRequest (path: string, options: Parameters<typeof request>[1] = {}): Promise<Reply> {
  const res = await request(`${rig.http}${path}`, options)
  const text = await res.body.text()
  let detail = text
  try {
    detail = (JSON.parse(text) as { detail: string }).detail
  } catch {
    // A backend server's own answer.
  }
  return { status: res.statusCode, outcome: res.headers['lynx-outcome'], detail }
}

async function assertStillServes (): Promise<void> {
  const reply = await sendRequest('/s/offers/list', { headers: { 'x-echo': 'yes' } })
  assert.deepEqual([reply.status, reply.outcome, reply.detail], [200, 'done', 'echo yes'])
}

test('invalid requests get an error that names the field', async () => {
  const post = { method: 'POST' as const }
  const id = createRequestId(getCurrentTime(), createRandom(testSeed))
  const cases: Array<[string, string, Parameters<typeof request>[1], number, RegExp]> = [
    ['look-up without a service', '/v1/lookup', {}, 400, /^service/],
    ['look-up of an unknown service', '/v1/lookup?service=none', {}, 404, /none/],
    ['path without a service', '/s/', {}, 400, /SERVICE/],
    ['unknown service', '/s/none/x', {}, 404, /none/],
    ['unknown path', '/x', {}, 404, /path/],
    ['missing request id', '/s/offers/x', post, 400, /Idempotency-Key/],
    ['request id that is not a UUID v7', '/s/offers/x', { ...post, headers: { 'idempotency-key': 'abc' } }, 400, /UUID v7/],
    ['expired request id', '/s/offers/x', { ...post, headers: { 'idempotency-key': createRequestId(getCurrentTime() - 3_600_000, createRandom(1)) } }, 400, /Idempotency-Key: issued/],
    ['deadline in the past', '/s/offers/x', { headers: { 'lynx-deadline-ms': '-5' } }, 400, /lynx-deadline-ms/],
    ['deadline that is not a number', '/s/offers/x', { headers: { 'lynx-deadline-ms': 'soon' } }, 400, /lynx-deadline-ms/],
    ['body over the limit', '/s/offers/x', { ...post, headers: { 'idempotency-key': id }, body: 'x'.repeat(10_001) }, 413, /body over/]
  ]
  for (const [description, path, options, status, detail] of cases) {
    const reply = await sendRequest(path, options)
    assert.equal(reply.status, status, description)
    assert.match(reply.detail, detail, description)
  }
  assert.equal(backend.requestCounts.size, 0)
  await assertStillServes()
})

test('a chunked body that exceeds the limit ends the request', async () => {
  const id = createRequestId(getCurrentTime(), createRandom(testSeed + 1))
  async function * chunks (): AsyncGenerator<string> { for (let n = 0; n < 20; n++) yield 'x'.repeat(1000) }
  const reply = await sendRequest('/s/offers/x', { method: 'POST', headers: { 'idempotency-key': id }, body: Readable.from(chunks()) }).catch(() => undefined)
  assert.notEqual(reply?.status, 200)
  await assertStillServes()
})

async function sendRaw (text: string): Promise<string> {
  return await new Promise(resolve => {
    const socket = connect(Number(rig.http.slice(rig.http.lastIndexOf(':') + 1)), '127.0.0.1', () => socket.write(text))
    let received = ''
    socket.on('data', chunk => { received += chunk.toString() })
    socket.on('close', () => resolve(received))
    socket.on('error', () => resolve(received))
  })
}

test('request heads that are too large or not HTTP are rejected', async () => {
  assert.match(await sendRaw(`GET /s/offers/x HTTP/1.1\r\nhost: x\r\nbig: ${'x'.repeat(20_000)}\r\n\r\n`), / 431 /)
  assert.match(await sendRaw('NONSENSE\r\n\r\n'), / 400 /)
  await assertStillServes()
})

test('a sender that stalls within the body gets an error at its deadline, and a request whose sender disconnects is dropped', async () => {
  const id = createRequestId(getCurrentTime(), createRandom(testSeed + 2))
  const head = `POST /s/offers/x HTTP/1.1\r\nhost: x\r\nidempotency-key: ${id}\r\nlynx-deadline-ms: 200\r\ncontent-length: 100\r\n\r\n`
  assert.match(await sendRaw(`${head}only a part`), / 400 .*body did not come/s)
  const socket = connect(Number(rig.http.slice(rig.http.lastIndexOf(':') + 1)), '127.0.0.1', () => socket.write(head, () => socket.destroy()))
  await waitForEvent('the request is dropped', () => rig.daemon.entry?.open === 0)
  assert.equal(backend.requestCounts.has(id), false)
  await assertStillServes()
})

test('invalid announcements are rejected', async () => {
  const cases: Array<[object, number]> = [
    [{ slots: -1 }, 400], [{ slots: 1.5 }, 400], [{ address: '127.0.0.9:80' }, 403], [{ address: 'x' }, 400], [{ failureDomain: 'delhi-a' }, 400],
    [{ state: 'happy' }, 400], [{ extra: 1 }, 400], [{ service: 'No Good' }, 400], [{ load: -3 }, 400]
  ]
  for (const [fields, status] of cases) assert.equal(await backend.announce({ server: 'bad-1', ...fields }), status, JSON.stringify(fields))
  const huge = await sendRequest('/v1/announce', { method: 'POST', body: 'x'.repeat(5000) })
  assert.equal(huge.status, 413)
  await assertStillServes()
})

test('announcements with random bodies are rejected as invalid', async () => {
  await fc.assert(fc.asyncProperty(fc.oneof(fc.string(), fc.json()), async text => {
    const reply = await sendRequest('/v1/announce', { method: 'POST', body: text })
    assert.equal(reply.status, 400)
  }), { seed: testSeed, numRuns: 60 })
  await assertStillServes()
})

async function sendRpc (body: string): Promise<{ status: number, text: string }> {
  const res = await request(`http://${rig.rpc}/rpc`, { method: 'POST', body })
  return { status: res.statusCode, text: await res.body.text() }
}

test('RPC messages that are malformed, name an unknown method or have invalid parameters get an error', async () => {
  assert.match((await sendRpc('nonsense')).text, /-32700/)
  assert.match((await sendRpc('{"jsonrpc":"2.0","id":1,"method":"no.such","params":{}}')).text, /-32601/)
  assert.match((await sendRpc('{"jsonrpc":"2.0","id":1,"method":"sync.ask","params":{"self":3}}')).text, /self/)
  assert.match((await sendRpc('{"jsonrpc":"2.0","id":1,"method":"log.message","params":{"cluster":"c","from":"x","to":"y","message":{}}}')).text, /from/)
  const methods = ['sync.ask', 'leader.report', 'claims.submit', 'log.message', 'change.submit', 'cluster.init', 'cluster.join', 'query.explain']
  await fc.assert(fc.asyncProperty(fc.constantFrom(...methods), fc.jsonValue(), async (method, params) => {
    const reply = await sendRpc(JSON.stringify({ jsonrpc: '2.0', id: 1, method, params }))
    assert.equal(reply.status, 200)
    assert.match(reply.text, /"error"/)
  }), { seed: testSeed, numRuns: 100 })
  await assertStillServes()
})

test('an RPC message over the size limit is rejected', async () => {
  const small = await startDaemonFixture({ limits: { maxRpcBytes: 65_536 } })
  try {
    const res = await request(`http://${small.rpc}/rpc`, { method: 'POST', body: 'x'.repeat(70_000) }).catch(() => undefined)
    if (res !== undefined) assert.equal(res.statusCode, 413)
    assert.ok(await callPeer(small.client, small.rpc, 'query.status', {}))
  } finally {
    await small[Symbol.asyncDispose]()
  }
})

test('invalid changes get an error that names the field', async () => {
  const publish = (profile: object, expectedVersion = 1): Promise<{ ok: boolean }> => rig.change({ type: 'publishProfile', expectedVersion, profile: { name: 'desk', places: ['kochi'], ...profile } })
  const getErrorField = async (work: Promise<unknown>): Promise<string | undefined> => await work.then(() => 'accepted', (err: unknown) => isLynxError(err, 'badRequest') ? err.field : 'other')
  assert.equal(await getErrorField(publish({ regionCaps: { kochi: -1 } })), 'change.profile.regionCaps.kochi')
  assert.equal(await getErrorField(publish({ places: ['delhi'] })), 'change.profile.places.0')
  assert.equal(await getErrorField(rig.change({ type: 'startDrain', drain: 'd', target: { kind: 'region', name: 'delhi' } })), 'change.target.name')
  assert.equal(await getErrorField(rig.change({ type: 'nonsense' })), 'change.type')
  assert.equal((await publish({}, 7)).ok, false, 'wrong version')
  await assertStillServes()
})
