/** Answers of the gateway itself, as opposed to those of backend servers. */
import type { Millis } from '@lynxcourse/base'
import type { HeaderMap } from '../../types/answers.js'
import type { CallAnswer } from './call.js'
import type { CallerDialect } from './dialects.js'

/** Retry time for callers of a VM that may not use its state: other VMs are likely to be able to serve them. */
export const unconfirmedStateRetryMs: Millis = 500

const statusTooMany = 429
const statusUnavailable = 503

/**
 * Creates the answer to a request that did not run and will not run.
 *
 * @param retryAfterMs time after which the caller may retry; undefined if no time helps
 */
export function createRefusal (callers: CallerDialect, detail: string, retryAfterMs: Millis | undefined): CallAnswer {
  const headers = retryAfterMs === undefined ? {} : callers.buildRefusalHeaders(retryAfterMs)
  return createTextAnswer(statusUnavailable, `not run: ${detail}`, headers)
}

/** Creates the answer to a request that did not run because its team is over its rate. */
export function createRateRefusal (callers: CallerDialect, detail: string, retryAfterMs: Millis): CallAnswer {
  return { ...createRefusal(callers, detail, retryAfterMs), status: statusTooMany }
}

/** Creates an answer with one line of text. */
export function createTextAnswer (status: number, detail: string, headers: HeaderMap = {}): CallAnswer {
  return { status, headers, body: Buffer.from(`${detail}\n`) }
}
