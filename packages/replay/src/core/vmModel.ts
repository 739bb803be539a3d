/** An entry VM serves requests as the real one does, by the same decisions. */
import type { Millis } from '@lynxcourse/base'
import { scheduleAfter } from '@lynxcourse/base/timeline'
import { beginSend, createCallerLiveness, endSend, mayFailOver, decideNextStep, recordPoll, recordReply, updateWaitingCount, startRequest, applyLoadUpdate } from '@lynxcourse/placement'
import type { EntryState, DecisionConditions, Placement, RequestState, SendOutcome, InFlightSend } from '@lynxcourse/placement'
import { arriveAt, leaveBackend } from './backendModel.js'
import type { Backend, BackendEnd, Job } from './backendModel.js'
import { coldCauseOf } from './coldCauses.js'
import type { ColdCause } from './coldCauses.js'
import { createEntry, delayBetween } from './world.js'
import type { VmModel, World } from './world.js'

/** A caller's request at a VM. */
export interface Arrival {
  readonly route: string
  readonly object: string
  /** By the caller's time limit or the route's, whichever ends first. */
  readonly deadline: Millis
  readonly answer: (answer: VmAnswer) => void
}

export type VmAnswer =
  | { readonly type: 'answered' }
  | { readonly type: 'refused', readonly retryAfterMs: Millis }
  | { readonly type: 'failed' }

interface Serving {
  readonly vm: VmModel
  readonly life: number
  readonly entry: EntryState
  readonly arrival: Arrival
  readonly run: RequestState
}

const okStatus = 200
const retryBudget = { ratio: 0.2, windowMs: 10_000, slack: 200 }
const terms: DecisionConditions = { retryBudget, isStopping: false }

/** Takes a request as soon as the VM's processor is free. */
export function takeRequest (world: World, vm: VmModel, arrival: Arrival): void {
  const { timeline, routes } = world
  const route = routes.get(arrival.route)
  if (!vm.isUp || route?.service === undefined) return arrival.answer({ type: 'failed' })
  const arrivedAt = timeline.now
  const { life, entry } = vm
  const { service } = route
  const { object, deadline } = arrival
  useProcessor(world, vm, () => {
    if (vm.life !== life) return arrival.answer({ type: 'failed' })
    const run = startRequest(entry, { route, service, object: `${route.name}|${object}`, arrivedAt, deadline }, createCallerLiveness(), terms, timeline.now)
    goOn(world, { vm, life, entry, arrival, run })
  })
}

/** Half of a request's processor time goes before it is sent, half after its answer came. */
function useProcessor (world: World, vm: VmModel, act: () => void): void {
  const { timeline, pattern: { entryVm: { requestCpuMs, cores } } } = world
  vm.busyUntil = Math.max(vm.busyUntil, timeline.now) + requestCpuMs / 2 / cores
  scheduleAfter(timeline, vm.busyUntil - timeline.now, act)
}

function goOn (world: World, serving: Serving): void {
  const { vm, life, entry, arrival, run } = serving
  if (vm.life !== life) return arrival.answer({ type: 'failed' })
  const step = decideNextStep(entry, run, terms, world.timeline.now)
  switch (step.type) {
    case 'send': return send(world, serving, step.placement)
    case 'look':
      recordPoll(run.caller, world.timeline.now)
      return goOn(world, serving)
    case 'wait':
      updateWaitingCount(entry, run, 1)
      return scheduleAfter(world.timeline, step.pauseMs, () => {
        updateWaitingCount(entry, run, -1)
        goOn(world, serving)
      })
    case 'answer': return useProcessor(world, vm, () => arrival.answer({ type: 'answered' }))
    case 'refuse': return arrival.answer({ type: 'refused', retryAfterMs: step.refused.retryAfterMs })
    case 'fail':
    case 'gone': return arrival.answer({ type: 'failed' })
  }
}

function send (world: World, serving: Serving, placed: Placement): void {
  const { timeline, backends, score, random } = world
  const { vm, entry, arrival, run } = serving
  const backend = backends.get(placed.server.facts.id) as Backend
  const wayMs = delayBetween(world, vm.region, backend.region)
  const isReused = takeIdle(world, vm, backend)
  const openMs = isReused ? 0 : 2 * wayMs
  score.sends += 1
  if (!isReused) score.opened += 1
  if (vm.region !== backend.region) score.farSends += 1
  const sending = beginSend(entry, run, placed, timeline.now)
  const job = jobOf(world, arrival, end => scheduleAfter(timeline, wayMs, () => takeEnd(end)))
  let isOver = false
  const finish = (end: SendOutcome): void => {
    if (isOver) return
    isOver = true
    endSend(entry, run, sending, end, timeline.now)
    goOn(world, serving)
  }
  const takeEnd = (end: BackendEnd): void => {
    if (isOver) return
    if (end.type !== 'lost') {
      recordReply(entry, placed.server, end.ahead, timeline.now)
      keepIdle(vm, backend, timeline.now)
    }
    noteSend(world, end, job, cause)
    finish(sendEndOf(end, openMs))
  }
  const giveUp = (reason: 'deadline' | 'slow'): void => {
    if (isOver) return
    leaveBackend(timeline, backend, job)
    finish({ type: 'lost', reason })
  }
  let cause: ColdCause | undefined
  scheduleAfter(timeline, openMs + wayMs, () => {
    if (isOver) return
    if (backend.isUp && !backend.warm.has(job.object)) cause = coldCauseOf(world, backend, job, placed)
    arriveAt(timeline, backend, job, random() < backend.shedPart)
  })
  scheduleAfter(timeline, arrival.deadline - timeline.now, () => giveUp('deadline'))
  watchPatience(world, serving, sending, () => giveUp('slow'))
}

function watchPatience (world: World, { entry, run }: Serving, { failoverAt: leaveAt }: InFlightSend, giveUp: () => void): void {
  const { timeline } = world
  if (leaveAt === undefined) return
  scheduleAfter(timeline, leaveAt - timeline.now, () => { if (mayFailOver(entry, run, terms, timeline.now)) giveUp() })
}

function jobOf ({ pattern, random }: World, { route, object, deadline }: Arrival, onEnd: Job['onEnd']): Job {
  const { workMs, warmPart, spread } = pattern.routes[route] as World['pattern']['routes'][string]
  return { object: `${route}|${object}`, coldMs: workMs * (1 + spread * normal(random)), warmPart, deadline, onEnd, wasWarm: false, isOver: false }
}

/** About normally distributed, within three deviations. */
function normal (random: () => number): number {
  return (random() + random() + random() - 1.5) * 2
}

function sendEndOf (end: BackendEnd, openMs: Millis): SendOutcome {
  switch (end.type) {
    case 'answered': return { type: 'answered', status: okStatus, connectMs: openMs }
    case 'full': return { type: 'notRun', reason: 'full' }
    case 'lost': return { type: 'lost', reason: 'failed' }
  }
}

function noteSend ({ score, handled }: World, end: BackendEnd, job: Job, cause: ColdCause | undefined): void {
  if (end.type === 'answered') {
    handled.add(job.object)
    if (!job.wasWarm && cause !== undefined) score.cold.set(cause, (score.cold.get(cause) ?? 0) + 1)
  }
  if (end.type === 'full') score.shed += 1
}

function takeIdle ({ pattern, timeline }: World, vm: VmModel, { id }: Backend): boolean {
  const idle = vm.idle.get(id) ?? []
  const usedAt = idle.pop()
  return usedAt !== undefined && timeline.now - usedAt < pattern.entryVm.restMs
}

function keepIdle (vm: VmModel, { id }: Backend, now: Millis): void {
  const idle = vm.idle.get(id)
  if (idle === undefined) vm.idle.set(id, [now])
  else idle.push(now)
}

/** A VM stops: callers lose their connections, and it knows nothing when it starts. */
export function stopVm (vm: VmModel): void {
  vm.isUp = false
  vm.life += 1
}

/** A VM starts: it knows the servers and what all VMs together saw, and nothing else. */
export function startVm (world: World, vm: VmModel): void {
  vm.entry = createEntry(world, vm.name, vm.region)
  applyLoadUpdate(vm.entry, world.told, vm.region, world.timeline.now)
  vm.idle.clear()
  vm.busyUntil = world.timeline.now
  vm.isUp = true
}
