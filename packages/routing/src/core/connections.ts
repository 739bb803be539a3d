/**
 * Judges pooled connections by progress.
 *
 * What can go wrong: something between the ends loses track of an open connection; it goes silent for
 * good while new ones work, and whatever is sent on it hangs until its deadline. An idle connection
 * that was quiet too long is closed, since a new one costs a millisecond; one that makes no progress
 * under a request is given up; and a request that must not repeat goes only over a connection that
 * showed life just now, or a new one.
 */
import { nextState } from '@lynxcourse/base'
import type { Chart, Millis } from '@lynxcourse/base'

export interface ConnectionCfg {
  /** Quiet for longer than this, a connection is stale. */
  readonly staleMs: Millis
  /** A request without any progress for longer than this marks its connection silent. */
  readonly silentMs: Millis
}

export const defaultConnections: ConnectionCfg = { staleMs: 1000, silentMs: 1500 }

/** One pooled connection. */
export interface ConnectionState {
  state: string
  progressAt: Millis
}

export function createConnectionState (chart: Chart, now: Millis): ConnectionState {
  return { state: chart.initial, progressAt: now }
}

/** Whether a request may go over a connection. One that must not repeat needs proof of life. */
export function isReusable (cfg: ConnectionCfg, connection: ConnectionState, mustNotRepeat: boolean, now: Millis): boolean {
  if (connection.state !== 'idle') return false
  const quietMs = now - connection.progressAt
  return mustNotRepeat ? quietMs < cfg.staleMs / 2 : quietMs < cfg.staleMs
}

/** Whether a connection in use has gone silent. */
export function isSilent (cfg: ConnectionCfg, connection: ConnectionState, now: Millis): boolean {
  return connection.state === 'busy' && now - connection.progressAt > cfg.silentMs
}

/** Notes that bytes came over a connection. */
export function recordProgress (chart: Chart, connection: ConnectionState, now: Millis): void {
  connection.state = nextState(chart, connection.state, 'progress')
  connection.progressAt = now
}

/** Moves a connection by its chart. */
export function applyConnectionEvent (chart: Chart, connection: ConnectionState, event: string): void {
  connection.state = nextState(chart, connection.state, event)
}
