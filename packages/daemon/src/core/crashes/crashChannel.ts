/** The calls by which an entry VM tells the control VMs about requests that end servers. */
import type { Millis, RequestFingerprint } from '@lynxcourse/base'
import type { TrialAnswer } from '@lynxcourse/placement'
import type { ServerEnd } from '@lynxcourse/state'

/** What a VM observed since its last report. */
export interface CrashReport {
  readonly ends: readonly ServerEnd[]
  readonly answered: readonly RequestFingerprint[]
}

/** Reaches the control VMs; how depends on the kind of system. */
export abstract class CrashChannel {
  /** Timeout of one call to a control VM. */
  abstract readonly timeoutMs: Millis

  /** @throws LynxError if no control VM has accepted the report by the deadline */
  abstract report (report: CrashReport, deadline: Millis): Promise<void>

  /**
   * Asks the leader whether this VM may send a restricted request as a trial.
   *
   * @param forMs longest time that the trial may take
   * @throws LynxError if there is no answer by the deadline
   */
  abstract claimTrial (request: RequestFingerprint, forMs: Millis, deadline: Millis): Promise<TrialAnswer>

  /**
   * Tells the leader that no server got the request of a trial.
   *
   * @throws LynxError if no control VM has accepted it by the deadline
   */
  abstract cancelTrial (request: RequestFingerprint, deadline: Millis): Promise<void>
}
