/** Answers of servers that lay unread while the VM's event loop stood still. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { FleetRig } from './support/fleetRig.js'
import { publish, routeTo, startRig, startServer, until } from './support/fleetRig.js'
import { connectThreadCaller } from './support/threadCaller.js'
import { startThreadServer } from './support/threadServer.js'
import type { ThreadServer } from './support/threadServer.js'

const path = '/read/held'
const answersAfterMs = 100

/** Publishes servers that answer on threads of their own. */
async function publishThreads (rig: FleetRig, servers: readonly ThreadServer[], timeoutMs: number): Promise<void> {
  const facts = await Promise.all(servers.map(async ({ address }, place) => {
    await using named = await startServer(`s${place}`, (_req, res) => res.end())
    return { ...named, facts: { ...named.facts, address } }
  }))
  await publish(rig, facts, [routeTo('read', { timeoutMs })])
}

/** Waits until the event loop runs timers next, and reads sockets after them. */
async function beforeTimers (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

function requestsOf (servers: readonly ThreadServer[]): number {
  return servers.reduce((sum, server) => sum + server.requests(), 0)
}

/** Guards against this failure: a caller is told that nobody answered, although its answer lay unread. */
test('an answer that lay unread past the route\'s timeout is delivered', async () => {
  await using rig = await startRig(1)
  await using server = await startThreadServer(path, answersAfterMs)
  await publishThreads(rig, [server], 500)
  await using caller = await connectThreadCaller(rig.settings.at(-1)?.callers ?? '', path, false)
  caller.send()
  await until(() => server.requests() === 1)
  await beforeTimers()
  server.blockThroughAnswer(800)
  assert.match(await caller.answer, /^HTTP\/1\.1 200 /)
})

/** Guards against this failure: a request is sent to a second server while the answer of the first one lies unread. */
test('a request whose answer lies unread is sent to no second server', async () => {
  await using rig = await startRig(1)
  await using first = await startThreadServer(path, answersAfterMs)
  await using second = await startThreadServer(path, answersAfterMs)
  await publishThreads(rig, [first, second], 20_000)
  await using caller = await connectThreadCaller(rig.settings.at(-1)?.callers ?? '', path, false)
  caller.send()
  await until(() => requestsOf([first, second]) === 1)
  const asked = first.requests() === 1 ? first : second
  await beforeTimers()
  asked.blockThroughAnswer(2500)
  assert.match(await caller.answer, /^HTTP\/1\.1 200 /)
  assert.equal(requestsOf([first, second]), 1)
})
