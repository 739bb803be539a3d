/** Issues permits for rate-limited teams at a control VM, which holds a fixed share of each team's limit. */
import { LynxError, getHolderVm, rankByHash } from '@lynxcourse/base'
import type { Millis, TeamName, VmId } from '@lynxcourse/base'
import type { Member } from '@lynxcourse/agreement'
import { createPermitIssuer, dropBucket, issuePermits, planRate, pruneBuckets } from '@lynxcourse/limits'
import type { PermitIssuer, RateBound, RateLimit, RatePlan } from '@lynxcourse/limits'
import { findItem } from '@lynxcourse/state'
import type { Config } from '@lynxcourse/state'
import type { ControlHost } from './hostState.js'

/** Permits of one team. */
export interface TeamGrant {
  readonly team: TeamName
  readonly granted: number
  /** Time until this VM can issue the next permit; 0 if all were granted. */
  readonly retryAfterMs: Millis
  /** Addresses of the control VMs that issue the team's permits; left out if all were granted. */
  readonly issuers?: readonly string[]
}

/** The answer to a request for permits. */
export interface PermitReply {
  /** Number of VMs that may issue permits. */
  readonly members: number
  readonly teams: readonly TeamGrant[]
}

/** How many permits of a team an entry VM asks for. */
export interface PermitRequest {
  readonly team: TeamName
  readonly wanted: number
}

/** What issuing needs of a control host. */
export interface IssuingHost {
  readonly env: { readonly vm: VmId }
  readonly machine: { readonly config: Config }
}

/** How a team's limit is divided, and what this was computed from. */
interface TeamDivision {
  readonly limit: RateLimit
  readonly bound: RateBound
  readonly vms: readonly VmId[]
  readonly plan: RatePlan
  /** The VMs that issue the team's permits. */
  readonly issuers: readonly VmId[]
}

/** The permits that a control VM issues. */
export interface ControlIssuer {
  readonly issuer: PermitIssuer
  /** The members among which limits are divided; undefined before the first look at them. */
  members: readonly Member[] | undefined
  /** Names of the VMs of these members. */
  vms: readonly VmId[]
  /** By team; computed once for each change of its limit, of the bound and of the members. */
  readonly divisions: Map<TeamName, TeamDivision>
}

/**
 * A VM that has not heard from the leader for this long issues nothing: it may have been removed as a member, and its share
 * given to another one. The leader removes a silent member later than this.
 */
const maxStateAgeMs: Millis = 5000
/** Delay before a new member issues: a member that has not heard of it yet uses a larger share for that long at most. */
const joinDelayMs: Millis = maxStateAgeMs
/** Retry time for a team that this VM does not know: about the time in which a change reaches all VMs. */
const unknownTeamRetryMs: Millis = 500

export function createControlIssuer (now: Millis): ControlIssuer {
  return { issuer: createPermitIssuer(now), members: undefined, vms: [], divisions: new Map() }
}

/** Follows the members of the cluster. Called after each progress of the log. */
export function refreshMembers (control: ControlIssuer, { replica, env }: ControlHost, now: Millis): void {
  if (replica === undefined || replica.members === control.members) return
  const isFirstLook = control.members === undefined
  const wasMember = control.vms.includes(env.vm)
  control.members = replica.members
  const vms = [...new Set(replica.members.map(({ id }) => getHolderVm(id)))].sort()
  if (vms.join() === control.vms.join()) return
  control.vms = vms
  control.issuer.since = wasMember || isFirstLook ? Math.max(control.issuer.since, now) : now + joinDelayMs
}

/**
 * Issues permits.
 *
 * @param stateAgeMs time since this VM's state was last known to be the current one
 * @throws LynxError `notLeader` if this VM may not issue permits now; another one may
 */
export function issueTeamPermits (control: ControlIssuer, host: IssuingHost, bound: RateBound, requests: readonly PermitRequest[], stateAgeMs: Millis, now: Millis): PermitReply {
  if (stateAgeMs > maxStateAgeMs || !control.vms.includes(host.env.vm)) throw new LynxError('notLeader', 'this VM issues no permits now', { step: 'take permits' })
  return { members: control.vms.length, teams: requests.map(request => issueForTeam(control, host, bound, request, now)) }
}

function issueForTeam (control: ControlIssuer, { env, machine }: IssuingHost, bound: RateBound, { team, wanted }: PermitRequest, now: Millis): TeamGrant {
  const { issuer, vms } = control
  const limit = findItem(machine.config, 'team', team)?.team
  // This VM does not know the team yet, or not any more.
  if (limit === undefined) return { team, granted: 0, retryAfterMs: unknownTeamRetryMs, issuers: vms }
  // The limit was lifted after the entry VM asked.
  if (limit.ratePerSecond === 0) return { team, granted: wanted, retryAfterMs: 0 }
  const { plan, issuers } = getDivision(control, team, limit, bound)
  if (issuers.includes(env.vm)) {
    const grant = issuePermits(issuer, team, plan, wanted, now)
    return grant.granted === wanted ? { team, ...grant } : { team, ...grant, issuers }
  }
  dropBucket(issuer, team)
  return { team, granted: 0, retryAfterMs: 0, issuers }
}

function getDivision ({ divisions, vms }: ControlIssuer, team: TeamName, limit: RateLimit, bound: RateBound): TeamDivision {
  const known = divisions.get(team)
  if (known?.limit === limit && known.bound === bound && known.vms === vms) return known
  const plan = planRate(limit, bound, vms.length)
  const issuers = plan.issuers >= vms.length ? vms : rankByHash(team, vms).slice(0, plan.issuers)
  const created = { limit, bound, vms, plan, issuers }
  divisions.set(team, created)
  return created
}

/** Forgets the buckets of teams that were removed. */
export function pruneTeamBuckets ({ issuer, divisions }: ControlIssuer, { machine }: IssuingHost, now: Millis): void {
  const isKnown = (team: TeamName): boolean => findItem(machine.config, 'team', team)?.team !== undefined
  pruneBuckets(issuer, isKnown, now)
  for (const team of divisions.keys()) if (!isKnown(team)) divisions.delete(team)
}
