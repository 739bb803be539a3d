/** Requests under which backend servers ended, and the commands that report them. */
import type { Millis, RequestFingerprint, ServerId } from '@lynxcourse/base'

/** The end of a backend server that left a request unanswered. */
export interface ServerEnd {
  readonly request: RequestFingerprint
  readonly route: string
  readonly server: ServerId
  /** Start time of the server's incarnation; 0 if it did not announce one. */
  readonly bornAt: Millis
  /** Whether the request was sent as the only trial in the fleet. */
  readonly isTrial: boolean
}

/** Reports what an entry VM observed. A report that arrives twice counts once, or extends a block. */
export interface ReportServerEndsCommand {
  readonly type: 'reportServerEnds'
  readonly ends: readonly ServerEnd[]
  /** Requests that a server answered after they were restricted or an end was reported for them. */
  readonly answered: readonly RequestFingerprint[]
}

/** Ends the restriction of a request, on an operator's order. */
export interface ReleaseRequestCommand {
  readonly type: 'releaseRequest'
  readonly request: RequestFingerprint
}

export type CrashCommand = ReportServerEndsCommand | ReleaseRequestCommand

/** A request under which several servers ended. */
export interface CrashingRequestItem {
  readonly kind: 'crashingRequest'
  readonly key: RequestFingerprint
  readonly route: string
  readonly state: string
  /** Servers that ended under it, the last ones at most. */
  readonly servers: readonly ServerId[]
  /** Unix milliseconds until which the request is not sent; 0 while it is only suspected. */
  readonly blockedUntil: Millis
  /** Number of trials in a row under which a server ended. */
  readonly failedTrials: number
}
