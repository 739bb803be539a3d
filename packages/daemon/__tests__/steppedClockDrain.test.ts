/** Servers that start again after their clock was set back. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isLynxError } from '@lynxcourse/base'
import { getCurrentTime, handleAnnouncement } from '@lynxcourse/daemon'
import { findItem } from '@lynxcourse/state'
import { createAnnouncement, createRouteToDesk, getControl, publishRoutes, startFleetFixture, waitUntil } from './support/fleetFixture.js'

/** Guards against a confirmed drain of a server that goes on getting requests, since an incarnation with a later start time counts as serving. */
test('the drain of an incarnation with an earlier start time is not confirmed while the known one serves, and is once that is lost', async () => {
  await using fixture = await startFleetFixture(1, { controlCount: 1 })
  const control = getControl(fixture, 0)
  const known = { ...createAnnouncement('s1', '127.0.0.1:9'), bornAt: 5000 }
  await publishRoutes(fixture, [{ facts: known }], [createRouteToDesk('read')])
  const restarted = { ...known, bornAt: 3000 }
  await handleAnnouncement(control, restarted, getCurrentTime())
  const draining = { ...restarted, seq: 2, isDraining: true }
  await assert.rejects(async () => await handleAnnouncement(control, draining, getCurrentTime()), err => isLynxError(err, 'notLeader') && err.field === 'bornAt')
  const getState = (): string | undefined => findItem(control.host.machine.config, 'backend', known.id)?.state
  assert.equal(getState(), 'serving')
  // The known incarnation counts as lost once it was not heard of for some seconds.
  await waitUntil(() => getState() === 'lost')
  await waitUntil(async () => await handleAnnouncement(control, { ...draining, seq: 3 }, getCurrentTime()).then(() => true, () => false))
  assert.equal(getState(), 'draining')
})
