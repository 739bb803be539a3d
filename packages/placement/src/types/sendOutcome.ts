/** How sending a request to a server ended, as far as decisions need it. */
import type { Millis } from '@lynxcourse/base'

/** The end of one send. */
export type SendOutcome =
  | { readonly type: 'answered', readonly status: number, readonly connectMs: Millis }
  /** The server says that the request did not run there; `elsewhere` means it is not the server that was named. */
  | { readonly type: 'notRun', readonly reason: 'full' | 'elsewhere' | 'unreached' }
  /** It may have run. */
  | { readonly type: 'lost', readonly reason: LostReason }

/** Why a request that was sent has no answer. */
export type LostReason = 'failed' | 'spoiled' | 'deadline' | 'slow' | 'stranded' | 'gone'

const firstServerError = 500

/** Whether a status tells of a failure of the server. */
export function isServerError (status: number): boolean {
  return status >= firstServerError
}
