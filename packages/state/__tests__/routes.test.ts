/** Routes, evacuations and servers' announcements as the log applies them. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId, loadChart } from '@lynxcourse/base'
import type { FailureDomainId, ServerId, ServiceId } from '@lynxcourse/base'
import {
  applyEntry, createConfig, createStateMachine, getDeltaSince, findItem, hasBackendChanged, listItems, listPresentBackends, deserializeStateMachine, findRouteSet, getRoutesVersion,
  applyDelta, serializeStateMachine
} from '@lynxcourse/state'
import type { BackendAnnouncement, ChangeAnswer, StateMachine, RouteChangeId, Route, RouteCommand, RouteSet, Upstream } from '@lynxcourse/state'
import { route } from './support/route.js'

const charts = { claim: loadChart('claim'), drain: loadChart('drain'), shift: loadChart('shift') }
const desk = brandId<ServiceId>('desk')
const ledger = brandId<ServiceId>('ledger')
const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }

function upstream (name: ServiceId): Upstream {
  return { name, healthPath: '/health', maxConnections: 100, warmupMs: 3000, warmupPerSecond: 10, annotations: {} }
}

function setOf (...routes: Route[]): RouteSet {
  return { routes, upstreams: [upstream(desk), upstream(ledger)], limits }
}

function start (): StateMachine {
  return createStateMachine(charts)
}

function apply (machine: StateMachine, command: RouteCommand): ChangeAnswer {
  const answer = applyEntry(machine, { index: machine.applied + 1, term: 1, at: 0, body: { type: 'command', command } })
  assert.equal(answer.type, 'change')
  return (answer as { change: ChangeAnswer }).change
}

function replace (order: string, baseVersion: number, routesVersion: number, set: RouteSet): RouteCommand {
  return { type: 'replaceRoutes', order: order as RouteChangeId, baseVersion, routesVersion, set }
}

function facts (id: string, parts: Partial<BackendAnnouncement> = {}): BackendAnnouncement {
  return { id: brandId<ServerId>(id), service: desk, address: '10.0.0.1:80', failureDomain: brandId<FailureDomainId>('kochi-a'), slots: 3, software: 'v1', isDraining: false, bornAt: 0, seq: 1, coldMs: 0, ...parts }
}

function codeOf (answer: ChangeAnswer): string {
  return answer.ok ? 'ok' : answer.code
}

test('an order sent again after its answer was lost succeeds again and changes nothing', () => {
  const machine = start()
  const order = replace('one', 0, 5, setOf(route('read')))
  assert.equal(codeOf(apply(machine, order)), 'ok')
  const version = machine.config.version
  assert.equal(codeOf(apply(machine, order)), 'ok')
  assert.equal(machine.config.version, version)
  assert.equal(codeOf(apply(machine, replace('two', 5, 9, setOf(route('read'), route('write'))))), 'ok')
  assert.equal(codeOf(apply(machine, order)), 'ok', 'also after a later change')
  assert.equal(getRoutesVersion(machine.config), 9)
})

test('of two orders on one version the first wins, also under an equal number', () => {
  const machine = start()
  apply(machine, replace('one', 0, 5, setOf(route('read'))))
  assert.equal(codeOf(apply(machine, replace('left', 5, 8, setOf(route('left'))))), 'ok')
  assert.equal(codeOf(apply(machine, replace('right', 5, 8, setOf(route('right'))))), 'versionConflict')
  assert.deepEqual(findRouteSet(machine.config)?.routes.map(held => held.name), ['left'])
})

test('an order that is not valid names the item and changes nothing', () => {
  const machine = start()
  apply(machine, replace('one', 0, 5, setOf(route('read'))))
  const cases: Array<[RouteSet, RegExp]> = [
    [setOf(route('x', { service: brandId<ServiceId>('nobody') })), /route 'x'.*'nobody' is not known/],
    [setOf(route('x', { timeoutMs: 0 })), /route 'x'.*timeout/],
    [setOf(route('x', { aimMs: 61_001 })), /route 'x'.*objective/],
    [setOf(route('x', { service: undefined, split: [{ service: desk, weight: 0 }] })), /weights add up to 0/],
    [setOf(route('x', { pathPrefix: '/p' })), /pathPrefix/],
    [setOf(route('x', { pathPrefix: '/p/' }), route('y', { pathPrefix: '/p/' })), /pathPrefix is taken/]
  ]
  cases.forEach(([set, expected], place) => {
    const answer = apply(machine, replace(`bad-${place}`, 5, 6, set))
    assert.equal(codeOf(answer), 'badRequest')
    assert.match(answer.ok ? '' : answer.detail, expected)
  })
  assert.equal(codeOf(apply(machine, replace('old', 5, 5, setOf(route('z'))))), 'badRequest')
  assert.deepEqual(findRouteSet(machine.config)?.routes.map(held => held.name), ['read'])
})

test('an update puts and removes items by name, as one version', () => {
  const machine = start()
  apply(machine, replace('one', 0, 5, setOf(route('read'), route('write'))))
  const before = machine.config.version
  const update: RouteCommand = { type: 'updateRoutes', order: 'two' as RouteChangeId, baseVersion: 5, routesVersion: 7, putRoutes: [route('extra')], putUpstreams: [], removeRoutes: ['write'], removeUpstreams: [], limits: undefined }
  assert.equal(codeOf(apply(machine, update)), 'ok')
  const changed = getDeltaSince(machine.config, before)
  assert.equal(changed.full, false)
  assert.ok(changed.items.every(held => held.version === machine.config.version))
  const copy = createConfig()
  applyDelta(copy, getDeltaSince(machine.config, 0))
  assert.deepEqual(findRouteSet(copy)?.routes.map(held => held.name).sort(), ['extra', 'read'])
})

/** Guards against this failure: a new server at a reused address gets no work. */
test('a late announcement of a lifetime whose address was taken over changes nothing', () => {
  const machine = start()
  apply(machine, { type: 'announce', facts: facts('old', { seq: 4 }) })
  apply(machine, { type: 'announce', facts: facts('new') })
  assert.deepEqual(listPresentBackends(machine.config), ['new'])
  apply(machine, { type: 'announce', facts: facts('old', { seq: 5 }) })
  assert.deepEqual(listPresentBackends(machine.config), ['new'])
  assert.equal(hasBackendChanged(machine.config, facts('old', { seq: 6 })), false)
})

/** Guards against this failure: a server that leaves gets new work again. */
test('once a server drains, neither a late nor a later announcement opens it again', () => {
  const machine = start()
  apply(machine, { type: 'announce', facts: facts('s', { seq: 3 }) })
  apply(machine, { type: 'announce', facts: facts('s', { seq: 5, isDraining: true }) })
  apply(machine, { type: 'announce', facts: facts('s', { seq: 4 }) })
  apply(machine, { type: 'announce', facts: facts('s', { seq: 6 }) })
  assert.equal(findItem(machine.config, 'backend', 's')?.state, 'draining')
  apply(machine, { type: 'dismiss', ids: [brandId<ServerId>('s')] })
  apply(machine, { type: 'announce', facts: facts('s', { seq: 9 }) })
  assert.equal(findItem(machine.config, 'backend', 's')?.state, 'gone')
})

test('a server that fell silent comes back by its next announcement', () => {
  const machine = start()
  apply(machine, { type: 'announce', facts: facts('s') })
  apply(machine, { type: 'miss', ids: [brandId<ServerId>('s')] })
  assert.deepEqual(listPresentBackends(machine.config), [])
  assert.equal(hasBackendChanged(machine.config, facts('s', { seq: 2 })), true)
  apply(machine, { type: 'announce', facts: facts('s', { seq: 2 }) })
  assert.deepEqual(listPresentBackends(machine.config), ['s'])
})

test('routes, evacuations, servers and accepted orders outlive a snapshot', () => {
  const machine = start()
  const order = replace('one', 0, 5, setOf(route('read')))
  apply(machine, order)
  apply(machine, { type: 'announce', facts: facts('s') })
  apply(machine, { type: 'evacuate', failureDomain: brandId<FailureDomainId>('kochi-a'), isActive: true })
  const back = deserializeStateMachine(charts, serializeStateMachine(machine))
  assert.deepEqual(findRouteSet(back.config), findRouteSet(machine.config))
  assert.deepEqual(listPresentBackends(back.config), ['s'])
  assert.deepEqual(listItems(back.config, 'evacuation').map(item => [item.key, item.isActive]), [['kochi-a', true]])
  assert.equal(codeOf(apply(back, order)), 'ok')
})

/** Guards against traffic in an evacuated failure domain after an old order, held up on its way, took the evacuation back. */
test('an order for a failure domain that newer orders overtook changes nothing; one sent again succeeds', () => {
  const machine = start()
  const failureDomain = brandId<FailureDomainId>('kochi-a')
  const order = (isActive: boolean, baseVersion: number): string => codeOf(apply(machine, { type: 'evacuate', failureDomain, isActive, baseVersion }))
  const isEvacuated = (): boolean => findItem(machine.config, 'evacuation', failureDomain)?.isActive === true
  assert.equal(order(true, machine.config.version), 'ok')
  const known = machine.config.version
  assert.equal(order(false, known), 'ok')
  assert.equal(order(true, machine.config.version), 'ok')
  assert.equal(order(false, known), 'versionConflict')
  assert.equal(isEvacuated(), true)
  assert.equal(order(true, known), 'ok', 'what it asks for holds already')
  assert.equal(order(false, machine.config.version), 'ok')
  assert.equal(order(true, known), 'versionConflict')
  assert.equal(isEvacuated(), false)
})

/** Guards against this failure: a server that runs well gets no more requests for the rest of its life. */
test('a late announcement of a server that ended long ago revives nothing, whatever ended since', () => {
  const machine = start()
  for (let number = 0; number < 100; number++) {
    apply(machine, { type: 'announce', facts: facts(`old-${number}`, { address: `10.0.1.${number}:80` }) })
    apply(machine, { type: 'dismiss', ids: [brandId<ServerId>(`old-${number}`)] })
  }
  apply(machine, { type: 'announce', facts: facts('new', { address: '10.0.1.0:80' }) })
  apply(machine, { type: 'announce', facts: facts('old-0', { address: '10.0.1.0:80', seq: 7 }) })
  assert.deepEqual(listPresentBackends(machine.config), ['new'])
})
