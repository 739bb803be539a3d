/**
 * Requests that come to a VM which has just started and does not know the present state yet.
 *
 * What can go wrong: all VMs start at one moment, and the state is there within half a second. A caller that is refused
 * meanwhile is told to come back, finds the VM in the same state and has no retry left. It shows as callers that are refused
 * twice, and as the largest loss of the seconds after such a start. Held for that long, they are served.
 */
import type { Millis } from '@lynxcourse/base'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { afterPoll } from '../../utils/pollPhase.js'
import type { Gateway } from './gateway.js'

/** A caller that has waited longer is told to come back. */
const longestWaitMs: Millis = 1000
/** Requests held at most; a few kilobytes each. */
const mostWaiting = 500

/** Whether requests can be judged here: the present state was read, and it has routes. */
export function knowsRoutes (gateway: Gateway): boolean {
  return gateway.node.upToDateAt > -Infinity && gateway.routeTable.size > 0
}

/** Holds a request until the routes are known, its caller is gone, or the time is over. */
export async function waitForRoutes (gateway: Gateway, gone: CancelSignal): Promise<void> {
  if (knowsRoutes(gateway) || gateway.waitingForRoutes >= mostWaiting) return
  const { onChange } = gateway.node
  gateway.waitingForRoutes += 1
  await new Promise<void>(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      gone.off('abort', finish)
      const place = onChange.indexOf(check)
      if (place >= 0) onChange.splice(place, 1)
      resolve()
    }
    // The change is still being taken over when listeners hear of it, so the request goes on after it.
    const check = (): void => queueMicrotask(() => { if (knowsRoutes(gateway)) finish() })
    const timer = setTimeout(afterPoll(gateway.loop.polls, finish), longestWaitMs)
    gone.on('abort', finish)
    onChange.push(check)
  })
  gateway.waitingForRoutes -= 1
}
