/** Changes of routes that are sent again, and several large ones at once. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { lastIndex } from '@lynxcourse/agreement'
import { isLynxError } from '@lynxcourse/base'
import { admitChange, createChangesInProgress, isLeading, submitFleetCommand } from '@lynxcourse/daemon'
import type { FleetControl } from '@lynxcourse/daemon'
import { createReplaceRoutesCommand, createRouteToDesk, getControl, startFleetFixture, submitCommand } from './support/fleetFixture.js'

// Guards against a leader that falls behind because each repetition of a large change is another entry of the log.
test('a change of routes that is sent again is one entry of the log, and succeeds each time', async () => {
  await using fixture = await startFleetFixture(0)
  await submitCommand(fixture, createReplaceRoutesCommand('first', 0, 1, [createRouteToDesk('read')]))
  const leader = [0, 1, 2].map(index => getControl(fixture, index)).find(({ host }) => isLeading(host)) as FleetControl
  const { replica } = leader.host
  assert.ok(replica !== undefined)
  const before = lastIndex(replica)
  const command = createReplaceRoutesCommand('second', 1, 2, [createRouteToDesk('read'), createRouteToDesk('write')])
  const answers = await Promise.all(Array.from({ length: 5 }, async () => await submitFleetCommand(leader, command)))
  answers.push(await submitFleetCommand(leader, command))
  assert.ok(answers.every(({ ok }) => ok))
  assert.equal(lastIndex(replica) - before, 1)
})

// Guards against control VMs that run out of memory because several large changes are decoded at once.
test('a large change waits elsewhere while others are in progress, and the space is free again after a failure', async () => {
  const changes = createChangesInProgress()
  let finish: () => void = () => undefined
  const first = admitChange(changes, 2_000_000, async () => await new Promise<void>(resolve => { finish = resolve }))
  await assert.rejects(admitChange(changes, 1_000_000, async () => undefined), err => isLynxError(err, 'overCapacity'))
  assert.equal(await admitChange(changes, 10_000, async () => 'small'), 'small')
  finish()
  await first
  await assert.rejects(admitChange(changes, 3_000_000, async () => { throw new Error('failed') }), /failed/)
  assert.equal(changes.bytes, 0)
})
