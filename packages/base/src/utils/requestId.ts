/**
 * Request ids are UUID v7 (RFC 9562, section 5.7): the first 48 bits are the issue time in
 * milliseconds of the Unix epoch. The register of claims needs that time to refuse ids that are
 * older than the records it keeps.
 */
import { LynxError } from './errors.js'
import type { RequestId } from '../types/ids.js'

const uuidV7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/

/** Whether a text is a UUID v7 in its canonical form. */
export function isRequestId (text: string): text is RequestId {
  return uuidV7.test(text)
}

/**
 * Checks the text of a request id; upper case is taken as lower case.
 *
 * @throws LynxError `badRequestId` when it is no UUID v7
 */
export function parseRequestId (text: string): RequestId {
  const id = text.trim().toLowerCase()
  if (!isRequestId(id)) {
    throw new LynxError('badRequestId', 'Idempotency-Key must be a UUID v7', { step: 'parse', field: 'Idempotency-Key' })
  }
  return id
}

/** Issue time of a request id, in milliseconds of the Unix epoch. */
export function getIssueTime (id: RequestId): number {
  return parseInt(id.slice(0, 8) + id.slice(9, 13), 16)
}

/**
 * Makes a request id.
 *
 * @param now Unix time in milliseconds
 * @param random draws a number in [0, 1)
 */
export function createRequestId (now: number, random: () => number): RequestId {
  const time = Math.floor(now).toString(16).padStart(12, '0')
  const digits = (count: number): string =>
    Array.from({ length: count }, () => Math.floor(random() * 16).toString(16)).join('')
  const variant = '89ab'[Math.floor(random() * 4)]
  return `${time.slice(0, 8)}-${time.slice(8)}-7${digits(3)}-${variant}${digits(3)}-${digits(12)}` as RequestId
}
