/** Issues permits for the requests of teams from token buckets; one issuer's part of each team's rate limit. */
import type { Millis, TeamName } from '@lynxcourse/base'
import type { RatePlan } from './ratePlan.js'

interface Bucket {
  tokens: number
  refilledAt: Millis
}

/** The buckets of one issuer. */
export interface PermitIssuer {
  readonly buckets: Map<TeamName, Bucket>
  /**
   * Since when this VM has been an issuer beside the same members. New buckets are empty at this time: another issuer may
   * have issued their share just before.
   */
  since: Millis
}

/** The answer to a request for permits. */
export interface PermitGrant {
  readonly granted: number
  /** Time until the next permit can be issued; 0 if all were granted. */
  readonly retryAfterMs: Millis
}

/** Retry time of a limit that lets nothing through. */
const closedRetryMs: Millis = 5000
/** Time after which the bucket of a removed team is forgotten. A team that returns sooner continues with it. */
const unusedTtlMs: Millis = 60_000

export function createPermitIssuer (now: Millis): PermitIssuer {
  return { buckets: new Map(), since: now }
}

/** Issues up to `wanted` permits of a team. */
export function issuePermits (issuer: PermitIssuer, team: TeamName, plan: RatePlan, wanted: number, now: Millis): PermitGrant {
  const bucket = getBucket(issuer, team)
  refill(bucket, plan, now)
  const granted = Math.max(0, Math.min(wanted, Math.floor(bucket.tokens)))
  bucket.tokens -= granted
  return { granted, retryAfterMs: granted === wanted ? 0 : computeRetryTime(bucket, plan) }
}

/** Removes a team's bucket when this VM no longer issues for the team. */
export function dropBucket ({ buckets }: PermitIssuer, team: TeamName): void {
  buckets.delete(team)
}

function getBucket ({ buckets, since }: PermitIssuer, team: TeamName): Bucket {
  const known = buckets.get(team)
  if (known !== undefined) return known
  const created = { tokens: 0, refilledAt: since }
  buckets.set(team, created)
  return created
}

function refill (bucket: Bucket, { tokensPerSecond, capacity }: RatePlan, now: Millis): void {
  const seconds = Math.max(0, now - bucket.refilledAt) / 1000
  bucket.tokens = Math.min(capacity, bucket.tokens + seconds * tokensPerSecond)
  bucket.refilledAt = Math.max(bucket.refilledAt, now)
}

function computeRetryTime ({ tokens }: Bucket, { tokensPerSecond, capacity }: RatePlan): Millis {
  if (tokensPerSecond <= 0 || capacity < 1) return closedRetryMs
  return Math.min(closedRetryMs, Math.max(0, 1 - tokens) / tokensPerSecond * 1000)
}

/** Forgets buckets that have been unused for long enough to be full, unless their team still exists. */
export function pruneBuckets ({ buckets }: PermitIssuer, isKnown: (team: TeamName) => boolean, now: Millis): void {
  for (const [team, { refilledAt }] of buckets) if (!isKnown(team) && now - refilledAt > unusedTtlMs) buckets.delete(team)
}
