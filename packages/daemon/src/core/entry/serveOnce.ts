/** Serves requests that must not run twice, by the steps of `onceFlow`. */
import { continueAfterAttempt, continueAfterClaim, continueAfterRecord, continueAfterSlot, createOnceFlow, getLatestResendTime, canRetryAfterSheds, startOnceFlow } from '@lynxcourse/routing'
import type { OnceEffect, OnceFlow } from '@lynxcourse/routing'
import type { ClaimAnswer, StoredAnswer } from '@lynxcourse/state'
import type { Millis, RequestId } from '@lynxcourse/base'
import { getCurrentTime } from '../../utils/clock.js'
import type { FinalAnswer, HeaderMap } from '../../types/answers.js'
import { answerFrom, attemptIn, getSlot, logRefused } from './attemptSteps.js'
import { claimId, settleId, settleLater } from './claimClient.js'
import { keptAnswer, ownAnswer } from './finalAnswers.js'
import { comeBackAfter, isAdmitted } from './servedRequest.js'
import type { Serving } from './servedRequest.js'
import type { AttemptResult } from './attempts.js'
import { waitingFor } from './slots.js'
import type { Slot } from './serviceQueue.js'

/** How long a refusal waits for the register before the caller hears `unknown` instead. */
const refusalMs = 1000

/** When to ask again after an id whose first copy is still under way. */
const underWayRetryMs = 1000

interface Once {
  readonly serving: Serving
  readonly flow: OnceFlow
  readonly id: RequestId
  readonly token: string
  readonly tried: Set<string>
  sheds: number
  claimed: ClaimAnswer | undefined
  slot: Slot | undefined
  result: AttemptResult | undefined
}

/** Serves a request that must not run twice. */
export async function serveOnce (serving: Serving): Promise<FinalAnswer> {
  const once: Once = {
    serving,
    flow: createOnceFlow(serving.entry.attemptChart),
    id: serving.request.id as RequestId,
    token: `t${serving.entry.nextRequest++}`,
    tried: new Set(),
    sheds: 0,
    claimed: undefined,
    slot: undefined,
    result: undefined
  }
  let effect = startOnceFlow(once.flow, isAdmitted(serving))
  while (effect.type !== 'answer') effect = await carryOut(once, effect)
  return finish(once, effect)
}

async function carryOut (once: Once, effect: Exclude<OnceEffect, { type: 'answer' }>): Promise<OnceEffect> {
  switch (effect.type) {
    case 'claim': return await claimStep(once)
    case 'getSlot': return await slotStep(once)
    case 'send': return await sendStep(once)
    case 'recordNotRun': return await recordStep(once, effect.reason)
  }
}

async function claimStep (once: Once): Promise<OnceEffect> {
  const { serving, flow } = once
  try {
    once.claimed = await claimId(serving.entry.claiming, once.id, once.token, serving.request.deadline)
    return continueAfterClaim(flow, once.claimed.result)
  } catch {
    return continueAfterClaim(flow, 'noAnswer')
  }
}

async function slotStep (once: Once): Promise<OnceEffect> {
  const slot = await getSlot(once.serving, once.tried, lastSendAt(once))
  if (typeof slot === 'string') return continueAfterSlot(once.flow, slot === 'full' ? 'queue is full' : 'no slot in time')
  once.slot = slot
  once.tried.add(slot.observed.backend.id)
  return continueAfterSlot(once.flow, undefined)
}

async function sendStep (once: Once): Promise<OnceEffect> {
  const result = await attemptIn(once.serving, once.slot as Slot, once.serving.signal)
  once.result = result
  if (result.type === 'shed') {
    // The server is left alone for a moment by all of this VM's requests; it is no failed try.
    once.tried.delete((once.slot as Slot).observed.backend.id)
    once.sheds += 1
  }
  return continueAfterAttempt(once.flow, result.type, mayTryAgain(once))
}

function mayTryAgain (once: Once): boolean {
  const { request } = once.serving
  const hasTries = once.tried.size < request.profile.maxAttempts && canRetryAfterSheds(once.sheds, waitingFor(once.serving.entry, request.service))
  return request.isReplayable && hasTries && getCurrentTime() < lastSendAt(once)
}

function lastSendAt (once: Once): Millis {
  const { arrivedAt, deadline } = once.serving.request
  return once.sheds === 0 ? deadline : getLatestResendTime(arrivedAt, deadline)
}

async function recordStep (once: Once, reason: string): Promise<OnceEffect> {
  logRefused(once.serving, reason)
  const recorded = await settleId(once.serving.entry.claiming, once.id, once.token, 'notRun', undefined, getCurrentTime() + refusalMs)
  return continueAfterRecord(recorded, reason)
}

function finish (once: Once, effect: Extract<OnceEffect, { type: 'answer' }>): FinalAnswer {
  const { serving, result } = once
  if (effect.record !== undefined) {
    settleLater(serving.entry.claiming, once.id, once.token, effect.record, answerToKeep(serving, result))
  }
  switch (effect.callerOutcome) {
    case 'done': return answerFrom(once.slot as Slot, result as Extract<AttemptResult, { type: 'answered' }>)
    case 'notRun': return ownAnswer('not-run', effect.reason, comeBackAfter(serving))
    case 'unknown':
      logRefused(serving, `outcome unknown: ${effect.reason}`)
      return ownAnswer('unknown', effect.reason, result === undefined ? comeBackAfter(serving) : undefined)
    default: return registerAnswer(serving, once.claimed)
  }
}

/** What the register said instead of granting the claim. */
function registerAnswer (serving: Serving, claimed: ClaimAnswer | undefined): FinalAnswer {
  if (claimed?.result === 'taken') return takenAnswer(claimed.state, claimed.answer)
  if (claimed?.result === 'refused' && claimed.code === 'registerFull') {
    return ownAnswer('unknown', claimed.detail, comeBackAfter(serving), 503)
  }
  return ownAnswer('refused', `Idempotency-Key: ${claimed?.result === 'refused' ? claimed.detail : 'not usable'}`, undefined, 400)
}

/** What a later copy of a request hears. */
function takenAnswer (state: string, answer: StoredAnswer | undefined): FinalAnswer {
  switch (state) {
    case 'done': return keptAnswer(answer)
    case 'notRun': return ownAnswer('not-run', 'this id was refused before; give the request a new one', undefined)
    case 'unknown': return ownAnswer('unknown', 'an earlier copy may have run', undefined)
    default: return ownAnswer('unknown', 'an earlier copy is under way', underWayRetryMs, 409)
  }
}

function answerToKeep (serving: Serving, result: AttemptResult | undefined): StoredAnswer | undefined {
  if (result?.type !== 'answered') return undefined
  const { body, status, headers } = result
  const isSmall = Buffer.isBuffer(body) && body.length <= serving.entry.node.cfg.limits.keptAnswerBytes
  return { status, contentType: contentTypeOf(headers), body: isSmall ? (body as Buffer).toString('base64') : undefined }
}

function contentTypeOf (headers: HeaderMap): string {
  const type = headers['content-type']
  return typeof type === 'string' ? type.slice(0, 200) : 'application/octet-stream'
}
