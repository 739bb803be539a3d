/** What a fleet and those around it tell each other: servers, callers, and VMs of the load. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isLynxError } from '@lynxcourse/base'
import { callPeer } from '@lynxcourse/daemon'
import type { FleetLookup } from '@lynxcourse/daemon'
import { sendRequest, getControl, publishRoutes, createRouteToDesk, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'

test('servers announce and leave, and callers look up, over RPC at any control VM; bad input names its field', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  await publishRoutes(rig, [], [createRouteToDesk('read')])
  const { client } = getControl(rig, 1).node
  const at = rig.settings[2]?.rpc ?? ''
  await waitUntil(async () => await callPeer(client, at, 'fleet.announce', { facts: server.facts }).then(() => true, () => false))
  await waitUntil(async () => (await sendRequest(rig, '/read/1')).status === 200)
  const lookUp = async (): Promise<FleetLookup> => await callPeer<FleetLookup>(client, at, 'fleet.lookup', { region: 'kochi' })
  // The entry VM follows one control VM; the others hear of it by their next exchange with the leader.
  await waitUntil(async () => (await lookUp()).addresses.length > 0)
  const found = await lookUp()
  assert.deepEqual([found.addresses, found.ttlMs], [[rig.settings[3]?.callers], 2000])
  await callPeer(client, at, 'fleet.dismiss', { server: 's1' })
  await waitUntil(async () => (await sendRequest(rig, '/read/1')).status === 503)
  await assert.rejects(callPeer(client, at, 'fleet.announce', { facts: { ...server.facts, slots: 0 } }), err => isLynxError(err, 'badRequest') && err.field === 'facts.slots')
})

/** Guards against this failure: each VM sends to a full server as if it were idle. */
test('what an entry VM hears of the load comes back to it from the leader as a plan and as full servers', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => {
    res.setHeader('lynx-load', '9')
    res.end('ok')
  })
  await publishRoutes(rig, [server], [createRouteToDesk('read')])
  const gateway = rig.daemons.at(-1)?.gateway
  await waitUntil(() => gateway?.fleet.shares.get(server.facts.service)?.get(getControl(rig, 0).node.cfg.region) === 1)
  await waitUntil(async () => {
    await sendRequest(rig, '/read/1')
    return (gateway?.fleet.byId.get(server.facts.id)?.sharedQueueDepth ?? 0) > 8
  })
})

/** Guards against this failure: a broker sees another broker's list. */
test('an answer that names another request is not passed on', async () => {
  await using rig = await startFleetFixture(1)
  await using server = await startTestServer('s1', (_req, res) => {
    res.setHeader('idempotency-key', 'another')
    res.end('another\'s list')
  })
  await publishRoutes(rig, [server], [createRouteToDesk('write', { isIdempotent: false })])
  const got = await sendRequest(rig, '/write/1', 'POST', { 'idempotency-key': 'mine' })
  assert.equal(got.status, 502)
  assert.doesNotMatch(got.body, /list/)
})
