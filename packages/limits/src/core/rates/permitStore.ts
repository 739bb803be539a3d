/** The permits that an entry VM holds for the requests of rate-limited teams, and its estimate of how many it needs. */
import type { Millis, TeamName } from '@lynxcourse/base'
import { permitTtlMs } from './ratePlan.js'

/** A permit for one request; it must not be used after it expires. */
export interface Permit { readonly expiresAt: Millis }

interface TeamPermits {
  /** Oldest first. */
  batches: Array<{ count: number, readonly expiresAt: Millis }>
  /** Smoothed number of requests per second at this VM. */
  demandPerSecond: number
  demandUpdatedAt: Millis
}

/** Permits by team. */
export type PermitStore = Map<TeamName, TeamPermits>

/** Time constant of the demand estimate. */
const demandSmoothingMs: Millis = 2000
/** Time for which permits are asked for in advance. A thin stream of requests asks for none, since most would expire. */
const advanceMs: Millis = 300
/** Fraction of an advance below which the next one is asked for. */
const refillFraction = 0.4
const maxBatch = 1000

function getTeam (store: PermitStore, team: TeamName, now: Millis): TeamPermits {
  const known = store.get(team)
  if (known !== undefined) return known
  const created = { batches: [], demandPerSecond: 0, demandUpdatedAt: now }
  store.set(team, created)
  return created
}

/** Counts a request that needs a permit. */
export function recordPermitDemand (store: PermitStore, team: TeamName, now: Millis): void {
  const permits = getTeam(store, team, now)
  decayDemand(permits, now)
  permits.demandPerSecond += 1000 / demandSmoothingMs
}

function decayDemand (permits: TeamPermits, now: Millis): void {
  permits.demandPerSecond *= Math.exp(-Math.max(0, now - permits.demandUpdatedAt) / demandSmoothingMs)
  permits.demandUpdatedAt = now
}

/** Adds permits that an issuer granted. */
export function addPermits (store: PermitStore, team: TeamName, count: number, askedAt: Millis): void {
  if (count > 0) getTeam(store, team, askedAt).batches.push({ count, expiresAt: askedAt + permitTtlMs })
}

/** Takes a permit; undefined if none is left. */
export function takePermit (store: PermitStore, team: TeamName, now: Millis): Permit | undefined {
  const permits = getTeam(store, team, now)
  dropExpired(permits, now)
  const [batch] = permits.batches
  if (batch === undefined) return undefined
  batch.count -= 1
  if (batch.count === 0) permits.batches.shift()
  return { expiresAt: batch.expiresAt }
}

/** Returns the permit of a request that was not sent, or that its server did not run. */
export function returnPermit (store: PermitStore, team: TeamName, { expiresAt }: Permit, now: Millis): void {
  if (now < expiresAt) getTeam(store, team, now).batches.unshift({ count: 1, expiresAt })
}

function dropExpired (permits: TeamPermits, now: Millis): void {
  permits.batches = permits.batches.filter(batch => now < batch.expiresAt)
}

/** Returns how many permits to ask for, besides those that requests wait for. */
export function computeAdvance (store: PermitStore, team: TeamName, now: Millis): number {
  const permits = getTeam(store, team, now)
  decayDemand(permits, now)
  return Math.min(maxBatch, Math.floor(permits.demandPerSecond * advanceMs / 1000))
}

/** Whether to ask for permits before requests have to wait for them. */
export function needsAdvance (store: PermitStore, team: TeamName, now: Millis): boolean {
  const advance = computeAdvance(store, team, now)
  const left = getTeam(store, team, now).batches.reduce((sum, batch) => sum + (now < batch.expiresAt ? batch.count : 0), 0)
  return left < advance * refillFraction
}

/** Forgets teams that are no longer limited. */
export function prunePermits (store: PermitStore, isLimited: (team: TeamName) => boolean): void {
  for (const team of store.keys()) if (!isLimited(team)) store.delete(team)
}
