/** Teams and their keys in the configuration. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId, loadChart } from '@lynxcourse/base'
import type { RegionId, ServiceId } from '@lynxcourse/base'
import { applyDelta, applyEntry, computeKeyDigest, createConfig, createStateMachine, deserializeStateMachine, findRouteSet, getDeltaSince, hideKeys, listItems, maxKeyLength, maxTeamKeys, serializeStateMachine } from '@lynxcourse/state'
import type { ChangeAnswer, RouteChangeId, RouteCommand, RouteSet, StateMachine, Team } from '@lynxcourse/state'
import { createRoute } from './support/route.js'
import { createTeam, createTeamsUpdate } from './support/teams.js'

const charts = { claim: loadChart('claim'), crashingRequest: loadChart('crashingRequest'), drain: loadChart('drain'), rollout: loadChart('rollout'), shift: loadChart('shift') }
const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
const upstream = { name: brandId<ServiceId>('desk'), healthPath: '/health', maxConnections: 100, warmupMs: 3000, warmupPerSecond: 10, annotations: {} }

function createSet (teams: readonly Team[] | undefined): RouteSet {
  return { routes: [createRoute('read')], upstreams: [upstream], limits, teams }
}

function apply (machine: StateMachine, command: RouteCommand): ChangeAnswer {
  const answer = applyEntry(machine, { index: machine.applied + 1, term: 1, at: 0, body: { type: 'command', command } })
  return (answer as { change: ChangeAnswer }).change
}

function replace (machine: StateMachine, baseVersion: number, routesVersion: number, set: RouteSet): ChangeAnswer {
  return apply(machine, { type: 'replaceRoutes', order: `replace ${routesVersion}` as RouteChangeId, baseVersion, routesVersion, set })
}

function update (machine: StateMachine, baseVersion: number, putTeams: readonly Team[], removeTeams: readonly string[] = []): ChangeAnswer {
  return apply(machine, createTeamsUpdate(baseVersion, putTeams, removeTeams))
}

function createMachine (teams: readonly Team[] | undefined): StateMachine {
  const machine = createStateMachine(charts)
  assert.ok(replace(machine, 0, 1, createSet(teams)).ok)
  return machine
}

function getDetail (answer: ChangeAnswer): string {
  return answer.ok ? 'accepted' : answer.detail
}

test('teams are stored as written, kept by a snapshot, and returned without loss', () => {
  const homes = [brandId<RegionId>('kochi')]
  const teams = [createTeam('a', ['k1', 'k2'], { rank: 1, ratePerSecond: 2.5, burst: 7, homes, annotations: { Colour: 'red' } }), createTeam('b', [], { rank: 0 })]
  const machine = createMachine(teams)
  assert.deepEqual(findRouteSet(machine.config)?.teams, teams)
  assert.deepEqual(findRouteSet(deserializeStateMachine(charts, serializeStateMachine(machine)).config)?.teams, teams)
})

/** Guards against a team that takes over another one's requests by naming its key. */
test('two teams must not share a key, while a team may list its own key twice', () => {
  const machine = createMachine([createTeam('a', ['k1', 'k1'])])
  assert.match(getDetail(update(machine, 1, [createTeam('b', ['k2', 'k1'])])), /^team 'b': shares a key with team 'a'$/)
  assert.match(getDetail(replace(machine, 1, 2, createSet([createTeam('a', ['k']), createTeam('b', ['k'])]))), /^team 'b': shares/)
  assert.deepEqual(findRouteSet(machine.config)?.teams?.map(team => team.name), ['a'], 'a rejected change is not in force')
})

test('an update moves a key from one team to another, and a removed team frees its keys', () => {
  const machine = createMachine([createTeam('a', ['k1', 'k2']), createTeam('b', ['k3'])])
  assert.ok(update(machine, 1, [createTeam('a', ['k1']), createTeam('b', ['k2', 'k3'])]).ok)
  assert.ok(update(machine, 2, [createTeam('b', ['k1', 'k2'])], ['a']).ok)
  assert.deepEqual(findRouteSet(machine.config)?.teams, [createTeam('b', ['k1', 'k2'])])
})

/** Guards against a configuration that lets everybody in once its last team is removed. */
test('keys stay required after the last team was removed, until a configuration without teams', () => {
  const machine = createMachine([createTeam('a', ['k1'])])
  assert.ok(update(machine, 1, [], ['a']).ok)
  assert.deepEqual(findRouteSet(machine.config)?.teams, [])
  assert.ok(replace(machine, 2, 3, createSet(undefined)).ok)
  assert.equal(findRouteSet(machine.config)?.teams, undefined)
})

test('the first team of an update makes keys required', () => {
  const machine = createMachine(undefined)
  assert.ok(update(machine, 1, []).ok)
  assert.equal(findRouteSet(machine.config)?.teams, undefined)
  assert.ok(update(machine, 2, [createTeam('a', ['k1'])]).ok)
  assert.equal(findRouteSet(machine.config)?.teams?.length, 1)
})

/** Guards against secrets in the answers to operators and in log lines. */
test('invalid teams are rejected with the field, and no key is quoted', () => {
  const long = 'x'.repeat(maxKeyLength + 1)
  const cases: Array<[readonly Team[], RegExp]> = [
    [[createTeam('a', ['secret key'])], /^team 'a': key 1 must be/],
    [[createTeam('a', ['ok', ''])], /^team 'a': key 2 must be/],
    [[createTeam('a', ['schlüssel'])], /key 1 must be/],
    [[createTeam('a', [long])], /key 1 must be/],
    [[createTeam('a', Array.from({ length: maxTeamKeys + 1 }, (_, index) => `secret${index}`))], /more than 1000 keys/],
    [[createTeam('a', ['secret']), createTeam('a', [])], /name is used/],
    [[createTeam('a', ['secret']), createTeam('b', ['secret'])], /shares a key/],
    [[createTeam('two\r\nlines', ['secret'])], /name must be/],
    [[createTeam('a', ['secret'], { ratePerSecond: -1 })], /rate must not be negative/],
    [[createTeam('a', ['secret'], { burst: -1 })], /burst must not be negative/]
  ]
  for (const [teams, expected] of cases) {
    const detail = getDetail(replace(createMachine([]), 1, 2, createSet(teams)))
    assert.match(detail, expected)
    assert.doesNotMatch(detail, /secret|schl|xxx/)
  }
})

/** Guards against keys in the memory of VMs that callers can reach. */
test('copies of entry VMs hold the digests of the keys and no key', () => {
  const machine = createMachine([createTeam('a', ['k1', 'k2'])])
  const delta = hideKeys(getDeltaSince(machine.config, 0))
  assert.doesNotMatch(JSON.stringify(delta), /k1|k2/)
  const copy = createConfig()
  applyDelta(copy, delta)
  assert.deepEqual(listItems(copy, 'team')[0]?.keyDigests, [computeKeyDigest('k1'), computeKeyDigest('k2')])
  assert.deepEqual(findRouteSet(copy)?.teams?.map(team => team.name), ['a'])
})
