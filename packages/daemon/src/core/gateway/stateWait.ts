/**
 * Holds requests while this VM may not decide by its copy of the state: it has just started and has none, or the copy may lack a
 * change that is in force elsewhere.
 *
 * After all VMs start at once, the state is available within half a second. A caller that is refused in that time and
 * retries finds the VM still without the state and has no retry left. The symptoms are callers that are refused twice,
 * and the largest share of lost requests in the seconds after the start. Requests that are held until the state is
 * available are served.
 */
import type { Millis } from '@lynxcourse/base'
import { hasState, mayDecide } from '@lynxcourse/placement'
import type { ClockReading } from '@lynxcourse/placement'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { readClocks } from '../../utils/clock.js'
import { afterPoll } from '../../utils/pollPhase.js'
import type { Gateway } from './gateway.js'

/** A request that waits longer is refused with a retry time. */
const maxWaitMs: Millis = 1000
/** Requests that wait at once; each takes a few kilobytes. */
const maxWaitingRequests = 500

/** Returns whether this VM knows routes: it has read the state, and the state has routes. */
function hasRoutes (gateway: Gateway): boolean {
  return hasState(gateway.node.freshness) && gateway.routeTable.size > 0
}

/** Returns whether this VM may decide on requests: it knows routes, and its copy of the state is recent or the VM is cut off. */
export function mayUseState (gateway: Gateway, now: ClockReading): boolean {
  const { freshness, cfg } = gateway.node
  return hasRoutes(gateway) && mayDecide(freshness, cfg.times.maxStateAgeMs, now)
}

/**
 * Waits until this VM may use its state, the caller disconnects or the maximum wait has passed. Returns at once if too many requests
 * wait already.
 *
 * @param leftMs time that the request has left
 * @returns whether the VM may use its state
 */
export async function waitForState (gateway: Gateway, gone: CancelSignal, leftMs: Millis = maxWaitMs): Promise<boolean> {
  if (mayUseState(gateway, readClocks())) return true
  if (gateway.waitingForState >= maxWaitingRequests) return false
  if (hasRoutes(gateway)) gateway.node.confirmState()
  const { onStateUse } = gateway.node
  gateway.waitingForState += 1
  await new Promise<void>(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      gone.off('abort', finish)
      const index = onStateUse.indexOf(check)
      if (index >= 0) onStateUse.splice(index, 1)
      resolve()
    }
    const check = (): void => { if (mayUseState(gateway, readClocks())) finish() }
    const timer = setTimeout(afterPoll(gateway.loop.polls, finish).run, Math.max(0, Math.min(maxWaitMs, leftMs)))
    gone.on('abort', finish)
    onStateUse.push(check)
  })
  gateway.waitingForState -= 1
  return mayUseState(gateway, readClocks())
}
