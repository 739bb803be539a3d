import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isLynxError } from '@lynxcourse/base'
import { callPeer } from '@lynxcourse/daemon'
import { waitForEvent, startDaemonFixture, testSeed } from './support/daemonFixture.js'

console.log(`seed ${testSeed}`)

test('a failed write to disk stops the replica, and no change is acknowledged', async () => {
  // Guards against this failure: a change that could not be written is acknowledged, and is lost after a restart.
  await using rig = await startDaemonFixture()
  const { control } = rig.daemon
  assert.ok(control !== undefined)
  const versionBefore = control.machine.config.version
  await control.storage.file.close()
  await assert.rejects(rig.change({ type: 'publishProfile', expectedVersion: 1, profile: { name: 'desk', places: ['kochi'] } }), err => isLynxError(err, 'diskFailed') || isLynxError(err, 'notLeader'))
  await waitForEvent('the replica stops', () => control.failed !== undefined)
  const status = await callPeer<{ version: number, log: unknown }>(rig.client, rig.rpc, 'query.status', {})
  assert.equal(status.version, versionBefore)
  assert.equal(status.log, null)
})
