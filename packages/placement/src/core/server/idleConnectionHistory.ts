/**
 * Limits how long a connection may have been idle before it carries a non-idempotent request.
 *
 * Servers may drop idle connections without closing them and reset the next request. An idempotent request is sent again, but a
 * non-idempotent one is lost, since nothing shows whether it ran. The symptom is resets of requests on connections that were
 * idle before, at several servers at once. The shortest such idle time then limits all connections for a while. Idempotent
 * requests are the majority and usually meet the first resets.
 *
 * A middlebox may also lose the state of all connections that are open at one moment: they stop responding without a reset.
 * The symptom is requests on previously idle connections that get no answer, at several servers. After that, a connection is
 * used only if it was active later than the last activity of the unresponsive ones.
 */
import type { Millis } from '@lynxcourse/base'

/** A reset of a request, and how long its connection had been idle before. */
interface IdleReset { readonly address: string, readonly restedMs: Millis, readonly at: Millis }

/** A request on a previously idle connection that got no answer, and the last activity of the connection before it. */
interface UnansweredRequest { readonly address: string, readonly lastActiveAt: Millis, readonly at: Millis }

/** Recent resets and unanswered requests on connections that were idle before, oldest first. */
export interface IdleConnectionHistory {
  resets: IdleReset[]
  unanswered: UnansweredRequest[]
}

/** How long an event counts: servers that drop connections do so for seconds. */
const eventTtlMs: Millis = 8000
/** Minimum number of affected servers: a single server may have crashed. */
const minServers = 2
/** A reset after a shorter idle time points to a crash under load, not to an idle timeout. */
const minIdleMs: Millis = 100
/** Fraction of the shortest idle time with a reset that counts as safe. */
const safeFraction = 0.7
const maxEvents = 200

/** Creates a history without events. */
export function createIdleConnectionHistory (): IdleConnectionHistory {
  return { resets: [], unanswered: [] }
}

/** Records that a request on a previously idle connection was reset without an answer. */
export function recordResetAfterIdle (history: IdleConnectionHistory, address: string, restedMs: Millis, now: Millis): void {
  if (restedMs < minIdleMs) return
  history.resets = [...history.resets.filter(reset => now - reset.at < eventTtlMs), { address, restedMs, at: now }].slice(-maxEvents)
}

/**
 * Records that a request on a previously idle connection got no answer.
 *
 * @param takenAt when the request took the connection from the pool
 */
export function recordUnansweredAfterIdle (history: IdleConnectionHistory, address: string, idleMs: Millis, takenAt: Millis, now: Millis): void {
  if (idleMs < minIdleMs) return
  history.unanswered = [...history.unanswered.filter(request => now - request.at < eventTtlMs), { address, lastActiveAt: takenAt - idleMs, at: now }].slice(-maxEvents)
}

/** Returns the maximum idle time of a connection for a non-idempotent request; Infinity without recent events at several servers. */
export function getMaxIdleMs (history: IdleConnectionHistory, now: Millis): Millis {
  return Math.min(maxIdleByResets(history, now), maxIdleByUnanswered(history, now))
}

function maxIdleByResets ({ resets }: IdleConnectionHistory, now: Millis): Millis {
  const recent = resets.filter(reset => now - reset.at < eventTtlMs)
  return involvesSeveralServers(recent) ? Math.min(...recent.map(reset => reset.restedMs)) * safeFraction : Infinity
}

function maxIdleByUnanswered ({ unanswered }: IdleConnectionHistory, now: Millis): Millis {
  const recent = unanswered.filter(request => now - request.at < eventTtlMs)
  return involvesSeveralServers(recent) ? now - Math.max(...recent.map(request => request.lastActiveAt)) : Infinity
}

function involvesSeveralServers (events: ReadonlyArray<{ readonly address: string }>): boolean {
  return new Set(events.map(event => event.address)).size >= minServers
}
