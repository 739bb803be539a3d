/**
 * The order of steps for a request that must not run twice, without input or output: an event in, the
 * next effect out. The daemon and the fault matrix drive the same flow.
 *
 * The id is claimed by a quorum before anything is sent. After that only proof makes an attempt
 * repeatable or lets the caller hear `not-run`: no byte went out, or the server says that it did not
 * start. Whatever else happens, the claim stays spent and the caller hears `unknown`.
 */
import { nextState } from '@lynxcourse/base'
import type { Chart } from '@lynxcourse/base'

/** How a once-only request is recorded to have ended. */
export type OnceEnd = 'done' | 'notRun' | 'unknown'

/** What the flow asks for next. */
export type OnceEffect =
  /** Claim the id for this copy. */
  | { readonly type: 'claim' }
  /** Get a slot at a server not tried before. */
  | { readonly type: 'getSlot' }
  /** Send the request in the slot. */
  | { readonly type: 'send' }
  /** Record the id as not run; the caller waits for that. */
  | { readonly type: 'recordNotRun', readonly reason: string }
  /** Tell the caller; `record` is recorded without the caller waiting. */
  | { readonly type: 'answer', readonly callerOutcome: OnceTold, readonly reason: string, readonly record: OnceEnd | undefined }

/** What the caller is told. `taken` and `refused` pass on what the register said. */
export type OnceTold = 'done' | 'notRun' | 'unknown' | 'taken' | 'refused'

/** How the register answered a claim; `noAnswer` when none came in time. */
export type ClaimEvent = 'granted' | 'taken' | 'refused' | 'noAnswer'

/** How an attempt ended; only `shed` and `notSent` prove that it did not run. */
export type AttemptEvent = 'answered' | 'shed' | 'notSent' | 'lost'

export interface OnceFlow {
  readonly chart: Chart
  state: string
}

export function createOnceFlow (chart: Chart): OnceFlow {
  return { chart, state: chart.initial }
}

function take (flow: OnceFlow, event: string): void {
  flow.state = nextState(flow.chart, flow.state, event)
}

function refuse (flow: OnceFlow, reason: string): OnceEffect {
  take(flow, 'refuse')
  return { type: 'recordNotRun', reason }
}

/** The first step: a request that can't be served in time is refused before it costs anything. */
export function startOnceFlow (flow: OnceFlow, isAdmitted: boolean): OnceEffect {
  if (!isAdmitted) return refuse(flow, 'no capacity in time')
  take(flow, 'claim')
  return { type: 'claim' }
}

/** After the register answered. */
export function continueAfterClaim (flow: OnceFlow, event: ClaimEvent): OnceEffect {
  switch (event) {
    case 'granted':
      take(flow, 'granted')
      return { type: 'getSlot' }
    case 'noAnswer':
      return refuse(flow, 'the register of claims did not answer in time')
    default:
      take(flow, 'refuse')
      return { type: 'answer', callerOutcome: event, reason: 'the register refused the claim', record: undefined }
  }
}

/** After a slot came, or did not. */
export function continueAfterSlot (flow: OnceFlow, noSlotReason: string | undefined): OnceEffect {
  if (noSlotReason !== undefined) return refuse(flow, noSlotReason)
  take(flow, 'send')
  return { type: 'send' }
}

/** After an attempt ended. */
export function continueAfterAttempt (flow: OnceFlow, event: AttemptEvent, mayTryAgain: boolean): OnceEffect {
  switch (event) {
    case 'answered':
      take(flow, 'answer')
      return { type: 'answer', callerOutcome: 'done', reason: 'done', record: 'done' }
    case 'lost':
      take(flow, 'fail')
      take(flow, 'giveUp')
      return { type: 'answer', callerOutcome: 'unknown', reason: 'sent, but no whole answer came', record: 'unknown' }
    default:
      take(flow, 'shed')
      return mayTryAgain ? { type: 'getSlot' } : refuse(flow, event === 'shed' ? 'servers shed' : 'servers can not be reached')
  }
}

/**
 * After the register was asked to record not-run. Without its word another copy of the id may still
 * run, so the caller must not hear `not-run`.
 */
export function continueAfterRecord (isRecorded: boolean, reason: string): OnceEffect {
  if (isRecorded) return { type: 'answer', callerOutcome: 'notRun', reason, record: undefined }
  return { type: 'answer', callerOutcome: 'unknown', reason: `${reason}; this copy was not sent, but the register could not rule out others`, record: undefined }
}
