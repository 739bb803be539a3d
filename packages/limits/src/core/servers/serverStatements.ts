/** What one answer of a backend server says about the server itself. */
import type { Millis } from '@lynxcourse/base'
import { parseNamedLimit } from './namedLimit.js'
import type { NamedLimit } from './namedLimit.js'

/** The time for which a server wants no requests from this VM. */
export type RequestedPause =
  | { readonly type: 'none' }
  | { readonly type: 'paused', readonly forMs: Millis }
  | { readonly type: 'unreadable', readonly text: string }

/** Whether a server is leaving: it wants no new requests from any VM. */
export type LeavingFlag =
  | { readonly type: 'none' }
  | { readonly type: 'leaving' }
  | { readonly type: 'unreadable', readonly text: string }

export interface ServerStatements {
  readonly limit: NamedLimit
  readonly pause: RequestedPause
  readonly leaving: LeavingFlag
}

/** The statements of an answer that says nothing about its server. */
export const noStatements: ServerStatements = { limit: { type: 'none' }, pause: { type: 'none' }, leaving: { type: 'none' } }

type HeaderValue = string | readonly string[] | undefined

/** The headers of an answer in which its server speaks of itself. */
export interface StatementHeaders {
  readonly limit: HeaderValue
  readonly leaving: HeaderValue
  readonly retryAfter: HeaderValue
  /** The server's time of day, from which a `Retry-After` with a date counts. */
  readonly date: HeaderValue
}

const statusUnavailable = 503
const decimalNumber = /^\d+(\.\d*)?$|^\.\d+$/
const maxLoggedLength = 40
/** Longest pause: a server that wants a longer one says so again to the next request. */
const maxPauseMs: Millis = 3_600_000

/** Parses what an answer says about its server. */
export function parseStatements (status: number, { limit, leaving, retryAfter, date }: StatementHeaders): ServerStatements {
  return {
    limit: parseNamedLimit(limit),
    // With other statuses, `Retry-After` concerns the caller or the requested resource.
    pause: status === statusUnavailable ? parsePause(retryAfter, date) : { type: 'none' },
    leaving: parseLeaving(leaving)
  }
}

/** Parses a `Retry-After` in seconds, which may have a fraction, or with a date. If the header is repeated, the longest time counts. */
function parsePause (value: HeaderValue, date: HeaderValue): RequestedPause {
  if (value === undefined) return { type: 'none' }
  const texts = splitNumbers(value)
  const times = texts.map(text => parsePauseMs(text, date)).filter(ms => ms !== undefined)
  if (times.length === 0) return { type: 'unreadable', text: shorten(texts) }
  return { type: 'paused', forMs: Math.min(maxPauseMs, Math.max(...times)) }
}

/** Splits a list of numbers at its commas; a date contains a comma and stays whole. */
function splitNumbers (value: string | readonly string[]): string[] {
  const texts = (typeof value === 'string' ? [value] : value).map(text => text.trim())
  return texts.flatMap(text => /[a-z]/i.test(text) ? [text] : text.split(',').map(part => part.trim()))
}

function parsePauseMs (text: string, date: HeaderValue): Millis | undefined {
  if (decimalNumber.test(text)) return Number(text) * 1000
  // Both dates are by the server's clock, which may differ from this VM's.
  const forMs = Date.parse(text) - Date.parse(typeof date === 'string' ? date : '')
  return /[a-z]/i.test(text) && Number.isFinite(forMs) ? Math.max(0, forMs) : undefined
}

const leavingTexts = new Set(['1', '?1', 'true'])
const stayingTexts = new Set(['', '0', '?0', 'false'])

function parseLeaving (value: HeaderValue): LeavingFlag {
  if (value === undefined) return { type: 'none' }
  const texts = (typeof value === 'string' ? value.split(',') : value).map(text => text.trim().toLowerCase())
  if (texts.some(text => leavingTexts.has(text))) return { type: 'leaving' }
  return texts.every(text => stayingTexts.has(text)) ? { type: 'none' } : { type: 'unreadable', text: shorten(texts) }
}

function shorten (texts: readonly string[]): string {
  return texts.join().slice(0, maxLoggedLength)
}
