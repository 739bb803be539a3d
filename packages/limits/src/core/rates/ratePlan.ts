/**
 * Divides a rate limit that holds over all VMs together among the VMs that issue permits for it.
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

/** The token bucket of each issuer. */
export interface BucketPlan {
  /** Number of issuers that share the limit. */
  readonly issuers: number
  readonly tokensPerSecond: number
  readonly capacity: number
}

/** How long a permit may be used after it was asked for. */
export const permitTtlMs: Millis = 600
/** Time that a request may take from the use of its permit to its arrival at a server. */
const deliveryMs: Millis = 250
/** Fraction of the bound that is used; the rest covers clocks that run at different speeds and issuers that join. */
const usedFraction = 0.97
/** Issuers of a small limit would each get less than one token in a long time, so only some of them get a share. */
const minTokensPerSecond = 4
/** Smallest number of issuers: some remain when a failure domain and two VMs are lost. */
const minIssuers = 4

/** Returns the most requests that a window may contain. */
export function computeWindowBound ({ ratePerSecond, burst }: RateLimit, { windowMs, overage, slack }: RateBound): number {
  return (ratePerSecond * windowMs / 1000 + burst) * (1 + overage) + slack
}

/**
 * Plans the buckets of the issuers.
 *
 * Permits that are used in a window were issued in it or within their lifetime before it. In that longer time, all issuers
 * together issue at most their rates times the time, plus their capacities.
 *
 * @param members number of VMs that may issue permits
 */
export function planBuckets (limit: RateLimit, bound: RateBound, members: number): BucketPlan {
  const available = computeWindowBound(limit, bound) * usedFraction
  const issueSeconds = (bound.windowMs + permitTtlMs + deliveryMs) / 1000
  const wantedIssuers = Math.max(minIssuers, Math.ceil(limit.ratePerSecond / minTokensPerSecond))
  // Each bucket must hold a whole token.
  const issuers = Math.max(1, Math.min(members, wantedIssuers, Math.floor(available / 2)))
  const totalPerSecond = Math.max(0, Math.min(limit.ratePerSecond, (available - issuers) / issueSeconds))
  const totalCapacity = Math.max(0, available - totalPerSecond * issueSeconds)
  return { issuers, tokensPerSecond: totalPerSecond / issuers, capacity: totalCapacity / issuers }
}
