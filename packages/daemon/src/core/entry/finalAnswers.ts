/** Creates and writes final answers. */
import type { ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import { isLynxError, getErrorMessage } from '@lynxcourse/base'
import type { LynxError, Millis } from '@lynxcourse/base'
import type { StoredAnswer } from '@lynxcourse/state'
import { outcomeHeader, serverHeader, vmHeader } from '../../types/answers.js'
import type { FinalAnswer, Outcome } from '../../types/answers.js'
import type { Node } from '../node/node.js'

const statusByOutcome: Record<Exclude<Outcome, 'done'>, number> = {
  'not-run': 503,
  unknown: 502,
  'too-late': 504,
  refused: 400
}

/** Creates an answer of this system, in contrast to the answer of a backend server. */
export function createAnswer (outcome: Exclude<Outcome, 'done'>, detail: string, retryAfterMs?: Millis, status: number = statusByOutcome[outcome]): FinalAnswer {
  const body = Buffer.from(`${JSON.stringify({ outcome, detail })}\n`)
  return { outcome, status, headers: { 'content-type': 'application/json' }, body, retryAfterMs, server: undefined, detail }
}

/** Returns the stored answer of a request that completed earlier. */
export function restoreStoredAnswer (answer: StoredAnswer | undefined): FinalAnswer {
  if (answer?.body === undefined) {
    const body = Buffer.from(`${JSON.stringify({ outcome: 'done', detail: 'done before; its answer was too large to be kept' })}\n`)
    return { outcome: 'done', status: answer?.status ?? 200, headers: { 'content-type': 'application/json' }, body, retryAfterMs: undefined, server: undefined, detail: 'done before' }
  }
  return {
    outcome: 'done',
    status: answer.status,
    headers: { 'content-type': answer.contentType },
    body: Buffer.from(answer.body, 'base64'),
    retryAfterMs: undefined,
    server: undefined,
    detail: 'done before'
  }
}

const statusByErrorCode: Partial<Record<LynxError['code'], number>> = {
  badRequest: 400,
  badRequestId: 400,
  unknownService: 404,
  notFound: 404,
  notAllowed: 403,
  tooLarge: 413,
  tooLate: 400,
  overCapacity: 503
}

/** Creates the answer to a request that failed with an error before a server could answer it. */
export function createRefusal (err: unknown): FinalAnswer {
  const status = isLynxError(err) ? statusByErrorCode[err.code] ?? 500 : 500
  return createAnswer('refused', getErrorMessage(err), undefined, status)
}

function buildHeaders (node: Node, answer: FinalAnswer): Record<string, string | string[] | number> {
  const headers: Record<string, string | string[] | number> = { ...answer.headers, [outcomeHeader]: answer.outcome, [vmHeader]: node.cfg.vm }
  if (answer.server !== undefined) headers[serverHeader] = answer.server
  if (answer.retryAfterMs !== undefined) {
    headers['retry-after'] = Math.max(1, Math.ceil(answer.retryAfterMs / 1000))
    headers['lynx-retry-after-ms'] = Math.ceil(answer.retryAfterMs)
  }
  if (Buffer.isBuffer(answer.body)) headers['content-length'] = answer.body.length
  return headers
}

/** Writes an answer; resolves when it is written or the caller has disconnected. */
export async function writeAnswer (node: Node, res: ServerResponse, answer: FinalAnswer): Promise<void> {
  if (res.destroyed) return
  res.writeHead(answer.status, buildHeaders(node, answer))
  if (Buffer.isBuffer(answer.body)) {
    res.end(answer.body)
    return
  }
  // If the body breaks off, the connection is closed, so that the caller does not mistake a truncated answer for a
  // complete one.
  await pipeline(answer.body, res).catch(() => res.destroy())
}
