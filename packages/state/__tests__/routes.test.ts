/** Routes, evacuations and announcements of backend servers, applied through the log. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId, loadChart } from '@lynxcourse/base'
import type { FailureDomainId, ServerId, ServiceId } from '@lynxcourse/base'
import {
  applyEntry, createConfig, createStateMachine, getDeltaSince, findItem, hasBackendChanged, listItems, listPresentBackends, deserializeStateMachine, findRouteSet, getRoutesVersion, maxLostServers, maxRoutes, maxRouteSetBytes, measureRouteSet,
  applyDelta, serializeStateMachine
} from '@lynxcourse/state'
import type { BackendAnnouncement, ChangeAnswer, StateMachine, RouteChangeId, Route, RouteCommand, RouteSet, Upstream } from '@lynxcourse/state'
import { createRoute } from './support/route.js'

const charts = { claim: loadChart('claim'), crashingRequest: loadChart('crashingRequest'), drain: loadChart('drain'), rollout: loadChart('rollout'), shift: loadChart('shift') }
const desk = brandId<ServiceId>('desk')
const ledger = brandId<ServiceId>('ledger')
const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }

function createUpstream (name: ServiceId): Upstream {
  return { name, healthPath: '/health', maxConnections: 100, warmupMs: 3000, warmupPerSecond: 10, annotations: {} }
}

function createRouteSet (...routes: Route[]): RouteSet {
  return { routes, upstreams: [createUpstream(desk), createUpstream(ledger)], limits }
}

function createTestMachine (): StateMachine {
  return createStateMachine(charts)
}

function apply (machine: StateMachine, command: RouteCommand): ChangeAnswer {
  const answer = applyEntry(machine, { index: machine.applied + 1, term: 1, at: 0, body: { type: 'command', command } })
  assert.equal(answer.type, 'change')
  return (answer as { change: ChangeAnswer }).change
}

function createReplaceCommand (order: string, baseVersion: number, routesVersion: number, set: RouteSet): RouteCommand {
  return { type: 'replaceRoutes', order: order as RouteChangeId, baseVersion, routesVersion, set }
}

function createFacts (id: string, parts: Partial<BackendAnnouncement> = {}): BackendAnnouncement {
  return { id: brandId<ServerId>(id), service: desk, address: '10.0.0.1:80', failureDomain: brandId<FailureDomainId>('kochi-a'), slots: 3, software: 'v1', isDraining: false, bornAt: 0, seq: 1, coldMs: 0, ...parts }
}

function getCode (answer: ChangeAnswer): string {
  return answer.ok ? 'ok' : answer.code
}

test('a route change that is resent because its answer was lost succeeds again and changes nothing', () => {
  const machine = createTestMachine()
  const command = createReplaceCommand('one', 0, 5, createRouteSet(createRoute('read')))
  assert.equal(getCode(apply(machine, command)), 'ok')
  const version = machine.config.version
  assert.equal(getCode(apply(machine, command)), 'ok')
  assert.equal(machine.config.version, version)
  assert.equal(getCode(apply(machine, createReplaceCommand('two', 5, 9, createRouteSet(createRoute('read'), createRoute('write'))))), 'ok')
  assert.equal(getCode(apply(machine, command)), 'ok', 'also after a later change')
  assert.equal(getRoutesVersion(machine.config), 9)
})

test('of two route changes based on one version the first wins, even if both set the same version', () => {
  const machine = createTestMachine()
  apply(machine, createReplaceCommand('one', 0, 5, createRouteSet(createRoute('read'))))
  assert.equal(getCode(apply(machine, createReplaceCommand('left', 5, 8, createRouteSet(createRoute('left'))))), 'ok')
  assert.equal(getCode(apply(machine, createReplaceCommand('right', 5, 8, createRouteSet(createRoute('right'))))), 'versionConflict')
  assert.deepEqual(findRouteSet(machine.config)?.routes.map(item => item.name), ['left'])
})

test('an invalid route change is rejected with the name of the item and changes nothing', () => {
  const machine = createTestMachine()
  apply(machine, createReplaceCommand('one', 0, 5, createRouteSet(createRoute('read'))))
  const cases: Array<[RouteSet, RegExp]> = [
    [createRouteSet(createRoute('x', { service: brandId<ServiceId>('nobody') })), /route 'x'.*'nobody' is not known/],
    // Guards against a route that names an unknown service beside the one that it uses.
    [createRouteSet(createRoute('x', { split: [{ service: brandId<ServiceId>('nobody'), weight: 0 }] })), /route 'x'.*'nobody' is not known/],
    [createRouteSet(createRoute('x', { timeoutMs: 0 })), /route 'x'.*timeout/],
    [createRouteSet(createRoute('x', { aimMs: 61_001 })), /route 'x'.*objective/],
    [createRouteSet(createRoute('x', { service: undefined, split: [{ service: desk, weight: 0 }] })), /weights add up to 0/],
    [createRouteSet(createRoute('x', { pathPrefix: '/p' })), /pathPrefix/],
    [createRouteSet(createRoute('x', { pathPrefix: '/p/' }), createRoute('y', { pathPrefix: '/p/' })), /pathPrefix is taken/]
  ]
  cases.forEach(([set, expected], index) => {
    const answer = apply(machine, createReplaceCommand(`bad-${index}`, 5, 6, set))
    assert.equal(getCode(answer), 'badRequest')
    assert.match(answer.ok ? '' : answer.detail, expected)
  })
  assert.equal(getCode(apply(machine, createReplaceCommand('old', 5, 5, createRouteSet(createRoute('z'))))), 'badRequest')
  assert.deepEqual(findRouteSet(machine.config)?.routes.map(item => item.name), ['read'])
})

test('an update adds and removes items by name in one version', () => {
  const machine = createTestMachine()
  apply(machine, createReplaceCommand('one', 0, 5, createRouteSet(createRoute('read'), createRoute('write'))))
  const versionBefore = machine.config.version
  const update: RouteCommand = { type: 'updateRoutes', order: 'two' as RouteChangeId, baseVersion: 5, routesVersion: 7, putRoutes: [createRoute('extra')], putUpstreams: [], removeRoutes: ['write'], removeUpstreams: [], limits: undefined }
  assert.equal(getCode(apply(machine, update)), 'ok')
  const delta = getDeltaSince(machine.config, versionBefore)
  assert.equal(delta.full, false)
  assert.ok(delta.items.every(item => item.version === machine.config.version))
  const copy = createConfig()
  applyDelta(copy, getDeltaSince(machine.config, 0))
  assert.deepEqual(findRouteSet(copy)?.routes.map(item => item.name).sort(), ['extra', 'read'])
})

/** Guards against a new server at a reused address that gets no requests. */
/** A map that counts the entries that were visited one by one. */
class CountingMap<Key, Value> extends Map<Key, Value> {
  visited = 0

  override * values (): ReturnType<Map<Key, Value>['values']> {
    for (const value of super.values()) {
      this.visited += 1
      yield value
    }
  }

  override * [Symbol.iterator] (): ReturnType<Map<Key, Value>['entries']> {
    for (const entry of super.entries()) {
      this.visited += 1
      yield entry
    }
  }
}

/** Guards against a change that keeps all control VMs busy for seconds, and against VMs that all need the whole state after it. */
test('a change that removes many routes visits the items a few times only, and a delta carries it', () => {
  const routeCount = 1400
  const machine = createTestMachine()
  const kept = createRoute('kept')
  apply(machine, createReplaceCommand('one', 0, 1, createRouteSet(kept, ...Array.from({ length: routeCount }, (_, index) => createRoute(`extra-${index}`)))))
  const { version } = machine.config
  const copy = createConfig()
  applyDelta(copy, getDeltaSince(machine.config, 0))
  const items = new CountingMap(machine.config.items)
  machine.config.items = items
  items.visited = 0
  apply(machine, createReplaceCommand('two', 1, 2, createRouteSet(kept)))
  assert.ok(items.visited < 20 * routeCount, `${items.visited} items visited`)
  const delta = getDeltaSince(machine.config, version)
  assert.equal(delta.full, false)
  applyDelta(copy, delta)
  assert.deepEqual(findRouteSet(copy)?.routes.map(({ name }) => name), ['kept'])
})

test('a late announcement of a server whose address now belongs to another server changes nothing', () => {
  const machine = createTestMachine()
  apply(machine, { type: 'announce', facts: createFacts('old', { seq: 4 }) })
  apply(machine, { type: 'announce', facts: createFacts('new') })
  assert.deepEqual(listPresentBackends(machine.config), ['new'])
  apply(machine, { type: 'announce', facts: createFacts('old', { seq: 5 }) })
  assert.deepEqual(listPresentBackends(machine.config), ['new'])
  assert.equal(hasBackendChanged(machine.config, createFacts('old', { seq: 6 })), false)
})

/** Guards against a draining server that gets new requests again. */
test('a draining server stays draining after delayed and newer announcements', () => {
  const machine = createTestMachine()
  apply(machine, { type: 'announce', facts: createFacts('s', { seq: 3 }) })
  apply(machine, { type: 'announce', facts: createFacts('s', { seq: 5, isDraining: true }) })
  apply(machine, { type: 'announce', facts: createFacts('s', { seq: 4 }) })
  apply(machine, { type: 'announce', facts: createFacts('s', { seq: 6 }) })
  assert.equal(findItem(machine.config, 'backend', 's')?.state, 'draining')
  apply(machine, { type: 'dismiss', ids: [brandId<ServerId>('s')] })
  apply(machine, { type: 'announce', facts: createFacts('s', { seq: 9 }) })
  assert.equal(findItem(machine.config, 'backend', 's')?.state, 'gone')
})

test('a lost server is present again after its next announcement', () => {
  const machine = createTestMachine()
  apply(machine, { type: 'announce', facts: createFacts('s') })
  apply(machine, { type: 'miss', ids: [brandId<ServerId>('s')] })
  assert.deepEqual(listPresentBackends(machine.config), [])
  assert.equal(hasBackendChanged(machine.config, createFacts('s', { seq: 2 })), true)
  apply(machine, { type: 'announce', facts: createFacts('s', { seq: 2 }) })
  assert.deepEqual(listPresentBackends(machine.config), ['s'])
})

test('a snapshot preserves routes, evacuations, servers and accepted route changes', () => {
  const machine = createTestMachine()
  const command = createReplaceCommand('one', 0, 5, createRouteSet(createRoute('read')))
  apply(machine, command)
  apply(machine, { type: 'announce', facts: createFacts('s') })
  apply(machine, { type: 'evacuate', failureDomain: brandId<FailureDomainId>('kochi-a'), isActive: true })
  const restored = deserializeStateMachine(charts, serializeStateMachine(machine))
  assert.deepEqual(findRouteSet(restored.config), findRouteSet(machine.config))
  assert.deepEqual(listPresentBackends(restored.config), ['s'])
  assert.deepEqual(listItems(restored.config, 'evacuation').map(item => [item.key, item.isActive]), [['kochi-a', true]])
  assert.equal(getCode(apply(restored, command)), 'ok')
})

/** Guards against requests to an evacuated failure domain after an old, delayed command ended the evacuation. */
test('an evacuation command older than the last change of its failure domain is rejected unless it asks for the current state', () => {
  const machine = createTestMachine()
  const failureDomain = brandId<FailureDomainId>('kochi-a')
  const evacuate = (isActive: boolean, baseVersion: number): string => getCode(apply(machine, { type: 'evacuate', failureDomain, isActive, baseVersion }))
  const isEvacuated = (): boolean => findItem(machine.config, 'evacuation', failureDomain)?.isActive === true
  assert.equal(evacuate(true, machine.config.version), 'ok')
  const knownVersion = machine.config.version
  assert.equal(evacuate(false, knownVersion), 'ok')
  assert.equal(evacuate(true, machine.config.version), 'ok')
  assert.equal(evacuate(false, knownVersion), 'versionConflict')
  assert.equal(isEvacuated(), true)
  assert.equal(evacuate(true, knownVersion), 'ok', 'the failure domain already has the requested state')
  assert.equal(evacuate(false, machine.config.version), 'ok')
  assert.equal(evacuate(true, knownVersion), 'versionConflict')
  assert.equal(isEvacuated(), false)
})

/** Guards against a healthy server that gets no more requests, because a late announcement took its address. */
test('a late announcement of an ended server is ignored, even after many other servers have ended', () => {
  const machine = createTestMachine()
  for (let number = 0; number < 100; number++) {
    apply(machine, { type: 'announce', facts: createFacts(`old-${number}`, { address: `10.0.1.${number}:80` }) })
    apply(machine, { type: 'dismiss', ids: [brandId<ServerId>(`old-${number}`)] })
  }
  apply(machine, { type: 'announce', facts: createFacts('new', { address: '10.0.1.0:80' }) })
  apply(machine, { type: 'announce', facts: createFacts('old-0', { address: '10.0.1.0:80', seq: 7 }) })
  assert.deepEqual(listPresentBackends(machine.config), ['new'])
})

/** Guards against requests to a draining server whose drain was confirmed while its service was not configured. */
test('a known server drains while its service is left out of the routes, and an unknown one is not added', () => {
  const machine = createTestMachine()
  const withDesk = createRouteSet(createRoute('read'))
  apply(machine, createReplaceCommand('one', 0, 1, withDesk))
  apply(machine, { type: 'announce', facts: createFacts('a') })
  apply(machine, createReplaceCommand('two', 1, 2, { ...withDesk, routes: [createRoute('read', { service: ledger })], upstreams: [createUpstream(ledger)] }))
  const draining = createFacts('a', { isDraining: true, seq: 2 })
  assert.equal(hasBackendChanged(machine.config, draining), true, 'the drain has to be recorded before it is confirmed')
  apply(machine, { type: 'announce', facts: draining })
  apply(machine, { type: 'announce', facts: createFacts('b', { address: '10.0.0.2:80' }) })
  apply(machine, createReplaceCommand('three', 2, 3, withDesk))
  assert.equal(findItem(machine.config, 'backend', 'a')?.state, 'draining')
  assert.equal(findItem(machine.config, 'backend', 'b'), undefined)
})

// Guards against control VMs that fall behind or run out of memory with a configuration that grew step by step.
test('an update that makes more routes than are possible is rejected, and the routes stay as they are', () => {
  const machine = createTestMachine()
  const first = Array.from({ length: maxRoutes }, (_, index) => createRoute(`r${index}`, { pathPrefix: `/r${index}/` }))
  assert.equal(getCode(apply(machine, createReplaceCommand('one', 0, 1, createRouteSet(...first)))), 'ok')
  const answer = apply(machine, { type: 'updateRoutes', order: 'two' as RouteChangeId, baseVersion: 1, routesVersion: 2, putRoutes: [createRoute('more')], putUpstreams: [], removeRoutes: [], removeUpstreams: [], limits: undefined })
  assert.match(answer.ok ? '' : answer.detail, /40001 routes, at most 40000/)
  assert.equal(getRoutesVersion(machine.config), 1)
})

/** Guards against control VMs whose memory fills with servers that crash and come back with other ids. */
test('of the servers that fell silent only the most recent are kept, and an older one that comes back is used again', () => {
  const machine = createTestMachine()
  apply(machine, createReplaceCommand('one', 0, 1, createRouteSet(createRoute('read'))))
  const total = maxLostServers + 1000
  for (let index = 0; index < total; index++) apply(machine, { type: 'announce', facts: createFacts(`s${index}`, { address: `10.0.${index >> 8}.${index & 255}:80` }) })
  apply(machine, { type: 'miss', ids: Array.from({ length: total }, (_, index) => brandId<ServerId>(`s${index}`)) })
  assert.equal(listItems(machine.config, 'backend').length, maxLostServers)
  const [dropped, kept] = [brandId<ServerId>('s0'), brandId<ServerId>(`s${total - 1}`)]
  assert.equal(findItem(machine.config, 'backend', dropped), undefined)
  assert.equal(findItem(machine.config, 'backend', kept)?.state, 'lost')
  const facts = createFacts('s0', { address: '10.0.0.0:80' })
  assert.ok(hasBackendChanged(machine.config, facts))
  apply(machine, { type: 'announce', facts })
  assert.equal(findItem(machine.config, 'backend', dropped)?.state, 'serving')
})

/** Guards against control VMs whose memory fills with a configuration that grows by updates, each of which is small enough. */
test('a configuration is refused once its texts are too long, with the size that is possible, and nothing of it is in force', () => {
  const machine = createTestMachine()
  apply(machine, createReplaceCommand('one', 0, 1, createRouteSet(createRoute('read'))))
  const pathPrefix = `/${'p'.repeat(100_000)}/`
  const createUpdate = (version: number): RouteCommand => ({ type: 'updateRoutes', order: `order-${version}` as RouteChangeId, baseVersion: version - 1, routesVersion: version, putRoutes: Array.from({ length: 15 }, (_, index) => createRoute(`r-${version}-${index}`, { pathPrefix, host: `h-${version}-${index}.example` })), putUpstreams: [], removeRoutes: [], removeUpstreams: [], limits: undefined })
  let version = 2
  let answer = apply(machine, createUpdate(version))
  while (answer.ok && version < 100) answer = apply(machine, createUpdate(++version))
  assert.ok(!answer.ok && answer.code === 'badRequest' && answer.detail.includes(`at most ${maxRouteSetBytes}`))
  assert.equal(getRoutesVersion(machine.config), version - 1)
  const set = findRouteSet(machine.config)
  assert.ok(set !== undefined && measureRouteSet(set) <= maxRouteSetBytes && JSON.stringify(set).length < maxRouteSetBytes * 1.5)
})

test('as many routes as are possible by their number fit into the size of a configuration', () => {
  const routes = Array.from({ length: maxRoutes }, (_, index) => createRoute(`route-${index}`, { pathPrefix: `/prefix-${index}/`, split: [{ service: desk, weight: 90 }, { service: ledger, weight: 10 }] }))
  const size = measureRouteSet(createRouteSet(...routes))
  assert.ok(size < maxRouteSetBytes, `${size} bytes`)
})
