/** Checks of the invariants while the system runs. */
import type { Entry } from '@lynxcourse/agreement'
import type { Millis, RequestId, ResourceId } from '@lynxcourse/base'
import type { Host } from './network.js'
import type { Checks, Step, CallerOutcome, TrackedRequest, World } from '../types/world.js'

export function createChecks (): Checks {
  return {
    violations: [],
    committed: new Map(),
    requests: new Map(),
    open: [],
    drained: new Map(),
    applied: new Map(),
    answers: new Map(),
    load: new Map(),
    caps: [],
    majorityLost: false,
    accepted: 0,
    granted: 0,
    reads: 0,
    readsAnswered: 0,
    stepCounts: new Map()
  }
}

export function recordViolation (world: World, text: string): void {
  world.checks.violations.push(`${Math.round(world.network.now)} ms: ${text}`)
}

/** Counts that a host reached a step, and injects the faults that are due at it. */
export function enterStep (world: World, step: Step, host: Host): void {
  const { stepCounts } = world.checks
  stepCounts.set(step, (stepCounts.get(step) ?? 0) + 1)
  for (const armedFault of world.armedFaults) {
    if (armedFault.step !== step || armedFault.left <= 0) continue
    armedFault.left -= 1
    if (armedFault.left === 0) armedFault.inject(host)
  }
}

/** Checks that no two replicas commit different entries at the same index. */
export function checkCommitted (world: World, vm: string, entry: Entry): void {
  const previous = world.checks.committed.get(entry.index)
  if (previous === undefined) world.checks.committed.set(entry.index, entry)
  else if (previous !== entry && JSON.stringify(previous) !== JSON.stringify(entry)) recordViolation(world, `${vm} committed another entry at ${entry.index}`)
}

/** Checks that a lower configuration version never replaces a higher one. */
export function checkVersion (world: World, vm: string, before: number, after: number): void {
  if (after < before) recordViolation(world, `${vm} went back from version ${before} to ${after}`)
}

export function trackRequest (world: World, id: RequestId): TrackedRequest {
  let tracked = world.checks.requests.get(id)
  if (tracked === undefined) {
    tracked = { id, runs: 0, outcomes: [], copies: 0 }
    world.checks.requests.set(id, tracked)
  }
  return tracked
}

/** Checks that a once-only request runs at most once, and never after its caller got `not-run`. */
export function checkRun (world: World, id: RequestId): void {
  const tracked = trackRequest(world, id)
  tracked.runs += 1
  if (tracked.runs > 1) recordViolation(world, `request ${id} ran ${tracked.runs} times`)
  if (tracked.outcomes.includes('notRun')) recordViolation(world, `request ${id} ran after its caller was answered not-run`)
}

export function checkOutcome (world: World, id: RequestId, outcome: CallerOutcome): void {
  const tracked = trackRequest(world, id)
  tracked.outcomes.push(outcome)
  if (outcome === 'notRun' && tracked.runs > 0) recordViolation(world, `request ${id} ran, but its caller was answered not-run`)
  if (tracked.outcomes.length > tracked.copies) recordViolation(world, `request ${id} got ${tracked.outcomes.length} answers to ${tracked.copies} copies`)
}

/** Checks that a drained server gets no new work once `limitMs` has passed since the drain was applied. */
export function checkDispatch (world: World, server: string, limitMs: Millis): void {
  const drainedAt = world.checks.drained.get(server)
  if (drainedAt === undefined) return
  const lateMs = world.network.now - drainedAt
  if (lateMs > limitMs) recordViolation(world, `${server} got new work ${Math.round(lateMs)} ms after its drain`)
}

/** Checks that the requests in flight of all VMs together stay within the cap. A lowered cap counts after `windowMs`. */
export function checkLoad (world: World, resource: ResourceId, change: number, windowMs: Millis): void {
  const { load, caps } = world.checks
  const now = world.network.now
  const sum = (load.get(resource) ?? 0) + change
  load.set(resource, sum)
  if (change < 0) return
  const inWindow = caps.filter((_, index) => index === caps.length - 1 || (caps[index + 1]?.at ?? 0) > now - windowMs)
  const allowed = Math.max(0, ...inWindow.map(cap => cap.cap))
  if (sum > allowed) recordViolation(world, `${resource} has ${sum} in flight, cap ${allowed}`)
}

/** Checks that no VM acts on a version once all leases from before a later change have expired. */
export function checkConfigCurrent (world: World, vm: string, version: number, leaseMs: Millis): void {
  for (const [changed, at] of world.checks.applied) {
    if (changed > version && world.network.now - at > leaseMs) {
      recordViolation(world, `${vm} acts on version ${version} ${Math.round(world.network.now - at)} ms after ${changed}`)
      return
    }
  }
}
