/** Grants trials of restricted requests at the leader. */
import type { Millis, RequestFingerprint } from '@lynxcourse/base'
import { grantTrial } from '@lynxcourse/placement'
import type { TrialAnswer, Trials } from '@lynxcourse/placement'
import { findItem, isRestricted } from '@lynxcourse/state'
import { createNotLeaderError, isLeading } from './hostState.js'
import type { ControlHost } from './hostState.js'

/**
 * Decides whether a VM may send a restricted request as a trial.
 *
 * @param forMs longest time that the trial may take
 * @throws LynxError `notLeader` if this VM is not the leader
 */
export function grantControlTrial (host: ControlHost, trials: Trials, request: RequestFingerprint, forMs: Millis, now: Millis): TrialAnswer {
  if (!isLeading(host)) throw createNotLeaderError(host)
  const item = findItem(host.machine.config, 'crashingRequest', request)
  const blockedUntil = item === undefined || !isRestricted(item) ? undefined : item.blockedUntil
  return grantTrial(trials, request, blockedUntil, forMs, now)
}
