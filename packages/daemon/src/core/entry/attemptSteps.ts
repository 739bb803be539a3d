/** Steps of all requests, idempotent or not: acquiring a slot, running an attempt, logging. */
import { brandId, getErrorMessage, isFinal, nextState } from '@lynxcourse/base'
import { findServer, isLeaseValid } from '@lynxcourse/membership'
import { isClosedToRequests } from '@lynxcourse/limits'
import { isServerError, needsPoll, recordPoll } from '@lynxcourse/placement'
import type { Millis, ServerId } from '@lynxcourse/base'
import type { AttemptOutcome } from '@lynxcourse/routing'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import { isLogged, log } from '../../utils/logging.js'
import { waitForPoll } from '../../utils/pollPhase.js'
import type { FinalAnswer } from '../../types/answers.js'
import { inspectFailedSend, reportAnswered } from '../crashes/crashWatch.js'
import { runAttempt } from './attempts.js'
import type { AttemptResult } from './attempts.js'
import type { ServedRequest } from './servedRequest.js'
import { acquireSlot, createLimitGate, releaseSlot } from './slots.js'
import type { SlotFailure, Slot } from './serviceQueue.js'

/** State of one request in the `attempt` chart. */
export interface AttemptChartState {
  state: string
}

/**
 * Applies an event of the `attempt` chart to a request. Throws if the chart does not allow the event in the present
 * state.
 */
export function applyAttemptEvent (serving: ServedRequest, life: AttemptChartState, event: string): void {
  life.state = nextState(serving.entry.attemptChart, life.state, event)
}

/** Returns whether a request is in a final state of its chart. */
export function hasEnded (serving: ServedRequest, life: AttemptChartState): boolean {
  return isFinal(serving.entry.attemptChart, life.state)
}

/**
 * Acquires a slot and checks that the request may still be sent: waiting for the slot may have taken longer than the
 * caller's connection or the configuration lease lasted.
 *
 * @param latestSendTime the time after which the request no longer needs a slot
 */
export async function acquireUsableSlot (serving: ServedRequest, triedServers: ReadonlySet<string>, latestSendTime: Millis): Promise<Slot | SlotFailure> {
  const { entry, signal } = serving
  const slot = await acquireOpenSlot(serving, triedServers, latestSendTime)
  if (typeof slot === 'string') return slot
  if (signal.aborted) {
    releaseSlot(entry, slot, 'cancelled')
    return 'gone'
  }
  if (getCurrentTime() < serving.request.deadline && maySend(serving)) return slot
  // The lease expired while the request waited: a drain may have started that this VM does not know of yet.
  releaseSlot(entry, slot, 'cancelled')
  return 'late'
}

/** Acquires a slot at a server that takes requests once it is known that the caller is still connected. */
async function acquireOpenSlot (serving: ServedRequest, triedServers: ReadonlySet<string>, latestSendTime: Millis): Promise<Slot | SlotFailure> {
  const { entry, request, places, signal } = serving
  const gate = createLimitGate(entry, request.service, request.profile, getCurrentTime)
  for (;;) {
    const slot = await acquireSlot(entry, { service: request.service, places, triedServers }, gate, latestSendTime, signal)
    if (typeof slot === 'string') return slot
    await refreshCallerLiveness(serving)
    if (!isClosedToRequests(slot.observed.notice, getCurrentTime())) return slot
    releaseSlot(entry, slot, 'cancelled')
  }
}

/** Waits until the sockets have been polled recently enough to rely on the caller still being connected. */
async function refreshCallerLiveness ({ entry, liveness, signal, request }: ServedRequest): Promise<void> {
  while (!signal.aborted && getCurrentTime() < request.deadline && needsPoll(liveness, getCurrentTime())) recordPoll(liveness, (await waitForPoll(entry.loop.polls)).beganAt)
}

/**
 * Returns whether the configuration is known to be current, or the request is a read that the profile allows without
 * that.
 */
function maySend (serving: ServedRequest): boolean {
  const { entry, request } = serving
  const isLocalRead = request.profile.whenIsolated === 'local' && request.isIdempotent
  return isLocalRead || isLeaseValid(entry.node.configLease, getCurrentTime())
}

/** Runs an attempt and releases its slot, for a streamed answer when the body closes. */
export async function runAttemptInSlot (serving: ServedRequest, slot: Slot, signal: CancelSignal): Promise<AttemptResult> {
  logSent(serving, slot)
  const result = await runAttempt(serving.entry, serving.request, slot, signal)
  learnOfEnds(serving, slot, result).catch((err: unknown) => log(serving.entry.node.logs, 'route', 'error', 'Reporting a send failed.', { id: serving.request.id, error: getErrorMessage(err) }))
  if (result.type === 'answered' && !Buffer.isBuffer(result.body)) {
    result.body.once('close', () => releaseSlot(serving.entry, slot, getAttemptOutcome(result)))
    return result
  }
  releaseSlot(serving.entry, slot, getAttemptOutcome(result))
  return result
}

/** Reports what an attempt shows about requests that end servers. */
async function learnOfEnds ({ entry, request: { watched }, isTrial }: ServedRequest, slot: Slot, result: AttemptResult): Promise<void> {
  if (watched === undefined) return
  const { id, address } = slot.observed.backend
  if (result.type === 'lost' && result.reason === 'failed') {
    const bornAt = findServer(entry.node.directory, id)?.incarnation ?? 0
    await inspectFailedSend(entry.crashes, watched, { id: brandId<ServerId>(id), address, bornAt }, isTrial)
  }
  if (result.type === 'answered' && !isServerError(result.status)) await reportAnswered(entry.crashes, watched)
}

function getAttemptOutcome (result: AttemptResult): AttemptOutcome {
  switch (result.type) {
    case 'answered': return isServerError(result.status) ? 'failed' : 'answered'
    case 'shed': return 'shed'
    case 'notSent': return 'failed'
    case 'lost': return result.reason === 'gone' || result.reason === 'silent' ? 'cancelled' : 'failed'
  }
}

function logSent (serving: ServedRequest, slot: Slot): void {
  const { entry, request } = serving
  if (!isLogged(entry.node.logs, 'route', 'info')) return
  log(entry.node.logs, 'route', 'info', 'Sent to a server.', {
    service: request.service,
    id: request.id,
    server: slot.observed.backend.id,
    region: slot.place.region,
    shift: slot.place.shift,
    waitedMs: Math.round(slot.startedAt - request.arrivedAt),
    passedOver: slot.passedOver.map(skipped => `${skipped.region}:${skipped.reason}`).join(',') || undefined
  })
}

/** Logs that a request ended without the answer of a server. */
export function logNotServed (serving: ServedRequest, reason: string): void {
  const { entry, request } = serving
  log(entry.node.logs, 'route', 'info', 'Request not served.', { service: request.service, id: request.id, reason })
}

/** Converts the answer of a backend server to the final answer of the request. */
export function toFinalAnswer (slot: Slot, result: Extract<AttemptResult, { type: 'answered' }>): FinalAnswer {
  const { status, headers, body } = result
  return { outcome: 'done', status, headers, body, retryAfterMs: undefined, server: slot.observed.backend.id, detail: 'done' }
}
