/** Outcomes of sending a request to a server, as placement decisions need them. */
import type { Millis } from '@lynxcourse/base'

/** The outcome of one send. */
export type SendOutcome =
  /** The server answered; opening the connection took `connectMs`. */
  | { readonly type: 'answered', readonly status: number, readonly connectMs: Millis }
  /**
   * The request certainly did not run: the server rejected it as full, could not be reached, is not the server that the request
   * names (`elsewhere`), or asked for no requests before this one was written (`withdrawn`).
   */
  | { readonly type: 'notRun', readonly reason: 'full' | 'elsewhere' | 'unreached' | 'withdrawn' }
  /** The request got no usable answer and may have run. */
  | { readonly type: 'lost', readonly reason: LostReason }

/** Why a sent request got no usable answer. */
export type LostReason = 'failed' | 'spoiled' | 'deadline' | 'slow' | 'stranded' | 'gone'

const minServerErrorStatus = 500

/** Returns whether an HTTP status reports a server error. */
export function isServerError (status: number): boolean {
  return status >= minServerErrorStatus
}
