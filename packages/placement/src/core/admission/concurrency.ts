/**
 * How many requests of a service one VM keeps under way, found from how long they take.
 *
 * What can go wrong: capacity falls (a failure domain is lost, servers turn cold) while several VMs send
 * on, each by reports that are some hundred milliseconds old; queues at the servers grow until every
 * answer is late, and stay so long after the capacity is back. It shows as answers that take several
 * times what was expected. So each VM lowers its own number while that lasts and raises it again one by
 * one; what does not fit is refused at once, the least urgent first.
 */
import type { Millis } from '@lynxcourse/base'

/** One service at one VM. */
export interface Concurrency {
  limit: number
  underWay: number
  /** Smoothed time taken to time expected. */
  meanRatio: number
  loweredAt: Millis
}

/**
 * Answers that take so many times what was expected, on average, tell of queues. Single ones tell of
 * chance: a bound that fell at each of them refused three times as many and served fewer in time.
 */
const queueRatio = 2.2
const calmRatio = 1.6
const ratioSmoothing = 0.05
const maxRatio = 6
/** Factor by which the number falls, at most once in `lowerEveryMs`: about the time in which a change shows in the answers. */
const lowerFactor = 0.9
const lowerEveryMs = 300
/**
 * Part of the VM's share of all slots below which it never falls, and above which it never grows. Below the share itself, slots
 * stood idle while requests were refused: a fifth of what the servers can do, for as long as their objects were cold.
 */
const leastPart = 1.2
const mostPart = 4
/** Where a service starts; all VMs may start together, with all that came meanwhile. */
const firstPart = 1.3
/** Parts of the number that each rank may fill; what is kept free for a more urgent rank is little, since it is refilled with each answer. */
const rankParts = [1, 0.92, 0.84]

/** Part of that for requests that can't be in time any more: what is served late takes no slot from what can be in time. */
const latePart = 0.75

export function createConcurrency (share: number): Concurrency {
  return { limit: Math.max(1, share * firstPart), underWay: 0, meanRatio: 1, loweredAt: -Infinity }
}

/** Whether answers come about when they are expected, so that one that doesn't tells of its server. */
export function isCalm (concurrency: Concurrency): boolean {
  return concurrency.meanRatio < calmRatio
}

/** Whether a request of a rank may go now; `isLate` if it misses its latency objective in any case. */
export function mayStart (concurrency: Concurrency, rank: number, isLate: boolean): boolean {
  const part = (rankParts[Math.min(rank, rankParts.length - 1)] ?? 1) * (isLate ? latePart : 1)
  return concurrency.underWay < Math.max(1, concurrency.limit * part)
}

/**
 * Learns from one answer.
 *
 * @param ratio time taken to time expected; Infinity for none in time
 * @param share this VM's share of the slots that are open now
 */
export function learnConcurrency (concurrency: Concurrency, ratio: number, share: number, now: Millis): void {
  const least = Math.max(1, share * leastPart)
  concurrency.meanRatio += (Math.min(ratio, maxRatio) - concurrency.meanRatio) * ratioSmoothing
  if (concurrency.meanRatio > queueRatio) {
    if (now - concurrency.loweredAt < lowerEveryMs) return
    concurrency.loweredAt = now
    concurrency.limit = Math.max(least, concurrency.limit * lowerFactor)
    return
  }
  // Growing while the number is not used would say nothing of what the servers bear.
  const isUsed = concurrency.underWay * 2 >= concurrency.limit
  if (isUsed && concurrency.meanRatio < calmRatio) concurrency.limit = Math.min(share * mostPart, concurrency.limit + 1 / concurrency.limit)
  concurrency.limit = Math.max(least, concurrency.limit)
}
