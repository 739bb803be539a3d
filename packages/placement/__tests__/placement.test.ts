/** Tests which server a request is sent to, and when it is refused. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { ServerId } from '@lynxcourse/base'
import { updateWarmProbability, recordServerFull, recordObjectUse, recordLoadReport, recordSharedQueueDepth, placeRequest } from '@lynxcourse/placement'
import type { FleetServer } from '@lynxcourse/placement'
import { desk, kochi, mumbai, createRoute, server, createTestFleet, request, getTargetOrReason } from './support/fleet.js'

test('a warm server is preferred to the primary server by hash; a local server is preferred to a remote one', () => {
  const [first, second, remote] = [server('first'), server('second'), server('remote', mumbai)]
  const fleet = createTestFleet(first, second, remote)
  assert.notEqual(getTargetOrReason(fleet, request({ object: '' })), 'remote')
  const primary = getTargetOrReason(fleet, request())
  const other = primary === 'first' ? second : first
  recordObjectUse(fleet.warmObjects, other.facts.id, 'read|7', 900)
  assert.equal(getTargetOrReason(fleet, request()), other.facts.id)
})

test('VMs that exchange no messages select the same server for an object', () => {
  const servers = ['a', 'b', 'c', 'd', 'e'].map(id => server(id))
  for (const object of ['read|1', 'read|2', 'read|3', 'read|4']) {
    const choices = [1, 2, 3].map(() => getTargetOrReason(createTestFleet(...servers.map(known => server(known.facts.id))), request({ object })))
    assert.equal(new Set(choices).size, 1, object)
  }
})

test('requests go only to the home regions of their route, and never to closed or tried servers', () => {
  const remote = server('remote', mumbai)
  const fleet = createTestFleet(server('local'), remote, server('closed', mumbai, { isClosed: true }))
  assert.equal(getTargetOrReason(fleet, request({ route: createRoute('read', { homes: [mumbai] }) })), 'remote')
  assert.equal(getTargetOrReason(fleet, request({ route: createRoute('read', { homes: [mumbai] }), tried: new Set([remote.facts.id]) })), 'noServer')
})

/** Guards against this failure: at twice the capacity, every request is answered late. */
test('if all queues are long, the least urgent requests are refused at once and the most urgent are still sent', () => {
  const busy = server('busy')
  recordLoadReport(busy, 6, 1000)
  const fleet = createTestFleet(busy)
  const mostUrgent = placeRequest(fleet, request({ route: createRoute('read', { rank: 0 }) }), 1000)
  const leastUrgent = placeRequest(fleet, request({ route: createRoute('read', { rank: 2 }) }), 1000)
  assert.equal(mostUrgent.type, 'send')
  assert.equal(leastUrgent.type, 'refuse')
  assert.ok(leastUrgent.type === 'refuse' && leastUrgent.reason === 'busy' && leastUrgent.retryAfterMs >= 60)
})

test('a request that would complete after its deadline is refused without being sent', () => {
  const placement = placeRequest(createTestFleet(server('local')), request({ deadline: 1050 }), 1000)
  assert.ok(placement.type === 'refuse' && placement.reason === 'noTime')
})

test('an object is served in the region that the plan assigns to it', () => {
  const servers = ['a', 'b', 'c'].map(id => server(id)).concat(['x', 'y', 'z'].map(id => server(id, mumbai)))
  const fleet = createTestFleet(...servers)
  fleet.shares.set(desk, new Map([[kochi, 0], [mumbai, 1]]))
  for (const object of ['read|1', 'read|2', 'read|3']) assert.ok(['x', 'y', 'z'].includes(getTargetOrReason(fleet, request({ object }))))
  fleet.shares.set(desk, new Map([[kochi, 1], [mumbai, 0]]))
  for (const object of ['read|1', 'read|2', 'read|3']) assert.ok(['a', 'b', 'c'].includes(getTargetOrReason(fleet, request({ object }))))
})

/** Guards against this failure: requests wait in the full queue of their object's server although another server is free. */
test('a server that is full by the shared load data gets no request while another server is free', () => {
  const fleet = createTestFleet(server('a'), server('b'))
  const primary = getTargetOrReason(fleet, request())
  const primaryServer = fleet.byId.get(brandId<ServerId>(primary)) as FleetServer
  recordSharedQueueDepth(primaryServer, 9, 900)
  assert.notEqual(getTargetOrReason(fleet, request()), primary)
  assert.equal(getTargetOrReason(fleet, request({ arrivedAt: 4000, deadline: 5200 }), 4000), primary)
})

/** Guards against this failure: a fleet whose warm work needs 60 % of its slots answers every request late for half a minute. */
test('in a full fleet, objects are served at their primary servers only', () => {
  const fleet = createTestFleet(...['a', 'b', 'c', 'd'].map(id => server(id)))
  const primary = getTargetOrReason(fleet, request())
  recordSharedQueueDepth(fleet.byId.get(brandId<ServerId>(primary)) as FleetServer, 12, 950)
  assert.notEqual(getTargetOrReason(fleet, request()), primary)
  fleet.sharedUtilization.set(desk, 1.2)
  assert.equal(getTargetOrReason(fleet, request()), primary)
})

/** Guards against this failure: a VM refuses every request because its region has no server, although other regions have servers. */
test('without a plan and without local servers, objects have a primary server in another region', () => {
  const fleet = createTestFleet(server('a', mumbai), server('b', mumbai))
  fleet.sharedUtilization.set(desk, 1.2)
  assert.ok(['a', 'b'].includes(getTargetOrReason(fleet, request())))
})

/** Guards against this failure: while all slots are busy, objects move from server to server and are cold at each of them. */
test('in a full fleet, an object stays with its server while that server is briefly full', () => {
  const servers = ['a', 'b', 'c', 'd'].map(name => server(name))
  const fleet = createTestFleet(...servers)
  fleet.sharedUtilization.set(desk, 1)
  const first = placeRequest(fleet, request({ object: 'read|7' }), 1000)
  assert.ok(first.type === 'send')
  recordServerFull(first.server, 1000)
  const meanwhile = placeRequest(fleet, request({ object: 'read|7' }), 1010)
  assert.ok(meanwhile.type === 'refuse' && meanwhile.reason === 'busy', JSON.stringify(meanwhile.type))
  const after = placeRequest(fleet, request({ object: 'read|7' }), 1060)
  assert.ok(after.type === 'send' && after.server === first.server)
})

/** Guards against this failure: objects turn cold repeatedly while servers join and leave. */
test('an object stays with its warm server unless that is full, since its new primary server may be cold', () => {
  const fleet = createTestFleet(server('a'), server('b'))
  const newPrimary = getTargetOrReason(fleet, request())
  for (let n = 0; n < 100; n++) updateWarmProbability(fleet, request(), 'primary', true)
  const warmServer = [...fleet.byId.values()].find(({ facts }) => facts.id !== newPrimary) as FleetServer
  recordObjectUse(fleet.warmObjects, warmServer.facts.id, 'read|7', 900)
  recordLoadReport(warmServer, 2, 950)
  assert.equal(getTargetOrReason(fleet, request()), warmServer.facts.id)
  recordLoadReport(warmServer, 12, 950)
  assert.equal(getTargetOrReason(fleet, request()), newPrimary, 'the object moves if its warm server is full')
})

/** Guards against this failure: under load, a route whose timeout is hardly longer than its cold work times out at cold servers. */
test('a request waits at its warm primary server if cold work might exceed its deadline', () => {
  const fleet = createTestFleet(...['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(id => server(id)))
  const primary = getTargetOrReason(fleet, request())
  recordObjectUse(fleet.warmObjects, brandId<ServerId>(primary), 'read|7', 900)
  recordLoadReport(fleet.byId.get(brandId<ServerId>(primary)) as FleetServer, 7, 950)
  assert.notEqual(getTargetOrReason(fleet, request({ deadline: 2200 })), primary, 'a cold server is selected while the deadline leaves time for cold work')
  assert.equal(getTargetOrReason(fleet, request({ deadline: 1239 })), primary)
})

/** Guards against cold work that waits at a busy primary server until its route's timeout, while other servers have free slots. */
test('a busy service uses only the primary server, but for requests that miss their deadline there', () => {
  const servers = [server('first'), server('second')]
  const fleet = createTestFleet(...servers)
  fleet.sharedUtilization.set(desk, 1)
  const primary = getTargetOrReason(fleet, request())
  for (const known of servers) if (known.facts.id === primary) recordSharedQueueDepth(known, 8, 1000)
  const urgent = createRoute('read', { rank: 0 })
  assert.equal(getTargetOrReason(fleet, request({ route: urgent })), primary)
  assert.notEqual(getTargetOrReason(fleet, request({ route: urgent, deadline: 1400 })), primary)
})
