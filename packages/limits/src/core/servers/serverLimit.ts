/** The limit of one backend server on the requests of all VMs together, as one VM knows it. */
import type { Millis } from '@lynxcourse/base'
import type { NamedLimit } from './namedLimit.js'

export interface ServerLimit {
  /** Requests per second from all VMs together; undefined while the server names no limit. */
  perSecond: number | undefined
  /** When an answer to this VM last named the limit, or showed that it has ended. */
  heardAt: Millis
}

/** A change of a limit, for the log. */
export type LimitChange =
  | { readonly type: 'named', readonly perSecond: number, readonly previous: number | undefined }
  | { readonly type: 'ended', readonly previous: number }

export function createServerLimit (): ServerLimit {
  return { perSecond: undefined, heardAt: -Infinity }
}

/**
 * Records what an answer says about the limit. An unreadable limit leaves the known one in force.
 *
 * @returns the change; undefined if there is none
 */
export function recordNamedLimit (limit: ServerLimit, named: NamedLimit, now: Millis): LimitChange | undefined {
  if (named.type === 'unreadable') return undefined
  const previous = limit.perSecond
  const perSecond = named.type === 'limited' ? named.perSecond : undefined
  if (perSecond !== undefined || previous !== undefined) limit.heardAt = now
  if (perSecond === previous) return undefined
  limit.perSecond = perSecond
  return perSecond === undefined ? { type: 'ended', previous: previous as number } : { type: 'named', perSecond, previous }
}
