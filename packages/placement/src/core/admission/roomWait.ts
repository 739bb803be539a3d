/**
 * Requests that wait in a VM for room at the servers.
 *
 * The load pattern: a burst, or all that was held while VMs started, comes within a few hundred milliseconds and is more than
 * the free slots. Refused at once, such a request costs its caller the one retry that it has, is late when it comes back, and
 * often meets the same burst. Sent at once, it stands in a server's queue before requests that could still be in time. A short
 * wait here lets it take the next slot that comes free anywhere, behind those that can still be in time.
 *
 * Limits: only so many wait as slots come free within their wait, by the pace of the service, so that few wait in vain; what
 * does not fit is refused at once.
 */
import type { Millis, Random } from '@lynxcourse/base'

/** Pause between two looks for room, with as much again by chance; a slot of a service comes free at a VM every ten to fifty. */
const lookEveryMs: Millis = 25
/** Longest wait, in parts of the latency objective and of the time that the request has; a fifth is far from its timeout. */
const aimPart = 0.6
const timePart = 0.2

/** Until when a request may wait for room. */
export function waitEnd (aimMs: Millis, deadline: Millis, now: Millis): Millis {
  return now + Math.max(aimMs * aimPart, (deadline - now) * timePart)
}

/** What is known of the service that a request waits for. */
export interface RoomPace {
  /** Requests that this VM may have under way. */
  readonly limit: number
  /** Mean time in a slot. */
  readonly meanMs: Millis
  /** Requests that wait here already. */
  readonly waiting: number
}

/** Whether a request that may wait until `endsAt` expects to find room by then. */
export function expectsRoom ({ limit, meanMs, waiting }: RoomPace, endsAt: Millis, now: Millis): boolean {
  return now < endsAt && waiting * meanMs < limit * (endsAt - now)
}

/** Pause until the next look for room. */
export function lookPause (random: Random): Millis {
  return lookEveryMs * (1 + random())
}
