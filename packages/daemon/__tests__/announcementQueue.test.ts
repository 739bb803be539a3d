/** Announcements of many servers at the same time. */
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
 * Guards against leaders that lose their followers after a second each. When each announcement was a separate call to
 * the leader, which takes several milliseconds at 0.4 of a processor, the hundreds of announcements that had waited for
 * a leader arrived at once. After a start of 630 servers and 200 VMs, four leaders in a row failed so, 500 to 870 calls
 * failed each time, and there was no stable leader for nine seconds.
 */
test('announcements that arrive while another one is in flight are committed in batches', async () => {
  await using fixture = await startFleetFixture(0)
  await submitCommand(fixture, createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')]))
  await using known = await startTestServer('s1', (_req, res) => res.end())
  const control = getControl(fixture, 1)
  await waitUntil(async () => await handleAnnouncement(control, known.facts, getCurrentTime()).then(() => true, () => false))
  const versionBefore = control.host.machine.config.version
  const announcements = Array.from({ length: serverCount }, (_, index): BackendAnnouncement => ({ ...known.facts, id: brandId<ServerId>(`many-${index}`), address: `127.0.0.1:${20_000 + index}` }))
  await Promise.all(announcements.map(async facts => await handleAnnouncement(control, facts, getCurrentTime())))
  await waitUntil(() => listItems(control.host.machine.config, 'backend').length === serverCount + 1)
  const changes = control.host.machine.config.version - versionBefore
  assert.ok(changes <= serverCount / 20, `${changes} state changes for ${serverCount} servers`)
})
