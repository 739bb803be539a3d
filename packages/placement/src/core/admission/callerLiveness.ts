/**
 * Limits how old a VM's knowledge of a caller's connection may be when it sends the caller's request to a server.
 *
 * A closed connection is noticed only when the close is read. The close follows the bytes of the request and is read
 * one iteration of the event loop after them, and timers run before sockets are polled. Without this limit, a VM that
 * is short of processor time or was stopped for a while starts work for callers that disconnected long ago. The symptom
 * is that servers abort requests right after they started.
 */
import type { Millis } from '@lynxcourse/base'

/** What a VM knows of a caller's connection. */
export interface CallerLiveness {
  /** A close of the connection that arrived before this time has been read. */
  polledAt: Millis
}

/** Older knowledge is refreshed before a send. Together with the delay to a server, this keeps it within 500 ms. */
const maxAgeMs: Millis = 250
/** A server connection that takes longer to open counts as late: the knowledge of the caller ages meanwhile. */
const lateOpenMs: Millis = 100

/** Returns the state for a caller whose request was read, but whose connection has not been polled for a close since. */
export function createCallerLiveness (): CallerLiveness {
  return { polledAt: -Infinity }
}

/** Returns whether the caller's connection has to be polled before its request is sent to a server. */
export function needsPoll ({ polledAt }: CallerLiveness, now: Millis): boolean {
  return now - polledAt > maxAgeMs
}

/** Records that sockets were polled, with the time at which the poll phase started. */
export function recordPoll (liveness: CallerLiveness, startedAt: Millis): void {
  liveness.polledAt = startedAt
}

/** Records that more of the caller's request was read since the last poll: a close may follow the bytes just read. */
export function invalidateLiveness (liveness: CallerLiveness): void {
  liveness.polledAt = -Infinity
}

/**
 * Returns whether a server connection requested at `requestedAt` opened so late that callers have to be polled before
 * anything is written to it.
 */
export function isLateConnection (requestedAt: Millis, now: Millis): boolean {
  return now - requestedAt > lateOpenMs
}
