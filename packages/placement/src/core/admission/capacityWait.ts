/**
 * Lets requests wait in a VM for free capacity at the servers.
 *
 * A burst, or the requests that queued up while VMs started, may arrive within a few hundred milliseconds and exceed
 * the free slots. A request that is rejected at once costs its caller the single retry, is late when it comes back, and
 * often meets the same burst. A request that is sent at once stands in a server's queue ahead of requests that could
 * still be in time. After a short wait here, it takes the next slot that becomes free at any server, behind requests
 * that can still be in time.
 *
 * The number of waiting requests is limited to the slots that the service is expected to free within their wait, so
 * that few wait in vain. Requests above that limit are rejected at once.
 */
import type { Millis, Random } from '@lynxcourse/base'

/**
 * Minimum time between two checks for capacity; up to the same time is added at random. At one VM, a service frees a
 * slot every 10 to 50 ms.
 */
const recheckIntervalMs: Millis = 25
/**
 * Longest wait: the larger of these fractions of the latency objective and of the time left until the deadline. A fifth
 * of the remaining time ends well before the request's timeout.
 */
const maxWaitPerObjective = 0.6
const maxWaitPerRemainingTime = 0.2

/** Returns the time until which a request may wait for capacity. */
export function computeWaitEnd (objectiveMs: Millis, deadline: Millis, now: Millis): Millis {
  return now + Math.max(objectiveMs * maxWaitPerObjective, (deadline - now) * maxWaitPerRemainingTime)
}

/** The throughput of the service that a request waits for. */
export interface ServicePace {
  /** Number of requests that this VM may have in flight. */
  readonly limit: number
  /** Mean time that a request occupies a slot. */
  readonly meanMs: Millis
  /** Number of requests that already wait at this VM. */
  readonly waiting: number
}

/** Returns whether a request that may wait until `endsAt` can expect to get a slot by then. */
export function expectsCapacity ({ limit, meanMs, waiting }: ServicePace, endsAt: Millis, now: Millis): boolean {
  return now < endsAt && waiting * meanMs < limit * (endsAt - now)
}

/** Returns the delay until the next check for capacity. */
export function computeRecheckDelay (random: Random): Millis {
  return recheckIntervalMs * (1 + random())
}
