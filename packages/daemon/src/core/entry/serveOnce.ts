/**
 * Serves requests that must not run twice.
 *
 * The id is claimed by a quorum before anything is sent. After that only proof makes an attempt
 * repeatable or lets the caller hear `not-run`: no byte went out, or the server says that it did not
 * start. Whatever else happens, the claim stays spent and the caller hears `unknown`.
 */
import type { KeptAnswer } from '@lynxcourse/state'
import type { RequestId } from '@lynxcourse/base'
import { presentTime } from '../../utils/clock.js'
import type { FinalAnswer, HeaderMap } from '../../types/answers.js'
import { answerFrom, attemptIn, getSlot, logRefused, takeAttemptEvent } from './attemptSteps.js'
import type { RequestLife } from './attemptSteps.js'
import { claimId, settleId, settleLater } from './claiming.js'
import { keptAnswer, ownAnswer } from './finalAnswers.js'
import { comeBackAfter, isAdmitted } from './forwarding.js'
import type { Serving } from './forwarding.js'
import type { AttemptResult } from './attempts.js'
import type { Slot } from './slots.js'

/** How long a refusal waits for the register before the caller hears `unknown` instead. */
const refusalMs = 1000

/** When to ask again after an id whose first copy is still under way. */
const underWayRetryMs = 1000

interface Once {
  readonly serving: Serving
  readonly life: RequestLife
  readonly id: RequestId
  readonly token: string
  readonly tried: Set<string>
}

/** Serves a request that must not run twice. */
export async function serveOnce (serving: Serving): Promise<FinalAnswer> {
  const id = serving.request.id as RequestId
  const token = `t${serving.entry.nextRequest++}`
  const once: Once = { serving, life: { state: serving.entry.attemptChart.initial }, id, token, tried: new Set() }
  if (!isAdmitted(serving)) return await refuse(once, 'no capacity in time')
  const answer = await claimFirst(once)
  return answer ?? await sendClaimed(once)
}

/** Claims the id; an answer if this copy must not send. */
async function claimFirst (once: Once): Promise<FinalAnswer | undefined> {
  const { serving, life } = once
  takeAttemptEvent(serving, life, 'claim')
  let claimed
  try {
    claimed = await claimId(serving.entry.claiming, once.id, once.token, serving.request.deadline)
  } catch {
    return await refuse(once, 'the register of claims did not answer in time')
  }
  switch (claimed.result) {
    case 'granted':
      takeAttemptEvent(serving, life, 'granted')
      return undefined
    case 'taken':
      takeAttemptEvent(serving, life, 'refuse')
      return takenAnswer(claimed.state, claimed.answer)
    case 'refused':
      takeAttemptEvent(serving, life, 'refuse')
      return refusedClaim(serving, claimed.code, claimed.detail)
  }
}

function refusedClaim (serving: Serving, code: 'badRequestId' | 'registerFull', detail: string): FinalAnswer {
  if (code === 'registerFull') return ownAnswer('unknown', detail, comeBackAfter(serving), 503)
  return ownAnswer('refused', `Idempotency-Key: ${detail}`, undefined, 400)
}

/** What a later copy of a request hears. */
function takenAnswer (state: string, answer: KeptAnswer | undefined): FinalAnswer {
  switch (state) {
    case 'done': return keptAnswer(answer)
    case 'notRun': return ownAnswer('not-run', 'this id was refused before; give the request a new one', undefined)
    case 'unknown': return ownAnswer('unknown', 'an earlier copy may have run', undefined)
    default: return ownAnswer('unknown', 'an earlier copy is under way', underWayRetryMs, 409)
  }
}

async function sendClaimed (once: Once): Promise<FinalAnswer> {
  const { serving, life } = once
  for (;;) {
    const slot = await getSlot(serving, once.tried)
    if (typeof slot === 'string') return await refuse(once, slot === 'full' ? 'queue is full' : 'no slot in time')
    once.tried.add(slot.observed.backend.id)
    takeAttemptEvent(serving, life, 'send')
    const result = await attemptIn(serving, slot, serving.signal)
    if (result.type === 'answered') return finishDone(once, slot, result)
    if (result.type === 'lost') return finishUnknown(once, result.detail)
    // Shed before starting, or never handed to a connection: proved that it did not run.
    takeAttemptEvent(serving, life, 'shed')
    if (!mayTryAgain(once)) return await refuse(once, result.type === 'shed' ? 'servers shed' : 'servers can not be reached')
  }
}

function mayTryAgain (once: Once): boolean {
  const { request } = once.serving
  return request.isReplayable && once.tried.size < request.profile.maxAttempts && presentTime() < request.deadline
}

function finishDone (once: Once, slot: Slot, result: Extract<AttemptResult, { type: 'answered' }>): FinalAnswer {
  takeAttemptEvent(once.serving, once.life, 'answer')
  settleLater(once.serving.entry.claiming, once.id, once.token, 'done', answerToKeep(once.serving, result))
  return answerFrom(slot, result)
}

function answerToKeep (serving: Serving, result: Extract<AttemptResult, { type: 'answered' }>): KeptAnswer {
  const { body, status, headers } = result
  const isSmall = Buffer.isBuffer(body) && body.length <= serving.entry.node.cfg.limits.keptAnswerBytes
  return { status, contentType: contentTypeOf(headers), body: isSmall ? (body as Buffer).toString('base64') : undefined }
}

function contentTypeOf (headers: HeaderMap): string {
  const type = headers['content-type']
  return typeof type === 'string' ? type.slice(0, 200) : 'application/octet-stream'
}

function finishUnknown (once: Once, detail: string): FinalAnswer {
  takeAttemptEvent(once.serving, once.life, 'fail')
  takeAttemptEvent(once.serving, once.life, 'giveUp')
  logRefused(once.serving, `outcome unknown: ${detail}`)
  settleLater(once.serving.entry.claiming, once.id, once.token, 'unknown', undefined)
  return ownAnswer('unknown', `sent, but no whole answer came: ${detail}`)
}

/**
 * Refuses a request that was not sent. The caller hears `not-run` only after the register has
 * recorded it, so that no other copy of the id can run from then on.
 */
async function refuse (once: Once, reason: string): Promise<FinalAnswer> {
  const { serving } = once
  takeAttemptEvent(serving, once.life, 'refuse')
  logRefused(serving, reason)
  const recorded = await settleId(serving.entry.claiming, once.id, once.token, 'notRun', undefined, presentTime() + refusalMs)
  if (recorded) return ownAnswer('not-run', reason, comeBackAfter(serving))
  return ownAnswer('unknown', `${reason}; this copy was not sent, but the register could not rule out others`, comeBackAfter(serving))
}
