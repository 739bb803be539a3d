import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId, loadChart, createRandom, createRequestId } from '@lynxcourse/base'
import type { ChangeId, HolderId, ResourceId } from '@lynxcourse/base'
import {
  applyEntry, claimLifetimeMs, claimSkewMs, createConfig, createStateMachine, getDeltaSince, findItem, listItems, outstanding,
  profileSchema, deserializeStateMachine, applyDelta, serializeStateMachine, changeSchema, setItem
} from '@lynxcourse/state'
import type { CommandAnswer, ChangeAnswer, ClaimAnswer, Command, StateMachine, SettleAnswer } from '@lynxcourse/state'

const seed = 13
const run = { seed, numRuns: 150 }
console.log(`seed ${seed}`)

const charts = { claim: loadChart('claim'), drain: loadChart('drain'), shift: loadChart('shift') }
const startAt = 1_800_000_000_000

interface Log { machine: StateMachine, index: number, at: number }

function newLog (): Log {
  return { machine: createStateMachine(charts), index: 0, at: startAt }
}

function apply (log: Log, command: Command): CommandAnswer {
  log.index += 1
  return applyEntry(log.machine, { index: log.index, term: 1, at: log.at, body: { type: 'command', command } })
}

function change (log: Log, fields: object, changeId: string): ChangeAnswer {
  const answer = apply(log, changeSchema.parse({ changeId, operator: 'op', ...fields }))
  if (answer.type !== 'change') throw new Error('no change')
  return answer.change
}

const profile = { name: 'desk', places: ['kochi', 'chennai'], regionCaps: { kochi: 10 } }

function publish (log: Log, expectedVersion: number, changeId: string, fields: object = {}): ChangeAnswer {
  return change(log, { type: 'publishProfile', expectedVersion, profile: { ...profile, ...fields } }, changeId)
}

test('of two changes with equal versions one wins, and the other learns by whom', () => {
  // Guards against this failure: an operator's change vanishes.
  const log = newLog()
  publish(log, 0, 'change-00')
  assert.deepEqual(publish(log, 1, 'change-aa'), { ok: true, version: 2, itemVersion: 2 })
  const lost = publish(log, 1, 'change-bb')
  assert.ok(!lost.ok)
  assert.equal(lost.code, 'versionConflict')
  assert.deepEqual(lost.winner, { version: 2, changeId: 'change-aa', operator: 'op' })
})

test('a change sent again gets its first answer, also after a snapshot', () => {
  // Guards against this failure: a resent change takes effect twice or is refused.
  const log = newLog()
  const first = publish(log, 0, 'change-aa')
  publish(log, 1, 'change-bb')
  assert.deepEqual(publish(log, 0, 'change-aa'), first)
  log.machine = deserializeStateMachine(charts, serializeStateMachine(log.machine))
  assert.deepEqual(publish(log, 0, 'change-aa'), first)
  assert.equal(findItem(log.machine.config, 'profile', 'desk')?.itemVersion, 2)
})

const holders = ['v1/a', 'v2/a', 'v3/a'].map(text => brandId<HolderId>(text))
const claimAction = fc.record({
  what: fc.constantFrom('claim' as const, 'done' as const, 'notRun' as const, 'unknown' as const, 'wait' as const),
  id: fc.nat(3),
  holder: fc.nat(2),
  token: fc.nat(1)
})

test('an id is granted to one copy only, and never after not-run was recorded', () => {
  fc.assert(fc.property(fc.array(claimAction, { maxLength: 60 }), actions => {
    const log = newLog()
    const random = createRandom(1)
    const ids = Array.from({ length: 4 }, () => createRequestId(startAt, random))
    const granted = new Map<string, string>()
    const notRun = new Set<string>()
    for (const { what, id: pick, holder: by, token: copy } of actions) {
      if (what === 'wait') {
        log.at += claimLifetimeMs / 4
        continue
      }
      const id = ids[pick] ?? brandId('')
      const holder = holders[by] ?? brandId('')
      const who = `${holder} ${copy}`
      if (what === 'claim') {
        const answer = (apply(log, { type: 'claim', id, holder, token: `${copy}` }) as { claim: ClaimAnswer }).claim
        if (answer.result !== 'granted') continue
        assert.equal(granted.get(id) ?? who, who)
        assert.ok(!notRun.has(id))
        granted.set(id, who)
      } else {
        const answer = (apply(log, { type: 'settle', id, holder, token: `${copy}`, outcome: what, answer: undefined }) as { settle: SettleAnswer }).settle
        if (what === 'notRun' && answer.accepted) {
          // Told in another copy's name only if that copy's refusal is on record.
          if (granted.get(id) !== undefined && granted.get(id) !== who) assert.ok(notRun.has(id))
          notRun.add(id)
        }
      }
      if (pick % 2 === 0) log.machine = deserializeStateMachine(charts, serializeStateMachine(log.machine))
    }
  }), run)
})

test('ids that are too old or from the future are refused, and memory goes with them', () => {
  // Guards against this failure: a late copy runs again.
  const log = newLog()
  const random = createRandom(2)
  const id = createRequestId(startAt, random)
  const claim = (one: typeof id): ClaimAnswer => (apply(log, { type: 'claim', id: one, holder: brandId('v1/a'), token: 't' }) as { claim: ClaimAnswer }).claim
  assert.equal(claim(id).result, 'granted')
  assert.equal(claim(createRequestId(startAt + claimSkewMs + 1, random)).result, 'refused')
  log.at += claimLifetimeMs + 20_000
  assert.equal(claim(id).result, 'refused')
  assert.equal(log.machine.claims.records.size, 0)
})

test('deltas in any order and number never lower a version and end equal', () => {
  fc.assert(fc.property(fc.array(fc.nat(9), { minLength: 1, maxLength: 40 }), fc.array(fc.tuple(fc.nat(40), fc.nat(40)), { maxLength: 60 }), (names, picks) => {
    const source = createConfig()
    const states = names.map((name, place) => {
      setItem(source, place + 1, { kind: 'service', key: brandId(`s${name}`), profile: brandId(`p${place}`), origin: { changeId: brandId<ChangeId>('c'), operator: 'o', at: 0 } })
      return getDeltaSince(source, 0)
    })
    const copy = createConfig()
    for (const [to, from] of picks) {
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
    const sorted = (config: typeof copy): string => JSON.stringify(listItems(config, 'service').map(item => [item.key, item.profile]).sort())
    assert.equal(sorted(copy), sorted(source))
  }), run)
})

test('the sum of ceilings stays within the cap in force, whatever is planned', () => {
  const resource = brandId<ResourceId>('region:desk:kochi')
  const plan = fc.array(fc.record({ holder: fc.nat(2), amount: fc.nat(12), lapse: fc.boolean(), cap: fc.option(fc.integer({ min: 0, max: 12 })) }), { maxLength: 50 })
  fc.assert(fc.property(plan, steps => {
    const log = newLog()
    publish(log, 0, 'change-00')
    change(log, { type: 'pickProfile', service: 's', profile: 'desk' }, 'change-01')
    let version = 1
    let cap = 10
    for (const { holder, amount, lapse, cap: nextCap } of steps) {
      const change = { resource, holder: holders[holder] ?? brandId<HolderId>(''), amount }
      const before = outstanding(log.machine.allocations, resource)
      apply(log, { type: 'allocate', changes: lapse ? [] : [change], lapsed: lapse ? [change] : [] })
      const after = outstanding(log.machine.allocations, resource)
      assert.ok(after <= cap || after <= before, `${after} out of ${cap}`)
      if (nextCap === null) continue
      publish(log, version++, `change-cap-${version}`, { regionCaps: { kochi: nextCap } })
      cap = nextCap
    }
  }), run)
})

test('a drain and a shift move by their charts, and impossible orders are refused', () => {
  const log = newLog()
  publish(log, 0, 'change-00')
  change(log, { type: 'pickProfile', service: 'offers', profile: 'desk' }, 'change-01')
  assert.ok(change(log, { type: 'startDrain', drain: 'd', target: { kind: 'region', name: 'kochi' }, at: startAt + 5000 }, 'change-02').ok)
  apply(log, { type: 'advanceDrain', drain: brandId('d'), event: 'empty' })
  assert.equal(findItem(log.machine.config, 'drain', 'd')?.state, 'scheduled')
  apply(log, { type: 'advanceDrain', drain: brandId('d'), event: 'due' })
  assert.equal(findItem(log.machine.config, 'drain', 'd')?.state, 'draining')
  assert.ok(change(log, { type: 'startShift', shift: 'm', service: 'offers', from: 'kochi', to: 'chennai', percent: 30, stepPercent: 20 }, 'change-03').ok)
  apply(log, { type: 'advanceShift', shift: brandId('m'), event: 'stepDone', fromPercent: 0, percent: 100 })
  assert.equal(findItem(log.machine.config, 'shift', 'm')?.percent, 20, 'no step above its size')
  apply(log, { type: 'advanceShift', shift: brandId('m'), event: 'stepDone', fromPercent: 0, percent: 20 })
  assert.equal(findItem(log.machine.config, 'shift', 'm')?.state, 'settling', 'a late plan does nothing')
  assert.ok(!change(log, { type: 'steerShift', shift: 'm', event: 'resume' }, 'change-04').ok)
  assert.ok(!change(log, { type: 'retireProfile', name: 'desk', expectedVersion: 1 }, 'change-05').ok, 'picked')
})

test('a bad profile is refused with its field', () => {
  const fieldOf = (fields: object): string | undefined => profileSchema.safeParse({ ...profile, ...fields }).error?.issues[0]?.path.join('.')
  assert.equal(fieldOf({ regionCaps: { kochi: -1 } }), 'regionCaps.kochi')
  assert.equal(fieldOf({ regionCaps: { delhi: 1 } }), 'regionCaps.delhi')
  assert.equal(fieldOf({ linkCaps: { 'kochi>delhi': 1 } }), 'linkCaps.kochi>delhi')
  assert.equal(fieldOf({ places: ['kochi', 'kochi'] }), 'places')
  assert.equal(fieldOf({ deadlineMs: 9000, maxDeadlineMs: 10 }), 'deadlineMs')
  assert.equal(profileSchema.safeParse({ ...profile, color: 1 }).success, false)
})
