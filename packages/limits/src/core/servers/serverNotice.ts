/**
 * What a backend server has said about itself, as one VM has heard it, and what follows for requests: a server may name a limit for
 * all VMs together, ask one VM for a pause, or leave.
 *
 * The VM's own record is enough: no message of another VM can shorten a pause or take back that a server leaves.
 */
import type { Millis } from '@lynxcourse/base'
import { createServerLimit, expireLimit, getTokenDelay, hasLimitToken, recordNamedLimit } from './serverLimit.js'
import type { LimitChange, ServerLimit } from './serverLimit.js'
import type { ServerStatements } from './serverStatements.js'

export interface ServerNotice {
  /** The limit that the server names for the requests of all VMs together. */
  readonly limit: ServerLimit
  /** End of the time for which the server wants no requests from this VM. */
  pausedUntil: Millis
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
  return { limit: createServerLimit(), pausedUntil: -Infinity, isLeaving: false }
}

/** Records what an answer says about its server; returns what changed. Of two pauses, the one that ends later counts. */
export function recordStatements (notice: ServerNotice, statements: ServerStatements, now: Millis): NoticeChange[] {
  const changes: NoticeChange[] = listUnreadable(statements)
  const change = recordNamedLimit(notice.limit, statements.limit, now)
  if (change !== undefined) changes.push({ type: 'limit', change })
  if (statements.pause.type === 'paused' && extendPause(notice, statements.pause.forMs, now)) changes.push(statements.pause)
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

function extendPause (notice: ServerNotice, forMs: Millis, now: Millis): boolean {
  if (now + forMs <= Math.max(now, notice.pausedUntil)) return false
  notice.pausedUntil = now + forMs
  return true
}

/** Returns how long a server still wants no requests from this VM. */
export function getPauseMs ({ pausedUntil }: ServerNotice, now: Millis): Millis {
  return Math.max(0, pausedUntil - now)
}

/** Whether a server wants no new requests from this VM now: it leaves, or asked for a pause. */
export function isClosedToRequests (notice: ServerNotice, now: Millis): boolean {
  return notice.isLeaving || getPauseMs(notice, now) > 0
}

/** Whether something that the server has said keeps requests away now: it is closed to them, or takes a limited number. */
export function restrictsRequests (notice: ServerNotice, now: Millis): boolean {
  return isClosedToRequests(notice, now) || notice.limit.perSecond !== undefined
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
export function getRequestDelay (notice: ServerNotice, share: number, now: Millis): Millis {
  return notice.isLeaving ? Infinity : Math.max(getPauseMs(notice, now), getTokenDelay(notice.limit, share, now))
}
