/** Final answers that callers get, and the headers that tell them apart. */
import type { Readable } from 'node:stream'
import type { Millis } from '@lynxcourse/base'

/** Headers of this system; those that callers send under this prefix are not passed on. */
export const headerPrefix = 'lynx-'
export const outcomeHeader = 'lynx-outcome'
export const deadlineHeader = 'lynx-deadline-ms'
export const serverHeader = 'lynx-server'
export const vmHeader = 'lynx-vm'
export const loadHeader = 'lynx-load'
export const notStartedHeader = 'lynx-not-started'
export const requestIdHeader = 'idempotency-key'

/**
 * How a request ended, as the caller is told:
 * - `done`: a backend server answered
 * - `not-run`: it ran nowhere, and this id never will
 * - `unknown`: it may have run; with the same id it can't run a second time
 * - `too-late`: an idempotent request whose deadline passed
 * - `refused`: bad input; nothing was tried
 */
export type Outcome = 'done' | 'not-run' | 'unknown' | 'too-late' | 'refused'

export type HeaderMap = Record<string, string | string[]>

/** An answer to be written to the caller. */
export interface FinalAnswer {
  readonly outcome: Outcome
  readonly status: number
  readonly headers: HeaderMap
  readonly body: Buffer | Readable
  /** Set where the caller should come back, and when. */
  readonly retryAfterMs: Millis | undefined
  readonly server: string | undefined
  readonly detail: string
}
