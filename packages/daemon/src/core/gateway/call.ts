/** A caller's request and its final answer. */
import type { KeyDigest, Millis, RequestFingerprint, ServiceId, TeamName } from '@lynxcourse/base'
import type { CallerLiveness } from '@lynxcourse/placement'
import type { Route } from '@lynxcourse/state'
import type { HeaderMap } from '../../types/answers.js'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import type { AnswerStream } from './answerStream.js'
import type { CallFacts } from './dialects.js'
import type { OpenRequest } from './openRequests.js'

/** A caller's team, and the key that proves it. */
export interface CallerTeam {
  readonly name: TeamName
  readonly digest: KeyDigest
}

/** A caller's request that has a route and a service. */
export interface Call {
  readonly facts: CallFacts
  /** The caller's team; undefined if the caller needed no key. */
  readonly caller: CallerTeam | undefined
  /** The route as it applies to the caller's team. */
  readonly route: Route
  readonly service: ServiceId
  readonly method: string
  readonly path: string
  /** Headers that are forwarded to the server. */
  readonly headers: HeaderMap
  readonly body: Buffer | null
  /** Returns the fingerprint of the request. */
  readonly getFingerprint: () => RequestFingerprint
  /** IP address of the caller's end of the connection. */
  readonly callerAddress: string
  /**
   * Earliest time at which the request can have reached this VM; the deadline counts from here, as it does for the
   * caller.
   */
  readonly arrivedAt: Millis
  /** When this VM read the request. */
  readonly readAt: Millis
  /** End of the caller's timeout or of the route's, whichever is earlier. */
  readonly deadline: Millis
  /** When a server that still works on the request is given up; later than the deadline if the request may have waited unread. */
  readonly giveUpAt: Millis
  /** Aborted when the caller has closed its connection. */
  readonly gone: CancelSignal
  /** Time up to which a close of the caller's connection would have been noticed. */
  readonly liveness: CallerLiveness
  /** Forwards a large answer while it is received; undefined if all answers are read whole. */
  readonly stream: AnswerStream | undefined
  /** The step of the request. */
  readonly open: OpenRequest
  /** Returns the upper bound of the read delay of the caller's close; undefined until the close is read. */
  readonly closeUnreadMs: () => Millis | undefined
}

declare const created: unique symbol

/** The answer to a caller; created by `answers.ts` only. */
export interface CallAnswer {
  readonly [created]: true
  readonly status: number
  readonly headers: HeaderMap
  readonly body: Buffer
  /** Whether to close the connection, so that the caller reconnects, possibly to another VM. */
  readonly endsConnection?: boolean
  /** Whether the answer was written while it was received, to its end or until its connection was reset. */
  readonly streamed?: 'complete' | 'broken'
}

/** Returns a key for the object of a request; it has the name of the route, since two routes may use the same keys. */
export function createObjectKey (call: Call): string {
  return `${call.route.name}|${call.facts.object}`
}
