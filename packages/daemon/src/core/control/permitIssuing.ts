/** Issues permits for rate-limited teams at a control VM, which holds a fixed share of each team's limit. */
import { LynxError, getHolderVm, rankByHash } from '@lynxcourse/base'
import type { Millis, TeamName, VmId } from '@lynxcourse/base'
import type { Member } from '@lynxcourse/agreement'
import { createPermitIssuer, dropBucket, issuePermits, planBuckets, pruneBuckets } from '@lynxcourse/limits'
import type { PermitIssuer, RateBound } from '@lynxcourse/limits'
import { findItem } from '@lynxcourse/state'
import type { ControlHost } from './hostState.js'

/** Permits for one team, and where to ask for more. */
export interface PermitReply {
  readonly granted: number
  /** Time until this VM can issue the next permit; 0 if all were granted. */
  readonly retryAfterMs: Millis
  /** Addresses of the control VMs that issue the team's permits. */
  readonly issuers: readonly string[]
}

/** The permits that a control VM issues. */
export interface PermitOffice {
  readonly issuer: PermitIssuer
  /** The members among which limits are divided; undefined before the first look at them. */
  members: readonly Member[] | undefined
  /** Names of the VMs of these members. */
  vms: readonly VmId[]
}

/**
 * A VM that has not heard from the leader for this long issues nothing: it may have been removed as a member, and its share
 * given to another one. The leader removes a silent member later than this.
 */
const maxStateAgeMs: Millis = 5000
/** Delay before a new member issues: a member that has not heard of it yet uses a larger share for that long at most. */
const joinDelayMs: Millis = maxStateAgeMs

export function createPermitOffice (now: Millis): PermitOffice {
  return { issuer: createPermitIssuer(now), members: undefined, vms: [] }
}

/** Follows the members of the cluster. Called after each progress of the log. */
export function refreshMembers (office: PermitOffice, { replica, env }: ControlHost, now: Millis): void {
  if (replica === undefined || replica.members === office.members) return
  const isFirstLook = office.members === undefined
  const wasMember = office.vms.includes(env.vm)
  office.members = replica.members
  const vms = [...new Set(replica.members.map(({ id }) => getHolderVm(id)))].sort()
  if (vms.join() === office.vms.join()) return
  office.vms = vms
  office.issuer.since = wasMember || isFirstLook ? Math.max(office.issuer.since, now) : now + joinDelayMs
}

/**
 * Issues permits of a team.
 *
 * @param stateAgeMs time since this VM's state was last known to be the current one
 * @throws LynxError `notLeader` if this VM may not issue permits now; another one may
 */
export function issueTeamPermits (office: PermitOffice, { env, machine }: ControlHost, bound: RateBound, team: TeamName, wanted: number, stateAgeMs: Millis, now: Millis): PermitReply {
  if (stateAgeMs > maxStateAgeMs || !office.vms.includes(env.vm)) throw new LynxError('notLeader', 'this VM issues no permits now', { step: 'take permits' })
  const limit = findItem(machine.config, 'team', team)?.team
  if (limit === undefined) throw new LynxError('notFound', `no team '${team}'`, { step: 'take permits', field: 'team' })
  // A limit that was lifted after the entry VM asked.
  if (limit.ratePerSecond === 0) return { granted: wanted, retryAfterMs: 0, issuers: [env.vm] }
  const plan = planBuckets(limit, bound, office.vms.length)
  const issuers = rankByHash(team, office.vms).slice(0, plan.issuers)
  if (issuers.includes(env.vm)) return { ...issuePermits(office.issuer, team, plan, wanted, now), issuers }
  dropBucket(office.issuer, team)
  return { granted: 0, retryAfterMs: 0, issuers }
}

/** Forgets the buckets of teams that were removed. */
export function pruneTeamBuckets ({ issuer }: PermitOffice, { machine }: ControlHost, now: Millis): void {
  pruneBuckets(issuer, team => findItem(machine.config, 'team', team)?.team !== undefined, now)
}
