/** Commands from other processes that the state machine could not apply. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isLynxError } from '@lynxcourse/base'
import { callPeer, createRpcClient, readRoutes } from '@lynxcourse/daemon'
import type { ChangeAnswer } from '@lynxcourse/state'
import { createReplaceRoutesCommand, createRouteToDesk, getControl, startFleetFixture, submitCommand, waitUntil } from './support/fleetFixture.js'

const validCommand = createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')])
/** Commands with the field that is missing or wrong. */
const invalidCommands = [
  [{ type: 'announce' }, 'facts'],
  [{ type: 'announceAll', servers: [{ id: 's1' }] }, 'servers.0.service'],
  [{ type: 'dismiss', ids: 's1' }, 'ids'],
  [{ type: 'evacuate', failureDomain: 'kochi-a' }, 'isActive'],
  [{ ...validCommand, set: { routes: [{}], upstreams: [], limits: {} } }, 'set.routes.0.name'],
  [{ ...validCommand, type: 'updateRoutes' }, 'putRoutes'],
  [{ type: 'reportServerEnds', ends: [] }, 'answered'],
  [{ type: 'releaseRequest' }, 'request'],
  [{ type: 'startRollout', service: 'desk', target: '', durationMs: 1000 }, 'target'],
  [{ type: 'startRollout', service: 'desk', target: 'v2', durationMs: 0 }, 'durationMs'],
  [{ type: 'advanceRollout', service: 'desk', order: 1, step: 1, event: 'finish', percent: 8, reason: '' }, 'event'],
  [{ type: 'abortRollout' }, 'service']
] as const

/** Guards against a command that stops the replica of each control VM that applies it, again after each restart. */
test('a command that the state machine can\'t apply is rejected with its field, and the control VMs go on', async () => {
  await using fixture = await startFleetFixture(0)
  await submitCommand(fixture, validCommand)
  await using client = createRpcClient({ timeoutMs: 2000, localAddress: '', tls: () => undefined, metrics: undefined })
  const leader = fixture.settings.find((_, index) => getControl(fixture, index).host.replica?.role === 'leader')?.rpc ?? ''
  for (const [command, field] of invalidCommands) {
    await assert.rejects(callPeer(client, leader, 'fleet.submit', { command }), err => isLynxError(err) && (err.field ?? '').endsWith(field), `${command.type}: ${field}`)
  }
  const longName = 'read-'.repeat(100)
  const valid = createReplaceRoutesCommand('two', 1, 2, [createRouteToDesk(longName)])
  assert.equal((await callPeer<ChangeAnswer>(client, leader, 'fleet.submit', { command: valid })).ok, true, 'a long name is no error')
  await waitUntil(async () => (await readRoutes(getControl(fixture, 0))).routesVersion === 2)
})
