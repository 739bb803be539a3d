/** Final answers to callers, and the headers of this system. */
import type { Readable } from 'node:stream'
import type { Millis } from '@lynxcourse/base'

/** Prefix of this system's own headers. Headers of callers with this prefix are not forwarded. */
export const headerPrefix = 'lynx-'
export const outcomeHeader = 'lynx-outcome'
export const deadlineHeader = 'lynx-deadline-ms'
export const serverHeader = 'lynx-server'
export const vmHeader = 'lynx-vm'
export const loadHeader = 'lynx-load'
/** Requests per second that a backend server takes from all VMs together. */
export const serverLimitHeader = 'lynx-server-limit'
/** `1` if a backend server is leaving. */
export const leavingHeader = 'lynx-server-leaving'
export const notStartedHeader = 'lynx-not-started'
/** Name of the caller's team; set for servers if callers need keys. */
export const teamHeader = 'lynx-team'
export const requestIdHeader = 'idempotency-key'

/**
 * Outcome of a request, as reported to the caller:
 * - `done`: a backend server answered
 * - `not-run`: no backend server ran the request, and none will run a request with this id
 * - `unknown`: the request may have run; a request with the same id can't run a second time
 * - `too-late`: the deadline of an idempotent request passed
 * - `refused`: the input was invalid; no backend server was tried
 */
export type Outcome = 'done' | 'not-run' | 'unknown' | 'too-late' | 'refused'

export type HeaderMap = Record<string, string | string[]>

/** The answer that is written to the caller. */
export interface FinalAnswer {
  readonly outcome: Outcome
  readonly status: number
  readonly headers: HeaderMap
  readonly body: Buffer | Readable
  /** Time after which the caller should retry; undefined if no retry is advised. */
  readonly retryAfterMs: Millis | undefined
  readonly server: string | undefined
  readonly detail: string
}
