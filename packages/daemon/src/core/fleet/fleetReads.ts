/** Reads of a fleet's routes, teams and restricted requests, which are linearizable, and of the limits that servers name. */
import { findRouteSet, getRoutesVersion, isRestricted, listItems } from '@lynxcourse/state'
import type { Millis } from '@lynxcourse/base'
import type { CrashingRequestItem, RolloutItem, RouteSet, Team } from '@lynxcourse/state'
import type { LimitUpdate } from '@lynxcourse/placement'
import { waitUntilApplied } from '../control/progressWait.js'
import { isLeading } from '../control/hostState.js'
import { confirmRead } from '../control/proposals.js'
import { relayToLeader } from './fleetControl.js'
import type { FleetControl } from './fleetControl.js'

/** Result of a linearizable read of the routes. */
export interface RoutesReadResult {
  readonly routesVersion: number
  readonly set: RouteSet | undefined
}

/** Result of a linearizable read of the rollouts. */
export interface RolloutsReadResult {
  /** The last rollout of each service, except of services whose rollout ended long ago. */
  readonly rollouts: readonly RolloutItem[]
}

/** Result of a linearizable read of the routes and the restricted requests, with the limits of servers as the leader knows them. */
export interface FleetReadResult extends RoutesReadResult {
  readonly restricted: readonly CrashingRequestItem[]
  readonly limits: readonly LimitUpdate[]
}

/** A team without its keys. */
export interface TeamSummary extends Omit<Team, 'keys'> { readonly keyCount: number }

/** Result of a linearizable read of the routes, the restricted requests and the teams, without the teams' keys. */
export interface FleetSummary {
  readonly routesVersion: number
  readonly set: Omit<RouteSet, 'teams'> | undefined
  /** Undefined if callers need no keys. */
  readonly teams: readonly TeamSummary[] | undefined
  readonly restricted: readonly CrashingRequestItem[]
  /** Limits that servers name for the requests of all VMs together. */
  readonly limits: readonly LimitUpdate[]
}

/** Returns the result of a read without the teams' keys. */
export function summarizeTeams ({ routesVersion, set, restricted, limits }: FleetReadResult): FleetSummary {
  if (set === undefined) return { routesVersion, set, teams: undefined, restricted, limits }
  const { teams, ...others } = set
  return { routesVersion, set: others, teams: teams?.map(({ keys, ...team }) => ({ ...team, keyCount: keys.length })), restricted, limits }
}

/**
 * Reads the current routes and restricted requests; a quorum confirms that they are the latest.
 *
 * @param isRelayed whether another control VM forwarded the read; it is not forwarded again
 * @throws LynxError if no quorum confirms that they are the latest
 */
export async function readRoutes (control: FleetControl, isRelayed = false): Promise<FleetReadResult> {
  const { host, board } = control
  if (isLeading(host)) await confirmRead(host)
  else if (!await isOwnCopyLatest(control, isRelayed)) return await relayToLeader<FleetReadResult>(control, { step: 'read', method: 'fleet.relayRead', params: {}, isRelayed })
  const { config } = host.machine
  return { routesVersion: getRoutesVersion(config), set: findRouteSet(config), restricted: listItems(config, 'crashingRequest').filter(isRestricted), limits: board.news.limits ?? [] }
}

/** The version of the state that a read has to include. */
export interface ReadPosition {
  readonly version: number
}

/**
 * Returns the version of the state that includes all changes confirmed before this call.
 *
 * @throws LynxError if this VM does not lead, or if no quorum confirms that it does
 */
export async function confirmReadPosition ({ host }: FleetControl): Promise<ReadPosition> {
  await confirmRead(host)
  return { version: host.machine.config.version }
}

/** Longest time for which a read waits for this VM's copy. A copy that is behind for longer has a failed disk, or is being restored. */
const copyWaitMs: Millis = 300

/**
 * Asks the leader which version is the latest, and waits for a short time until this VM has it. A leader that returned the whole state to several
 * VMs at once would be blocked for longer than an election timeout.
 */
async function isOwnCopyLatest (control: FleetControl, isRelayed: boolean): Promise<boolean> {
  if (control.host.replica === undefined) return false
  const { version } = await relayToLeader<ReadPosition>(control, { step: 'read', method: 'fleet.confirmRead', params: {}, isRelayed })
  return await waitUntilApplied(control.host, version, copyWaitMs)
}

/**
 * Reads the rollouts; a quorum confirms that they are the latest.
 *
 * @param isRelayed whether another control VM forwarded the read; it is not forwarded again
 * @throws LynxError if no quorum confirms that they are the latest
 */
export async function readRollouts (control: FleetControl, isRelayed = false): Promise<RolloutsReadResult> {
  const { host } = control
  if (!isLeading(host)) return await relayToLeader<RolloutsReadResult>(control, { step: 'read', method: 'fleet.readRollouts', params: {}, isRelayed })
  await confirmRead(host)
  return { rollouts: listItems(host.machine.config, 'rollout') }
}
