/** One caller's request on its way through the gateway, and its final answer. */
import type { Millis, ServiceId } from '@lynxcourse/base'
import type { CallerLiveness } from '@lynxcourse/placement'
import type { Route } from '@lynxcourse/state'
import type { HeaderMap } from '../../types/answers.js'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import type { CallFacts } from './dialects.js'

export interface Call {
  readonly facts: CallFacts
  readonly route: Route
  readonly service: ServiceId
  readonly method: string
  readonly path: string
  /** Headers that are passed on. */
  readonly headers: HeaderMap
  readonly body: Buffer | null
  /** Since when it can have lain at this VM; times are counted from then, as the caller does. */
  readonly arrivedAt: Millis
  /** When this VM got to it. */
  readonly readAt: Millis
  /** By the caller's own time limit or the route's, whichever ends first. */
  readonly deadline: Millis
  /** Aborted when the caller has closed its connection. */
  readonly gone: CancelSignal
  /** Until when a close of its connection would have been seen. */
  readonly caller: CallerLiveness
  /** For how long that close can have lain unread; undefined before it is read. */
  readonly closeUnreadMs: () => Millis | undefined
}

/** What the caller is told. */
export interface CallAnswer {
  readonly status: number
  readonly headers: HeaderMap
  readonly body: Buffer
  /** Whether the caller should go on over another connection, to another VM. */
  readonly endsConnection?: boolean
}

/** Objects of different routes are different, although their keys may be alike. */
export function objectOf (call: Call): string {
  return `${call.route.name}|${call.facts.object}`
}
