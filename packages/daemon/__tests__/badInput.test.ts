/** Bad input of every kind: a clear error with the field, nothing lost, and the daemon runs on. */
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

async function ask (path: string, options: Parameters<typeof request>[1] = {}): Promise<Reply> {
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

async function stillServes (): Promise<void> {
  const reply = await ask('/s/offers/list', { headers: { 'x-echo': 'yes' } })
  assert.deepEqual([reply.status, reply.outcome, reply.detail], [200, 'done', 'echo yes'])
}

test('requests', async () => {
  const post = { method: 'POST' as const }
  const id = createRequestId(getCurrentTime(), createRandom(testSeed))
  const cases: Array<[string, string, Parameters<typeof request>[1], number, RegExp]> = [
    ['no service in a look-up', '/v1/lookup', {}, 400, /^service/],
    ['unknown service in a look-up', '/v1/lookup?service=none', {}, 404, /none/],
    ['no service in a path', '/s/', {}, 400, /SERVICE/],
    ['unknown service', '/s/none/x', {}, 404, /none/],
    ['unknown path', '/x', {}, 404, /path/],
    ['no request id', '/s/offers/x', post, 400, /Idempotency-Key/],
    ['a request id that is no UUID v7', '/s/offers/x', { ...post, headers: { 'idempotency-key': 'abc' } }, 400, /UUID v7/],
    ['an old request id', '/s/offers/x', { ...post, headers: { 'idempotency-key': createRequestId(getCurrentTime() - 3_600_000, createRandom(1)) } }, 400, /Idempotency-Key: issued/],
    ['a deadline in the past', '/s/offers/x', { headers: { 'lynx-deadline-ms': '-5' } }, 400, /lynx-deadline-ms/],
    ['a deadline that is no number', '/s/offers/x', { headers: { 'lynx-deadline-ms': 'soon' } }, 400, /lynx-deadline-ms/],
    ['a body over the limit', '/s/offers/x', { ...post, headers: { 'idempotency-key': id }, body: 'x'.repeat(10_001) }, 413, /body over/]
  ]
  for (const [what, path, options, status, detail] of cases) {
    const reply = await ask(path, options)
    assert.equal(reply.status, status, what)
    assert.match(reply.detail, detail, what)
  }
  assert.equal(backend.requestCounts.size, 0)
  await stillServes()
})

test('a body over the limit that comes in pieces ends the request', async () => {
  const id = createRequestId(getCurrentTime(), createRandom(testSeed + 1))
  async function * pieces (): AsyncGenerator<string> { for (let n = 0; n < 20; n++) yield 'x'.repeat(1000) }
  const reply = await ask('/s/offers/x', { method: 'POST', headers: { 'idempotency-key': id }, body: Readable.from(pieces()) }).catch(() => undefined)
  assert.notEqual(reply?.status, 200)
  await stillServes()
})

async function raw (text: string): Promise<string> {
  return await new Promise(resolve => {
    const socket = connect(Number(rig.http.slice(rig.http.lastIndexOf(':') + 1)), '127.0.0.1', () => socket.write(text))
    let heard = ''
    socket.on('data', chunk => { heard += chunk.toString() })
    socket.on('close', () => resolve(heard))
    socket.on('error', () => resolve(heard))
  })
}

test('heads that are too large, broken or not HTTP', async () => {
  assert.match(await raw(`GET /s/offers/x HTTP/1.1\r\nhost: x\r\nbig: ${'x'.repeat(20_000)}\r\n\r\n`), / 431 /)
  assert.match(await raw('NONSENSE\r\n\r\n'), / 400 /)
  await stillServes()
})

test('a sender that stops half-way hears so at its deadline, and one that goes is forgotten', async () => {
  const id = createRequestId(getCurrentTime(), createRandom(testSeed + 2))
  const head = `POST /s/offers/x HTTP/1.1\r\nhost: x\r\nidempotency-key: ${id}\r\nlynx-deadline-ms: 200\r\ncontent-length: 100\r\n\r\n`
  assert.match(await raw(`${head}only a part`), / 400 .*body did not come/s)
  const gone = connect(Number(rig.http.slice(rig.http.lastIndexOf(':') + 1)), '127.0.0.1', () => gone.write(head, () => gone.destroy()))
  await waitForEvent('the request is forgotten', () => rig.daemon.entry?.open === 0)
  assert.equal(backend.requestCounts.has(id), false)
  await stillServes()
})

test('announcements', async () => {
  const cases: Array<[object, number]> = [
    [{ slots: -1 }, 400], [{ slots: 1.5 }, 400], [{ address: '127.0.0.9:80' }, 403], [{ address: 'x' }, 400], [{ failureDomain: 'delhi-a' }, 400],
    [{ state: 'happy' }, 400], [{ extra: 1 }, 400], [{ service: 'No Good' }, 400], [{ load: -3 }, 400]
  ]
  for (const [fields, status] of cases) assert.equal(await backend.announce({ server: 'bad-1', ...fields }), status, JSON.stringify(fields))
  const huge = await ask('/v1/announce', { method: 'POST', body: 'x'.repeat(5000) })
  assert.equal(huge.status, 413)
  await stillServes()
})

test('any announcement is taken or refused with a field', async () => {
  await fc.assert(fc.asyncProperty(fc.oneof(fc.string(), fc.json()), async text => {
    const reply = await ask('/v1/announce', { method: 'POST', body: text })
    assert.equal(reply.status, 400)
  }), { seed: testSeed, numRuns: 60 })
  await stillServes()
})

async function rpc (body: string): Promise<{ status: number, text: string }> {
  const res = await request(`http://${rig.rpc}/rpc`, { method: 'POST', body })
  return { status: res.statusCode, text: await res.body.text() }
}

test('RPC messages that are none, of unknown methods, or with bad parameters', async () => {
  assert.match((await rpc('nonsense')).text, /-32700/)
  assert.match((await rpc('{"jsonrpc":"2.0","id":1,"method":"no.such","params":{}}')).text, /-32601/)
  assert.match((await rpc('{"jsonrpc":"2.0","id":1,"method":"sync.ask","params":{"self":3}}')).text, /self/)
  assert.match((await rpc('{"jsonrpc":"2.0","id":1,"method":"log.message","params":{"cluster":"c","from":"x","to":"y","message":{}}}')).text, /from/)
  const methods = ['sync.ask', 'leader.report', 'claims.submit', 'log.message', 'change.submit', 'cluster.init', 'cluster.join', 'query.explain']
  await fc.assert(fc.asyncProperty(fc.constantFrom(...methods), fc.jsonValue(), async (method, params) => {
    const reply = await rpc(JSON.stringify({ jsonrpc: '2.0', id: 1, method, params }))
    assert.equal(reply.status, 200)
    assert.match(reply.text, /"error"/)
  }), { seed: testSeed, numRuns: 100 })
  await stillServes()
})

test('an RPC message over size is cut off', async () => {
  const small = await startDaemonFixture({ limits: { maxRpcBytes: 65_536 } })
  try {
    const res = await request(`http://${small.rpc}/rpc`, { method: 'POST', body: 'x'.repeat(70_000) }).catch(() => undefined)
    if (res !== undefined) assert.equal(res.statusCode, 413)
    assert.ok(await callPeer(small.client, small.rpc, 'query.status', {}))
  } finally {
    await small[Symbol.asyncDispose]()
  }
})

test('changes', async () => {
  const publish = (profile: object, expectedVersion = 1): Promise<{ ok: boolean }> => rig.change({ type: 'publishProfile', expectedVersion, profile: { name: 'desk', places: ['kochi'], ...profile } })
  const field = async (work: Promise<unknown>): Promise<string | undefined> => await work.then(() => 'accepted', (err: unknown) => isLynxError(err, 'badRequest') ? err.field : 'other')
  assert.equal(await field(publish({ regionCaps: { kochi: -1 } })), 'change.profile.regionCaps.kochi')
  assert.equal(await field(publish({ places: ['delhi'] })), 'change.profile.places.0')
  assert.equal(await field(rig.change({ type: 'startDrain', drain: 'd', target: { kind: 'region', name: 'delhi' } })), 'change.target.name')
  assert.equal(await field(rig.change({ type: 'nonsense' })), 'change.type')
  assert.equal((await publish({}, 7)).ok, false, 'wrong version')
  await stillServes()
})
