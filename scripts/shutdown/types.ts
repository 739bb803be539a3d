/** Records and plans of the shutdown rig: what callers, backend servers and the rig itself observe around planned stops. */

/** How a caller uses its connections. */
export type CallerHabit =
  /** One request at a time on kept connections. */
  | 'pool'
  /** A new connection for each request. */
  | 'fresh'
  /** Several requests on one connection before the first is answered. */
  | 'pipeline'
  /** As `pipeline`, and the connection is never without a request in progress. */
  | 'busyPipeline'
  /** Bodies in chunks, with pauses between them. */
  | 'slowBody'
  /** Reads answers slowly. */
  | 'slowReader'
  /** Closes its own half of the connection after the request. */
  | 'halfClose'
  /** Announces `Connection: close` with each request. */
  | 'announcedClose'

/** How a backend server answers one request. */
export type AnswerKind =
  /** At once, with a length. */
  | 'prompt'
  /** After a part of the time limit. */
  | 'late'
  /** Shortly before the time limit. */
  | 'lastMoment'
  | 'chunked'
  | 'large'
  /** A head, then silence until the body. */
  | 'headFirst'
  /** Turned away as not run; another server answers. */
  | 'turnedAway'
  /** The server resets the connection; a second try may answer. */
  | 'reset'

/** A request as its caller saw it; all times in milliseconds by the rig's steady clock. */
export interface ObservedRequest {
  readonly id: string
  readonly vm: string
  readonly habit: CallerHabit
  readonly isIdempotent: boolean
  /** Time limit that the caller named. */
  readonly limitMs: number
  /** Timeout of the request's route; undefined if only the caller's limit applies. */
  readonly timeoutMs?: number | undefined
  /** When the first and the last byte of the request were sent; the last one is undefined if it never was. */
  readonly startedAt: number
  /** Connection that carried the request; the requests of one connection share the name. */
  readonly connection?: string
  sentAt: number | undefined
  /** When the answer was complete or the connection ended; undefined while neither has happened. */
  endedAt: number | undefined
  end: RequestEnd | undefined
}

/** How a request ended. */
export type RequestEnd =
  | {
    readonly type: 'whole'
    readonly status: number
    readonly isFromServer: boolean
    readonly retryAfterMs: number | undefined
    /** Start of the body, if it is not a server's. */
    readonly text?: string
  }
  /** The connection ended before a complete answer. */
  | { readonly type: 'broken', readonly receivedBytes: number, readonly detail: string }
  /** The caller gave up: its time limit passed, or it abandoned the request. */
  | { readonly type: 'abandoned' }

/** A run of a request at a backend server. */
export interface ObservedRun {
  readonly id: string
  readonly server: string
  /** Entry VM whose connection brought the request. */
  readonly vm: string
  readonly kind: AnswerKind
  readonly startedAt: number
  /** When the server finished its work, or stopped it because the connection had closed. */
  endedAt: number | undefined
  /** Whether the server itself broke off, turned the request away or was cut off. */
  hasFailed: boolean
  /** Whether the connection closed before the server had finished, although the server had not failed. */
  wasCutOff?: boolean
  /** Whether the request's body arrived as its caller sent it. */
  readonly hasWholeBody?: boolean
}

/** Bytes that no caller may receive, such as an answer without a request. */
export interface ObservedAnomaly {
  readonly vm: string
  readonly connection: string
  readonly at: number
  readonly detail: string
}

/** A signal to a VM, or the end of its process. */
export interface ObservedSignal {
  readonly vm: string
  readonly type: 'terminate' | 'reload' | 'exit' | 'start'
  readonly at: number
  /** Exit code or the signal that ended the process; undefined for signals. */
  readonly code?: number | string | undefined
}

/** All records of one run of the rig. */
export interface ShutdownHistory {
  readonly requests: Map<string, ObservedRequest>
  readonly runs: ObservedRun[]
  readonly signals: ObservedSignal[]
  readonly anomalies: ObservedAnomaly[]
}

/** Bounds of the promise, in milliseconds. */
export interface ShutdownBounds {
  /** Time from the stop signal until the process is killed. */
  readonly graceMs: number
  /** A request that the VM has not passed on may end without an answer until this long after its last byte was sent. */
  readonly lossSlackMs: number
  /** Requests sent up to this long after a reload signal are judged with it. */
  readonly reloadMs: number
}

export function createShutdownHistory (): ShutdownHistory {
  return { requests: new Map(), runs: [], signals: [], anomalies: [] }
}
