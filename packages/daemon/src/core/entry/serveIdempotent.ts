/**
 * Serves requests that may run twice: retries them at other servers within the retry budget, and hedges if the profile
 * says so.
 */
import { canRetryAfterSheds, spendRetry } from '@lynxcourse/routing'
import { createLinkedSignal } from '../../utils/cancelSignal.js'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import type { FinalAnswer } from '../../types/answers.js'
import { toFinalAnswer, runAttemptInSlot, acquireUsableSlot, hasEnded, logNotServed, applyAttemptEvent } from './attemptSteps.js'
import type { AttemptChartState } from './attemptSteps.js'
import type { AttemptResult } from './attempts.js'
import { createAnswer } from './finalAnswers.js'
import { findRestriction } from '../crashes/crashWatch.js'
import { getAdmissionFailure, getRetryBudget, getRetryDelayMs, canServeInTime } from './servedRequest.js'
import type { ServedRequest } from './servedRequest.js'
import { getQueueLength } from './slots.js'
import type { Slot } from './serviceQueue.js'

/** State of one idempotent request. */
interface IdempotentRun {
  readonly serving: ServedRequest
  readonly life: AttemptChartState
  readonly triedServers: Set<string>
  /** Number of attempts, without those that servers shed. */
  attempts: number
  /** How often servers shed the request. */
  sheds: number
  /** Whether an attempt was sent and got no complete answer, so the request may have run. */
  sent: boolean
}

/** Result of an attempt, with the slot that it used. */
interface FinishedAttempt {
  readonly slot: Slot
  readonly result: AttemptResult
}

/** Serves an idempotent request and returns its final answer. */
export async function serveIdempotent (serving: ServedRequest): Promise<FinalAnswer> {
  const life = { state: serving.entry.attemptChart.initial }
  const run: IdempotentRun = { serving, life, triedServers: new Set(), attempts: 0, sheds: 0, sent: false }
  if (!canServeInTime(serving)) return failRequest(run, getAdmissionFailure(serving))
  while (!hasEnded(serving, life)) {
    const slot = await acquireUsableSlot(serving, run.triedServers, serving.request.deadline)
    if (typeof slot === 'string') return failRequest(run, slot === 'full' ? 'queue is full' : 'no slot in time')
    applyAttemptEvent(serving, life, 'send')
    const finished = await runHedgedAttempt(run, slot)
    if (finished.result.type === 'answered') {
      applyAttemptEvent(serving, life, 'answer')
      return toFinalAnswer(finished.slot, finished.result)
    }
    const finalAnswer = handleFailedAttempt(run, finished.result)
    if (finalAnswer !== undefined) return finalAnswer
  }
  return failRequest(run, 'ended')
}

/** Records a failed attempt. Returns the final answer, or undefined if another attempt may follow. */
function handleFailedAttempt (run: IdempotentRun, result: Exclude<AttemptResult, { type: 'answered' }>): FinalAnswer | undefined {
  const { serving } = run
  applyAttemptEvent(serving, run.life, result.type === 'shed' ? 'shed' : 'fail')
  if (result.type === 'lost') run.sent = true
  const isTerminal = result.type === 'lost' && (result.reason === 'deadline' || result.reason === 'gone')
  if (isTerminal || getCurrentTime() >= serving.request.deadline) return failRequest(run, 'deadline passed')
  const { watched } = serving.request
  const isRestricted = watched !== undefined && findRestriction(serving.entry.crashes, watched, getCurrentTime()) !== undefined
  const mayRetry = !(isRestricted && run.sent) && run.attempts < serving.request.profile.maxAttempts && canRetryAfterSheds(run.sheds, getQueueLength(serving.entry, serving.request.service)) && serving.request.isReplayable
  // A shed costs the server no work, so a retry after it spends nothing from the retry budget.
  const hasBudget = result.type === 'shed' || spendRetry(getRetryBudget(serving.entry, serving.request.service))
  if (!mayRetry || !hasBudget) return failRequest(run, result.type === 'shed' ? 'servers shed' : 'attempts failed')
  return undefined
}

function failRequest (run: IdempotentRun, reason: string): FinalAnswer {
  const { serving } = run
  logNotServed(serving, reason)
  const isLate = getCurrentTime() >= serving.request.deadline || run.sent
  return createAnswer(isLate ? 'too-late' : 'not-run', reason, getRetryDelayMs(serving))
}

async function runCountedAttempt (run: IdempotentRun, slot: Slot, signal: CancelSignal): Promise<FinishedAttempt> {
  const { id } = slot.observed.backend
  run.attempts += 1
  run.triedServers.add(id)
  const result = await runAttemptInSlot(run.serving, slot, signal)
  // A silent connection is not the server's fault: a new connection to the same server may succeed.
  if (result.type === 'lost' && result.reason === 'silent') run.triedServers.delete(id)
  // A shed is not a failed attempt. Routing keeps all requests of this VM away from the server for a short time anyway.
  if (result.type === 'shed') {
    run.triedServers.delete(id)
    run.attempts -= 1
    run.sheds += 1
  }
  return { slot, result }
}

/**
 * Runs an attempt. If it is slow and the retry budget allows, runs a second attempt in parallel; the first answer wins.
 */
async function runHedgedAttempt (run: IdempotentRun, slot: Slot): Promise<FinishedAttempt> {
  const { serving } = run
  const { hedgeAfterMs, maxAttempts } = serving.request.profile
  const mayHedge = !serving.isTrial && hedgeAfterMs > 0 && run.attempts + 1 < maxAttempts && serving.request.isReplayable
  if (!mayHedge) return await runCountedAttempt(run, slot, serving.signal)
  const firstCancel = createLinkedSignal(serving.signal)
  const first = runCountedAttempt(run, slot, firstCancel)
  const earlyResult = await awaitAtMost(first, hedgeAfterMs)
  if (earlyResult !== undefined) return earlyResult
  if (!spendRetry(getRetryBudget(serving.entry, serving.request.service))) return await first
  const secondSlot = await acquireUsableSlot(serving, run.triedServers, serving.request.deadline)
  if (typeof secondSlot === 'string') return await first
  const secondCancel = createLinkedSignal(serving.signal)
  const second = runCountedAttempt(run, secondSlot, secondCancel)
  return await raceAttempts(first, second, firstCancel, secondCancel)
}

/**
 * Returns the attempt that ends first and cancels the other one; if the first got no answer, waits for the other one.
 */
async function raceAttempts (first: Promise<FinishedAttempt>, second: Promise<FinishedAttempt>, firstCancel: CancelSignal, secondCancel: CancelSignal): Promise<FinishedAttempt> {
  const winner = await Promise.race([
    first.then(finished => ({ finished, other: second, otherCancel: secondCancel })),
    second.then(finished => ({ finished, other: first, otherCancel: firstCancel }))
  ])
  if (winner.finished.result.type !== 'answered') return await winner.other
  winner.otherCancel.abort()
  winner.other.then(discardLoser).catch(() => undefined)
  return winner.finished
}

/** Closes the streamed body of a cancelled attempt that answered nevertheless, which releases its slot. */
function discardLoser (loser: FinishedAttempt): void {
  if (loser.result.type === 'answered' && !Buffer.isBuffer(loser.result.body)) loser.result.body.destroy()
}

/** Waits for a promise; returns undefined after `ms` milliseconds without a result. */
async function awaitAtMost<Value> (work: Promise<Value>, ms: number): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<undefined>(resolve => { timer = setTimeout(() => resolve(undefined), ms) })
  try {
    return await Promise.race([work, timeout])
  } finally {
    clearTimeout(timer)
  }
}
