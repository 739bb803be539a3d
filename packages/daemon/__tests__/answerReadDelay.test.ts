/** Servers' answers that arrive while the VM's event loop is blocked, and are read later. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { FleetRig } from './support/fleetRig.js'
import { publish, routeTo, startRig, startServer, until } from './support/fleetRig.js'
import { connectThreadCaller } from './support/threadCaller.js'
import { startThreadServer } from './support/threadServer.js'
import type { ThreadServer } from './support/threadServer.js'

const path = '/read/held'
const answerDelayMs = 100

/**
 * Publishes servers that run on threads of their own, so that they answer while the event loop of the test is blocked.
 */
async function publishThreadServers (fixture: FleetRig, servers: readonly ThreadServer[], timeoutMs: number): Promise<void> {
  const facts = await Promise.all(servers.map(async ({ address }, index) => {
    await using namedServer = await startServer(`s${index}`, (_req, res) => res.end())
    return { ...namedServer, facts: { ...namedServer.facts, address } }
  }))
  await publish(fixture, facts, [routeTo('read', { timeoutMs })])
}

/**
 * Waits for the point in an event loop iteration after which timers run next, and sockets are read after the timers.
 */
async function waitForTimersPhase (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

function countRequests (servers: readonly ThreadServer[]): number {
  return servers.reduce((sum, server) => sum + server.requests(), 0)
}

/**
 * Guards against this failure: a caller gets the answer that no server answered, although the server's answer is in the
 * VM's kernel.
 */
test('an answer that arrived before the route\'s timeout and is read after it is delivered', async () => {
  await using fixture = await startRig(1)
  await using server = await startThreadServer(path, answerDelayMs)
  await publishThreadServers(fixture, [server], 500)
  await using caller = await connectThreadCaller(fixture.settings.at(-1)?.callers ?? '', path, false)
  caller.send()
  await until(() => server.requests() === 1)
  await waitForTimersPhase()
  server.blockThroughAnswer(800)
  assert.match(await caller.answer, /^HTTP\/1\.1 200 /)
})

/**
 * Guards against this failure: a request is sent to a second server while the answer of the first one is in the VM's
 * kernel.
 */
test('a request whose answer has arrived and is not read yet is not sent to a second server', async () => {
  await using fixture = await startRig(1)
  await using first = await startThreadServer(path, answerDelayMs)
  await using second = await startThreadServer(path, answerDelayMs)
  await publishThreadServers(fixture, [first, second], 20_000)
  await using caller = await connectThreadCaller(fixture.settings.at(-1)?.callers ?? '', path, false)
  caller.send()
  await until(() => countRequests([first, second]) === 1)
  const firstAsked = first.requests() === 1 ? first : second
  await waitForTimersPhase()
  firstAsked.blockThroughAnswer(2500)
  assert.match(await caller.answer, /^HTTP\/1\.1 200 /)
  assert.equal(countRequests([first, second]), 1)
})
