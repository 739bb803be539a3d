/**
 * Holds requests that reach a VM which has just started and does not have the current state yet.
 *
 * After all VMs start at once, the state is available within half a second. A caller that is refused in that time and
 * retries finds the VM still without the state and has no retry left. The symptoms are callers that are refused twice,
 * and the largest share of lost requests in the seconds after the start. Requests that are held until the state is
 * available are served.
 */
import type { Millis } from '@lynxcourse/base'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { afterPoll } from '../../utils/pollPhase.js'
import type { Gateway } from './gateway.js'

/** A request that waits longer is refused with a retry time. */
const maxWaitMs: Millis = 1000
/** Requests that wait at once; each takes a few kilobytes. */
const maxWaitingRequests = 500

/** Returns whether this VM can route requests: it has read the current state, and the state has routes. */
export function hasRoutes (gateway: Gateway): boolean {
  return gateway.node.upToDateAt > -Infinity && gateway.routeTable.size > 0
}

/**
 * Waits until the routes are available, the caller disconnects or the maximum wait has passed. Returns at once if too
 * many requests wait already.
 */
export async function waitForRoutes (gateway: Gateway, gone: CancelSignal): Promise<void> {
  if (hasRoutes(gateway) || gateway.waitingForRoutes >= maxWaitingRequests) return
  const { onChange } = gateway.node
  gateway.waitingForRoutes += 1
  await new Promise<void>(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      gone.off('abort', finish)
      const index = onChange.indexOf(check)
      if (index >= 0) onChange.splice(index, 1)
      resolve()
    }
    // Listeners run while the state change is still being applied; the request continues after that.
    const check = (): void => queueMicrotask(() => { if (hasRoutes(gateway)) finish() })
    const timer = setTimeout(afterPoll(gateway.loop.polls, finish), maxWaitMs)
    gone.on('abort', finish)
    onChange.push(check)
  })
  gateway.waitingForRoutes -= 1
}
