/** Backend servers that restart under the same id, and announcements that don't come from the server itself. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId, loadChart } from '@lynxcourse/base'
import type { FailureDomainId, ServerId, ServiceId } from '@lynxcourse/base'
import { applyEntry, createStateMachine, findItem, acceptsAnnouncement, hasBackendChanged } from '@lynxcourse/state'
import type { BackendAnnouncement, StateMachine, RouteChangeId, RouteCommand } from '@lynxcourse/state'

const seed = 47
console.log(`seed ${seed}`)

const charts = { claim: loadChart('claim'), crashingRequest: loadChart('crashingRequest'), drain: loadChart('drain'), rollout: loadChart('rollout'), shift: loadChart('shift') }
const desk = brandId<ServiceId>('desk')
const id = brandId<ServerId>('s')
const earlierStart = 1000
const laterStart = 9000

function apply (machine: StateMachine, command: RouteCommand): void {
  applyEntry(machine, { index: machine.applied + 1, term: 1, at: 0, body: { type: 'command', command } })
}

function createFacts (parts: Partial<BackendAnnouncement> = {}): BackendAnnouncement {
  return { id, service: desk, address: '10.0.0.1:80', failureDomain: brandId<FailureDomainId>('kochi-a'), slots: 3, software: 'v1', bornAt: earlierStart, isDraining: false, seq: 1, coldMs: 0, ...parts }
}

function createMachineWithDesk (): StateMachine {
  const machine = createStateMachine(charts)
  const upstream = { name: desk, healthPath: '/health', maxConnections: 100, warmupMs: 0, warmupPerSecond: 10, annotations: {} }
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  apply(machine, { type: 'replaceRoutes', order: 'one' as RouteChangeId, baseVersion: 0, routesVersion: 1, set: { routes: [], upstreams: [upstream], limits } })
  return machine
}

const earlierCommands: RouteCommand[] = [
  { type: 'announce', facts: createFacts({ seq: 7, coldMs: 0 }) },
  { type: 'announce', facts: createFacts({ seq: 8, isDraining: true }) },
  { type: 'dismiss', ids: [id], bornAt: earlierStart }
]
const laterCommands: RouteCommand[] = [
  { type: 'announce', facts: createFacts({ bornAt: laterStart, seq: 1, coldMs: 3000 }) },
  { type: 'announce', facts: createFacts({ bornAt: laterStart, seq: 2, coldMs: 1500 }) }
]

/**
 * Guards against late commands about an earlier incarnation of a restarted server. They could drain the server, or let it get
 * as many requests as a warm one.
 */
test('the later incarnation keeps its last announced state, in whatever order commands about both incarnations arrive', () => {
  const commands = [...earlierCommands, ...laterCommands]
  fc.assert(fc.property(fc.shuffledSubarray(commands, { minLength: commands.length }), fc.array(fc.nat({ max: commands.length - 1 })), (order, repeated) => {
    const machine = createMachineWithDesk()
    apply(machine, earlierCommands[0] as RouteCommand)
    for (const command of order) apply(machine, command)
    for (const index of repeated) apply(machine, commands[index] as RouteCommand)
    const backend = findItem(machine.config, 'backend', id)
    return backend?.state === 'serving' && backend.facts.bornAt === laterStart && backend.facts.seq === 2
  }), { seed })
})

test('a dismissed incarnation stays ended, and the next incarnation under its id serves again', () => {
  const machine = createMachineWithDesk()
  apply(machine, { type: 'announce', facts: createFacts() })
  apply(machine, { type: 'dismiss', ids: [id], bornAt: earlierStart })
  assert.equal(findItem(machine.config, 'backend', id)?.state, 'gone')
  assert.equal(hasBackendChanged(machine.config, createFacts({ seq: 2 })), false)
  assert.equal(hasBackendChanged(machine.config, createFacts({ bornAt: laterStart })), true)
  apply(machine, { type: 'announce', facts: createFacts({ bornAt: laterStart }) })
  assert.equal(findItem(machine.config, 'backend', id)?.state, 'serving')
})

test('announcements without a start time are ordered by their sequence number alone', () => {
  const machine = createMachineWithDesk()
  apply(machine, { type: 'announce', facts: createFacts({ bornAt: 0, seq: 5 }) })
  assert.equal(acceptsAnnouncement(machine.config, createFacts({ bornAt: 0, seq: 4 })), false)
  assert.equal(acceptsAnnouncement(machine.config, createFacts({ bornAt: 0, seq: 6 })), true)
})

/** Guards against a server that answers but gets no requests, because an announcement with its address displaced it. */
test('neither an earlier server at an address nor a server of an unknown service displaces the current server', () => {
  const machine = createMachineWithDesk()
  apply(machine, { type: 'announce', facts: createFacts({ bornAt: laterStart }) })
  apply(machine, { type: 'announce', facts: createFacts({ id: brandId<ServerId>('earlier'), bornAt: earlierStart }) })
  apply(machine, { type: 'announce', facts: createFacts({ id: brandId<ServerId>('unknown-service'), service: brandId<ServiceId>('unknown'), bornAt: laterStart + 1 }) })
  assert.equal(findItem(machine.config, 'backend', id)?.state, 'serving')
  assert.equal(findItem(machine.config, 'backend', brandId<ServerId>('earlier')), undefined)
  assert.equal(findItem(machine.config, 'backend', brandId<ServerId>('unknown-service')), undefined)
})

test('after a server is lost, an incarnation with an earlier start time replaces it', () => {
  const machine = createMachineWithDesk()
  apply(machine, { type: 'announce', facts: createFacts({ bornAt: laterStart }) })
  apply(machine, { type: 'miss', ids: [id] })
  apply(machine, { type: 'announce', facts: createFacts({ bornAt: earlierStart, seq: 1 }) })
  assert.equal(findItem(machine.config, 'backend', id)?.state, 'serving')
})
