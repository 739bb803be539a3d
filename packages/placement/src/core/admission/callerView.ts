/**
 * How old a VM's view of a caller may be when it begins the caller's request at a server.
 *
 * What can go wrong: a caller that closes its connection is seen only once the close is read. It lies behind the bytes of the request
 * and is read one turn of the event loop after them, and timers run before sockets are read. A VM that is short of processor time, or
 * stood still, then begins work for callers that left long ago. It shows as requests that servers cut right after they began.
 */
import type { Millis } from '@lynxcourse/base'

/** What a VM knows of a caller. */
export interface CallerView {
  /** A close of its connection that came before then has been read. */
  seenAt: Millis
}

/** An older view is renewed before a send; with the way to a server it stays within half a second. */
const oldestMs: Millis = 250
/** A connection to a server that opens after this opens late: the view ages meanwhile. */
const openMs: Millis = 100

/** The view of a caller whose request was read, and what lies behind it was not. */
export function createCallerView (): CallerView {
  return { seenAt: -Infinity }
}

/** Whether the caller's connection has to be looked at before its request is begun at a server. */
export function mustLook ({ seenAt }: CallerView, now: Millis): boolean {
  return now - seenAt > oldestMs
}

/** Notes a look that began at `firstSeenAt`. */
export function noteLook (view: CallerView, seenAt: Millis): void {
  view.seenAt = seenAt
}

/** Notes that more of the caller's request was read since the last look: its close may lie behind that. */
export function noteMoreRead (view: CallerView): void {
  view.seenAt = -Infinity
}

/** Whether a connection that was asked for at `askedAt` has opened so late that callers have to be looked at before it is written to. */
export function hasOpenedLate (askedAt: Millis, now: Millis): boolean {
  return now - askedAt > openMs
}
