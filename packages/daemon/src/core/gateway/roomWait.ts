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
import { concurrencyOf } from '@lynxcourse/placement'
import type { Refused } from '@lynxcourse/placement'
import type { Millis } from '@lynxcourse/base'
import { delay } from '../node/timers.js'
import type { Call } from './call.js'
import type { Gateway } from './gateway.js'

/** Pause between two looks for room, with as much again by chance; a slot of a service comes free at a VM every ten to fifty. */
const lookEveryMs: Millis = 25
/** Longest wait, in parts of the latency objective and of the time that the request has; a fifth is far from its timeout. */
const aimPart = 0.6
const timePart = 0.2

/** Until when a request may wait for room. */
export function waitEnd ({ route, deadline }: Call, now: Millis): Millis {
  return now + Math.max(route.aimMs * aimPart, (deadline - now) * timePart)
}

/** Whether a request that was refused now may wait for room, and expects to find it. */
export function mayWaitForRoom (gateway: Gateway, call: Call, refused: Refused, endsAt: Millis, now: Millis): boolean {
  if (refused.reason !== 'busy' || now >= endsAt || gateway.node.isLeaving) return false
  const { fleet } = gateway
  const { limit } = concurrencyOf(fleet, call.service)
  const meanMs = fleet.meanWork.get(call.service) ?? call.route.aimMs
  const waiting = gateway.waitingForRoom.get(call.service) ?? 0
  return waiting * meanMs < limit * (endsAt - now)
}

/** Waits until it is time to look for room again. */
export async function waitForRoom (gateway: Gateway, call: Call): Promise<void> {
  const { waitingForRoom } = gateway
  waitingForRoom.set(call.service, (waitingForRoom.get(call.service) ?? 0) + 1)
  await delay(lookEveryMs * (1 + gateway.node.random()))
  waitingForRoom.set(call.service, (waitingForRoom.get(call.service) ?? 1) - 1)
}
