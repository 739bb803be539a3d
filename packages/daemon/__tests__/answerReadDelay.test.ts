/** Servers' answers that arrive while the VM's event loop is blocked, and are read later. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { FleetFixture } from './support/fleetFixture.js'
import { publishRoutes, createRouteToDesk, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'
import { connectWorkerCaller } from './support/workerCaller.js'
import { startWorkerServer } from './support/workerServer.js'
import type { WorkerServer } from './support/workerServer.js'

const path = '/read/held'
const answerDelayMs = 100

/**
 * Publishes servers that run on threads of their own, so that they answer while the event loop of the test is blocked.
 */
async function publishThreadServers (fixture: FleetFixture, servers: readonly WorkerServer[], timeoutMs: number): Promise<void> {
  const facts = await Promise.all(servers.map(async ({ address }, index) => {
    await using namedServer = await startTestServer(`s${index}`, (_req, res) => res.end())
    return { ...namedServer, facts: { ...namedServer.facts, address } }
  }))
  await publishRoutes(fixture, facts, [createRouteToDesk('read', { timeoutMs })])
}

/**
 * Waits for the point in an event loop iteration after which timers run next, and sockets are read after the timers.
 */
async function waitForTimersPhase (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

function countRequests (servers: readonly WorkerServer[]): number {
  return servers.reduce((sum, server) => sum + server.requests(), 0)
}

/**
 * Guards against this failure: a caller gets the answer that no server answered, although the server's answer is in the
 * VM's kernel.
 */
test('an answer that arrived before the route\'s timeout and is read after it is delivered', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startWorkerServer(path, answerDelayMs)
  await publishThreadServers(fixture, [server], 500)
  await using caller = await connectWorkerCaller(fixture.settings.at(-1)?.callers ?? '', path, false)
  caller.send()
  await waitUntil(() => server.requests() === 1)
  await waitForTimersPhase()
  server.blockThroughAnswer(800)
  assert.match(await caller.answer, /^HTTP\/1\.1 200 /)
})

/**
 * Guards against this failure: a request is sent to a second server while the answer of the first one is in the VM's
 * kernel.
 */
test('a request whose answer has arrived and is not read yet is not sent to a second server', async () => {
  await using fixture = await startFleetFixture(1)
  await using first = await startWorkerServer(path, answerDelayMs)
  await using second = await startWorkerServer(path, answerDelayMs)
  await publishThreadServers(fixture, [first, second], 20_000)
  await using caller = await connectWorkerCaller(fixture.settings.at(-1)?.callers ?? '', path, false)
  caller.send()
  await waitUntil(() => countRequests([first, second]) === 1)
  const firstAsked = first.requests() === 1 ? first : second
  await waitForTimersPhase()
  firstAsked.blockThroughAnswer(2500)
  assert.match(await caller.answer, /^HTTP\/1\.1 200 /)
  assert.equal(countRequests([first, second]), 1)
})
