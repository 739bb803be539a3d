/** Limits the message rate of each peer by a token bucket per peer. */
import type { Millis } from '@lynxcourse/base'

interface Bucket {
  tokens: number
  at: Millis
}

export interface RateLimit {
  readonly perSecond: number
  buckets: Map<string, Bucket>
}

/** Limit on the stored buckets. The oldest bucket is removed first, which at worst gives its peer a full bucket again. */
const maxBuckets = 10_000

/** Capacity of a bucket, as the number of seconds in which it fills up. */
const burstSeconds = 2

export function createRateLimit (perSecond: number): RateLimit {
  return { perSecond, buckets: new Map() }
}

/** Takes a token for one message. Returns false if the peer has exceeded its rate. */
export function takeToken (limit: RateLimit, peer: string, now: Millis): boolean {
  const capacity = limit.perSecond * burstSeconds
  const bucket = limit.buckets.get(peer) ?? { tokens: capacity, at: now }
  bucket.tokens = Math.min(capacity, bucket.tokens + Math.max(0, now - bucket.at) / 1000 * limit.perSecond)
  bucket.at = now
  if (!limit.buckets.has(peer)) addBucket(limit, peer, bucket)
  if (bucket.tokens < 1) return false
  bucket.tokens -= 1
  return true
}

function addBucket (limit: RateLimit, peer: string, bucket: Bucket): void {
  const [oldest] = limit.buckets.keys()
  if (limit.buckets.size >= maxBuckets && oldest !== undefined) limit.buckets.delete(oldest)
  limit.buckets.set(peer, bucket)
}
