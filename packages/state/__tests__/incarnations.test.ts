/** Servers that start again under their id, and announcements that others than servers wrote. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId, loadChart } from '@lynxcourse/base'
import type { FailureDomainId, ServerId, ServiceId } from '@lynxcourse/base'
import { applyEntry, createStateMachine, findItem, acceptsAnnouncement, hasBackendChanged } from '@lynxcourse/state'
import type { BackendAnnouncement, StateMachine, RouteChangeId, RouteCommand } from '@lynxcourse/state'

const seed = 47
console.log(`seed ${seed}`)

const charts = { claim: loadChart('claim'), drain: loadChart('drain'), shift: loadChart('shift') }
const desk = brandId<ServiceId>('desk')
const id = brandId<ServerId>('s')
const firstBorn = 1000
const nextBorn = 9000

function apply (machine: StateMachine, command: RouteCommand): void {
  applyEntry(machine, { index: machine.applied + 1, term: 1, at: 0, body: { type: 'command', command } })
}

function facts (parts: Partial<BackendAnnouncement> = {}): BackendAnnouncement {
  return { id, service: desk, address: '10.0.0.1:80', failureDomain: brandId<FailureDomainId>('kochi-a'), slots: 3, software: 'v1', bornAt: firstBorn, isDraining: false, seq: 1, coldMs: 0, ...parts }
}

function withDesk (): StateMachine {
  const machine = createStateMachine(charts)
  const upstream = { name: desk, healthPath: '/health', maxConnections: 100, warmupMs: 0, warmupPerSecond: 10, annotations: {} }
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  apply(machine, { type: 'replaceRoutes', order: 'one' as RouteChangeId, baseVersion: 0, routesVersion: 1, set: { routes: [], upstreams: [upstream], limits } })
  return machine
}

const formerWords: RouteCommand[] = [
  { type: 'announce', facts: facts({ seq: 7, coldMs: 0 }) },
  { type: 'announce', facts: facts({ seq: 8, isDraining: true }) },
  { type: 'dismiss', ids: [id], bornAt: firstBorn }
]
const presentWords: RouteCommand[] = [
  { type: 'announce', facts: facts({ bornAt: nextBorn, seq: 1, coldMs: 3000 }) },
  { type: 'announce', facts: facts({ bornAt: nextBorn, seq: 2, coldMs: 1500 }) }
]

/** Guards against this failure: a server that started again gets no work, or gets it as if it were warm; or its former start's drain takes it out. */
test('in whatever order the words of two starts arrive, the later start stands as it said last', () => {
  const words = [...formerWords, ...presentWords]
  fc.assert(fc.property(fc.shuffledSubarray(words, { minLength: words.length }), fc.array(fc.nat({ max: words.length - 1 })), (order, again) => {
    const machine = withDesk()
    apply(machine, formerWords[0] as RouteCommand)
    for (const word of order) apply(machine, word)
    for (const place of again) apply(machine, words[place] as RouteCommand)
    const held = findItem(machine.config, 'backend', id)
    return held?.state === 'serving' && held.facts.bornAt === nextBorn && held.facts.seq === 2
  }), { seed })
})

test('the end of a present start ends it, and a next start after it serves again', () => {
  const machine = withDesk()
  apply(machine, { type: 'announce', facts: facts() })
  apply(machine, { type: 'dismiss', ids: [id], bornAt: firstBorn })
  assert.equal(findItem(machine.config, 'backend', id)?.state, 'gone')
  assert.equal(hasBackendChanged(machine.config, facts({ seq: 2 })), false)
  assert.equal(hasBackendChanged(machine.config, facts({ bornAt: nextBorn })), true)
  apply(machine, { type: 'announce', facts: facts({ bornAt: nextBorn }) })
  assert.equal(findItem(machine.config, 'backend', id)?.state, 'serving')
})

test('a server without a time of start is told by its count alone, as ever', () => {
  const machine = withDesk()
  apply(machine, { type: 'announce', facts: facts({ bornAt: 0, seq: 5 }) })
  assert.equal(acceptsAnnouncement(machine.config, facts({ bornAt: 0, seq: 4 })), false)
  assert.equal(acceptsAnnouncement(machine.config, facts({ bornAt: 0, seq: 6 })), true)
})

/** Guards against this failure: a server that answers is left out. */
test('neither a former holder of an address nor a stranger displaces the server that has it', () => {
  const machine = withDesk()
  apply(machine, { type: 'announce', facts: facts({ bornAt: nextBorn }) })
  apply(machine, { type: 'announce', facts: facts({ id: brandId<ServerId>('former'), bornAt: firstBorn }) })
  apply(machine, { type: 'announce', facts: facts({ id: brandId<ServerId>('stranger'), service: brandId<ServiceId>('unknown'), bornAt: nextBorn + 1 }) })
  assert.equal(findItem(machine.config, 'backend', id)?.state, 'serving')
  assert.equal(findItem(machine.config, 'backend', brandId<ServerId>('former')), undefined)
  assert.equal(findItem(machine.config, 'backend', brandId<ServerId>('stranger')), undefined)
})

test('once a server fell silent, one that started by an earlier clock takes its place', () => {
  const machine = withDesk()
  apply(machine, { type: 'announce', facts: facts({ bornAt: nextBorn }) })
  apply(machine, { type: 'miss', ids: [id] })
  apply(machine, { type: 'announce', facts: facts({ bornAt: firstBorn, seq: 1 }) })
  assert.equal(findItem(machine.config, 'backend', id)?.state, 'serving')
})
