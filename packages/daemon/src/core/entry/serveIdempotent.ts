/** Serves requests that may run twice: tries elsewhere, within a budget, and hedges if told to. */
import { canRetryAfterSheds, spendRetry } from '@lynxcourse/routing'
import { createLinkedSignal } from '../../utils/cancelSignal.js'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import type { FinalAnswer } from '../../types/answers.js'
import { answerFrom, attemptIn, getSlot, isEnded, logRefused, takeAttemptEvent } from './attemptSteps.js'
import type { RequestLife } from './attemptSteps.js'
import type { AttemptResult } from './attempts.js'
import { ownAnswer } from './finalAnswers.js'
import { budgetOf, comeBackAfter, isAdmitted } from './servedRequest.js'
import type { Serving } from './servedRequest.js'
import { waitingFor } from './slots.js'
import type { Slot } from './serviceQueue.js'

interface Run {
  readonly serving: Serving
  readonly life: RequestLife
  readonly tried: Set<string>
  attempts: number
  sheds: number
  sent: boolean
}

interface Finished {
  readonly slot: Slot
  readonly result: AttemptResult
}

/** Serves an idempotent request. */
export async function serveRepeatable (serving: Serving): Promise<FinalAnswer> {
  const life = { state: serving.entry.attemptChart.initial }
  const run: Run = { serving, life, tried: new Set(), attempts: 0, sheds: 0, sent: false }
  if (!isAdmitted(serving)) return giveUp(run, 'no capacity in time')
  while (!isEnded(serving, life)) {
    const slot = await getSlot(serving, run.tried, serving.request.deadline)
    if (typeof slot === 'string') return giveUp(run, slot === 'full' ? 'queue is full' : 'no slot in time')
    takeAttemptEvent(serving, life, 'send')
    const finished = await attemptOrHedge(run, slot)
    if (finished.result.type === 'answered') {
      takeAttemptEvent(serving, life, 'answer')
      return answerFrom(finished.slot, finished.result)
    }
    const last = noteFailed(run, finished.result)
    if (last !== undefined) return last
  }
  return giveUp(run, 'ended')
}

/** Notes a failed attempt; an answer if there is to be no other. */
function noteFailed (run: Run, result: Exclude<AttemptResult, { type: 'answered' }>): FinalAnswer | undefined {
  const { serving } = run
  takeAttemptEvent(serving, run.life, result.type === 'shed' ? 'shed' : 'fail')
  if (result.type === 'lost') run.sent = true
  const isOver = result.type === 'lost' && (result.reason === 'deadline' || result.reason === 'gone')
  if (isOver || getCurrentTime() >= serving.request.deadline) return giveUp(run, 'deadline passed')
  const mayRetry = run.attempts < serving.request.profile.maxAttempts && canRetryAfterSheds(run.sheds, waitingFor(serving.entry, serving.request.service)) && serving.request.isReplayable
  // A shed costs the server nothing, so it takes nothing from the budget.
  const hasBudget = result.type === 'shed' || spendRetry(budgetOf(serving.entry, serving.request.service))
  if (!mayRetry || !hasBudget) return giveUp(run, result.type === 'shed' ? 'servers shed' : 'attempts failed')
  return undefined
}

function giveUp (run: Run, reason: string): FinalAnswer {
  const { serving } = run
  logRefused(serving, reason)
  const isLate = getCurrentTime() >= serving.request.deadline || run.sent
  return ownAnswer(isLate ? 'too-late' : 'not-run', reason, comeBackAfter(serving))
}

async function startAttempt (run: Run, slot: Slot, signal: CancelSignal): Promise<Finished> {
  const { id } = slot.observed.backend
  run.attempts += 1
  run.tried.add(id)
  const result = await attemptIn(run.serving, slot, signal)
  // The connection was at fault, not the server: a new one to the same server may well do.
  if (result.type === 'lost' && result.reason === 'silent') run.tried.delete(id)
  // A server that shed is left alone for a moment by all of this VM's requests; it is no failed try.
  if (result.type === 'shed') {
    run.tried.delete(id)
    run.attempts -= 1
    run.sheds += 1
  }
  return { slot, result }
}

/** Runs an attempt; if it is slow and the budget allows, a second one beside it. The first answer wins. */
async function attemptOrHedge (run: Run, slot: Slot): Promise<Finished> {
  const { serving } = run
  const { hedgeAfterMs, maxAttempts } = serving.request.profile
  const mayHedge = hedgeAfterMs > 0 && run.attempts + 1 < maxAttempts && serving.request.isReplayable
  if (!mayHedge) return await startAttempt(run, slot, serving.signal)
  const firstStop = createLinkedSignal(serving.signal)
  const first = startAttempt(run, slot, firstStop)
  const early = await orAfter(first, hedgeAfterMs)
  if (early !== undefined) return early
  if (!spendRetry(budgetOf(serving.entry, serving.request.service))) return await first
  const secondSlot = await getSlot(serving, run.tried, serving.request.deadline)
  if (typeof secondSlot === 'string') return await first
  const secondStop = createLinkedSignal(serving.signal)
  const second = startAttempt(run, secondSlot, secondStop)
  return await firstAnswer(first, second, firstStop, secondStop)
}

async function firstAnswer (first: Promise<Finished>, second: Promise<Finished>, firstStop: CancelSignal, secondStop: CancelSignal): Promise<Finished> {
  const winner = await Promise.race([
    first.then(finished => ({ finished, other: second, otherStop: secondStop })),
    second.then(finished => ({ finished, other: first, otherStop: firstStop }))
  ])
  if (winner.finished.result.type !== 'answered') return await winner.other
  winner.otherStop.abort()
  winner.other.then(discard).catch(() => undefined)
  return winner.finished
}

/** A loser that answered all the same: its streamed body is closed, which gives its slot back. */
function discard (loser: Finished): void {
  if (loser.result.type === 'answered' && !Buffer.isBuffer(loser.result.body)) loser.result.body.destroy()
}

async function orAfter<Value> (work: Promise<Value>, ms: number): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<undefined>(resolve => { timer = setTimeout(() => resolve(undefined), ms) })
  try {
    return await Promise.race([work, timeout])
  } finally {
    clearTimeout(timer)
  }
}
