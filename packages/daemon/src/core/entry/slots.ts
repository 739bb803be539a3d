/**
 * Queues of requests that wait for a slot, by deadline. A request is rejected as soon as it cannot be served in time.
 */
import type { Millis, ServiceId } from '@lynxcourse/base'
import { acquireCapacity, releaseCapacity, hasCapacity, recordDemand } from '@lynxcourse/limits'
import {
  createCompletionRate, createDeadlineQueue, dequeue, enqueue, beginAttempt, findUnservable, endAttempt, recordCompletion, pauseCompletionRate, removeItem, routeRequest,
  estimateRequestDelay, getMeanServiceMs, hasRestrictedServers
} from '@lynxcourse/routing'
import type { AttemptOutcome, LimitGate, RouteRequest } from '@lynxcourse/routing'
import { createLinkResourceId, findServiceProfile, createRegionResourceId, createShiftResourceId } from '@lynxcourse/state'
import type { Profile } from '@lynxcourse/state'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import { refreshRoutingState } from './entry.js'
import type { EntryState } from './entry.js'
import type { SlotFailure, ServiceQueue, Slot, Waiter } from './serviceQueue.js'

/**
 * Number of waiting requests that are tried, in order of deadline, since those after the first may accept other
 * regions.
 */
const maxTriedWaiters = 8

/** Interval between checks of a queue that is not empty. Pauses of servers and grants of caps end without an event. */
const queueCheckIntervalMs = 10

/** Minimum interval between two searches for waiting requests that cannot be served in time. */
const pruneIntervalMs = 20

/** Creates the gate through which routing checks the caps of a profile for a service. */
export function createLimitGate (entry: EntryState, service: ServiceId, profile: Profile, now: () => Millis): LimitGate {
  const { node } = entry
  return {
    getResources: candidate => {
      const resources = [createRegionResourceId(profile, candidate.region)]
      if (candidate.region !== node.cfg.region) resources.push(createLinkResourceId(profile, node.cfg.region, candidate.region))
      if (candidate.shift !== undefined) resources.push(createShiftResourceId(candidate.shift))
      return resources.filter(resource => entry.cappedResources.has(resource))
    },
    hasCapacity: resources => {
      const isOpen = hasCapacity(node.limits, resources, now())
      // The demand counts all waiting requests. A share that grew by one with each report would take seconds to suffice.
      const demand = 1 + getQueueLength(entry, service)
      if (!isOpen) for (const resource of resources) recordDemand(node.limits, resource, demand)
      return isOpen
    }
  }
}

function getServiceQueue (entry: EntryState, service: ServiceId): ServiceQueue {
  const existing = entry.queues.get(service)
  if (existing !== undefined) return existing
  const limit = findServiceProfile(entry.node.config, service)?.queueLimit ?? 0
  const created: ServiceQueue = { queue: createDeadlineQueue(limit), completionRate: createCompletionRate(), timer: undefined, prunedAt: 0 }
  entry.queues.set(service, created)
  return created
}

/** Returns the number of requests that wait for a slot of a service. */
export function getQueueLength (entry: EntryState, service: ServiceId): number {
  return entry.queues.get(service)?.queue.heap.length ?? 0
}

/** Returns the smoothed interval between completions of a service while other requests wait; 0 while unknown. */
export function getCompletionIntervalMs (entry: EntryState, service: ServiceId): Millis {
  return entry.queues.get(service)?.completionRate.intervalMs ?? 0
}

/**
 * Acquires a slot, waiting for one if necessary.
 *
 * @param signal ends the wait when the caller disconnects
 */
export async function acquireSlot (entry: EntryState, request: RouteRequest, gate: LimitGate, deadline: Millis, signal: CancelSignal): Promise<Slot | SlotFailure> {
  const now = getCurrentTime()
  refreshRoutingState(entry, now)
  const serviceQueue = getServiceQueue(entry, request.service)
  // Requests that already wait go first.
  const slot = serviceQueue.queue.heap.length === 0 ? tryAcquireSlot(entry, request, gate, now) : undefined
  if (slot !== undefined) return slot
  return await waitForSlot(entry, serviceQueue, { request, gate, deadline, signal })
}

interface WaitOptions {
  readonly request: RouteRequest
  readonly gate: LimitGate
  readonly deadline: Millis
  readonly signal: CancelSignal
}

async function waitForSlot (entry: EntryState, serviceQueue: ServiceQueue, options: WaitOptions): Promise<Slot | SlotFailure> {
  const { request, gate, deadline, signal } = options
  return await new Promise(resolve => {
    const waiter: Waiter = {
      deadline,
      order: entry.nextSequence++,
      request,
      gate,
      resolve: result => {
        signal.off('abort', onAborted)
        resolve(result)
      }
    }
    function onAborted (): void {
      if (removeItem(serviceQueue.queue, waiter)) waiter.resolve('gone')
    }
    if (signal.aborted) {
      resolve('gone')
      return
    }
    if (!enqueue(serviceQueue.queue, waiter)) {
      resolve('full')
      return
    }
    signal.on('abort', onAborted)
    processQueue(entry, request.service)
  })
}

function tryAcquireSlot (entry: EntryState, request: RouteRequest, gate: LimitGate, now: Millis): Slot | undefined {
  const decision = routeRequest(entry.router, request, gate, now)
  if (decision.type === 'wait') return undefined
  beginAttempt(decision.observed)
  acquireCapacity(entry.node.limits, decision.resources)
  const { observed, place, resources, passedOver } = decision
  return { observed, place, resources, passedOver, startedAt: now }
}

/** Releases a slot and serves the requests that wait. */
export function releaseSlot (entry: EntryState, slot: Slot, end: AttemptOutcome): void {
  const now = getCurrentTime()
  endAttempt(entry.router, slot.observed, end, now - slot.startedAt, now)
  releaseCapacity(entry.node.limits, slot.resources)
  entry.node.metrics.attempts.inc({ end })
  recordServed(entry, slot.observed.backend.service, end, now)
  processQueue(entry, slot.observed.backend.service)
}

/**
 * Records the completion rate of a service while other requests wait. Sheds do not count: if several VMs compete for the
 * same slots, most attempts may be shed, and a rate that included them would promise capacity that does not exist.
 */
function recordServed (entry: EntryState, service: ServiceId, end: AttemptOutcome, now: Millis): void {
  const serviceQueue = entry.queues.get(service)
  if (serviceQueue !== undefined && serviceQueue.queue.heap.length > 0 && end !== 'shed') recordCompletion(serviceQueue.completionRate, now)
}

/** Serves the waiting requests of a service, by deadline, and rejects those that can no longer be served in time. */
export function processQueue (entry: EntryState, service: ServiceId): void {
  const serviceQueue = entry.queues.get(service)
  if (serviceQueue === undefined) return
  const now = getCurrentTime()
  refreshRoutingState(entry, now)
  rejectUnservable(entry, serviceQueue, service, now)
  serveWaiters(entry, serviceQueue, now)
  scheduleQueueCheck(entry, serviceQueue, service)
}

function rejectUnservable (entry: EntryState, serviceQueue: ServiceQueue, service: ServiceId, now: Millis): void {
  if (now - serviceQueue.prunedAt < pruneIntervalMs) return
  serviceQueue.prunedAt = now
  const minServiceMs = getMeanServiceMs(entry.router, service) / 2
  const { heap } = serviceQueue.queue
  const isTooLate = (waiter: Waiter): boolean => now + estimateRequestDelay(entry.router, waiter.request, now) + minServiceMs > waiter.deadline
  const closed = hasRestrictedServers(entry.router, service, now) ? heap.filter(isTooLate) : []
  const unservable = findUnservable(heap, serviceQueue.completionRate, minServiceMs, now)
  for (const waiter of new Set([...closed, ...unservable])) {
    removeItem(serviceQueue.queue, waiter)
    waiter.resolve('late')
  }
}

function serveWaiters (entry: EntryState, serviceQueue: ServiceQueue, now: Millis): void {
  const unserved: Waiter[] = []
  while (unserved.length < maxTriedWaiters) {
    const waiter = dequeue(serviceQueue.queue)
    if (waiter === undefined) break
    const slot = tryAcquireSlot(entry, waiter.request, waiter.gate, now)
    if (slot === undefined) unserved.push(waiter)
    else waiter.resolve(slot)
  }
  for (const waiter of unserved) enqueue(serviceQueue.queue, waiter)
}

function scheduleQueueCheck (entry: EntryState, serviceQueue: ServiceQueue, service: ServiceId): void {
  const isEmpty = serviceQueue.queue.heap.length === 0
  if (isEmpty) pauseCompletionRate(serviceQueue.completionRate)
  if (isEmpty || serviceQueue.timer !== undefined) return
  serviceQueue.timer = setTimeout(() => {
    serviceQueue.timer = undefined
    processQueue(entry, service)
  }, queueCheckIntervalMs)
}
