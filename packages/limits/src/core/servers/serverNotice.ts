/** What a backend server has said about itself, as one VM has heard it. */
import type { Millis } from '@lynxcourse/base'
import { createServerLimit, recordNamedLimit } from './serverLimit.js'
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
  if (statements.pause.type === 'paused' && recordPause(notice, statements.pause.forMs, now)) changes.push(statements.pause)
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

function recordPause (notice: ServerNotice, forMs: Millis, now: Millis): boolean {
  if (now + forMs <= Math.max(now, notice.pausedUntil)) return false
  notice.pausedUntil = now + forMs
  return true
}

/** Whether a server wants no requests from this VM for a time. */
export function isPaused ({ pausedUntil }: ServerNotice, now: Millis): boolean {
  return now < pausedUntil
}
