/** Announcements of many servers at one moment. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { ServerId } from '@lynxcourse/base'
import { getCurrentTime, handleAnnouncement } from '@lynxcourse/daemon'
import { listItems } from '@lynxcourse/state'
import type { BackendAnnouncement } from '@lynxcourse/state'
import { getControl, createReplaceRoutesCommand, createRouteToDesk, startFleetFixture, startTestServer, submitCommand, waitUntil } from './support/fleetFixture.js'

const serverCount = 200

/*
 * After a start of 630 servers and 200 VMs four leaders in a row lost their followers after a second each, and there was none that lasted for nine
 * seconds: 500 to 870 calls of servers failed in each of them with «no leader is known» or «no quorum within 800 ms». Each announcement went
 * to the leader as a call of its own, several milliseconds of a processor share of 0.4, and the hundreds that had waited for a leader came to it at once.
 */
test('servers that announce themselves while one announcement is under way reach the leader together', async () => {
  await using rig = await startFleetFixture(0)
  await submitCommand(rig, createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')]))
  await using known = await startTestServer('s1', (_req, res) => res.end())
  const control = getControl(rig, 1)
  await waitUntil(async () => await handleAnnouncement(control, known.facts, getCurrentTime()).then(() => true, () => false))
  const before = control.host.machine.config.version
  const all = Array.from({ length: serverCount }, (_, place): BackendAnnouncement => ({ ...known.facts, id: brandId<ServerId>(`many-${place}`), address: `127.0.0.1:${20_000 + place}` }))
  await Promise.all(all.map(async facts => await handleAnnouncement(control, facts, getCurrentTime())))
  await waitUntil(() => listItems(control.host.machine.config, 'backend').length === serverCount + 1)
  const changes = control.host.machine.config.version - before
  assert.ok(changes <= serverCount / 20, `${changes} changes of the state for ${serverCount} servers`)
})
