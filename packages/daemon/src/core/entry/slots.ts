/** Waiting for a slot: requests stand by deadline and are given up as soon as they can't be served in time. */
import type { Millis, ServiceId } from '@lynxcourse/base'
import { acquireCapacity, releaseCapacity, hasCapacity, recordDemand } from '@lynxcourse/limits'
import {
  createCompletionRate, createDeadlineQueue, dequeue, enqueue, beginAttempt, findUnservable, endAttempt, recordCompletion, pauseCompletionRate, removeItem, routeRequest,
  getMeanServiceMs
} from '@lynxcourse/routing'
import type { AttemptOutcome, LimitGate, RouteRequest } from '@lynxcourse/routing'
import { createLinkResourceId, findServiceProfile, createRegionResourceId, createShiftResourceId } from '@lynxcourse/state'
import type { Profile } from '@lynxcourse/state'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import { refreshRoutingState } from './entry.js'
import type { EntryState } from './entry.js'
import type { NoSlot, ServiceQueue, Slot, Waiter } from './serviceQueue.js'

/** How many of the first waiters are tried when a slot comes free; the places of later ones may differ. */
const maxTried = 8

/** Waiters are looked at again after this, since pauses and grants end without a message. */
const pumpEveryMs = 10

/** How often waiters that can't be served in time are looked for. */
const pruneEveryMs = 20

/** Limits of a profile as routing asks them for a service. */
export function createLimitGate (entry: EntryState, service: ServiceId, profile: Profile, now: () => Millis): LimitGate {
  const { node } = entry
  return {
    getResources: place => {
      const resources = [createRegionResourceId(profile, place.region)]
      if (place.region !== node.cfg.region) resources.push(createLinkResourceId(profile, node.cfg.region, place.region))
      if (place.shift !== undefined) resources.push(createShiftResourceId(place.shift))
      return resources.filter(resource => entry.capped.has(resource))
    },
    hasCapacity: resources => {
      const isOpen = hasCapacity(node.limits, resources, now())
      // All who wait are wanted for: a share that grew by one with each report would take seconds.
      const extra = 1 + waitingFor(entry, service)
      if (!isOpen) for (const resource of resources) recordDemand(node.limits, resource, extra)
      return isOpen
    }
  }
}

function queueOf (entry: EntryState, service: ServiceId): ServiceQueue {
  const known = entry.queues.get(service)
  if (known !== undefined) return known
  const limit = findServiceProfile(entry.node.config, service)?.queueLimit ?? 0
  const made: ServiceQueue = { queue: createDeadlineQueue(limit), pace: createCompletionRate(), timer: undefined, prunedAt: 0 }
  entry.queues.set(service, made)
  return made
}

/** Requests of a service that wait. */
export function waitingFor (entry: EntryState, service: ServiceId): number {
  return entry.queues.get(service)?.queue.heap.length ?? 0
}

/** Smoothed time between two requests of a service that ended while others waited. */
export function paceOf (entry: EntryState, service: ServiceId): Millis {
  return entry.queues.get(service)?.pace.intervalMs ?? 0
}

/**
 * Gets a slot, waiting for one if need be.
 *
 * @param signal ends the wait when the caller is gone
 */
export async function acquireSlot (entry: EntryState, request: RouteRequest, gate: LimitGate, deadline: Millis, signal: CancelSignal): Promise<Slot | NoSlot> {
  const now = getCurrentTime()
  refreshRoutingState(entry, now)
  const service = queueOf(entry, request.service)
  // Those who wait already go first.
  const slot = service.queue.heap.length === 0 ? trySlot(entry, request, gate, now) : undefined
  if (slot !== undefined) return slot
  return await waitForSlot(entry, service, { request, gate, deadline, signal })
}

interface WaitInput {
  readonly request: RouteRequest
  readonly gate: LimitGate
  readonly deadline: Millis
  readonly signal: CancelSignal
}

async function waitForSlot (entry: EntryState, service: ServiceQueue, input: WaitInput): Promise<Slot | NoSlot> {
  const { request, gate, deadline, signal } = input
  return await new Promise(resolve => {
    const waiter: Waiter = {
      deadline,
      order: entry.nextRequest++,
      request,
      gate,
      resolve: result => {
        signal.off('abort', leave)
        resolve(result)
      }
    }
    function leave (): void {
      if (removeItem(service.queue, waiter)) waiter.resolve('gone')
    }
    if (signal.aborted) {
      resolve('gone')
      return
    }
    if (!enqueue(service.queue, waiter)) {
      resolve('full')
      return
    }
    signal.on('abort', leave)
    pumpQueue(entry, request.service)
  })
}

function trySlot (entry: EntryState, request: RouteRequest, gate: LimitGate, now: Millis): Slot | undefined {
  const decision = routeRequest(entry.router, request, gate, now)
  if (decision.type === 'wait') return undefined
  beginAttempt(decision.observed)
  acquireCapacity(entry.node.limits, decision.resources)
  const { observed, place, resources, passedOver } = decision
  return { observed, place, resources, passedOver, startedAt: now }
}

/** Gives a slot back and serves those who wait. */
export function releaseSlot (entry: EntryState, slot: Slot, end: AttemptOutcome): void {
  const now = getCurrentTime()
  endAttempt(entry.router, slot.observed, end, now - slot.startedAt, now)
  releaseCapacity(entry.node.limits, slot.resources)
  entry.node.metrics.attempts.inc({ end })
  noteServed(entry, slot.observed.backend.service, end, now)
  pumpQueue(entry, slot.observed.backend.service)
}

/**
 * Notes the pace at which requests end while others wait. Sheds don't count: where several VMs go for
 * the same slots, most grants may end so, and a pace of grants would promise what is not there.
 */
function noteServed (entry: EntryState, name: ServiceId, end: AttemptOutcome, now: Millis): void {
  const service = entry.queues.get(name)
  if (service !== undefined && service.queue.heap.length > 0 && end !== 'shed') recordCompletion(service.pace, now)
}

/** Serves those who wait, by deadline; gives up those who can't be served in time any more. */
export function pumpQueue (entry: EntryState, name: ServiceId): void {
  const service = entry.queues.get(name)
  if (service === undefined) return
  const now = getCurrentTime()
  refreshRoutingState(entry, now)
  dropLate(entry, service, name, now)
  serveFirst(entry, service, now)
  keepPumping(entry, service, name)
}

function dropLate (entry: EntryState, service: ServiceQueue, name: ServiceId, now: Millis): void {
  if (now - service.prunedAt < pruneEveryMs) return
  service.prunedAt = now
  const leastMs = getMeanServiceMs(entry.router, name) / 2
  for (const waiter of findUnservable(service.queue.heap, service.pace, leastMs, now)) {
    removeItem(service.queue, waiter)
    waiter.resolve('late')
  }
}

function serveFirst (entry: EntryState, service: ServiceQueue, now: Millis): void {
  const passed: Waiter[] = []
  while (passed.length < maxTried) {
    const waiter = dequeue(service.queue)
    if (waiter === undefined) break
    const slot = trySlot(entry, waiter.request, waiter.gate, now)
    if (slot === undefined) passed.push(waiter)
    else waiter.resolve(slot)
  }
  for (const waiter of passed) enqueue(service.queue, waiter)
}

function keepPumping (entry: EntryState, service: ServiceQueue, name: ServiceId): void {
  const isEmpty = service.queue.heap.length === 0
  if (isEmpty) pauseCompletionRate(service.pace)
  if (isEmpty || service.timer !== undefined) return
  service.timer = setTimeout(() => {
    service.timer = undefined
    pumpQueue(entry, name)
  }, pumpEveryMs)
}
