/** Rollouts: results of orders, conditions of steps, the version in force, and what snapshots keep. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId, loadChart } from '@lynxcourse/base'
import type { FailureDomainId, Millis, ServerId, ServiceId } from '@lynxcourse/base'
import {
  applyEntry, createStateMachine, deserializeStateMachine, findItem, getVersionInForce, isRunningRollout, listItems, maxFinishedItems, serializeStateMachine
} from '@lynxcourse/state'
import type { BackendAnnouncement, ChangeAnswer, Command, RolloutEvent, RolloutItem, RouteChangeId, SoftwareVersion, StateMachine } from '@lynxcourse/state'

const seed = 83
console.log(`seed ${seed}`)

const charts = { claim: loadChart('claim'), crashingRequest: loadChart('crashingRequest'), drain: loadChart('drain'), rollout: loadChart('rollout'), shift: loadChart('shift') }
const startTime = 1_800_000_000_000
const durationMs: Millis = 12_000
const desk = brandId<ServiceId>('desk')
const version = (name: string): SoftwareVersion => brandId<SoftwareVersion>(name)

function apply (machine: StateMachine, command: Command, at: Millis = startTime): ChangeAnswer {
  const answer = applyEntry(machine, { index: machine.applied + 1, term: 1, at, body: { type: 'command', command } })
  if (answer.type !== 'change') throw new Error(`unexpected answer ${JSON.stringify(answer)}`)
  return answer.change
}

let routesVersion = 0

function configure (machine: StateMachine, services: readonly string[]): void {
  const upstreams = services.map(name => ({ name: brandId<ServiceId>(name), healthPath: '/', maxConnections: 10, warmupMs: 0, warmupPerSecond: 0, annotations: {} }))
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  const baseVersion = findItem(machine.config, 'routing', 'routes')?.routesVersion ?? 0
  routesVersion = Math.max(routesVersion, baseVersion) + 1
  const answer = apply(machine, { type: 'replaceRoutes', order: `order ${routesVersion}` as RouteChangeId, baseVersion, routesVersion, set: { routes: [], upstreams, limits } })
  assert.ok(answer.ok)
}

function announce (machine: StateMachine, id: string, software: string, service = 'desk'): void {
  const facts: BackendAnnouncement = { id: brandId<ServerId>(id), service: brandId<ServiceId>(service), address: `127.0.0.1:${1000 + id.length}${id.charCodeAt(id.length - 1)}`, failureDomain: brandId<FailureDomainId>('a'), slots: 9, software, isDraining: false, bornAt: 1, seq: 1, coldMs: 0 }
  apply(machine, { type: 'announce', facts })
}

function start (machine: StateMachine, target = 'v2', at = startTime, service = desk): ChangeAnswer {
  return apply(machine, { type: 'startRollout', service, target: version(target), durationMs }, at)
}

function getRollout (machine: StateMachine): RolloutItem {
  const item = findItem(machine.config, 'rollout', desk)
  assert.ok(item !== undefined)
  return item
}

function advance (machine: StateMachine, event: RolloutEvent, percent = 50): ChangeAnswer {
  const { order, step } = getRollout(machine)
  return apply(machine, { type: 'advanceRollout', service: desk, order, step, event, percent, reason: event })
}

/** Creates a machine with the service `desk`, whose version in force is v1. */
function createServing (): StateMachine {
  const machine = createStateMachine(charts)
  configure(machine, ['desk'])
  announce(machine, 's1', '')
  announce(machine, 's2', 'v1')
  announce(machine, 's3', 'v2')
  return machine
}

function complete (machine: StateMachine): void {
  for (const event of ['promote', 'grow', 'drain', 'complete'] as const) assert.ok(advance(machine, event).ok)
}

const getCode = (answer: ChangeAnswer): string => answer.ok ? 'ok' : answer.code

/** Guards against a later version that comes into force because one of its servers announces itself. */
test('the first version that a server announces is in force until a rollout completes', () => {
  const machine = createServing()
  assert.equal(getVersionInForce(machine.config, desk), 'v1')
  start(machine)
  assert.equal(getVersionInForce(machine.config, desk), 'v1')
  complete(machine)
  assert.equal(getVersionInForce(machine.config, desk), 'v2')
  announce(machine, 's4', 'v1')
  assert.equal(getVersionInForce(machine.config, desk), 'v2')
})

/** Guards against an order whose answer was lost and that is refused, or starts again, when it is repeated. */
test('a repeated order is accepted without effect while the rollout runs, after it completed, and within its duration after it was rolled back', () => {
  const machine = createServing()
  assert.equal(getCode(start(machine)), 'ok')
  const first = getRollout(machine)
  assert.equal(first.state, 'observing')
  assert.equal(first.baseline, 'v1')
  start(machine, 'v2', startTime + 4000)
  assert.deepEqual(getRollout(machine), first)
  advance(machine, 'rollBack')
  const rolledBack = getRollout(machine)
  assert.equal(rolledBack.percent, 0)
  assert.equal(getCode(start(machine, 'v2', startTime + durationMs - 1)), 'ok')
  assert.deepEqual(getRollout(machine), rolledBack)
  assert.equal(getCode(start(machine, 'v2', startTime + durationMs)), 'ok')
  assert.equal(getRollout(machine).state, 'observing')
  complete(machine)
  const completed = getRollout(machine)
  assert.equal(getCode(start(machine, 'v2', startTime + 10 * durationMs)), 'ok')
  assert.deepEqual(getRollout(machine), completed)
})

/** Guards against two operators whose orders replace each other. */
test('an order for another target conflicts with a running rollout and not with an ended one', () => {
  const machine = createServing()
  start(machine)
  assert.equal(getCode(start(machine, 'v3')), 'versionConflict')
  assert.equal(getCode(start(machine, 'v1')), 'versionConflict')
  assert.equal(getRollout(machine).target, 'v2')
  advance(machine, 'rollBack')
  assert.equal(getCode(start(machine, 'v3')), 'ok')
  assert.equal(getRollout(machine).target, 'v3')
})

/** Guards against an order for a service that no server can belong to. */
test('an order for an unknown service is not found', () => {
  const machine = createServing()
  assert.equal(getCode(start(machine, 'v2', startTime, brandId<ServiceId>('other'))), 'notFound')
  assert.equal(getCode(apply(machine, { type: 'abortRollout', service: desk })), 'notFound')
})

/** Guards against a rollout to the running version that waits for servers until its deadline. */
test('an order for the version in force is completed at once', () => {
  const machine = createServing()
  assert.equal(getCode(start(machine, 'v1')), 'ok')
  assert.equal(getRollout(machine).state, 'completed')
  assert.equal(getRollout(machine).percent, 100)
})

/** Guards against a refusal because the target's servers start after the order. */
test('an order whose target has no servers yet is accepted', () => {
  const machine = createServing()
  assert.equal(getCode(start(machine, 'v9')), 'ok')
  assert.equal(getRollout(machine).state, 'observing')
})

/** Guards against a target version that comes into force unjudged because its servers announce themselves first. */
test('an order before any announcement gets its baseline from the first other version', () => {
  const machine = createStateMachine(charts)
  configure(machine, ['desk'])
  start(machine)
  announce(machine, 's3', 'v2')
  assert.equal(getVersionInForce(machine.config, desk), undefined)
  announce(machine, 's2', 'v1')
  assert.equal(getVersionInForce(machine.config, desk), 'v1')
  assert.equal(getRollout(machine).baseline, 'v1')
})

/** Guards against a step that a deposed leader planned for an earlier step or order. */
test('a step is rejected unless it names the current order and step', () => {
  const machine = createServing()
  start(machine)
  const { order, step } = getRollout(machine)
  const stale = { type: 'advanceRollout', service: desk, order, step, event: 'rollBack', percent: 0, reason: '' } as const
  assert.equal(getCode(advance(machine, 'promote', 25)), 'ok')
  assert.equal(getCode(apply(machine, stale)), 'versionConflict')
  assert.equal(getCode(apply(machine, { ...stale, order: order + 1, step: step + 1 })), 'versionConflict')
  assert.equal(getCode(advance(machine, 'complete')), 'versionConflict')
  assert.equal(getRollout(machine).state, 'promoting')
  assert.equal(getRollout(machine).percent, 25)
})

/** Guards against an aborted rollout that goes on, and a completed one that an abort undoes. */
test('an abort rolls a running rollout back', () => {
  const machine = createServing()
  start(machine)
  const abort = { type: 'abortRollout', service: desk } as const
  assert.equal(getCode(apply(machine, abort)), 'ok')
  assert.equal(getRollout(machine).state, 'rolledBack')
  assert.equal(getCode(apply(machine, abort)), 'ok')
  start(machine, 'v3')
  complete(machine)
  assert.equal(getCode(apply(machine, abort)), 'badRequest')
  assert.equal(getVersionInForce(machine.config, desk), 'v3')
})

/** Guards against a rollout that runs on, or completes, without its service. */
test('a service that leaves the configuration ends its rollout in the same command', () => {
  const machine = createServing()
  start(machine)
  configure(machine, ['other'])
  assert.equal(getRollout(machine).state, 'rolledBack')
  assert.equal(findItem(machine.config, 'rollout', desk)?.reason, 'the service left the configuration')
  configure(machine, ['desk'])
  assert.equal(getVersionInForce(machine.config, desk), 'v1')
})

/** Guards against a state that grows with each service that ever had a rollout. */
test('ended rollouts and versions of removed services are bounded', () => {
  const machine = createStateMachine(charts)
  const names = Array.from({ length: maxFinishedItems * 2 }, (_, index) => `service-${index}`)
  configure(machine, names)
  names.forEach((name, index) => {
    const facts: BackendAnnouncement = { id: brandId<ServerId>(name), service: brandId<ServiceId>(name), address: `127.0.0.1:${2000 + index}`, failureDomain: brandId<FailureDomainId>('a'), slots: 1, software: 'v1', isDraining: false, bornAt: 1, seq: 1, coldMs: 0 }
    apply(machine, { type: 'announce', facts })
    start(machine, 'v1', startTime, brandId<ServiceId>(name))
  })
  assert.equal(listItems(machine.config, 'serviceVersion').length, names.length)
  assert.equal(listItems(machine.config, 'rollout').length, maxFinishedItems)
  configure(machine, ['desk'])
  assert.equal(listItems(machine.config, 'serviceVersion').length, maxFinishedItems)
})

type Action = readonly ['start' | 'advance' | 'abort' | 'announce' | 'configure', number]

function act (machine: StateMachine, [kind, choice]: Action, at: Millis): void {
  const events = ['promote', 'grow', 'drain', 'complete', 'rollBack'] as const
  if (kind === 'start') start(machine, `v${1 + choice % 3}`, at)
  else if (kind === 'abort') apply(machine, { type: 'abortRollout', service: desk }, at)
  else if (kind === 'announce') announce(machine, `s${choice}`, `v${choice % 4}`)
  else if (kind === 'configure') configure(machine, choice % 2 === 0 ? ['desk'] : ['other'])
  else {
    const { order, step } = findItem(machine.config, 'rollout', desk) ?? { order: 0, step: 0 }
    const event = events[choice % events.length] ?? 'grow'
    apply(machine, { type: 'advanceRollout', service: desk, order, step: step - (choice % 7 === 0 ? 1 : 0), event, percent: choice * 10, reason: '' }, at)
  }
}

/** Guards against an order of commands that changes the version in force without a completed rollout, or that a snapshot loses. */
test('in any order of commands, only a completed rollout changes the version in force, steps only grow, and snapshots keep everything', () => {
  const action = fc.tuple(fc.constantFrom('start', 'advance', 'advance', 'advance', 'abort', 'announce', 'configure'), fc.nat(9)) as fc.Arbitrary<Action>
  fc.assert(fc.property(fc.array(action, { maxLength: 60 }), fc.nat(59), (actions, snapshotAt) => {
    let machine = createStateMachine(charts)
    configure(machine, ['desk'])
    actions.forEach((next, index) => {
      const inForce = getVersionInForce(machine.config, desk)
      const before = findItem(machine.config, 'rollout', desk)
      act(machine, next, startTime + index * 1000)
      const after = findItem(machine.config, 'rollout', desk)
      const nowInForce = getVersionInForce(machine.config, desk)
      if (inForce !== nowInForce && inForce !== undefined) assert.ok(after?.state === 'completed' && after.target === nowInForce)
      if (before !== undefined && after !== undefined && before.order === after.order) assert.ok(after === before || after.step > before.step)
      if (before !== undefined && isRunningRollout(before)) assert.equal(after?.order, before.order)
      if (after?.state === 'rolledBack') assert.equal(after.percent, 0)
      if (index === snapshotAt) {
        const text = serializeStateMachine(machine)
        machine = deserializeStateMachine(charts, text)
        assert.equal(serializeStateMachine(machine), text)
      }
    })
  }), { seed, numRuns: 300 })
})
