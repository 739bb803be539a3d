/**
 * Adapts the number of requests of a service that one VM keeps in flight to the latency of the answers.
 *
 * When capacity falls (a failure domain is lost, or servers turn cold), several VMs keep sending by load reports that
 * are some hundred milliseconds old. Queues at the servers grow until every answer is late, and stay long after the
 * capacity is back. The symptom is answers that take several times the expected time. Each VM therefore lowers its own
 * limit while answers are slow, and raises it again step by step. Requests above the limit are rejected at once, the
 * least urgent first.
 */
import type { Millis } from '@lynxcourse/base'

/** The concurrency limit of one service at one VM. */
export interface ConcurrencyLimit {
  limit: number
  underWay: number
  /** Smoothed ratio of observed to expected time. */
  meanSlowdown: number
  decreasedAt: Millis
}

/**
 * A mean slowdown above this indicates queues at the servers. Single slow answers occur by chance: lowering the limit
 * at each of them rejected three times as many requests and served fewer in time.
 */
const queueingSlowdown = 2.2
const maxNormalSlowdown = 1.6
const slowdownSmoothing = 0.05
const maxSlowdown = 6
/**
 * Factor by which the limit falls, at most once per minimum interval: a change of the limit takes about that long to
 * show in the answers.
 */
const decreaseFactor = 0.9
const minDecreaseIntervalMs = 300
/**
 * Bounds of the limit, as multiples of the VM's share of all slots. With a lower bound below the share, slots were idle
 * while requests were rejected: a fifth of the servers' capacity was unused while their objects were cold.
 */
const minLimitPerShare = 1.2
const maxLimitPerShare = 4
/** Initial limit, as a multiple of the share: all VMs may start together, with all requests that arrived meanwhile. */
const initialLimitPerShare = 1.3
/**
 * Fraction of the limit that each rank may use. The reserve for more urgent ranks is small, since each answer frees a
 * slot.
 */
const rankFractions = [1, 0.92, 0.84]

/** Factor on that fraction for requests that are late in any case: slots are left to requests that can be in time. */
const lateFraction = 0.75

export function createConcurrencyLimit (share: number): ConcurrencyLimit {
  return { limit: Math.max(1, share * initialLimitPerShare), underWay: 0, meanSlowdown: 1, decreasedAt: -Infinity }
}

/** Returns whether answers take about the expected time, so that a slow answer indicates a problem of its own server. */
export function hasNormalLatency (concurrency: ConcurrencyLimit): boolean {
  return concurrency.meanSlowdown < maxNormalSlowdown
}

/** Returns whether a request of a rank may be sent now. `isLate` says that it misses its latency objective in any case. */
export function mayAdmit (concurrency: ConcurrencyLimit, rank: number, isLate: boolean): boolean {
  const fraction = (rankFractions[Math.min(rank, rankFractions.length - 1)] ?? 1) * (isLate ? lateFraction : 1)
  return concurrency.underWay < Math.max(1, concurrency.limit * fraction)
}

/**
 * Updates the limit after one answer.
 *
 * @param slowdown ratio of observed to expected time; Infinity if there was no answer in time
 * @param share this VM's share of the slots that are open now
 */
export function adaptConcurrencyLimit (concurrency: ConcurrencyLimit, slowdown: number, share: number, now: Millis): void {
  const minLimit = Math.max(1, share * minLimitPerShare)
  concurrency.meanSlowdown += (Math.min(slowdown, maxSlowdown) - concurrency.meanSlowdown) * slowdownSmoothing
  if (concurrency.meanSlowdown > queueingSlowdown) {
    if (now - concurrency.decreasedAt < minDecreaseIntervalMs) return
    concurrency.decreasedAt = now
    concurrency.limit = Math.max(minLimit, concurrency.limit * decreaseFactor)
    return
  }
  // An unused limit gives no evidence that the servers could handle more.
  const isUsed = concurrency.underWay * 2 >= concurrency.limit
  if (isUsed && concurrency.meanSlowdown < maxNormalSlowdown) concurrency.limit = Math.min(share * maxLimitPerShare, concurrency.limit + 1 / concurrency.limit)
  concurrency.limit = Math.max(minLimit, concurrency.limit)
}
