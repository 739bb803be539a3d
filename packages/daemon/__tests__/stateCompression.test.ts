/** Size of the first copy of the state that an entry VM receives. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { gunzipSync } from 'node:zlib'
import { request } from 'undici'
import { brandId } from '@lynxcourse/base'
import type { ServerId } from '@lynxcourse/base'
import { getCurrentTime, handleAnnouncement } from '@lynxcourse/daemon'
import { listItems } from '@lynxcourse/state'
import { getControl, publishRoutes, createRouteToDesk, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'

/** Number of servers of a large deployment. */
const serverCount = 315
/** Bytes that the link of an entry VM carries in a quarter of a second, at 250 KB/s. */
const quarterSecondBytes = 62_500

/*
 * Guards against a slow start of entry VMs. After a power loss of all VMs, each of 76 entry VMs received 540 KB over a
 * link of 250 KB/s before it was ready: an uncompressed copy of the state had 170 KB, took longer than the 1.3 s after
 * which a VM tries another control VM, and was sent three times. The first ready VMs received all callers, whose
 * requests waited in the same links.
 */
test('the first copy of a large state occupies an entry VM\'s link for at most a quarter of a second', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s-0', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  for (let index = 1; index < serverCount; index++) {
    const id = brandId<ServerId>(`i-${(index * 2_654_435_761 % 2 ** 32).toString(16)}`)
    const address = `10.${index % 9}.64.${index % 250}:${8000 + index}`
    await waitUntil(async () => await handleAnnouncement(getControl(fixture, 0), { ...server.facts, id, address }, getCurrentTime()).then(() => true, () => false))
  }
  // A change is confirmed by a quorum; this control VM, a follower perhaps, may apply it later.
  await waitUntil(() => listItems(getControl(fixture, 0).host.machine.config, 'backend').length === serverCount)
  const self = { name: 'asking', address: '127.0.0.1:1', failureDomain: 'kochi-a', region: 'kochi', isReady: false }
  const watch = { jsonrpc: '2.0', id: 1, method: 'fleet.watch', params: { version: 0, waitMs: 0, weights: 0, self } }
  const requestState = async (accepted: string): Promise<Buffer> => {
    const headers = { 'content-type': 'application/json', 'accept-encoding': accepted }
    const res = await request(`http://${fixture.settings[0]?.rpc ?? ''}/rpc`, { method: 'POST', headers, body: JSON.stringify(watch) })
    assert.equal(res.headers['content-encoding'], accepted === '' ? undefined : accepted)
    return Buffer.from(await res.body.arrayBuffer())
  }
  const countItems = (text: string): number => (JSON.parse(text) as { result: { delta: { items: unknown[] } } }).result.delta.items.length
  const plain = await requestState('')
  const compressed = await requestState('gzip')
  assert.ok(compressed.length < quarterSecondBytes, `${compressed.length} bytes of ${plain.length}`)
  assert.equal(countItems(gunzipSync(compressed).toString('utf8')), countItems(plain.toString('utf8')))
})
