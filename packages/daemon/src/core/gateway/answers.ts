/** All answers that leave the gateway. Nothing else creates a `CallAnswer`, so that no answer promises what is not proved. */
import type { Millis } from '@lynxcourse/base'
import type { HeaderMap } from '../../types/answers.js'
import type { CallAnswer } from './call.js'
import type { CallerDialect } from './dialects.js'
import { maySend } from './runLedger.js'
import type { RunLedger } from './runLedger.js'

/** Retry time for callers of a VM that may not use its state: other VMs are likely to be able to serve them. */
export const unconfirmedStateRetryMs: Millis = 500

const statusTooMany = 429
const statusUnavailable = 503
const statusBadGateway = 502

/** Statuses that promise a caller that its request has not run and never will. */
const promisingStatuses: ReadonlySet<number> = new Set([408, 421, statusTooMany, statusUnavailable])

/** Statuses of the gateway itself that promise nothing. */
export type OwnStatus = 401 | 404 | 413 | 502 | 504

/**
 * Creates the answer to a request that did not run and will not run. If that isn't proved, the answer promises nothing.
 *
 * @param retryAfterMs time after which the caller may retry; undefined if no time helps
 */
export function createRefusal (callers: CallerDialect, ledger: RunLedger, detail: string, retryAfterMs: Millis | undefined): CallAnswer {
  return refuseWith(statusUnavailable, callers, ledger, detail, retryAfterMs)
}

/** Creates the answer to a request that did not run because its team is over its rate. */
export function createRateRefusal (callers: CallerDialect, ledger: RunLedger, detail: string, retryAfterMs: Millis): CallAnswer {
  return refuseWith(statusTooMany, callers, ledger, detail, retryAfterMs)
}

function refuseWith (status: number, callers: CallerDialect, ledger: RunLedger, detail: string, retryAfterMs: Millis | undefined): CallAnswer {
  if (!maySend(ledger)) return createTextAnswer(statusBadGateway, `may have run: ${detail}`)
  const headers = retryAfterMs === undefined ? {} : callers.buildRefusalHeaders(retryAfterMs)
  return createLines(status, `not run: ${detail}`, headers)
}

/** Creates an answer with one line of text that promises nothing. */
export function createTextAnswer (status: OwnStatus, detail: string, headers: HeaderMap = {}): CallAnswer {
  return createLines(status, detail, headers)
}

function createLines (status: number, detail: string, headers: HeaderMap): CallAnswer {
  return { status, headers, body: Buffer.from(`${detail}\n`) } as CallAnswer
}

/**
 * Creates the answer that a server gave. By a promising status a server says nothing of a request that must not run twice: only a
 * rejection does, which is not an answer.
 */
export function createServerAnswer ({ isIdempotent }: RunLedger, status: number, headers: HeaderMap, body: Buffer): CallAnswer {
  if (!isIdempotent && promisingStatuses.has(status)) return createTextAnswer(statusBadGateway, `the server answered ${status}; the request may have run`)
  return { status, headers, body } as CallAnswer
}

/** Creates the record of an answer that was written while it was received, to its end or until its connection was reset. */
export function createStreamedAnswer (status: number, streamed: 'complete' | 'broken'): CallAnswer {
  return { status, headers: {}, body: Buffer.alloc(0), streamed } as unknown as CallAnswer
}
