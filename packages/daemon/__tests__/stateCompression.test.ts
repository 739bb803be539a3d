/** What a VM's first copy of the state costs its link. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { gunzipSync } from 'node:zlib'
import { request } from 'undici'
import { brandId } from '@lynxcourse/base'
import type { ServerId } from '@lynxcourse/base'
import { getCurrentTime, handleAnnouncement } from '@lynxcourse/daemon'
import { getControl, publishRoutes, createRouteToDesk, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'

/** Servers of the largest deployment that was played, and what its entry VMs' links carry in a quarter of a second. */
const servers = 315
const quarterSecondBytes = 62_500

/*
 * After all VMs had lost power, each of 76 entry VMs received 540 KB over a link of 250 KB/s before it was ready: a copy of the state was
 * 170 KB, took longer than the 1.3 s after which a VM asks another control VM, and was sent three times. VMs were ready between 34.7 s
 * and 36.8 s, the first of them had all callers, and the callers' requests waited in the same links.
 */
test('the first copy of a large state takes an entry VM\'s link a quarter of a second at most', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s-0', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [server], [createRouteToDesk('read')])
  for (let made = 1; made < servers; made++) {
    const id = brandId<ServerId>(`i-${(made * 2_654_435_761 % 2 ** 32).toString(16)}`)
    const address = `10.${made % 9}.64.${made % 250}:${8000 + made}`
    await waitUntil(async () => await handleAnnouncement(getControl(rig, 0), { ...server.facts, id, address }, getCurrentTime()).then(() => true, () => false))
  }
  const self = { name: 'asking', address: '127.0.0.1:1', failureDomain: 'kochi-a', region: 'kochi', isReady: false }
  const watch = { jsonrpc: '2.0', id: 1, method: 'fleet.watch', params: { version: 0, waitMs: 0, weights: 0, self } }
  const ask = async (accepted: string): Promise<Buffer> => {
    const headers = { 'content-type': 'application/json', 'accept-encoding': accepted }
    const res = await request(`http://${rig.settings[0]?.rpc ?? ''}/rpc`, { method: 'POST', headers, body: JSON.stringify(watch) })
    assert.equal(res.headers['content-encoding'], accepted === '' ? undefined : accepted)
    return Buffer.from(await res.body.arrayBuffer())
  }
  const itemsOf = (text: string): number => (JSON.parse(text) as { result: { delta: { items: unknown[] } } }).result.delta.items.length
  const plain = await ask('')
  const packed = await ask('gzip')
  assert.ok(packed.length < quarterSecondBytes, `${packed.length} bytes of ${plain.length}`)
  assert.equal(itemsOf(gunzipSync(packed).toString('utf8')), itemsOf(plain.toString('utf8')))
})
