/** Announcements of many servers at the same time. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { ServerId } from '@lynxcourse/base'
import { presentTime, handleAnnouncement } from '@lynxcourse/daemon'
import { listItems } from '@lynxcourse/state'
import type { BackendAnnouncement } from '@lynxcourse/state'
import { controlOf, replaceOrder, routeTo, startRig, startServer, submit, until } from './support/fleetRig.js'

const serverCount = 200

/*
 * Guards against leaders that lose their followers after a second each. When each announcement was a separate call to
 * the leader, which takes several milliseconds at 0.4 of a processor, the hundreds of announcements that had waited for
 * a leader arrived at once. After a start of 630 servers and 200 VMs, four leaders in a row failed so, 500 to 870 calls
 * failed each time, and there was no stable leader for nine seconds.
 */
test('announcements that arrive while another one is in flight are committed in batches', async () => {
  await using fixture = await startRig(0)
  await submit(fixture, replaceOrder('one', 0, 1, [routeTo('read')]))
  await using known = await startServer('s1', (_req, res) => res.end())
  const control = controlOf(fixture, 1)
  await until(async () => await handleAnnouncement(control, known.facts, presentTime()).then(() => true, () => false))
  const versionBefore = control.host.machine.config.version
  const announcements = Array.from({ length: serverCount }, (_, index): BackendAnnouncement => ({ ...known.facts, id: brandId<ServerId>(`many-${index}`), address: `127.0.0.1:${20_000 + index}` }))
  await Promise.all(announcements.map(async facts => await handleAnnouncement(control, facts, presentTime())))
  await until(() => listItems(control.host.machine.config, 'backend').length === serverCount + 1)
  const changes = control.host.machine.config.version - versionBefore
  assert.ok(changes <= serverCount / 20, `${changes} state changes for ${serverCount} servers`)
})
