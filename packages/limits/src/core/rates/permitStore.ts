/** The permits that an entry VM holds for the requests of rate-limited teams, and its estimate of how many it needs. */
import type { Millis, TeamName } from '@lynxcourse/base'
import { permitTtlMs } from './ratePlan.js'

/** A permit for one request; it must not be used after it expires. */
export interface Permit { readonly expiresAt: Millis }

interface TeamPermits {
  /** Permits that don't expire, and how many of them this VM may keep. */
  reserved: number
  maxReserved: number
  /** Permits taken from the reserve that were not replaced yet. */
  usedReserve: number
  /** Permits that were issued in advance or for requests that wait, oldest first. */
  batches: Array<{ count: number, readonly expiresAt: Millis }>
  /** Smoothed number of requests per second at this VM. */
  demandPerSecond: number
  demandUpdatedAt: Millis
}

/** Permits by team. */
export type PermitStore = Map<TeamName, TeamPermits>

/** Time constant of the demand estimate. */
const demandSmoothingMs: Millis = 2000
/** Time for which permits are asked for in advance, beyond the reserve. A thin stream of requests asks for none. */
const advanceMs: Millis = 200
const maxBatch = 1000

function getTeam (store: PermitStore, team: TeamName, now: Millis): TeamPermits {
  const known = store.get(team)
  if (known !== undefined) return known
  const created = { reserved: 0, maxReserved: 0, usedReserve: 0, batches: [], demandPerSecond: 0, demandUpdatedAt: now }
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

/** Sets how many permits of a team this VM may keep in reserve; those above are dropped. */
export function setMaxReserved (store: PermitStore, team: TeamName, maxReserved: number, now: Millis): void {
  const permits = getTeam(store, team, now)
  permits.maxReserved = maxReserved
  permits.reserved = Math.min(permits.reserved, maxReserved)
  permits.usedReserve = Math.min(permits.usedReserve, maxReserved - permits.reserved)
}

/** Adds permits that an issuer granted: the reserve is filled after the requests that wait. */
export function addPermits (store: PermitStore, team: TeamName, count: number, waiting: number, askedAt: Millis): void {
  const permits = getTeam(store, team, askedAt)
  const reserved = Math.max(0, Math.min(count - waiting, permits.maxReserved - permits.reserved))
  permits.reserved += reserved
  permits.usedReserve = Math.max(0, permits.usedReserve - reserved)
  if (count > reserved) permits.batches.push({ count: count - reserved, expiresAt: askedAt + permitTtlMs })
}

/** Takes a permit; undefined if none is left. */
export function takePermit (store: PermitStore, team: TeamName, now: Millis): Permit | undefined {
  const permits = getTeam(store, team, now)
  permits.batches = permits.batches.filter(batch => now < batch.expiresAt)
  const [batch] = permits.batches
  if (batch !== undefined) {
    batch.count -= 1
    if (batch.count === 0) permits.batches.shift()
    return { expiresAt: batch.expiresAt }
  }
  if (permits.reserved === 0) return undefined
  permits.reserved -= 1
  permits.usedReserve += 1
  return { expiresAt: now + permitTtlMs }
}

/** Whether a permit is left. */
export function hasPermit (store: PermitStore, team: TeamName, now: Millis): boolean {
  return countLeft(getTeam(store, team, now), now) > 0
}

/** Returns the permit of a request that was not sent, or that its server did not run. */
export function returnPermit (store: PermitStore, team: TeamName, { expiresAt }: Permit, now: Millis): void {
  if (now < expiresAt) getTeam(store, team, now).batches.unshift({ count: 1, expiresAt })
}

/** Returns how many permits to ask for, besides those that requests wait for: the missing reserve and an advance. */
export function computeMissingPermits (store: PermitStore, team: TeamName, now: Millis): number {
  const permits = getTeam(store, team, now)
  decayDemand(permits, now)
  const missingAdvance = Math.max(0, computeAdvance(permits) - countLeft(permits, now))
  return Math.min(maxBatch, permits.maxReserved - permits.reserved + missingAdvance)
}

/** Returns how many permits were taken from the reserve and not replaced yet. */
export function countUsedReserve (store: PermitStore, team: TeamName): number {
  return store.get(team)?.usedReserve ?? 0
}

/** Whether requests come so often that more permits should be asked for before requests have to wait. */
export function isRunningLow (store: PermitStore, team: TeamName, now: Millis): boolean {
  const permits = getTeam(store, team, now)
  return countLeft(permits, now) < computeAdvance(permits)
}

/** Returns how many permits the present demand uses up in the time of an advance. */
function computeAdvance ({ demandPerSecond }: TeamPermits): number {
  return Math.floor(demandPerSecond * advanceMs / 1000)
}

function countLeft ({ reserved, batches }: TeamPermits, now: Millis): number {
  return batches.reduce((sum, batch) => sum + (now < batch.expiresAt ? batch.count : 0), reserved)
}

/** Forgets teams that are no longer limited. */
export function prunePermits (store: PermitStore, isLimited: (team: TeamName) => boolean): void {
  for (const team of store.keys()) if (!isLimited(team)) store.delete(team)
}
