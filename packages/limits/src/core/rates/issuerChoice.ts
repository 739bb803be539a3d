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
const avoidFailedMs: Millis = 1000

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
export function selectIssuer ({ issuers, emptyUntil }: TeamIssuers, { failedUntil }: IssuerHealth, nearest: readonly string[], tried: ReadonlySet<string>, now: Millis): string | undefined {
  const candidates = issuers === undefined ? nearest : sortByRank(issuers, nearest)
  return candidates.find(address => !tried.has(address) && now >= (emptyUntil.get(address) ?? 0) && now >= (failedUntil.get(address) ?? 0))
}

function sortByRank (issuers: readonly string[], nearest: readonly string[]): string[] {
  return [...nearest.filter(address => issuers.includes(address)), ...issuers.filter(address => !nearest.includes(address))]
}

/** Records the issuers that an answer names, and whether the one that answered has permits left. */
export function recordIssuerAnswer (team: TeamIssuers, address: string, issuers: readonly string[], retryAfterMs: Millis, now: Millis): void {
  team.issuers = issuers
  for (const known of team.emptyUntil.keys()) if (!issuers.includes(known)) team.emptyUntil.delete(known)
  if (issuers.includes(address)) team.emptyUntil.set(address, now + retryAfterMs)
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
