/** Builds teams for tests, and the command that publishes them. */
import { brandId } from '@lynxcourse/base'
import type { TeamName } from '@lynxcourse/base'
import type { RouteChangeId, RouteCommand, Team } from '@lynxcourse/state'

export function createTeam (name: string, keys: readonly string[], fields: Partial<Team> = {}): Team {
  return { name: brandId<TeamName>(name), keys, rank: undefined, ratePerSecond: 0, burst: 0, homes: [], annotations: {}, ...fields }
}

/** Creates a command that adds, replaces and removes teams, as the next version after `baseVersion`. */
export function createTeamsUpdate (baseVersion: number, putTeams: readonly Team[], removeTeams: readonly string[] = []): RouteCommand {
  return {
    type: 'updateRoutes',
    order: `update ${baseVersion}` as RouteChangeId,
    baseVersion,
    routesVersion: baseVersion + 1,
    putRoutes: [],
    putUpstreams: [],
    removeRoutes: [],
    removeUpstreams: [],
    limits: undefined,
    putTeams,
    removeTeams
  }
}
