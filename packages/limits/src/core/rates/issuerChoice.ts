/** Chooses which issuer an entry VM asks for a team's permits: the nearest one that may have some left. */
import type { Millis } from '@lynxcourse/base'

/** What an entry VM knows of the issuers of one team. */
export interface TeamIssuers {
  /** Addresses; undefined until an answer names them. */
  issuers: readonly string[] | undefined
  /** Time until which an issuer that answered has no permit left. */
  readonly emptyUntil: Map<string, Millis>
}

/** Time after which a failed issuer is asked again. */
const avoidFailedMs: Millis = 4000

export function createTeamIssuers (): TeamIssuers {
  return { issuers: undefined, emptyUntil: new Map() }
}

/** What all teams' requests for permits have in common. */
export interface IssuerHealth {
  /** Time until which an issuer that did not answer is not asked. */
  readonly failedUntil: Map<string, Millis>
}

/**
 * Selects the next issuer to ask.
 *
 * @param nearest addresses of the control VMs that this VM knows, nearest first
 * @returns undefined if none is left
 */
export function selectIssuer (team: TeamIssuers, { failedUntil }: IssuerHealth, nearest: readonly string[], tried: ReadonlySet<string>, now: Millis): string | undefined {
  const candidates = team.issuers === undefined ? nearest : sortByRank(team.issuers, nearest)
  return candidates.find(address => !tried.has(address) && mayIssue(team, address, now) && now >= (failedUntil.get(address) ?? 0))
}

function sortByRank (issuers: readonly string[], nearest: readonly string[]): string[] {
  return [...nearest.filter(address => issuers.includes(address)), ...issuers.filter(address => !nearest.includes(address))]
}

/**
 * Records an issuer's answer.
 *
 * @param issuers all issuers of the team, if the answer names them; one that granted all permits need not name any
 */
export function recordIssuerAnswer (team: TeamIssuers, address: string, issuers: readonly string[] | undefined, retryAfterMs: Millis, now: Millis): void {
  if (issuers !== undefined) team.issuers = issuers
  for (const known of team.emptyUntil.keys()) if (team.issuers?.includes(known) === false) team.emptyUntil.delete(known)
  if (team.issuers?.includes(address) !== false) team.emptyUntil.set(address, now + retryAfterMs)
}

/** Whether an issuer may have permits left. */
export function mayIssue ({ issuers, emptyUntil }: TeamIssuers, address: string, now: Millis): boolean {
  return issuers?.includes(address) !== false && now >= (emptyUntil.get(address) ?? 0)
}

/** Records that an issuer could not be reached, or issues no permits now. */
export function recordIssuerFailure ({ emptyUntil }: TeamIssuers, { failedUntil }: IssuerHealth, address: string, now: Millis): void {
  emptyUntil.delete(address)
  failedUntil.set(address, now + avoidFailedMs)
}

/** Returns the time until some issuer has a permit again; undefined if no issuer answered when it was last asked. */
export function estimateRefillTime ({ emptyUntil }: TeamIssuers, now: Millis): Millis | undefined {
  if (emptyUntil.size === 0) return undefined
  return Math.max(0, Math.min(...emptyUntil.values()) - now)
}
