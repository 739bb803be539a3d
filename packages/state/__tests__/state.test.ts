import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId, loadChart, createRandom, createRequestId } from '@lynxcourse/base'
import type { ChangeId, HolderId, ResourceId } from '@lynxcourse/base'
import {
  applyEntry, claimLifetimeMs, maxClaimClockSkewMs, createConfig, createStateMachine, getDeltaSince, findItem, listItems, sumCeilings,
  profileSchema, deserializeStateMachine, applyDelta, serializeStateMachine, changeSchema, setItem
} from '@lynxcourse/state'
import type { CommandAnswer, ChangeAnswer, ClaimAnswer, Command, StateMachine, SettleAnswer } from '@lynxcourse/state'

const seed = 13
const runOptions = { seed, numRuns: 150 }
console.log(`seed ${seed}`)

const charts = { claim: loadChart('claim'), crashingRequest: loadChart('crashingRequest'), drain: loadChart('drain'), rollout: loadChart('rollout'), shift: loadChart('shift') }
const startTime = 1_800_000_000_000

interface Log { machine: StateMachine, index: number, at: number }

function createLog (): Log {
  return { machine: createStateMachine(charts), index: 0, at: startTime }
}

function apply (log: Log, command: Command): CommandAnswer {
  log.index += 1
  return applyEntry(log.machine, { index: log.index, term: 1, at: log.at, body: { type: 'command', command } })
}

function submitChange (log: Log, fields: object, changeId: string): ChangeAnswer {
  const answer = apply(log, changeSchema.parse({ changeId, operator: 'op', ...fields }))
  if (answer.type !== 'change') throw new Error('no change')
  return answer.change
}

const profile = { name: 'desk', places: ['kochi', 'chennai'], regionCaps: { kochi: 10 } }

function publishProfile (log: Log, expectedVersion: number, changeId: string, fields: object = {}): ChangeAnswer {
  return submitChange(log, { type: 'publishProfile', expectedVersion, profile: { ...profile, ...fields } }, changeId)
}

test('of two changes with equal expected versions the first wins, and the other gets the id and operator of the winner', () => {
  // Guards against an operator's change that is silently overwritten.
  const log = createLog()
  publishProfile(log, 0, 'change-00')
  assert.deepEqual(publishProfile(log, 1, 'change-aa'), { ok: true, version: 2, itemVersion: 2 })
  const rejected = publishProfile(log, 1, 'change-bb')
  assert.ok(!rejected.ok)
  assert.equal(rejected.code, 'versionConflict')
  assert.deepEqual(rejected.winner, { version: 2, changeId: 'change-aa', operator: 'op' })
})

test('a resent change gets its first answer, even after a snapshot', () => {
  // Guards against a resent change that takes effect twice or is rejected.
  const log = createLog()
  const first = publishProfile(log, 0, 'change-aa')
  publishProfile(log, 1, 'change-bb')
  assert.deepEqual(publishProfile(log, 0, 'change-aa'), first)
  log.machine = deserializeStateMachine(charts, serializeStateMachine(log.machine))
  assert.deepEqual(publishProfile(log, 0, 'change-aa'), first)
  assert.equal(findItem(log.machine.config, 'profile', 'desk')?.itemVersion, 2)
})

const holders = ['v1/a', 'v2/a', 'v3/a'].map(text => brandId<HolderId>(text))
const claimAction = fc.record({
  kind: fc.constantFrom('claim' as const, 'done' as const, 'notRun' as const, 'unknown' as const, 'wait' as const),
  id: fc.nat(3),
  holder: fc.nat(2),
  token: fc.nat(1)
})

test('an id is granted to one copy only, and never after notRun was recorded', () => {
  fc.assert(fc.property(fc.array(claimAction, { maxLength: 60 }), actions => {
    const log = createLog()
    const random = createRandom(1)
    const ids = Array.from({ length: 4 }, () => createRequestId(startTime, random))
    const granted = new Map<string, string>()
    const notRun = new Set<string>()
    for (const { kind: action, id: idIndex, holder: holderIndex, token: copy } of actions) {
      if (action === 'wait') {
        log.at += claimLifetimeMs / 4
        continue
      }
      const id = ids[idIndex] ?? brandId('')
      const holder = holders[holderIndex] ?? brandId('')
      const claimant = `${holder} ${copy}`
      if (action === 'claim') {
        const answer = (apply(log, { type: 'claim', id, holder, token: `${copy}` }) as { claim: ClaimAnswer }).claim
        if (answer.result !== 'granted') continue
        assert.equal(granted.get(id) ?? claimant, claimant)
        assert.ok(!notRun.has(id))
        granted.set(id, claimant)
      } else {
        const answer = (apply(log, { type: 'settle', id, holder, token: `${copy}`, outcome: action, answer: undefined }) as { settle: SettleAnswer }).settle
        if (action === 'notRun' && answer.accepted) {
          // A copy that does not hold the claim may report notRun only if notRun was already recorded.
          if (granted.get(id) !== undefined && granted.get(id) !== claimant) assert.ok(notRun.has(id))
          notRun.add(id)
        }
      }
      if (idIndex % 2 === 0) log.machine = deserializeStateMachine(charts, serializeStateMachine(log.machine))
    }
  }), runOptions)
})

test('ids that are too old or from the future are refused, and expired records are dropped', () => {
  // Guards against a late copy of a request that runs again.
  const log = createLog()
  const random = createRandom(2)
  const id = createRequestId(startTime, random)
  const claim = (requestId: typeof id): ClaimAnswer => (apply(log, { type: 'claim', id: requestId, holder: brandId('v1/a'), token: 't' }) as { claim: ClaimAnswer }).claim
  assert.equal(claim(id).result, 'granted')
  assert.equal(claim(createRequestId(startTime + maxClaimClockSkewMs + 1, random)).result, 'refused')
  log.at += claimLifetimeMs + 20_000
  assert.equal(claim(id).result, 'refused')
  assert.equal(log.machine.claims.records.size, 0)
})

test('deltas in any order and number never lower the version, and the copies end equal', () => {
  fc.assert(fc.property(fc.array(fc.nat(9), { minLength: 1, maxLength: 40 }), fc.array(fc.tuple(fc.nat(40), fc.nat(40)), { maxLength: 60 }), (names, deliveries) => {
    const source = createConfig()
    const states = names.map((name, place) => {
      setItem(source, place + 1, { kind: 'service', key: brandId(`s${name}`), profile: brandId(`p${place}`), origin: { changeId: brandId<ChangeId>('c'), operator: 'o', at: 0 } })
      return getDeltaSince(source, 0)
    })
    const copy = createConfig()
    for (const [to, from] of deliveries) {
      const state = states[to % states.length]
      const before = copy.version
      if (state === undefined) continue
      const sinceVersion = from % 41
      const delta = { ...state, from: sinceVersion, full: false, items: state.items.filter(item => item.version > sinceVersion) }
      applyDelta(copy, delta)
      assert.ok(copy.version >= before)
    }
    applyDelta(copy, getDeltaSince(source, copy.version))
    assert.equal(copy.version, source.version)
    const serializeSorted = (config: typeof copy): string => JSON.stringify(listItems(config, 'service').map(item => [item.key, item.profile]).sort())
    assert.equal(serializeSorted(copy), serializeSorted(source))
  }), runOptions)
})

test('no plan raises the sum of ceilings above the current cap', () => {
  const resource = brandId<ResourceId>('region:desk:kochi')
  const plan = fc.array(fc.record({ holder: fc.nat(2), amount: fc.nat(12), lapse: fc.boolean(), cap: fc.option(fc.integer({ min: 0, max: 12 })) }), { maxLength: 50 })
  fc.assert(fc.property(plan, steps => {
    const log = createLog()
    publishProfile(log, 0, 'change-00')
    submitChange(log, { type: 'pickProfile', service: 's', profile: 'desk' }, 'change-01')
    let version = 1
    let cap = 10
    for (const { holder, amount, lapse, cap: nextCap } of steps) {
      const change = { resource, holder: holders[holder] ?? brandId<HolderId>(''), amount }
      const before = sumCeilings(log.machine.allocations, resource)
      apply(log, { type: 'allocate', changes: lapse ? [] : [change], lapsed: lapse ? [change] : [] })
      const after = sumCeilings(log.machine.allocations, resource)
      assert.ok(after <= cap || after <= before, `sum of ceilings ${after}, cap ${cap}`)
      if (nextCap === null) continue
      publishProfile(log, version++, `change-cap-${version}`, { regionCaps: { kochi: nextCap } })
      cap = nextCap
    }
  }), runOptions)
})

test('drains and shifts follow their charts, and impossible changes are rejected', () => {
  const log = createLog()
  publishProfile(log, 0, 'change-00')
  submitChange(log, { type: 'pickProfile', service: 'offers', profile: 'desk' }, 'change-01')
  assert.ok(submitChange(log, { type: 'startDrain', drain: 'd', target: { kind: 'region', name: 'kochi' }, at: startTime + 5000 }, 'change-02').ok)
  apply(log, { type: 'advanceDrain', drain: brandId('d'), event: 'empty' })
  assert.equal(findItem(log.machine.config, 'drain', 'd')?.state, 'scheduled')
  apply(log, { type: 'advanceDrain', drain: brandId('d'), event: 'due' })
  assert.equal(findItem(log.machine.config, 'drain', 'd')?.state, 'draining')
  assert.ok(submitChange(log, { type: 'startShift', shift: 'm', service: 'offers', from: 'kochi', to: 'chennai', percent: 30, stepPercent: 20 }, 'change-03').ok)
  apply(log, { type: 'advanceShift', shift: brandId('m'), event: 'stepDone', fromPercent: 0, percent: 100 })
  assert.equal(findItem(log.machine.config, 'shift', 'm')?.percent, 20, 'a step moves at most stepPercent')
  apply(log, { type: 'advanceShift', shift: brandId('m'), event: 'stepDone', fromPercent: 0, percent: 20 })
  assert.equal(findItem(log.machine.config, 'shift', 'm')?.state, 'settling', 'a step planned from an earlier percentage is ignored')
  assert.ok(!submitChange(log, { type: 'steerShift', shift: 'm', event: 'resume' }, 'change-04').ok)
  assert.ok(!submitChange(log, { type: 'retireProfile', name: 'desk', expectedVersion: 1 }, 'change-05').ok, 'a profile in use can\'t be retired')
})

test('an invalid profile is rejected with the path of the field', () => {
  const findInvalidField = (fields: object): string | undefined => profileSchema.safeParse({ ...profile, ...fields }).error?.issues[0]?.path.join('.')
  assert.equal(findInvalidField({ regionCaps: { kochi: -1 } }), 'regionCaps.kochi')
  assert.equal(findInvalidField({ regionCaps: { delhi: 1 } }), 'regionCaps.delhi')
  assert.equal(findInvalidField({ linkCaps: { 'kochi>delhi': 1 } }), 'linkCaps.kochi>delhi')
  assert.equal(findInvalidField({ places: ['kochi', 'kochi'] }), 'places')
  assert.equal(findInvalidField({ deadlineMs: 9000, maxDeadlineMs: 10 }), 'deadlineMs')
  assert.equal(profileSchema.safeParse({ ...profile, color: 1 }).success, false)
})

/** Guards against one malformed command that stops every replica, again after each restart. */
test('a command that can\'t be applied fails alone, on all replicas alike', () => {
  const logs = [createLog(), createLog()]
  for (const log of logs) {
    assert.equal(apply(log, { type: 'announce' } as Command).type, 'failed')
    assert.ok(publishProfile(log, 0, 'change-aa').ok)
    assert.equal(log.machine.applied, 2)
  }
  const [first, second] = logs.map(log => serializeStateMachine(log.machine))
  assert.equal(first, second)
})
