/**
 * Tracks the liveness of pooled connections by their progress.
 *
 * A middlebox can lose track of an open connection: new connections work, but every request on the old one hangs until
 * its deadline. Therefore a connection that is idle for too long is closed, since opening a new one takes about a
 * millisecond; a connection that makes no progress during a request is abandoned; and a request that must not repeat
 * uses only a connection with very recent progress, or a new one.
 */
import { nextState } from '@lynxcourse/base'
import type { Chart, Millis } from '@lynxcourse/base'

export interface ConnectionCfg {
  /** Time without progress after which an idle connection is stale. */
  readonly staleMs: Millis
  /** Time without progress during a request after which the connection counts as silent. */
  readonly silentMs: Millis
}

export const defaultConnectionCfg: ConnectionCfg = { staleMs: 1000, silentMs: 1500 }

/** State of one pooled connection. */
export interface ConnectionState {
  /** State of the `connection` chart. */
  state: string
  progressAt: Millis
}

export function createConnectionState (chart: Chart, now: Millis): ConnectionState {
  return { state: chart.initial, progressAt: now }
}

/**
 * Returns whether a connection may carry a new request.
 *
 * @param mustNotRepeat whether the request must not run twice; the allowed idle time is then half as long
 */
export function isReusable (cfg: ConnectionCfg, connection: ConnectionState, mustNotRepeat: boolean, now: Millis): boolean {
  if (connection.state !== 'idle') return false
  const idleMs = now - connection.progressAt
  return mustNotRepeat ? idleMs < cfg.staleMs / 2 : idleMs < cfg.staleMs
}

/** Returns whether a connection made no progress during a request for longer than `silentMs`. */
export function isSilent (cfg: ConnectionCfg, connection: ConnectionState, now: Millis): boolean {
  return connection.state === 'busy' && now - connection.progressAt > cfg.silentMs
}

/** Records that bytes arrived on a connection. */
export function recordProgress (chart: Chart, connection: ConnectionState, now: Millis): void {
  connection.state = nextState(chart, connection.state, 'progress')
  connection.progressAt = now
}

/** Applies an event of the `connection` chart. */
export function applyConnectionEvent (chart: Chart, connection: ConnectionState, event: string): void {
  connection.state = nextState(chart, connection.state, event)
}
