/** Requests end to end through one daemon, with servers that shed, die, stall and go silent. */
import assert from 'node:assert/strict'
import { connect, createServer as createTcpServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { createRandom, createRequestId } from '@lynxcourse/base'
import { callPeer, leaveGracefully, getCurrentTime } from '@lynxcourse/daemon'
import { request } from 'undici'
import { waitForEvent, startTestBackend, startDaemonFixture, testSeed, testTimes } from './support/daemonFixture.js'
import type { TestBackend, DaemonFixture } from './support/daemonFixture.js'

console.log(`seed ${testSeed}`)
const random = createRandom(testSeed)

function newId (): string {
  return createRequestId(getCurrentTime(), random)
}

interface Reply { status: number, outcome: unknown, text: string, server: unknown, retryAfter: unknown }

async function call (rig: DaemonFixture, options: { id?: string, echo?: string, path?: string, body?: string, deadlineMs?: number } = {}): Promise<Reply> {
  const headers: Record<string, string> = { 'x-echo': options.echo ?? 'x' }
  if (options.id !== undefined) headers['idempotency-key'] = options.id
  if (options.deadlineMs !== undefined) headers['lynx-deadline-ms'] = String(options.deadlineMs)
  const res = await request(`${rig.http}/s/offers${options.path ?? '/x'}`, { method: options.id === undefined ? 'GET' : 'POST', headers, ...(options.body === undefined ? {} : { body: options.body }) })
  return { status: res.statusCode, outcome: res.headers['lynx-outcome'], text: await res.body.text(), server: res.headers['lynx-server'], retryAfter: res.headers['retry-after'] }
}

async function withRig (work: (rig: DaemonFixture, backends: TestBackend[]) => Promise<void>, count = 1, profile: object = {}, extra: object = {}): Promise<void> {
  await using rig = await startDaemonFixture(extra, profile)
  const backends = await Promise.all(Array.from({ length: count }, async () => await startTestBackend(rig)))
  try {
    await work(rig, backends)
  } finally {
    for (const backend of backends) await backend[Symbol.asyncDispose]()
  }
}

test('every caller gets the whole answer to its own request, however answers are ordered', async () => {
  await withRig(async (rig, backends) => {
    for (const backend of backends) {
      backend.handler = (req, res) => { setTimeout(() => res.end(`${String(req.headers['x-echo'])} `.repeat(2000)), random() * 40) }
    }
    await Promise.all(Array.from({ length: 200 }, async (_, n) => {
      const reply = await call(rig, { echo: `caller-${n}`, deadlineMs: 10_000 })
      assert.equal(reply.text, `caller-${n} `.repeat(2000))
    }))
  }, 3)
})

test('a request sent again under its id gets its first answer and does not run again', async () => {
  await withRig(async (rig, [backend]) => {
    const id = newId()
    const first = await call(rig, { id, echo: 'offer' })
    assert.deepEqual([first.status, first.outcome, first.text], [200, 'done', 'echo offer'])
    await waitForEvent('the answer is kept', async () => (await call(rig, { id })).text === 'echo offer')
    const [one, two] = await Promise.all([call(rig, { id }), call(rig, { id })])
    assert.deepEqual([one.text, two.text], ['echo offer', 'echo offer'])
    assert.equal(backend?.requestCounts.get(id), 1)
  })
})

test('two copies at once: one runs', async () => {
  await withRig(async (rig, [backend]) => {
    if (backend !== undefined) backend.handler = (_, res) => { setTimeout(() => res.end('slow'), 100) }
    const id = newId()
    const replies = await Promise.all([call(rig, { id }), call(rig, { id }), call(rig, { id })])
    assert.equal(backend?.requestCounts.get(id), 1)
    assert.equal(replies.filter(reply => reply.status === 200).length, 1)
    for (const reply of replies.filter(other => other.status !== 200)) assert.deepEqual([reply.status, reply.outcome], [409, 'unknown'])
  })
})

test('a shed request runs elsewhere; shed by all it ends as not-run, for good', async () => {
  await withRig(async (rig, backends) => {
    const shed: TestBackend['handler'] = (_, res) => { res.writeHead(503, { 'lynx-not-started': 'true' }).end() }
    const [first, second] = backends
    if (first === undefined || second === undefined) return
    first.handler = shed
    for (let n = 0; n < 6; n++) assert.equal((await call(rig, { id: newId() })).server, second.name)
    second.handler = shed
    const id = newId()
    const reply = await call(rig, { id, deadlineMs: 300 })
    assert.deepEqual([reply.status, reply.outcome], [503, 'not-run'])
    assert.ok(reply.retryAfter !== undefined)
    first.handler = (_, res) => { res.end('late') }
    const again = await call(rig, { id })
    assert.equal(again.outcome, 'not-run', 'the id stays spent, since its caller was told')
  }, 2)
})

test('a server that dies under a request leaves it unknown, and it never runs again', async () => {
  // Guards against this failure: an offer is lodged twice.
  await withRig(async (rig, backends) => {
    for (const backend of backends) backend.handler = (req, res) => { if (req.method === 'POST') res.destroy(); else res.end('ok') }
    const id = newId()
    const reply = await call(rig, { id })
    assert.deepEqual([reply.status, reply.outcome], [502, 'unknown'])
    assert.equal((await call(rig, { id })).outcome, 'unknown')
    assert.equal(backends.reduce((sum, backend) => sum + (backend.requestCounts.get(id) ?? 0), 0), 1)
    assert.equal((await call(rig)).status, 200)
  }, 2)
})

test('a server that can not be reached is no harm: the request runs elsewhere', async () => {
  await withRig(async (rig, [dead, alive]) => {
    await dead?.[Symbol.asyncDispose]()
    for (let n = 0; n < 6; n++) {
      const reply = await call(rig, { id: newId() })
      assert.deepEqual([reply.outcome, reply.server], ['done', alive?.name])
    }
  }, 2)
})

test('what can not end in time gets its final answer at once', async () => {
  // Guards against this failure: callers wait for nothing.
  await withRig(async (rig, [backend]) => {
    if (backend !== undefined) backend.handler = (_, res) => { setTimeout(() => res.end('slow'), 400) }
    await Promise.all(Array.from({ length: 9 }, async () => await call(rig, { deadlineMs: 5000 })))
    const busy = Array.from({ length: 30 }, async () => await call(rig, { deadlineMs: 5000 }))
    await new Promise(resolve => setTimeout(resolve, 50))
    let ended = false
    const slowest = Promise.all(busy).then(() => { ended = true })
    const reply = await call(rig, { deadlineMs: 300 })
    assert.equal(reply.outcome, 'not-run')
    assert.ok(Number(reply.retryAfter) >= 1)
    assert.equal(ended, false)
    await slowest
  }, 1, { deadlineMs: 10_000 })
})

test('a slow read is hedged, the first answer wins, and the slot of the loser comes back', async () => {
  await withRig(async (rig, [slow, quick]) => {
    if (slow !== undefined) slow.handler = (req, res) => { setTimeout(() => res.end('slow'), req.url === '/load' ? 0 : 1500) }
    const servers = new Set<unknown>()
    for (let n = 0; n < 8; n++) servers.add((await call(rig)).server)
    assert.deepEqual([...servers], [quick?.name])
    await waitForEvent('no slot is held', () => [...rig.daemon.entry?.router.backends.byId.values() ?? []].every(observed => observed.inFlight === 0))
  }, 2, { hedgeAfterMs: 50, retryBudget: 1 })
})

test('an answer that stops half-way is cut at the deadline, and its slot comes back', async () => {
  // Guards against this failure: a slot, and its part of a cap, is held for ever.
  await withRig(async (rig, [backend]) => {
    if (backend !== undefined) backend.handler = (_, res) => { res.writeHead(200, { 'content-length': 200_000 }).write('x'.repeat(70_000)) }
    await assert.rejects(call(rig, { deadlineMs: 300 }))
    await waitForEvent('no slot is held', () => [...rig.daemon.entry?.router.backends.byId.values() ?? []].every(observed => observed.inFlight === 0))
    assert.equal(rig.daemon.entry?.open, 0)
  })
})

test('a drained server gets no new work, and what it has is ended', async () => {
  await withRig(async (rig, [first, second]) => {
    const slow: TestBackend['handler'] = (_, res) => { setTimeout(() => res.end('whole'), 300) }
    if (first !== undefined) first.handler = slow
    const open = Array.from({ length: 3 }, async () => await call(rig, { id: newId(), deadlineMs: 5000 }))
    await rig.change({ type: 'startDrain', drain: 'd1', target: { kind: 'server', name: first?.name } })
    for (const reply of await Promise.all(open)) assert.equal(reply.status, 200)
    for (let n = 0; n < 6; n++) assert.equal((await call(rig)).server, second?.name)
    await waitForEvent('drained', async () => {
      const drains = await callPeer<Array<{ state: string }>>(rig.client, rig.rpc, 'query.drains', {})
      return drains[0]?.state === 'drained'
    })
  }, 2, {}, { times: { ...testTimes, leaseMs: 600 } })
})

test('a server that announces that it leaves gets no new work', async () => {
  await withRig(async (rig, [first, second]) => {
    await first?.announce({ state: 'leaving' })
    for (let n = 0; n < 6; n++) assert.equal((await call(rig)).server, second?.name)
  }, 2)
})

test('a stop cuts nothing: requests in flight end, then the VM goes', async () => {
  await withRig(async (rig, [backend]) => {
    if (backend !== undefined) backend.handler = (_, res) => { setTimeout(() => res.end('whole'), 1500) }
    const open = Array.from({ length: 3 }, async () => await call(rig, { deadlineMs: 5000 }))
    await new Promise(resolve => setTimeout(resolve, 50))
    await leaveGracefully(rig.daemon)
    for (const reply of await Promise.all(open)) assert.equal(reply.text, 'whole')
    const lookup = await request(`${rig.http}/v1/lookup?service=offers`)
    assert.deepEqual((await lookup.body.json() as { vms: unknown[] }).vms, [])
  }, 1, { lookupTtlS: 1 })
})

/** Passes bytes on until told to go silent: connections that are open then carry nothing any more. */
async function startSilencer (target: string): Promise<{ address: string, silence: () => void, close: () => void, opened: () => number }> {
  const sockets = new Set<Socket>()
  let opened = 0
  const server = createTcpServer(near => {
    opened += 1
    const far = connect(Number(target.split(':')[1]), '127.0.0.1')
    sockets.add(near)
    near.pipe(far).pipe(near)
    for (const socket of [near, far]) socket.on('error', () => undefined)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    opened: () => opened,
    silence: () => { for (const socket of sockets) { socket.unpipe(); socket.pause() } },
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}

test('connections that went silent are replaced; what must not repeat still runs once', async () => {
  // Guards against this failure: requests hang until their deadlines while new connections work.
  await using rig = await startDaemonFixture({ times: { ...testTimes, staleConnectionMs: 300, silentConnectionMs: 200 } })
  const hidden = await startTestBackend(rig, { server: 'hidden', state: 'starting' })
  const silencer = await startSilencer(hidden.address)
  try {
    await hidden.announce({ server: 'through-1', address: silencer.address, state: 'serving' })
    for (let n = 0; n < 5; n++) assert.equal((await call(rig)).status, 200)
    silencer.silence()
    // A read over a silent connection is given up and sent anew, well before its deadline.
    const read = await call(rig, { deadlineMs: 8000 })
    assert.equal(read.status, 200)
    silencer.silence()
    await new Promise(resolve => setTimeout(resolve, 350))
    const id = newId()
    const once = await call(rig, { id, deadlineMs: 8000 })
    assert.deepEqual([once.status, hidden.requestCounts.get(id)], [200, 1])
  } finally {
    silencer.close()
    await hidden[Symbol.asyncDispose]()
  }
})

test('a caller can not pose as this system: its lynx- headers stay outside', async () => {
  await withRig(async (rig, [backend]) => {
    let seen: unknown
    if (backend !== undefined) backend.handler = (req, res) => { seen = req.headers['lynx-not-started'] ?? req.headers['lynx-secret']; res.end() }
    const res = await request(`${rig.http}/s/offers/x`, { headers: { 'lynx-secret': '1', 'lynx-not-started': 'true' } })
    await res.body.dump()
    assert.equal(seen, undefined)
  })
})
