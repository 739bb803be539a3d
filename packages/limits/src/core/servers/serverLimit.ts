/**
 * The limit of one backend server on the requests of all VMs together, as one VM knows it.
 *
 * Each VM may use a fraction of the limit, by a token bucket. The bucket needs no messages, so a VM that is cut off keeps a part
 * of its fraction. If every VM kept the whole limit by itself, all of them together would exceed it as many times as there are VMs.
 */
import type { Millis } from '@lynxcourse/base'
import type { NamedLimit } from './namedLimit.js'

export interface ServerLimit {
  /** Requests per second from all VMs together; undefined while the server names no limit. */
  perSecond: number | undefined
  /** When an answer to this VM last named the limit, or showed that it has ended. */
  heardAt: Millis
  /** When an answer or the leader last confirmed the limit. */
  confirmedAt: Millis
  /** Fraction of the limit that the leader gave to this VM; undefined until it has. */
  share: number | undefined
  tokens: number
  refilledAt: Millis
}

/** A change of a limit, for the log. */
export type LimitChange =
  | { readonly type: 'named', readonly perSecond: number, readonly previous: number | undefined }
  | { readonly type: 'ended', readonly previous: number }

/** Window in which the requests of all VMs together stay within the limit and the excess that follows. */
export const limitWindowMs: Millis = 4000
const overage = 0.5
const slackRequests = 5
/** Time that a request may take from its send to its arrival. */
const deliveryMs: Millis = 250
/**
 * Fractions of that excess that full buckets may use up: the first token of each VM, and what all VMs share beyond it. The rest
 * covers VMs that disagree on their shares.
 */
const firstTokensFraction = 0.4
const sharedTokensFraction = 0.4
/** Rate at which a server with a lower limit is tried: only its answers show when the limit ends. */
const minPerSecond = 0.1
/** Time during which a VM trusts an answer more than the leader, whose knowledge comes from earlier answers. */
const ownAnswerMs: Millis = 3000
/** Time without confirmation after which a limit is forgotten. */
export const limitTtlMs: Millis = 60_000

export function createServerLimit (): ServerLimit {
  return { perSecond: undefined, heardAt: -Infinity, confirmedAt: -Infinity, share: undefined, tokens: 0, refilledAt: -Infinity }
}

/**
 * Records what an answer says about the limit. An unreadable limit leaves the known one in force.
 *
 * @returns the change; undefined if there is none
 */
export function recordNamedLimit (limit: ServerLimit, named: NamedLimit, now: Millis): LimitChange | undefined {
  if (named.type === 'unreadable') return undefined
  const perSecond = named.type === 'limited' ? named.perSecond : undefined
  if (perSecond !== undefined || limit.perSecond !== undefined) limit.heardAt = now
  return setLimit(limit, perSecond, now)
}

/**
 * Applies what the leader published about the limit.
 *
 * @param perSecond undefined if the limit has ended
 * @param share fraction of the limit that this VM may use
 */
export function applyPublishedLimit (limit: ServerLimit, perSecond: number | undefined, share: number, now: Millis): LimitChange | undefined {
  const isOwnNewer = now - limit.heardAt < ownAnswerMs
  limit.share = perSecond === undefined ? undefined : share
  return setLimit(limit, isOwnNewer ? limit.perSecond : perSecond, now)
}

function setLimit (limit: ServerLimit, perSecond: number | undefined, now: Millis): LimitChange | undefined {
  const previous = limit.perSecond
  limit.confirmedAt = now
  limit.perSecond = perSecond
  if (perSecond === previous) return undefined
  if (perSecond === undefined) {
    limit.share = undefined
    return { type: 'ended', previous: previous as number }
  }
  return { type: 'named', perSecond, previous }
}

/** Forgets a limit that was not confirmed for long. */
export function expireLimit (limit: ServerLimit, now: Millis): LimitChange | undefined {
  return limit.perSecond !== undefined && now - limit.confirmedAt > limitTtlMs ? setLimit(limit, undefined, now) : undefined
}

/** Returns how many requests a window may contain beyond those that the limit lets through at its rate. */
function computeExcess (perSecond: number): number {
  return perSecond * (limitWindowMs * overage - deliveryMs) / 1000 + slackRequests
}

/** Returns among how many VMs a limit may be divided: each of their buckets may be full at the start of a window. */
export function computeMaxSharers (perSecond: number): number {
  return Math.max(1, Math.floor(computeExcess(perSecond) * firstTokensFraction))
}

/**
 * Returns a VM's fraction of a limit without the leader's word: the first VMs share it equally.
 *
 * @param ranked all VMs, in an order on which they agree
 */
export function computeEqualShare (perSecond: number, self: string, ranked: readonly string[]): number {
  const sharers = ranked.slice(0, computeMaxSharers(perSecond))
  return sharers.includes(self) ? 1 / sharers.length : 0
}

/** Whether a request may be sent to the server under this VM's fraction of the limit. */
export function hasLimitToken (limit: ServerLimit, share: number, now: Millis): boolean {
  if (limit.perSecond === undefined) return true
  refill(limit, limit.perSecond, share, now)
  return limit.tokens >= 1
}

/** Removes the token of a request that is sent; does nothing if the server names no limit. */
export function consumeLimitToken (limit: ServerLimit): void {
  if (limit.perSecond !== undefined) limit.tokens -= 1
}

/** Returns the time until the next token; 0 if there is one, Infinity if this VM gets none. */
export function getTokenDelay (limit: ServerLimit, share: number, now: Millis): Millis {
  if (hasLimitToken(limit, share, now)) return 0
  const rate = computeShareRate(limit.perSecond ?? 0, share)
  return rate === 0 ? Infinity : (1 - limit.tokens) / rate * 1000
}

/** Returns the requests per second that a VM may send under its share of a limit. */
function computeShareRate (perSecond: number, share: number): number {
  return Math.max(minPerSecond, perSecond) * share
}

function refill (limit: ServerLimit, perSecond: number, share: number, now: Millis): void {
  const ratePerSecond = computeShareRate(perSecond, share)
  const capacity = 1 + share * computeExcess(perSecond) * sharedTokensFraction
  const seconds = Math.max(0, now - limit.refilledAt) / 1000
  limit.tokens = ratePerSecond === 0 ? 0 : Math.min(capacity, limit.tokens + seconds * ratePerSecond)
  limit.refilledAt = Math.max(limit.refilledAt, now)
}
