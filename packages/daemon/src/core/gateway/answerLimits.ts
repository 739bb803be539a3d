/**
 * Bounds what backend servers may send for a request.
 *
 * A faulty server can send bytes without end: in a status line, in interim answers, between the parts of a chunked body, or as a body. The parser of the
 * HTTP client limits header fields only. Without bounds, such a server takes an entry VM's processor for as long as the request lasts, and
 * some of them together take all of its memory.
 */

/** Maximum size of an answer in memory; a caller gets an answer only after the whole of it was checked. */
export const maxAnswerBytes = 16_777_216
/** Default of the maximum size of all answers in memory that are not complete yet. */
export const maxHeldBytes = 67_108_864
/** Bytes of an answer that belong to no body: heads, interim answers, chunk sizes and trailers. */
const maxOverheadBytes = 131_072

/** The answers that are being received, over all servers. */
export interface AnswerBudget {
  readonly maxBytes: number
  /** Called for each part of a body that is kept until its answer is complete. */
  readonly onPart: (bytes: number) => void
  heldBytes: number
  count: number
}

/** One answer of the budget. */
export interface AnswerMeter {
  readonly budget: AnswerBudget
  /** Bytes that the connection had received before the request was written. */
  readonly readBefore: number
  bodyBytes: number
  heldBytes: number
  isReleased: boolean
}

export function createAnswerBudget (maxBytes = maxHeldBytes, onPart: (bytes: number) => void = () => undefined): AnswerBudget {
  return { maxBytes, onPart, heldBytes: 0, count: 0 }
}

export function createAnswerMeter (budget: AnswerBudget, readBefore: number): AnswerMeter {
  budget.count += 1
  return { budget, readBefore, bodyBytes: 0, heldBytes: 0, isReleased: false }
}

/**
 * Counts a part of a body.
 *
 * @param isHeld whether the part stays in memory until the answer is complete
 * @param announcedBytes length of the whole body, for which memory is reserved with the first part; undefined if it is unknown
 * @returns whether the answer is within its limits; if memory is short, answers larger than the mean are not
 */
export function recordBodyPart (meter: AnswerMeter, bytes: number, isHeld: boolean, announcedBytes?: number): boolean {
  meter.bodyBytes += bytes
  if (!isHeld || meter.isReleased) return true
  const { budget } = meter
  budget.onPart(bytes)
  const heldBytes = Math.max(meter.bodyBytes, announcedBytes ?? 0)
  budget.heldBytes += heldBytes - meter.heldBytes
  meter.heldBytes = heldBytes
  if (heldBytes > maxAnswerBytes) return false
  return budget.heldBytes <= budget.maxBytes || meter.heldBytes <= budget.heldBytes / budget.count
}

/** Returns the answer's memory to the budget: it is complete, or was given up. */
export function releaseMeter (meter: AnswerMeter): void {
  if (meter.isReleased) return
  meter.isReleased = true
  meter.budget.heldBytes -= meter.heldBytes
  meter.budget.count -= 1
}

/**
 * Whether a server has sent more than an answer needs besides its body. Small chunks are as large as their content at most.
 *
 * @param bytesRead bytes that the connection has received, including those that were not parsed yet
 */
export function hasExcessiveOverhead ({ readBefore, bodyBytes }: AnswerMeter, bytesRead: number): boolean {
  return bytesRead - readBefore - bodyBytes > maxOverheadBytes + bodyBytes
}
