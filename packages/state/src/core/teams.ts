/** Teams of callers and their secret keys. */
import { createHash } from 'node:crypto'
import { brandId } from '@lynxcourse/base'
import type { KeyDigest } from '@lynxcourse/base'
import type { ConfigDelta, VersionedItem } from '../types/items.js'
import type { Team } from '../types/routes.js'

/** Longest key, in characters. */
export const maxKeyLength = 512
/** Maximum number of keys of one team. */
export const maxTeamKeys = 1000
/** Maximum number of teams. */
export const maxTeams = 20_000

/** Printable ASCII without spaces, since a key is a part of a header. */
const keyPattern = /^[\x21-\x7e]+$/

/** Printable ASCII, with spaces only between other characters. */
const namePattern = /^[\x21-\x7e]+( +[\x21-\x7e]+)*$/

/** Returns the digest by which a key is stored at entry VMs and compared. */
export function computeKeyDigest (key: string): KeyDigest {
  return brandId<KeyDigest>(createHash('sha256').update(key).digest('base64url'))
}

/** Returns a description of the first invalid team, without any key; undefined if all teams are valid. */
export function findTeamProblem (teams: readonly Team[]): string | undefined {
  if (teams.length > maxTeams) return `teams: more than ${maxTeams}`
  const names = new Set<string>()
  const owners = new Map<string, string>()
  for (const team of teams) {
    const { name } = team
    if (names.has(name)) return `team '${name}': name is used by another team`
    names.add(name)
    const problem = findNameProblem(name) ?? findLimitProblem(team) ?? findKeyProblem(team)
    if (problem !== undefined) return `team '${name}': ${problem}`
    for (const key of team.keys) {
      const owner = owners.get(key) ?? name
      if (owner !== name) return `team '${name}': shares a key with team '${owner}'`
      owners.set(key, name)
    }
  }
  return undefined
}

function findNameProblem (name: string): string | undefined {
  return namePattern.test(name) ? undefined : 'name must be printable ASCII, since servers get it in a header'
}

function findLimitProblem ({ ratePerSecond, burst }: Team): string | undefined {
  if (!(ratePerSecond >= 0)) return 'rate must not be negative'
  return burst >= 0 ? undefined : 'burst must not be negative'
}

function findKeyProblem ({ keys }: Team): string | undefined {
  if (keys.length > maxTeamKeys) return `has more than ${maxTeamKeys} keys`
  const index = keys.findIndex(key => key.length > maxKeyLength || !keyPattern.test(key))
  return index < 0 ? undefined : `key ${index + 1} must be 1 to ${maxKeyLength} printable ASCII characters without spaces`
}

/** Returns a delta without the teams' keys; their digests remain. */
export function hideKeys (delta: ConfigDelta): ConfigDelta {
  if (!delta.items.some(({ item }) => item.kind === 'team')) return delta
  return { ...delta, items: delta.items.map(hideItemKeys) }
}

function hideItemKeys (entry: VersionedItem): VersionedItem {
  const { item } = entry
  if (item.kind !== 'team' || item.team === undefined) return entry
  return { ...entry, item: { ...item, team: { ...item.team, keys: [] } } }
}
