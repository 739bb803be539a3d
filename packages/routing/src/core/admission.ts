/** Admission: whether a request can still be served in time, judged before anything is spent on it. */
import type { Millis } from '@lynxcourse/base'
import type { QueueItem } from './deadlineQueue.js'

/** What admission knows when a request arrives. */
export interface AdmissionInput {
  readonly deadline: Millis
  /** Slots that this VM may fill for the service, in all places open to the request. */
  readonly slots: number
  readonly queueLength: number
  /** Smoothed service time. */
  readonly serviceMs: Millis
  /** Smoothed time between two requests that ended while others waited; 0 while nobody had to wait. */
  readonly completionIntervalMs: Millis
  /** Two-way latency to the nearest place, with that of a claim if one is needed. */
  readonly overheadMs: Millis
}

/** Shortest and longest times that a caller is told to stay away, in milliseconds. */
const minRetryAfterMs = 200
const maxRetryAfterMs = 30_000

/**
 * Waits are taken for this much longer than the present pace says. The pace of a VM that shares servers
 * with others wanders; without a margin many are let in that are turned away after a long wait.
 */
const waitMargin = 1.5

/** The time at which a request that arrives now would end, with some caution. */
export function expectedEnd (input: AdmissionInput, now: Millis): Millis {
  return now + input.overheadMs + expectedWait(input) * waitMargin + input.serviceMs
}

/**
 * How long a request that arrives now would wait. Slots tell too little where several VMs fill the same
 * ones, so the pace at which requests really end is asked as well; the longer answer counts.
 */
export function expectedWait (input: AdmissionInput): Millis {
  const bySlots = Math.floor(input.queueLength / Math.max(1, input.slots)) * input.serviceMs
  const byPace = input.queueLength * input.completionIntervalMs
  return Math.max(bySlots, byPace)
}

/** Whether a request would end before its deadline. */
export function canCompleteInTime (input: AdmissionInput, now: Millis): boolean {
  return input.slots > 0 && expectedEnd(input, now) <= input.deadline
}

/** Most sheds of one request while others wait for the same service: then there is no room, and it hears so. */
const maxShedsInQueue = 8

/** Most sheds of one request at all; each costs a message. */
const maxSheds = 60

/** Whether a request that was shed so often may go on looking for a slot. */
export function canRetryAfterSheds (sheds: number, waiting: number): boolean {
  return sheds < (waiting > 0 ? maxShedsInQueue : maxSheds)
}

/** Part of a request's time, and most of it in milliseconds, that is kept for the answer to its last send. */
const answerPart = 0.25
const maxAnswerMs = 100

/**
 * The time after which a request that was shed is not sent again. A send shortly before the deadline is cut
 * while it is under way: the caller of a request that no server started then hears that its outcome is
 * unknown (three of seven requests that all servers shed, with 300 ms to go, on loopback), and may not repeat it.
 */
export function getLatestResendTime (arrivedAt: Millis, deadline: Millis): Millis {
  return deadline - Math.min(maxAnswerMs, (deadline - arrivedAt) * answerPart)
}

/** When a refused caller should come back: when the present queue will have been served. */
export function getRetryAfterMs (input: AdmissionInput): Millis {
  return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, Math.ceil(expectedWait(input))))
}

/** The pace at which requests end while others wait. */
export interface CompletionRate {
  /** Smoothed time between two ends; 0 while unknown. */
  intervalMs: Millis
  /** When the last request ended, if somebody has waited ever since. */
  lastAt: Millis | undefined
}

const paceSmoothing = 0.1

export function createCompletionRate (): CompletionRate {
  return { intervalMs: 0, lastAt: undefined }
}

/** Notes that a request ended while others waited. */
export function recordCompletion (pace: CompletionRate, now: Millis): void {
  if (pace.lastAt !== undefined) {
    const gap = now - pace.lastAt
    pace.intervalMs = pace.intervalMs === 0 ? gap : pace.intervalMs + (gap - pace.intervalMs) * paceSmoothing
  }
  pace.lastAt = now
}

/** Notes that nobody waits: the next gap would count idle time. */
export function pauseCompletionRate (pace: CompletionRate): void {
  pace.lastAt = undefined
}

/**
 * Those who wait and can't be served in time at the present pace. They are told at once: held until
 * their deadlines they would learn the same, later.
 */
export function findUnservable<Item extends QueueItem> (items: readonly Item[], pace: CompletionRate, serviceMs: Millis, now: Millis): Item[] {
  const inOrder = [...items].sort((a, b) => a.deadline - b.deadline || a.order - b.order)
  const hopeless: Item[] = []
  let place = 0
  for (const item of inOrder) {
    if (now + place * pace.intervalMs + serviceMs > item.deadline) hopeless.push(item)
    else place += 1
  }
  return hopeless
}
