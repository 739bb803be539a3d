/**
 * Divides a rate limit that holds over all VMs together among the VMs that issue permits for it and those that use them.
 *
 * Each issuer has a fixed share and needs to know nothing of the others, so the limit holds whatever messages are lost and
 * whichever VMs are cut off from each other.
 */
import type { Millis } from '@lynxcourse/base'

/** How far requests may exceed a rate limit in any window. */
export interface RateBound {
  readonly windowMs: Millis
  /** Fraction by which the requests of a window may exceed the limit. */
  readonly overage: number
  /** Number of requests of a window beyond that. */
  readonly slack: number
}

/** A rate limit over all VMs together. */
export interface RateLimit {
  readonly ratePerSecond: number
  /** Requests at once beyond the rate. */
  readonly burst: number
}

/** How a limit is divided. */
export interface RatePlan {
  /** Number of issuers that share the limit. */
  readonly issuers: number
  /** The token bucket of each issuer. */
  readonly tokensPerSecond: number
  readonly capacity: number
  /** Number of permits that all entry VMs together may keep in reserve. */
  readonly reserve: number
}

/** How long a permit may be used, unless it is kept in reserve: from when it was asked for or taken from the reserve. */
export const permitTtlMs: Millis = 400
/** Time that a request may take from the use of its permit to its arrival at a server. */
const deliveryMs: Millis = 250
/** Fraction of the bound that is used; the rest covers clocks that run at different speeds, and VMs that join. */
const usedFraction = 0.97
/** Issuers of a small limit would each get less than one token in a long time, so only some of them get a share. */
const minTokensPerSecond = 1
/** Smallest number of issuers: some remain when a failure domain and two VMs are lost. */
const minIssuers = 4
/** Fraction of what the rate leaves of the bound that the buckets of large limits may hold; entry VMs may keep the rest. */
const bucketFraction = 0.35
/**
 * Tokens that each bucket may hold at least. With two tokens, a team of 13 requests a second at 56 entry VMs found three in
 * four buckets empty, although it used 0.6 of its rate: requests come unevenly, and most of its reserves lay idle.
 */
const minCapacity = 6

/** Returns the most requests that a window may contain. */
export function computeWindowBound ({ ratePerSecond, burst }: RateLimit, { windowMs, overage, slack }: RateBound): number {
  return (ratePerSecond * windowMs / 1000 + burst) * (1 + overage) + slack
}

/**
 * Divides a limit.
 *
 * Permits that are used in a window were kept in reserve at its start, or issued in it or within their lifetime before it.
 * In that longer time, all issuers together issue at most their rates times the time, plus their capacities.
 *
 * @param members number of VMs that may issue permits
 */
export function planRate (limit: RateLimit, bound: RateBound, members: number): RatePlan {
  const available = computeWindowBound(limit, bound) * usedFraction
  const issueSeconds = (bound.windowMs + permitTtlMs + deliveryMs) / 1000
  const wantedIssuers = Math.max(minIssuers, Math.ceil(limit.ratePerSecond / minTokensPerSecond))
  // Each bucket must hold a whole token.
  const issuers = Math.max(1, Math.min(members, wantedIssuers, Math.floor(available / 2)))
  const totalPerSecond = Math.max(0, Math.min(limit.ratePerSecond, (available - issuers) / issueSeconds))
  const stored = Math.max(0, available - totalPerSecond * issueSeconds)
  const totalCapacity = Math.min(stored, Math.max(issuers * minCapacity, stored * bucketFraction))
  return { issuers, tokensPerSecond: totalPerSecond / issuers, capacity: totalCapacity / issuers, reserve: Math.floor(stored - totalCapacity) }
}

/**
 * Returns how many permits one entry VM may keep in reserve. If there are fewer than entry VMs, some of them keep one.
 *
 * @param rank position of the VM among the entry VMs in the team's order, from 0
 * @param entries number of entry VMs
 */
export function computeReserveShare ({ reserve }: RatePlan, rank: number, entries: number): number {
  const each = Math.floor(reserve / Math.max(1, entries))
  if (each > 0) return each
  return rank < reserve ? 1 : 0
}
