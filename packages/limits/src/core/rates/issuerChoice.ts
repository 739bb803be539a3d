/** Chooses which issuer an entry VM asks for a team's permits: the nearest one that may have some left. */
import type { Millis } from '@lynxcourse/base'
import { getRetryTime, isHealthy, isLate } from './issuerHealth.js'
import type { IssuerHealth } from './issuerHealth.js'

/** What an entry VM knows of the issuers of one team. */
export interface TeamIssuers {
  /** Addresses; undefined until an answer names them. */
  issuers: readonly string[] | undefined
  /** Time until which an issuer that answered has no permit left. */
  readonly emptyUntil: Map<string, Millis>
}

/** Shortest time for which an issuer that had too few permits is not asked again. */
const minEmptyMs: Millis = 100

export function createTeamIssuers (): TeamIssuers {
  return { issuers: undefined, emptyUntil: new Map() }
}

/**
 * Selects the next issuer to ask: the nearest one that answers, else one that failed some time ago.
 *
 * @param nearest addresses of the control VMs that this VM knows, nearest first
 * @param empty issuers that are not asked, since they had no permit for the requests that wait
 * @returns undefined if none is left
 */
export function selectIssuer (team: TeamIssuers, health: IssuerHealth, nearest: readonly string[], empty: ReadonlySet<string>, now: Millis): string | undefined {
  const known = listIssuers(team, nearest)
  const candidates = known.filter(address => !empty.has(address) && mayIssue(team, address, now) && !isLate(health, address, now))
  const healthy = candidates.find(address => isHealthy(health, address))
  if (healthy !== undefined) return healthy
  const isAlone = known.every(address => !isHealthy(health, address))
  return candidates.find(address => now >= getRetryTime(health, address, isAlone))
}

function listIssuers ({ issuers }: TeamIssuers, nearest: readonly string[]): readonly string[] {
  if (issuers === undefined) return nearest
  return [...nearest.filter(address => issuers.includes(address)), ...issuers.filter(address => !nearest.includes(address))]
}

/**
 * Records an issuer's answer.
 *
 * @param issuers all issuers of the team, if the answer names them; one that granted all permits need not name any
 * @param retryAfterMs time until the issuer has a permit again; 0 if it granted all permits
 */
export function recordIssuerAnswer (team: TeamIssuers, address: string, issuers: readonly string[] | undefined, retryAfterMs: Millis, now: Millis): void {
  if (issuers !== undefined) team.issuers = issuers
  for (const known of team.emptyUntil.keys()) if (team.issuers?.includes(known) === false) team.emptyUntil.delete(known)
  if (team.issuers?.includes(address) !== false) team.emptyUntil.set(address, retryAfterMs === 0 ? now : now + Math.max(minEmptyMs, retryAfterMs))
}

/** Whether an issuer may have permits left. */
export function mayIssue ({ issuers, emptyUntil }: TeamIssuers, address: string, now: Millis): boolean {
  return issuers?.includes(address) !== false && now >= (emptyUntil.get(address) ?? 0)
}

/** Records that an issuer could not be reached, or issues no permits now: whether it is empty is not known. */
export function recordIssuerFailure ({ emptyUntil }: TeamIssuers, address: string): void {
  emptyUntil.delete(address)
}

/**
 * Whether all issuers of a team were asked and are empty, so that the team is over its rate.
 *
 * @param empty issuers that had no permit for the requests that wait
 */
export function isOverRate (team: TeamIssuers, empty: ReadonlySet<string>, now: Millis): boolean {
  const { issuers } = team
  return issuers !== undefined && issuers.length > 0 && issuers.every(address => empty.has(address) || !mayIssue(team, address, now))
}

/** Whether some issuer that answered for the team can be asked now, and none is known to be empty. */
export function isLikelyIssued ({ emptyUntil }: TeamIssuers, health: IssuerHealth, now: Millis): boolean {
  const known = [...emptyUntil]
  return known.every(([, until]) => now >= until) && known.some(([address]) => isHealthy(health, address) && !isLate(health, address, now))
}

/** Returns the time until some issuer may have a permit again. */
export function estimateRefillTime (team: TeamIssuers, health: IssuerHealth, nearest: readonly string[], now: Millis): Millis {
  const known = listIssuers(team, nearest)
  const isAlone = known.every(address => !isHealthy(health, address))
  const times = known.map(address => Math.max(team.emptyUntil.get(address) ?? 0, getRetryTime(health, address, isAlone)))
  return times.length === 0 ? 0 : Math.max(0, Math.min(...times) - now)
}
