/** Serves requests that must not run twice: executes the effects that `OnceFlow` returns. */
import { continueAfterAttempt, continueAfterClaim, continueAfterRecord, continueAfterSlot, createOnceFlow, getLatestResendTime, canRetryAfterSheds, startOnceFlow } from '@lynxcourse/routing'
import type { OnceEffect, OnceFlow } from '@lynxcourse/routing'
import type { ClaimAnswer, StoredAnswer } from '@lynxcourse/state'
import type { Millis, RequestId } from '@lynxcourse/base'
import { getCurrentTime } from '../../utils/clock.js'
import type { FinalAnswer, HeaderMap } from '../../types/answers.js'
import { toFinalAnswer, runAttemptInSlot, acquireUsableSlot, logNotServed } from './attemptSteps.js'
import { claimRequestId, recordOutcome, recordOutcomeInBackground } from './claimClient.js'
import { restoreStoredAnswer, createAnswer } from './finalAnswers.js'
import { getAdmissionFailure, getRetryDelayMs, canServeInTime } from './servedRequest.js'
import type { ServedRequest } from './servedRequest.js'
import type { AttemptResult } from './attempts.js'
import { getQueueLength } from './slots.js'
import type { Slot } from './serviceQueue.js'

/** Time to record a request as not run. After it, the caller receives `unknown` instead of `not-run`. */
const notRunRecordTimeoutMs = 1000

/** Retry delay sent to a caller whose request id is still in use by an earlier copy of the request. */
const inProgressRetryMs = 1000

/** State of one request that must not run twice. */
interface OnceRun {
  readonly serving: ServedRequest
  readonly flow: OnceFlow
  readonly id: RequestId
  readonly token: string
  readonly triedServers: Set<string>
  /** How often servers shed the request. */
  sheds: number
  claimed: ClaimAnswer | undefined
  slot: Slot | undefined
  result: AttemptResult | undefined
}

/** Serves a request that must not run twice and returns its final answer. */
export async function serveOnce (serving: ServedRequest): Promise<FinalAnswer> {
  const run: OnceRun = {
    serving,
    flow: createOnceFlow(serving.entry.attemptChart),
    id: serving.request.id as RequestId,
    token: `t${serving.entry.nextSequence++}`,
    triedServers: new Set(),
    sheds: 0,
    claimed: undefined,
    slot: undefined,
    result: undefined
  }
  let effect = startOnceFlow(run.flow, canServeInTime(serving), getAdmissionFailure(serving))
  while (effect.type !== 'answer') effect = await executeEffect(run, effect)
  return finishRequest(run, effect)
}

async function executeEffect (run: OnceRun, effect: Exclude<OnceEffect, { type: 'answer' }>): Promise<OnceEffect> {
  switch (effect.type) {
    case 'claim': return await runClaimStep(run)
    case 'getSlot': return await runSlotStep(run)
    case 'send': return await runSendStep(run)
    case 'recordNotRun': return await runRecordStep(run, effect.reason)
  }
}

async function runClaimStep (run: OnceRun): Promise<OnceEffect> {
  const { serving, flow } = run
  try {
    run.claimed = await claimRequestId(serving.entry.claiming, run.id, run.token, serving.request.deadline)
    return continueAfterClaim(flow, run.claimed.result)
  } catch {
    return continueAfterClaim(flow, 'noAnswer')
  }
}

async function runSlotStep (run: OnceRun): Promise<OnceEffect> {
  const slot = await acquireUsableSlot(run.serving, run.triedServers, getLatestSendTime(run))
  if (typeof slot === 'string') return continueAfterSlot(run.flow, slot === 'full' ? 'queue is full' : 'no slot in time')
  run.slot = slot
  run.triedServers.add(slot.observed.backend.id)
  return continueAfterSlot(run.flow, undefined)
}

async function runSendStep (run: OnceRun): Promise<OnceEffect> {
  const result = await runAttemptInSlot(run.serving, run.slot as Slot, run.serving.signal)
  run.result = result
  if (result.type === 'shed') {
    // A shed is not a failed attempt. Routing keeps all requests of this VM away from the server for a short time anyway.
    run.triedServers.delete((run.slot as Slot).observed.backend.id)
    run.sheds += 1
  }
  return continueAfterAttempt(run.flow, result.type, canSendAgain(run))
}

function canSendAgain (run: OnceRun): boolean {
  const { request } = run.serving
  const hasAttemptsLeft = run.triedServers.size < request.profile.maxAttempts && canRetryAfterSheds(run.sheds, getQueueLength(run.serving.entry, request.service))
  return request.isReplayable && hasAttemptsLeft && getCurrentTime() < getLatestSendTime(run)
}

function getLatestSendTime (run: OnceRun): Millis {
  const { arrivedAt, deadline } = run.serving.request
  return run.sheds === 0 ? deadline : getLatestResendTime(arrivedAt, deadline)
}

async function runRecordStep (run: OnceRun, reason: string): Promise<OnceEffect> {
  logNotServed(run.serving, reason)
  const isRecorded = await recordOutcome(run.serving.entry.claiming, run.id, run.token, 'notRun', undefined, getCurrentTime() + notRunRecordTimeoutMs)
  return continueAfterRecord(isRecorded, reason)
}

function finishRequest (run: OnceRun, effect: Extract<OnceEffect, { type: 'answer' }>): FinalAnswer {
  const { serving, result } = run
  if (effect.record !== undefined) {
    recordOutcomeInBackground(serving.entry.claiming, run.id, run.token, effect.record, toStoredAnswer(serving, result))
  }
  switch (effect.callerOutcome) {
    case 'done': return toFinalAnswer(run.slot as Slot, result as Extract<AttemptResult, { type: 'answered' }>)
    case 'notRun': return createAnswer('not-run', effect.reason, getRetryDelayMs(serving))
    case 'unknown':
      logNotServed(serving, `outcome unknown: ${effect.reason}`)
      return createAnswer('unknown', effect.reason, result === undefined ? getRetryDelayMs(serving) : undefined)
    default: return answerUngrantedClaim(serving, run.claimed)
  }
}

/** Returns the answer for a claim that the register did not grant. */
function answerUngrantedClaim (serving: ServedRequest, claimed: ClaimAnswer | undefined): FinalAnswer {
  if (claimed?.result === 'taken') return answerTakenId(claimed.state, claimed.answer)
  if (claimed?.result === 'refused' && claimed.code === 'registerFull') {
    return createAnswer('unknown', claimed.detail, getRetryDelayMs(serving), 503)
  }
  return createAnswer('refused', `Idempotency-Key: ${claimed?.result === 'refused' ? claimed.detail : 'not usable'}`, undefined, 400)
}

/** Returns the answer for a request whose id is already claimed by an earlier copy. */
function answerTakenId (state: string, answer: StoredAnswer | undefined): FinalAnswer {
  switch (state) {
    case 'done': return restoreStoredAnswer(answer)
    case 'notRun': return createAnswer('not-run', 'this id was refused before; give the request a new one', undefined)
    case 'unknown': return createAnswer('unknown', 'an earlier copy may have run', undefined)
    default: return createAnswer('unknown', 'an earlier copy is under way', inProgressRetryMs, 409)
  }
}

function toStoredAnswer (serving: ServedRequest, result: AttemptResult | undefined): StoredAnswer | undefined {
  if (result?.type !== 'answered') return undefined
  const { body, status, headers } = result
  const isBodyStored = Buffer.isBuffer(body) && body.length <= serving.entry.node.cfg.limits.keptAnswerBytes
  return { status, contentType: getContentType(headers), body: isBodyStored ? (body as Buffer).toString('base64') : undefined }
}

function getContentType (headers: HeaderMap): string {
  const type = headers['content-type']
  return typeof type === 'string' ? type.slice(0, 200) : 'application/octet-stream'
}
