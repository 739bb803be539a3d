/** Bounds how often each peer may send, with a bucket of tokens for each. */
import type { Millis } from '@lynxcourse/base'

interface Bucket {
  tokens: number
  at: Millis
}

export interface RateLimit {
  readonly perSecond: number
  buckets: Map<string, Bucket>
}

/** Most peers remembered; the one heard first goes, which at worst gives it a full bucket again. */
const maxPeers = 10_000

/** A peer may send this many seconds' worth at once. */
const burstSeconds = 2

export function createRateLimit (perSecond: number): RateLimit {
  return { perSecond, buckets: new Map() }
}

/** Takes a token for one message; false when the peer has sent too much. */
export function takeToken (limit: RateLimit, peer: string, now: Millis): boolean {
  const most = limit.perSecond * burstSeconds
  const bucket = limit.buckets.get(peer) ?? { tokens: most, at: now }
  bucket.tokens = Math.min(most, bucket.tokens + Math.max(0, now - bucket.at) / 1000 * limit.perSecond)
  bucket.at = now
  if (!limit.buckets.has(peer)) addBucket(limit, peer, bucket)
  if (bucket.tokens < 1) return false
  bucket.tokens -= 1
  return true
}

function addBucket (limit: RateLimit, peer: string, bucket: Bucket): void {
  const [oldest] = limit.buckets.keys()
  if (limit.buckets.size >= maxPeers && oldest !== undefined) limit.buckets.delete(oldest)
  limit.buckets.set(peer, bucket)
}
