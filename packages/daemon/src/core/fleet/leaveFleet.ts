/** Stops a VM of a fleet in order. */
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { createStopSchedule, getEarliestArrival } from '@lynxcourse/placement'
import { getCurrentTime } from '../../utils/clock.js'
import { closeAllGracefully } from '../../utils/gracefulServer.js'
import { log } from '../../utils/logging.js'
import { recordIteration } from '../../utils/loopMonitor.js'
import { resignLeadership } from '../control/leaving.js'
import { deliverLastAnswers, drainCallers } from '../gateway/callerDrain.js'
import { reportIncomplete } from '../gateway/stopReport.js'
import { endWatches } from './fleetControl.js'
import type { FleetControl } from './fleetControl.js'
import type { FleetDaemon } from './fleetDaemon.js'
import type { FleetNode } from './fleetNode.js'
import { publishPresence } from './stateWatch.js'

/** Longest and shortest time that the servers for other VMs and for metrics may take to close. */
const maxInternalCloseMs: Millis = 500
const minInternalCloseMs: Millis = 100

/**
 * Logs a signal to stop. A second interrupt ends the process at once, so that the answers that it leaves incomplete are logged too.
 *
 * @param firstAt when the first signal arrived; undefined if this is the first
 */
export function reportSignal ({ node, gateway }: FleetDaemon, signal: string, firstAt: Millis | undefined, now: Millis): void {
  log(node.logs, 'daemon', firstAt === undefined ? 'info' : 'warn', 'Signal received.', { signal, afterMs: firstAt === undefined ? undefined : Math.round(now - firstAt), open: gateway?.open ?? 0 })
  if (firstAt !== undefined && gateway !== undefined) reportIncomplete(gateway, firstAt, now)
}

/**
 * Stops the VM gracefully: lookups stop returning its address, requests in flight are completed, another VM leads, and calls of other
 * VMs in progress are answered.
 *
 * @param closeInterfaces closes the interfaces of the control role that are not part of the daemon
 */
export async function leaveFleet (daemon: FleetDaemon, closeInterfaces: () => Promise<void> = async () => undefined): Promise<void> {
  const { node, control, gateway, stateWatch, callerServer, internalServers } = daemon
  const stop = createStopSchedule(getSignalTime(node), getCurrentTime(), node.cfg.times.stopMs)
  node.isLeaving = true
  log(node.logs, 'daemon', 'info', 'Leaving.', { open: gateway?.open ?? 0 })
  const steps: Array<Promise<void>> = []
  if (gateway !== undefined && stateWatch !== undefined && callerServer !== undefined) {
    steps.push(publishPresence(stateWatch), drainCallers(gateway, callerServer, stop))
  }
  if (control !== undefined) steps.push(leaveControl(control, closeInterfaces))
  for (const step of await Promise.allSettled(steps)) {
    if (step.status === 'rejected') log(node.logs, 'daemon', 'error', 'A step of the stop failed.', { error: getErrorMessage(step.reason) })
  }
  if (control !== undefined) endWatches(control)
  const leftMs = stop.deliversUntil - getCurrentTime()
  const unanswered = await closeAllGracefully(internalServers, Math.max(minInternalCloseMs, Math.min(maxInternalCloseMs, leftMs)))
  if (gateway !== undefined) await deliverLastAnswers(gateway, getCurrentTime() + minInternalCloseMs)
  log(node.logs, 'daemon', 'info', 'Left.', { open: gateway?.open ?? 0, unanswered, afterMs: Math.round(getCurrentTime() - stop.startedAt) })
}

/** Returns the earliest time at which the signal to stop can have arrived: a VM without processor time reads it late. */
function getSignalTime ({ loop }: FleetNode): Millis {
  recordIteration(loop)
  return getEarliestArrival(loop.iterations, false, getCurrentTime())
}

/** Completes the calls of operators and servers while this VM can still commit their changes, then lets another VM lead. */
async function leaveControl ({ host }: FleetControl, closeInterfaces: () => Promise<void>): Promise<void> {
  await closeInterfaces()
  await resignLeadership(host)
}
