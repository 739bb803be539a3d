/** Admission control: estimates whether a request can complete before its deadline, before any work is spent on it. */
import type { Millis } from '@lynxcourse/base'
import type { QueueItem } from './deadlineQueue.js'

/** What is known when a request arrives. */
export interface AdmissionInput {
  readonly deadline: Millis
  /** Slots that this VM may use for the service, in all regions available to the request. */
  readonly slots: number
  /** Number of requests that already wait for the service. */
  readonly queueLength: number
  /** Smoothed service time. */
  readonly serviceMs: Millis
  /** Smoothed interval between completions while other requests wait; 0 as long as no request had to wait. */
  readonly completionIntervalMs: Millis
  /** Round-trip time to the first region, plus that of a claim if the request needs one. */
  readonly overheadMs: Millis
  /** Time until some server takes a request of this VM, by what the servers have said; omitted if one takes it now. */
  readonly requestDelayMs?: Millis
}

/** Bounds of the retry delay sent to rejected callers, in milliseconds. */
const minRetryAfterMs = 200
const maxRetryAfterMs = 30_000

/**
 * Factor applied to estimated waiting times. The completion rate of a VM that shares servers with other VMs
 * fluctuates; without a margin, many requests are admitted that are rejected later, after a long wait.
 */
const waitMargin = 1.5

/** Estimates when a request that arrives now would complete, with a margin for the waiting time. */
export function estimateCompletion (input: AdmissionInput, now: Millis): Millis {
  return now + input.overheadMs + estimateWaitMs(input) * waitMargin + input.serviceMs
}

/**
 * Estimates how long a request that arrives now would wait. The number of slots alone is not enough where several VMs
 * use the same slots, so the completion rate is considered as well; the longer of both estimates counts.
 */
export function estimateWaitMs (input: AdmissionInput): Millis {
  const bySlots = Math.floor(input.queueLength / Math.max(1, input.slots)) * input.serviceMs
  const byCompletions = input.queueLength * input.completionIntervalMs
  const byServers = (input.requestDelayMs ?? 0) * (1 + input.queueLength)
  return Math.max(bySlots, byCompletions, byServers)
}

/** Returns whether a request is expected to complete before its deadline. */
export function canCompleteInTime (input: AdmissionInput, now: Millis): boolean {
  return input.slots > 0 && estimateCompletion(input, now) <= input.deadline
}

/** Sheds after which a request is rejected if others wait for the same service, since the service has no free capacity. */
const maxShedsWithQueue = 8

/** Sheds after which a request is rejected in any case, since each shed costs a message. */
const maxSheds = 60

/**
 * Returns whether a request may try another slot after servers shed it.
 *
 * @param sheds how often the request was shed
 * @param waiting number of requests that wait for the same service
 */
export function canRetryAfterSheds (sheds: number, waiting: number): boolean {
  return sheds < (waiting > 0 ? maxShedsWithQueue : maxSheds)
}

/** Time reserved for the response to the last send: a fraction of the request's total time, up to a maximum. */
const responseFraction = 0.25
const maxResponseMs = 100

/**
 * Returns the time after which a request that was shed is not sent again. A request sent shortly before its deadline
 * is aborted in transit, and its caller receives an unknown outcome and must not repeat it although no server started
 * it. With 300 ms to the deadline this happened to three of seven requests that all servers shed, even over loopback.
 */
export function getLatestResendTime (arrivedAt: Millis, deadline: Millis): Millis {
  return deadline - Math.min(maxResponseMs, (deadline - arrivedAt) * responseFraction)
}

/**
 * Returns the delay after which a rejected caller should retry: the estimated time to serve the present queue, and not before some
 * server takes requests.
 */
export function getRetryAfterMs (input: AdmissionInput): Millis {
  const { requestDelayMs = 0 } = input
  const closedMs = Number.isFinite(requestDelayMs) ? requestDelayMs : 0
  return Math.max(closedMs, Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, Math.ceil(estimateWaitMs(input)))))
}

/** Tracks the rate at which requests complete while others wait. */
export interface CompletionRate {
  /** Smoothed interval between two completions; 0 while unknown. */
  intervalMs: Millis
  /** Time of the last completion; undefined if the queue has been empty since. */
  lastAt: Millis | undefined
}

const intervalSmoothing = 0.1

export function createCompletionRate (): CompletionRate {
  return { intervalMs: 0, lastAt: undefined }
}

/** Records that a request completed while others waited. */
export function recordCompletion (pace: CompletionRate, now: Millis): void {
  if (pace.lastAt !== undefined) {
    const interval = now - pace.lastAt
    pace.intervalMs = pace.intervalMs === 0 ? interval : pace.intervalMs + (interval - pace.intervalMs) * intervalSmoothing
  }
  pace.lastAt = now
}

/** Records that the queue is empty, so that the next interval does not include idle time. */
export function pauseCompletionRate (pace: CompletionRate): void {
  pace.lastAt = undefined
}

/**
 * Finds the waiting requests that cannot complete before their deadlines at the present completion rate. Rejecting them
 * immediately lets their callers know before the deadline.
 */
export function findUnservable<Item extends QueueItem> (items: readonly Item[], pace: CompletionRate, serviceMs: Millis, now: Millis): Item[] {
  const inOrder = [...items].sort((a, b) => a.deadline - b.deadline || a.order - b.order)
  const unservable: Item[] = []
  let position = 0
  for (const item of inOrder) {
    if (now + position * pace.intervalMs + serviceMs > item.deadline) unservable.push(item)
    else position += 1
  }
  return unservable
}
