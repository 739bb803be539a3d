/** Callers whose connections wait to be accepted while the VM's event loop is saturated. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DefaultServerDialect } from '@lynxcourse/daemon'
import { publishRoutes, createRouteToDesk, startFleetFixture, startTestServer } from './support/fleetFixture.js'
import { startWorkerCallers } from './support/workerCallers.js'

const callerCount = 40
const blockedMs = 300
/** Processor time of one send; the sends of all callers exceed the budget of one event loop iteration several times. */
const sendWorkMs = 40

/** Makes each send take processor time. */
class BusyDialect extends DefaultServerDialect {
  override buildRequestHeaders (...args: Parameters<DefaultServerDialect['buildRequestHeaders']>): ReturnType<DefaultServerDialect['buildRequestHeaders']> {
    const until = performance.now() + sendWorkMs
    while (performance.now() < until) { /* the loop works */ }
    return super.buildRequestHeaders(...args)
  }
}

/**
 * Guards against callers that wait in the kernel to be accepted: the event loop accepts one connection in each
 * iteration, and the VM starts work for accepted callers before it has accepted the others.
 */
test('a saturated VM accepts all callers that have connected, and refuses at once those that exceed its processor time', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read', { timeoutMs: 20_000 })])
  const gateway = fixture.daemons.at(-1)?.gateway
  assert.ok(gateway !== undefined)
  await using threadCallers = await startWorkerCallers(fixture.settings.at(-1)?.callers ?? '', '/read/1', callerCount)
  Object.assign(gateway, { servers: new BusyDialect() })
  threadCallers.connectAndSendWhileBlocked(blockedMs)
  const statuses = await threadCallers.statuses
  const servedCount = statuses.filter(status => status === '200').length
  assert.ok(servedCount > 0)
  assert.ok(servedCount < callerCount, `all ${servedCount} requests were served, one after the other`)
  assert.ok(statuses.every(status => status === '200' || status === '503'))
})
