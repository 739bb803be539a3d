/** Where a request goes, and when it is refused. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { ServerId } from '@lynxcourse/base'
import { learnWarmChance, noteFull, noteHandled, noteReport, noteShared, placeRequest } from '@lynxcourse/placement'
import type { FleetServer } from '@lynxcourse/placement'
import { desk, kochi, mumbai, route, server, createTestFleet, request, sentTo } from './support/fleet.js'

test('a server that handled the object goes before the one that hashing names; a near one before a far one', () => {
  const [first, second, far] = [server('first'), server('second'), server('far', mumbai)]
  const fleet = createTestFleet(first, second, far)
  assert.notEqual(sentTo(fleet, request({ object: '' })), 'far')
  const named = sentTo(fleet, request())
  const other = named === 'first' ? second : first
  noteHandled(fleet.warmth, other.facts.id, 'read|7', 900)
  assert.equal(sentTo(fleet, request()), other.facts.id)
})

test('VMs that never talked warm the same server for an object', () => {
  const servers = ['a', 'b', 'c', 'd', 'e'].map(id => server(id))
  for (const object of ['read|1', 'read|2', 'read|3', 'read|4']) {
    const choices = [1, 2, 3].map(() => sentTo(createTestFleet(...servers.map(held => server(held.facts.id))), request({ object })))
    assert.equal(new Set(choices).size, 1, object)
  }
})

test('homes bind, closed and tried servers get nothing', () => {
  const far = server('far', mumbai)
  const fleet = createTestFleet(server('near'), far, server('closed', mumbai, { isClosed: true }))
  assert.equal(sentTo(fleet, request({ route: route('read', { homes: [mumbai] }) })), 'far')
  assert.equal(sentTo(fleet, request({ route: route('read', { homes: [mumbai] }), tried: new Set([far.facts.id]) })), 'noServer')
})

/** Guards against this failure: at twice the load all requests come late. */
test('with all queues long, the least urgent are refused at once and the most urgent still served', () => {
  const busy = server('busy')
  noteReport(busy, 6, 1000)
  const fleet = createTestFleet(busy)
  const urgent = placeRequest(fleet, request({ route: route('read', { rank: 0 }) }), 1000)
  const idle = placeRequest(fleet, request({ route: route('read', { rank: 2 }) }), 1000)
  assert.equal(urgent.type, 'send')
  assert.equal(idle.type, 'refuse')
  assert.ok(idle.type === 'refuse' && idle.reason === 'busy' && idle.retryAfterMs >= 60)
})

test('what would end after its deadline is refused before anything is sent', () => {
  const placed = placeRequest(createTestFleet(server('near')), request({ deadline: 1050 }), 1000)
  assert.ok(placed.type === 'refuse' && placed.reason === 'noTime')
})

test('an object is served in the region that the plan gives it, by all VMs of its callers\' region alike', () => {
  const servers = ['a', 'b', 'c'].map(id => server(id)).concat(['x', 'y', 'z'].map(id => server(id, mumbai)))
  const fleet = createTestFleet(...servers)
  fleet.shares.set(desk, new Map([[kochi, 0], [mumbai, 1]]))
  for (const object of ['read|1', 'read|2', 'read|3']) assert.ok(['x', 'y', 'z'].includes(sentTo(fleet, request({ object }))))
  fleet.shares.set(desk, new Map([[kochi, 1], [mumbai, 0]]))
  for (const object of ['read|1', 'read|2', 'read|3']) assert.ok(['a', 'b', 'c'].includes(sentTo(fleet, request({ object }))))
})

/** Guards against this failure: requests wait behind the full queue of their object's server. */
test('a server that all VMs together know to be full gets nothing while one beside it is free', () => {
  const fleet = createTestFleet(server('a'), server('b'))
  const primary = sentTo(fleet, request())
  const held = fleet.byId.get(brandId<ServerId>(primary)) as FleetServer
  noteShared(held, 9, 900)
  assert.notEqual(sentTo(fleet, request()), primary)
  assert.equal(sentTo(fleet, request({ arrivedAt: 4000, deadline: 5200 }), 4000), primary)
})

/** Guards against this failure: a fleet whose warm work would fill 60 % of its slots answers everything late for half a minute. */
test('in a full fleet objects keep to their primary servers', () => {
  const fleet = createTestFleet(...['a', 'b', 'c', 'd'].map(id => server(id)))
  const primary = sentTo(fleet, request())
  noteShared(fleet.byId.get(brandId<ServerId>(primary)) as FleetServer, 12, 950)
  assert.notEqual(sentTo(fleet, request()), primary)
  fleet.sharedUtilization.set(desk, 1.2)
  assert.equal(sentTo(fleet, request()), primary)
})

/** Guards against this failure: a VM refuses every request for want of a server while other regions have some. */
test('without a plan and without near servers, objects have a primary server in another region', () => {
  const fleet = createTestFleet(server('a', mumbai), server('b', mumbai))
  fleet.sharedUtilization.set(desk, 1.2)
  assert.ok(['a', 'b'].includes(sentTo(fleet, request())))
})

/** Guards against this failure: where all slots are busy, objects turn cold at one server after the other. */
test('in a full fleet an object stays with its server while that has no room for a moment', () => {
  const servers = ['a', 'b', 'c', 'd'].map(name => server(name))
  const fleet = createTestFleet(...servers)
  fleet.sharedUtilization.set(desk, 1)
  const first = placeRequest(fleet, request({ object: 'read|7' }), 1000)
  assert.ok(first.type === 'send')
  noteFull(first.server, 1000)
  const meanwhile = placeRequest(fleet, request({ object: 'read|7' }), 1010)
  assert.ok(meanwhile.type === 'refuse' && meanwhile.reason === 'busy', JSON.stringify(meanwhile.type))
  const after = placeRequest(fleet, request({ object: 'read|7' }), 1060)
  assert.ok(after.type === 'send' && after.server === first.server)
})

/** Guards against this failure: objects are cold again and again while servers come and go. */
test('an object stays with the server that is warm for it for as long as its new primary server may be cold', () => {
  const fleet = createTestFleet(server('a'), server('b'))
  const newPrimary = sentTo(fleet, request())
  for (let n = 0; n < 100; n++) learnWarmChance(fleet, request(), 'primary', true)
  const former = [...fleet.byId.values()].find(({ facts }) => facts.id !== newPrimary) as FleetServer
  noteHandled(fleet.warmth, former.facts.id, 'read|7', 900)
  noteReport(former, 2, 950)
  assert.equal(sentTo(fleet, request()), former.facts.id)
  noteReport(former, 12, 950)
  assert.equal(sentTo(fleet, request()), newPrimary, 'where the former one is full, the object moves')
})

/** Guards against this failure: a route whose timeout is hardly longer than its cold work fails at its busiest. */
test('a request waits at its warm primary server rather than risk to be cut at a cold server', () => {
  const fleet = createTestFleet(...['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(id => server(id)))
  const primary = sentTo(fleet, request())
  noteHandled(fleet.warmth, brandId<ServerId>(primary), 'read|7', 900)
  noteReport(fleet.byId.get(brandId<ServerId>(primary)) as FleetServer, 7, 950)
  assert.notEqual(sentTo(fleet, request({ deadline: 2200 })), primary, 'with time for cold work')
  assert.equal(sentTo(fleet, request({ deadline: 1239 })), primary)
})
