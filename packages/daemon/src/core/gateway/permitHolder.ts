/** The permit of one request of a rate-limited team: held from just before a send until the request has run. */
import type { Millis, TeamName } from '@lynxcourse/base'
import { returnPermit } from '@lynxcourse/limits'
import type { Permit } from '@lynxcourse/limits'
import { hasJoined } from '@lynxcourse/placement'
import type { Call } from './call.js'
import type { Gateway } from './gateway.js'
import { mayObtainPermit, obtainPermit, refillReserves } from './teamPermits.js'
import type { PermitRefusal } from './permitState.js'

export interface PermitHolder {
  /** Undefined if the caller has no team. */
  readonly team: TeamName | undefined
  /** Deadline of the request. */
  readonly deadline: Millis
  permit: Permit | undefined
}

export function createPermitHolder ({ caller, deadline }: Call): PermitHolder {
  return { team: caller?.name, deadline, permit: undefined }
}

/** Whether the request needs a permit before it can be sent now. */
export function needsPermit ({ teams }: Gateway, { team, permit }: PermitHolder, now: Millis): boolean {
  if (team === undefined || !teams.limited.has(team)) return false
  return permit === undefined || now >= permit.expiresAt
}

/**
 * Whether a request that may have run can be sent again: a team that is not limited needs no permit, and another one needs
 * one in hand or an issuer that is likely to grant one at once. Small limits have no reserve at most VMs.
 */
export function maySendAgain ({ teams, permits }: Pick<Gateway, 'teams' | 'permits'>, { team }: Pick<PermitHolder, 'team'>, now: Millis): boolean {
  return team === undefined || !teams.limited.has(team) || mayObtainPermit(permits, team, now)
}

/** Obtains a permit; returns the refusal if there is none. */
export async function fetchPermit ({ permits }: Gateway, holder: PermitHolder, now: Millis): Promise<PermitRefusal | undefined> {
  if (holder.team === undefined) return undefined
  const result = await obtainPermit(permits, holder.team, now, holder.deadline)
  if (result.type === 'refuse') return result
  holder.permit = result.permit
  return undefined
}

/** Records that a server ran the request, or may have run it. */
export function consumePermit (holder: PermitHolder): void {
  holder.permit = undefined
}

/** Returns the permit of a request that ends without having run. */
export function releasePermit ({ permits }: Gateway, holder: PermitHolder, now: Millis): void {
  if (holder.team !== undefined && holder.permit !== undefined) returnPermit(permits.store, holder.team, holder.permit, now)
  holder.permit = undefined
}

/** Refills the VM's reserves of permits, once it knows among how many VMs they are divided. Called periodically. */
export function refillPermits ({ permits, teams, node }: Gateway, now: Millis): void {
  const { entryNames, cfg } = node
  if (!teams.isRequired || !hasJoined(node.membership, cfg.rateBound.windowMs, now)) return
  refillReserves(permits, { limits: teams.limited, bound: cfg.rateBound, index: entryNames.indexOf(cfg.name), count: entryNames.length }, now)
}
