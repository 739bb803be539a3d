/** Asks the leader whether this VM may send a restricted request as a trial. */
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import type { TrialAnswer } from '@lynxcourse/placement'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { maxTrialMs } from '../fleet/fleetMethods.js'
import { callAnyControl } from '../fleet/controlCalls.js'
import type { Call } from './call.js'
import type { Gateway } from './gateway.js'

/** Retry time for callers if no control VM answers. */
const noAnswerRetryMs: Millis = 500

/** Returns the leader's answer; without an answer there is no trial. */
export async function claimTrial ({ node }: Gateway, call: Call): Promise<TrialAnswer> {
  const request = call.getFingerprint()
  const now = getCurrentTime()
  const forMs = Math.min(maxTrialMs, Math.max(0, call.deadline - now))
  const answerDeadline = Math.min(call.deadline, now + node.cfg.times.rpcTimeoutMs)
  try {
    const answer = await callAnyControl<TrialAnswer>(node, 'fleet.claimTrial', { request, forMs, isRelayed: false }, answerDeadline)
    log(node.logs, 'route', 'info', 'Trial claimed.', { id: call.facts.id, request, granted: answer.isGranted })
    return answer
  } catch (err) {
    log(node.logs, 'route', 'warn', 'Trial could not be claimed.', { id: call.facts.id, request, error: getErrorMessage(err) })
    return { isGranted: false, retryAfterMs: noAnswerRetryMs }
  }
}
