/** Admission: whether a request can still be served in time, judged before anything is spent on it. */
import type { Millis } from '@lynxcourse/base'

/** What admission knows when a request arrives. */
export interface AdmissionInput {
  readonly deadline: Millis
  /** Slots that this VM may fill for the service, in all places open to the request. */
  readonly slots: number
  readonly waiting: number
  /** Smoothed service time. */
  readonly serviceMs: Millis
  /** Two-way latency to the nearest place, with that of a claim if one is needed. */
  readonly overheadMs: Millis
}

/** Shortest and longest times that a caller is told to stay away, in milliseconds. */
const minRetryAfterMs = 200
const maxRetryAfterMs = 30_000

/** The time at which a request that arrives now would end. */
export function expectedEnd (input: AdmissionInput, now: Millis): Millis {
  const waves = Math.floor(input.waiting / Math.max(1, input.slots))
  return now + input.overheadMs + (waves + 1) * input.serviceMs
}

/** Whether a request would end before its deadline. */
export function canFinish (input: AdmissionInput, now: Millis): boolean {
  return input.slots > 0 && expectedEnd(input, now) <= input.deadline
}

/** When a refused caller should come back: when the present queue will have been served. */
export function retryAfter (input: AdmissionInput): Millis {
  const queueMs = Math.ceil(input.waiting / Math.max(1, input.slots)) * input.serviceMs
  return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, Math.ceil(queueMs)))
}
