/** Calls from an entry VM to whichever control VM answers. */
import { LynxError, isLynxError } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { getCurrentTime } from '../../utils/clock.js'
import { callPeer } from '../rpc/rpcClient.js'
import { isRetryableElsewhere } from './fleetControl.js'
import { rankControls } from './fleetNode.js'
import type { FleetNode } from './fleetNode.js'

/** Maximum number of control VMs that one call tries. */
const maxTriedControls = 3

/**
 * Calls a method at control VMs, nearest first, until one of them can answer.
 *
 * @param deadline time by which the answer is needed
 * @throws LynxError of the last control VM tried, or `notLeader` if none is known
 */
export async function callAnyControl<Result> (node: FleetNode, method: string, params: object, deadline: Millis): Promise<Result> {
  let lastError: unknown = new LynxError('notLeader', 'no control VM is known', { step: method })
  for (const address of rankControls(node, () => true).slice(0, maxTriedControls)) {
    const timeoutMs = Math.min(node.cfg.times.rpcTimeoutMs, deadline - getCurrentTime())
    if (timeoutMs <= 0) break
    try {
      return await callPeer<Result>(node.client, address, method, params, timeoutMs)
    } catch (err) {
      if (!isLynxError(err) || !isRetryableElsewhere(err)) throw err
      lastError = err
    }
  }
  throw lastError
}
