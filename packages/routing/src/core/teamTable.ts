/** Identifies the team of a request by its key, and applies the team's priority and regions to the request's route. */
import type { KeyDigest, TeamName } from '@lynxcourse/base'
import type { Route, Team, TeamItem } from '@lynxcourse/state'

/** The teams of a configuration. */
export interface TeamTable {
  /** Whether callers need a key of a team. */
  readonly isRequired: boolean
  readonly byDigest: ReadonlyMap<KeyDigest, Team>
  /** The teams with a rate limit. */
  readonly limited: ReadonlyMap<TeamName, Team>
  /** Routes as they apply to teams, created on first use. */
  readonly routes: WeakMap<Team, Map<Route, Route | undefined>>
}

export function buildTeamTable (items: readonly TeamItem[], isRequired: boolean): TeamTable {
  const byDigest = new Map<KeyDigest, Team>()
  const limited = new Map<TeamName, Team>()
  for (const { team, keyDigests } of items) {
    if (team === undefined) continue
    if (team.ratePerSecond > 0) limited.set(team.name, team)
    for (const digest of keyDigests) byDigest.set(digest, team)
  }
  return { isRequired, byDigest, limited, routes: new WeakMap() }
}

/** Who sent a request: `anyone` if no key was needed and none is known, `unknown` if the required key is missing or not known. */
export type CallerIdentity =
  | { readonly type: 'team', readonly team: Team, readonly digest: KeyDigest }
  | { readonly type: 'anyone' }
  | { readonly type: 'unknown' }

/**
 * Identifies the caller of a request.
 *
 * @param digest digest of the key that the caller sent; undefined if the caller sent no well-formed key
 */
export function identifyCaller ({ isRequired, byDigest }: TeamTable, route: Route, digest: KeyDigest | undefined): CallerIdentity {
  if (!isRequired) return { type: 'anyone' }
  const team = digest === undefined ? undefined : byDigest.get(digest)
  if (team !== undefined && digest !== undefined) return { type: 'team', team, digest }
  return { type: route.isPublic === true ? 'anyone' : 'unknown' }
}

/** Whether a key still belongs to the team with the given name. */
export function isKeyOfTeam ({ byDigest }: TeamTable, digest: KeyDigest, name: TeamName): boolean {
  return byDigest.get(digest)?.name === name
}

/** Whether a key belongs to any team. */
export function isKnownKey ({ byDigest }: TeamTable, digest: KeyDigest): boolean {
  return byDigest.has(digest)
}

/** Returns the route with the priority and the regions that apply to a team; undefined if no region may serve both. */
export function applyTeam ({ routes }: TeamTable, route: Route, team: Team): Route | undefined {
  const known = routes.get(team) ?? new Map<Route, Route | undefined>()
  routes.set(team, known)
  if (!known.has(route)) known.set(route, createTeamRoute(route, team))
  return known.get(route)
}

function createTeamRoute (route: Route, team: Team): Route | undefined {
  const homes = intersectHomes(route, team)
  if (homes === undefined) return undefined
  return { ...route, rank: team.rank ?? route.rank, homes }
}

/** Returns the regions that both allow, where an empty list allows all regions; undefined if there is none. */
function intersectHomes (route: Route, team: Team): Route['homes'] | undefined {
  if (route.homes.length === 0) return team.homes
  if (team.homes.length === 0) return route.homes
  const common = route.homes.filter(region => team.homes.includes(region))
  return common.length === 0 ? undefined : common
}
