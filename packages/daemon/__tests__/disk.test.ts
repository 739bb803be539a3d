import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isLynxError } from '@lynxcourse/base'
import { callPeer } from '@lynxcourse/daemon'
import { waitForEvent, startDaemonFixture, testSeed } from './support/daemonFixture.js'

console.log(`seed ${testSeed}`)

test('a disk that can not be written stops this copy of the log, and nothing is acknowledged', async () => {
  // Guards against this failure: a change is acknowledged and gone after a restart.
  await using rig = await startDaemonFixture()
  const { control } = rig.daemon
  assert.ok(control !== undefined)
  const before = control.machine.config.version
  await control.storage.file.close()
  await assert.rejects(rig.change({ type: 'publishProfile', expectedVersion: 1, profile: { name: 'desk', places: ['kochi'] } }), err => isLynxError(err, 'diskFailed') || isLynxError(err, 'notLeader'))
  await waitForEvent('the copy stopped', () => control.failed !== undefined)
  const status = await callPeer<{ version: number, log: unknown }>(rig.client, rig.rpc, 'query.status', {})
  assert.equal(status.version, before)
  assert.equal(status.log, null)
})
