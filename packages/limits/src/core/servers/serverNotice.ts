/**
 * What a backend server has said about itself, as one VM has heard it, and what follows for requests: a server may name a limit for
 * all VMs together, ask one VM for a pause, or leave.
 *
 * The VM's own record is enough: no message of another VM can shorten a pause or take back that a server leaves.
 */
import type { Millis } from '@lynxcourse/base'
import { consumeLimitToken, createServerLimit, expireLimit, getTokenDelay, hasLimitToken, recordNamedLimit } from './serverLimit.js'
import type { LimitChange, ServerLimit } from './serverLimit.js'
import { createServerPause, getPauseDelay, isPaused, recordRequestAfterPause, startPause } from './serverPause.js'
import type { ServerPause } from './serverPause.js'
import type { ServerStatements } from './serverStatements.js'

export interface ServerNotice {
  /** The limit that the server names for the requests of all VMs together. */
  readonly limit: ServerLimit
  readonly pause: ServerPause
  /** Whether the server wants no new requests any more; this lasts until its process ends. */
  isLeaving: boolean
}

/** A header that could not be read; what was known before stays in force. */
export interface UnreadableStatement {
  readonly type: 'unreadable'
  readonly about: keyof ServerStatements
  readonly text: string
}

/** What an answer changed, for the log. */
export type NoticeChange =
  | { readonly type: 'limit', readonly change: LimitChange }
  | { readonly type: 'paused', readonly forMs: Millis }
  | { readonly type: 'leaving' }
  | UnreadableStatement

export function createServerNotice (): ServerNotice {
  return { limit: createServerLimit(), pause: createServerPause(), isLeaving: false }
}

/** Records what an answer says about its server; returns what changed. Of two pauses, the one that ends later counts. */
export function recordStatements (notice: ServerNotice, statements: ServerStatements, now: Millis): NoticeChange[] {
  const changes: NoticeChange[] = listUnreadable(statements)
  const change = recordNamedLimit(notice.limit, statements.limit, now)
  if (change !== undefined) changes.push({ type: 'limit', change })
  if (statements.pause.type === 'paused' && startPause(notice.pause, statements.pause.forMs, now)) changes.push(statements.pause)
  if (statements.leaving.type === 'leaving' && !notice.isLeaving) {
    notice.isLeaving = true
    changes.push({ type: 'leaving' })
  }
  return changes
}

function listUnreadable (statements: ServerStatements): UnreadableStatement[] {
  return (['limit', 'pause', 'leaving'] as const).flatMap(about => {
    const statement = statements[about]
    return statement.type === 'unreadable' ? [{ type: 'unreadable' as const, about, text: statement.text }] : []
  })
}

/** Whether a server wants no new requests now: it leaves, or its pause or slow start keeps them away. */
export function isClosedToRequests ({ pause, isLeaving }: ServerNotice, now: Millis): boolean {
  return isLeaving || getPauseDelay(pause, now) > 0
}

/**
 * Whether a request that was assigned to a server may still be written to its connection: the server may have spoken while the
 * connection was opened.
 */
export function mayStillWrite ({ pause, isLeaving }: ServerNotice, now: Millis): boolean {
  return !isLeaving && !isPaused(pause, now)
}

/**
 * Whether a request of this VM may be sent to the server now.
 *
 * @param share fraction of the server's limit that this VM may use
 */
export function permitsRequest (notice: ServerNotice, share: number, now: Millis): boolean {
  if (isClosedToRequests(notice, now)) return false
  expireLimit(notice.limit, now)
  return hasLimitToken(notice.limit, share, now)
}

/** Returns the time until a request of this VM may be sent to the server; Infinity if none will be. */
export function getRequestDelay ({ limit, pause, isLeaving }: ServerNotice, share: number, now: Millis): Millis {
  return isLeaving ? Infinity : Math.max(getPauseDelay(pause, now), getTokenDelay(limit, share, now))
}

/** Counts a request that is sent to the server. */
export function recordRequestUnderNotice ({ limit, pause }: ServerNotice, now: Millis): void {
  consumeLimitToken(limit)
  recordRequestAfterPause(pause, now)
}
