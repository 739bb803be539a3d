/**
 * The sequence of steps for a request that must not run twice, as a state machine without input or output: each event
 * returns the next effect. The daemon and the fault matrix run the same flow.
 *
 * A quorum grants the claim of the request id before anything is sent. After that, an attempt may be repeated, or the
 * caller may receive `not-run`, only on proof that the request did not run: no byte was sent, or the server states that
 * it did not start the request. In all other cases the id remains claimed and the caller receives `unknown`.
 */
import { nextState } from '@lynxcourse/base'
import type { Chart } from '@lynxcourse/base'

/** Outcome of a once-only request as recorded in the register of claims. */
export type OnceOutcome = 'done' | 'notRun' | 'unknown'

/** The next action that the flow requests. */
export type OnceEffect =
  /** Claim the request id for this copy of the request. */
  | { readonly type: 'claim' }
  /** Acquire a slot at a server that has not been tried. */
  | { readonly type: 'getSlot' }
  /** Send the request to the slot's server. */
  | { readonly type: 'send' }
  /** Record the request as not run, before the caller receives an answer. */
  | { readonly type: 'recordNotRun', readonly reason: string }
  /** Answer the caller, and record the outcome `record`, if any, without delaying the answer. */
  | { readonly type: 'answer', readonly callerOutcome: CallerOutcome, readonly reason: string, readonly record: OnceOutcome | undefined }

/** Outcome sent to the caller. `taken` and `refused` forward the answer of the register of claims. */
export type CallerOutcome = 'done' | 'notRun' | 'unknown' | 'taken' | 'refused'

/** Answer of the register to a claim; `noAnswer` when none arrived in time. */
export type ClaimEvent = 'granted' | 'taken' | 'refused' | 'noAnswer'

/** Outcome of an attempt. Only `shed` and `notSent` prove that the request did not run. */
export type AttemptEvent = 'answered' | 'shed' | 'notSent' | 'lost'

export interface OnceFlow {
  readonly chart: Chart
  state: string
}

export function createOnceFlow (chart: Chart): OnceFlow {
  return { chart, state: chart.initial }
}

function applyEvent (flow: OnceFlow, event: string): void {
  flow.state = nextState(flow.chart, flow.state, event)
}

function refuse (flow: OnceFlow, reason: string): OnceEffect {
  applyEvent(flow, 'refuse')
  return { type: 'recordNotRun', reason }
}

/**
 * Starts the flow. A request that cannot complete before its deadline, or may not be sent, is refused before any work is
 * spent on it.
 */
export function startOnceFlow (flow: OnceFlow, isAdmitted: boolean, refusalReason = 'no capacity in time'): OnceEffect {
  if (!isAdmitted) return refuse(flow, refusalReason)
  applyEvent(flow, 'claim')
  return { type: 'claim' }
}

/** Continues after the register's answer to the claim. */
export function continueAfterClaim (flow: OnceFlow, event: ClaimEvent): OnceEffect {
  switch (event) {
    case 'granted':
      applyEvent(flow, 'granted')
      return { type: 'getSlot' }
    case 'noAnswer':
      return refuse(flow, 'the register of claims did not answer in time')
    default:
      applyEvent(flow, 'refuse')
      return { type: 'answer', callerOutcome: event, reason: 'the register refused the claim', record: undefined }
  }
}

/**
 * Continues after a slot was acquired or could not be.
 *
 * @param noSlotReason why no slot was acquired; undefined when one was
 */
export function continueAfterSlot (flow: OnceFlow, noSlotReason: string | undefined): OnceEffect {
  if (noSlotReason !== undefined) return refuse(flow, noSlotReason)
  applyEvent(flow, 'send')
  return { type: 'send' }
}

/** Continues after the end of an attempt. */
export function continueAfterAttempt (flow: OnceFlow, event: AttemptEvent, mayTryAgain: boolean): OnceEffect {
  switch (event) {
    case 'answered':
      applyEvent(flow, 'answer')
      return { type: 'answer', callerOutcome: 'done', reason: 'done', record: 'done' }
    case 'lost':
      applyEvent(flow, 'fail')
      applyEvent(flow, 'giveUp')
      return { type: 'answer', callerOutcome: 'unknown', reason: 'sent, but no whole answer came', record: 'unknown' }
    default:
      applyEvent(flow, 'shed')
      return mayTryAgain ? { type: 'getSlot' } : refuse(flow, event === 'shed' ? 'servers shed' : 'servers can not be reached')
  }
}

/**
 * Continues after the register was asked to record the request as not run. Unless the register confirmed the record,
 * another copy with the same id may still run, so the caller must not receive `not-run`.
 */
export function continueAfterRecord (isRecorded: boolean, reason: string): OnceEffect {
  if (isRecorded) return { type: 'answer', callerOutcome: 'notRun', reason, record: undefined }
  return { type: 'answer', callerOutcome: 'unknown', reason: `${reason}; this copy was not sent, but the register could not rule out others`, record: undefined }
}
