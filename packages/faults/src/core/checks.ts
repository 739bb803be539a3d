/** The promises, judged while the system runs. */
import type { Entry } from '@lynxcourse/agreement'
import type { Millis, RequestId, ResourceId } from '@lynxcourse/base'
import type { Host } from './network.js'
import type { Checks, Step, Told, Tracked, World } from '../types/world.js'

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
    passed: new Map()
  }
}

export function violate (world: World, text: string): void {
  world.checks.violations.push(`${Math.round(world.network.now)} ms: ${text}`)
}

/** Passes a step: counts it, and lets a fault that waits for it strike. */
export function passStep (world: World, step: Step, host: Host): void {
  const { passed } = world.checks
  passed.set(step, (passed.get(step) ?? 0) + 1)
  for (const armed of world.armed) {
    if (armed.step !== step || armed.left <= 0) continue
    armed.left -= 1
    if (armed.left === 0) armed.strike(host)
  }
}

/** No two copies commit different entries at one index. */
export function checkCommitted (world: World, vm: string, entry: Entry): void {
  const known = world.checks.committed.get(entry.index)
  if (known === undefined) world.checks.committed.set(entry.index, entry)
  else if (known !== entry && JSON.stringify(known) !== JSON.stringify(entry)) violate(world, `${vm} committed another entry at ${entry.index}`)
}

/** A lower version never replaces a higher one. */
export function checkVersion (world: World, vm: string, before: number, after: number): void {
  if (after < before) violate(world, `${vm} went back from version ${before} to ${after}`)
}

export function trackRequest (world: World, id: RequestId): Tracked {
  let tracked = world.checks.requests.get(id)
  if (tracked === undefined) {
    tracked = { id, runs: 0, told: [], copies: 0 }
    world.checks.requests.set(id, tracked)
  }
  return tracked
}

/** A request that must not repeat runs once at most, and never after its caller heard `not-run`. */
export function checkRun (world: World, id: RequestId): void {
  const tracked = trackRequest(world, id)
  tracked.runs += 1
  if (tracked.runs > 1) violate(world, `request ${id} ran ${tracked.runs} times`)
  if (tracked.told.includes('notRun')) violate(world, `request ${id} ran after not-run was told`)
}

export function checkTold (world: World, id: RequestId, told: Told): void {
  const tracked = trackRequest(world, id)
  tracked.told.push(told)
  if (told === 'notRun' && tracked.runs > 0) violate(world, `request ${id} ran, and not-run was told`)
  if (tracked.told.length > tracked.copies) violate(world, `request ${id} got ${tracked.told.length} answers to ${tracked.copies} copies`)
}

/** A server that leaves gets no new work once its time is over. */
export function checkDispatch (world: World, server: string, limitMs: Millis): void {
  const drainedAt = world.checks.drained.get(server)
  if (drainedAt === undefined) return
  const lateMs = world.network.now - drainedAt
  if (lateMs > limitMs) violate(world, `${server} got new work ${Math.round(lateMs)} ms after its drain`)
}

/** What all VMs together have in flight stays within the cap; a lowered cap counts once its wait is over. */
export function checkLoad (world: World, resource: ResourceId, change: number, windowMs: Millis): void {
  const { load, caps } = world.checks
  const now = world.network.now
  const sum = (load.get(resource) ?? 0) + change
  load.set(resource, sum)
  if (change < 0) return
  const inWindow = caps.filter((_, place) => place === caps.length - 1 || (caps[place + 1]?.at ?? 0) > now - windowMs)
  const allowed = Math.max(0, ...inWindow.map(cap => cap.cap))
  if (sum > allowed) violate(world, `${resource} has ${sum} in flight, cap ${allowed}`)
}

/** Once all leases from before a change are over, nobody acts on what was before it. */
export function checkCurrent (world: World, vm: string, version: number, leaseMs: Millis): void {
  for (const [changed, at] of world.checks.applied) {
    if (changed > version && world.network.now - at > leaseMs) {
      violate(world, `${vm} acts on version ${version} ${Math.round(world.network.now - at)} ms after ${changed}`)
      return
    }
  }
}
