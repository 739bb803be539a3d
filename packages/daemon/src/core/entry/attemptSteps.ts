/** Steps that repeatable and once-only requests share: getting a slot, running an attempt, logging. */
import { isFinal, nextState } from '@lynxcourse/base'
import { isLeaseValid } from '@lynxcourse/membership'
import { needsPoll, recordPoll } from '@lynxcourse/placement'
import type { Millis } from '@lynxcourse/base'
import type { AttemptOutcome } from '@lynxcourse/routing'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import { isLogged, log } from '../../utils/logging.js'
import { waitForPoll } from '../../utils/pollPhase.js'
import type { FinalAnswer } from '../../types/answers.js'
import { runAttempt } from './attempts.js'
import type { AttemptResult } from './attempts.js'
import type { Serving } from './servedRequest.js'
import { acquireSlot, createLimitGate, releaseSlot } from './slots.js'
import type { NoSlot, Slot } from './serviceQueue.js'

/** Life of one request by the `attempt` chart. */
export interface RequestLife {
  state: string
}

/** Moves a request on by its chart; an impossible step is a fault of this program. */
export function takeAttemptEvent (serving: Serving, life: RequestLife, event: string): void {
  life.state = nextState(serving.entry.attemptChart, life.state, event)
}

/** Whether the request has its final answer. */
export function isEnded (serving: Serving, life: RequestLife): boolean {
  return isFinal(serving.entry.attemptChart, life.state)
}

/**
 * Gets a slot that this VM may still use when it comes.
 *
 * @param lastSendAt when a slot is of no more use to the request
 */
export async function getSlot (serving: Serving, tried: ReadonlySet<string>, lastSendAt: Millis): Promise<Slot | NoSlot> {
  const { entry, request, places, signal } = serving
  const gate = createLimitGate(entry, request.service, request.profile, getCurrentTime)
  const slot = await acquireSlot(entry, { service: request.service, places, triedServers: tried }, gate, lastSendAt, signal)
  if (typeof slot === 'string') return slot
  await renewCallerView(serving)
  if (signal.aborted) {
    releaseSlot(entry, slot, 'cancelled')
    return 'gone'
  }
  if (getCurrentTime() < serving.request.deadline && mayStillSend(serving)) return slot
  // The lease ran out while the request waited: a drain may have begun that this VM has not heard of.
  releaseSlot(entry, slot, 'cancelled')
  return 'late'
}

async function renewCallerView ({ entry, caller, signal, request }: Serving): Promise<void> {
  while (!signal.aborted && getCurrentTime() < request.deadline && needsPoll(caller, getCurrentTime())) recordPoll(caller, (await waitForPoll(entry.loop.polls)).beganAt)
}

function mayStillSend (serving: Serving): boolean {
  const { entry, request } = serving
  const isLocalRead = request.profile.whenIsolated === 'local' && request.isIdempotent
  return isLocalRead || isLeaseValid(entry.node.configLease, getCurrentTime())
}

/** Runs an attempt in a slot and gives the slot back. */
export async function attemptIn (serving: Serving, slot: Slot, signal: CancelSignal): Promise<AttemptResult> {
  logSent(serving, slot)
  const result = await runAttempt(serving.entry, serving.request, slot, signal)
  if (result.type === 'answered' && !Buffer.isBuffer(result.body)) {
    result.body.once('close', () => releaseSlot(serving.entry, slot, endOf(result)))
    return result
  }
  releaseSlot(serving.entry, slot, endOf(result))
  return result
}

const firstServerError = 500

function endOf (result: AttemptResult): AttemptOutcome {
  switch (result.type) {
    case 'answered': return result.status >= firstServerError ? 'failed' : 'answered'
    case 'shed': return 'shed'
    case 'notSent': return 'failed'
    case 'lost': return result.reason === 'gone' || result.reason === 'silent' ? 'cancelled' : 'failed'
  }
}

function logSent (serving: Serving, slot: Slot): void {
  const { entry, request } = serving
  if (!isLogged(entry.node.logs, 'route', 'info')) return
  log(entry.node.logs, 'route', 'info', 'Sent to a server.', {
    service: request.service,
    id: request.id,
    server: slot.observed.backend.id,
    region: slot.place.region,
    shift: slot.place.shift,
    waitedMs: Math.round(slot.startedAt - request.arrivedAt),
    passedOver: slot.passedOver.map(passed => `${passed.region}:${passed.reason}`).join(',') || undefined
  })
}

/** Writes the line for a request that was not sent. */
export function logRefused (serving: Serving, reason: string): void {
  const { entry, request } = serving
  log(entry.node.logs, 'route', 'info', 'Not sent.', { service: request.service, id: request.id, reason })
}

/** The caller's answer from a backend server's. */
export function answerFrom (slot: Slot, result: Extract<AttemptResult, { type: 'answered' }>): FinalAnswer {
  const { status, headers, body } = result
  return { outcome: 'done', status, headers, body, retryAfterMs: undefined, server: slot.observed.backend.id, detail: 'done' }
}
