/** Answers of servers that lay unread while the VM's event loop stood still. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { FleetFixture } from './support/fleetFixture.js'
import { publishRoutes, createRouteToDesk, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'
import { connectWorkerCaller } from './support/workerCaller.js'
import { startWorkerServer } from './support/workerServer.js'
import type { WorkerServer } from './support/workerServer.js'

const path = '/read/held'
const answersAfterMs = 100

/** Publishes servers that answer on threads of their own. */
async function publishThreads (rig: FleetFixture, servers: readonly WorkerServer[], timeoutMs: number): Promise<void> {
  const facts = await Promise.all(servers.map(async ({ address }, place) => {
    await using named = await startTestServer(`s${place}`, (_req, res) => res.end())
    return { ...named, facts: { ...named.facts, address } }
  }))
  await publishRoutes(rig, facts, [createRouteToDesk('read', { timeoutMs })])
}

/** Waits until the event loop runs timers next, and reads sockets after them. */
async function beforeTimers (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

function requestsOf (servers: readonly WorkerServer[]): number {
  return servers.reduce((sum, server) => sum + server.requests(), 0)
}

/** Guards against this failure: a caller is told that nobody answered, although its answer lay unread. */
test('an answer that lay unread past the route\'s timeout is delivered', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startWorkerServer(path, answersAfterMs)
  await publishThreads(rig, [server], 500)
  await using caller = await connectWorkerCaller(rig.settings.at(-1)?.callers ?? '', path, false)
  caller.send()
  await waitUntil(() => server.requests() === 1)
  await beforeTimers()
  server.blockThroughAnswer(800)
  assert.match(await caller.answer, /^HTTP\/1\.1 200 /)
})

/** Guards against this failure: a request is sent to a second server while the answer of the first one lies unread. */
test('a request whose answer lies unread is sent to no second server', async () => {
  await using rig = await startFleetFixture(1)
  await using first = await startWorkerServer(path, answersAfterMs)
  await using second = await startWorkerServer(path, answersAfterMs)
  await publishThreads(rig, [first, second], 20_000)
  await using caller = await connectWorkerCaller(rig.settings.at(-1)?.callers ?? '', path, false)
  caller.send()
  await waitUntil(() => requestsOf([first, second]) === 1)
  const asked = first.requests() === 1 ? first : second
  await beforeTimers()
  asked.blockThroughAnswer(2500)
  assert.match(await caller.answer, /^HTTP\/1\.1 200 /)
  assert.equal(requestsOf([first, second]), 1)
})
