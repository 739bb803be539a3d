/** Callers that wait for their connections to be accepted while the VM is behind. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DefaultServerDialect } from '@lynxcourse/daemon'
import { publishRoutes, createRouteToDesk, startFleetFixture, startTestServer } from './support/fleetFixture.js'
import { startWorkerCallers } from './support/workerCallers.js'

const callers = 40
const blockedMs = 300
/** Of a send; far more in all than a turn may take up. */
const workMs = 40

/** Has each send take processor time. */
class BusyDialect extends DefaultServerDialect {
  override buildRequestHeaders (...args: Parameters<DefaultServerDialect['buildRequestHeaders']>): ReturnType<DefaultServerDialect['buildRequestHeaders']> {
    const until = performance.now() + workMs
    while (performance.now() < until) { /* the loop works */ }
    return super.buildRequestHeaders(...args)
  }
}

/** Guards against this failure: callers wait unseen to be accepted, one in each turn of the loop, while the VM works for those before them. */
test('a VM that is behind sees all callers that connected, and refuses at once those for whom it has no time', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [server], [createRouteToDesk('read', { timeoutMs: 20_000 })])
  const gateway = rig.daemons.at(-1)?.gateway
  assert.ok(gateway !== undefined)
  await using crowd = await startWorkerCallers(rig.settings.at(-1)?.callers ?? '', '/read/1', callers)
  Object.assign(gateway, { servers: new BusyDialect() })
  crowd.connectAndSendWhileBlocked(blockedMs)
  const statuses = await crowd.statuses
  const served = statuses.filter(status => status === '200').length
  assert.ok(served > 0)
  assert.ok(served < callers, `all ${served} were worked for, one after the other`)
  assert.ok(statuses.every(status => status === '200' || status === '503'))
})
