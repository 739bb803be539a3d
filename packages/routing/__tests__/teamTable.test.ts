/** Identification of callers' teams, and what a team changes about a route. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { RegionId, TeamName } from '@lynxcourse/base'
import { applyTeam, buildTeamTable, identifyCaller, isKeyOfTeam } from '@lynxcourse/routing'
import { computeKeyDigest } from '@lynxcourse/state'
import type { Team, TeamItem } from '@lynxcourse/state'
import { createRoute, createTeam } from '@lynxcourse/state/testing'

const kochi = brandId<RegionId>('kochi')
const chennai = brandId<RegionId>('chennai')
const mumbai = brandId<RegionId>('mumbai')

function createItem (name: string, keys: readonly string[], fields: Partial<Team> = {}): TeamItem {
  const team = createTeam(name, [], fields)
  return { kind: 'team', key: team.name, team, keyDigests: keys.map(computeKeyDigest) }
}

test('a caller is identified by its key; without one, only public routes are open', () => {
  const table = buildTeamTable([createItem('a', ['k1']), createItem('b', ['k2'])], true)
  const identify = (key: string | undefined, isPublic: boolean): string => {
    const identity = identifyCaller(table, createRoute('read', { isPublic }), key === undefined ? undefined : computeKeyDigest(key))
    return identity.type === 'team' ? identity.team.name : identity.type
  }
  assert.deepEqual([identify('k1', false), identify('k2', false), identify('k3', false), identify(undefined, false)], ['a', 'b', 'unknown', 'unknown'])
  assert.deepEqual([identify('k1', true), identify('k3', true), identify(undefined, true)], ['a', 'anyone', 'anyone'])
})

test('without teams in the configuration, every caller is served', () => {
  assert.equal(identifyCaller(buildTeamTable([], false), createRoute('read'), undefined).type, 'anyone')
})

test('a key that moved to another team is no key of the first one any more', () => {
  const digest = computeKeyDigest('k1')
  const before = buildTeamTable([createItem('a', ['k1'])], true)
  const after = buildTeamTable([createItem('a', []), createItem('b', ['k1'])], true)
  const name = brandId<TeamName>('a')
  assert.deepEqual([isKeyOfTeam(before, digest, name), isKeyOfTeam(after, digest, name)], [true, false])
})

test("a team's priority goes before the route's, and both lists of regions apply", () => {
  const getRoute = (routeHomes: RegionId[], teamHomes: RegionId[], rank?: number): [number, readonly RegionId[]] | undefined => {
    const item = createItem('a', [], { homes: teamHomes, rank })
    const table = buildTeamTable([item], true)
    const route = applyTeam(table, createRoute('read', { homes: routeHomes, rank: 2 }), item.team as Team)
    return route === undefined ? undefined : [route.rank, route.homes]
  }
  assert.deepEqual(getRoute([], [], 0), [0, []])
  assert.deepEqual(getRoute([kochi], []), [2, [kochi]])
  assert.deepEqual(getRoute([], [chennai]), [2, [chennai]])
  assert.deepEqual(getRoute([kochi, chennai], [mumbai, chennai], 1), [1, [chennai]])
  assert.equal(getRoute([kochi], [mumbai]), undefined, 'no region is allowed by both')
})
