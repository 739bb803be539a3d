/** Interfaces of a fleet: announcements of servers, lookups of callers, and load reports between VMs. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isLynxError } from '@lynxcourse/base'
import { callPeer } from '@lynxcourse/daemon'
import type { FleetLookup } from '@lynxcourse/daemon'
import { sendRequest, getControl, publishRoutes, createRouteToDesk, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'

test('servers announce and dismiss themselves and callers look up entry VMs at any control VM; errors name the invalid field', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(fixture, [], [createRouteToDesk('read')])
  const { client } = getControl(fixture, 1).node
  const address = fixture.settings[2]?.rpc ?? ''
  await waitUntil(async () => await callPeer(client, address, 'fleet.announce', { facts: server.facts }).then(() => true, () => false))
  await waitUntil(async () => (await sendRequest(fixture, '/read/1')).status === 200)
  const lookUp = async (): Promise<FleetLookup> => await callPeer<FleetLookup>(client, address, 'fleet.lookup', { region: 'kochi' })
  // The entry VM watches one control VM; the others learn of it in their next exchange with the leader.
  await waitUntil(async () => (await lookUp()).addresses.length > 0)
  const result = await lookUp()
  assert.deepEqual([result.addresses, result.ttlMs], [[fixture.settings[3]?.callers], 2000])
  await callPeer(client, address, 'fleet.dismiss', { server: 's1' })
  await waitUntil(async () => (await sendRequest(fixture, '/read/1')).status === 503)
  await assert.rejects(callPeer(client, address, 'fleet.announce', { facts: { ...server.facts, slots: 0 } }), err => isLynxError(err, 'badRequest') && err.field === 'facts.slots')
})

/** Guards against VMs that send requests to a full server as if it were idle. */
test('load that an entry VM observes returns from the leader as a region plan and as the queue depth of full servers', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => {
    res.setHeader('lynx-load', '9')
    res.end('ok')
  })
  await publishRoutes(fixture, [server], [createRouteToDesk('read')])
  const gateway = fixture.daemons.at(-1)?.gateway
  await waitUntil(() => gateway?.fleet.shares.get(server.facts.service)?.get(getControl(fixture, 0).node.cfg.region) === 1)
  await waitUntil(async () => {
    await sendRequest(fixture, '/read/1')
    return (gateway?.fleet.byId.get(server.facts.id)?.sharedQueueDepth ?? 0) > 8
  })
})

/** Guards against a caller that receives the response to another caller's request. */
test('a response with the idempotency key of another request is not forwarded', async () => {
  await using fixture = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => {
    res.setHeader('idempotency-key', 'another')
    res.end('another\'s list')
  })
  await publishRoutes(fixture, [server], [createRouteToDesk('write', { isIdempotent: false })])
  const response = await sendRequest(fixture, '/write/1', 'POST', { 'idempotency-key': 'mine' })
  assert.equal(response.status, 502)
  assert.doesNotMatch(response.body, /list/)
})
