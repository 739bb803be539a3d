/** Model of an entry VM: it serves requests by the placement decisions of the product. */
import { LynxError } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { scheduleAfter } from '@lynxcourse/base/timeline'
import { beginSend, createCallerLiveness, endSend, reserveFailover, decideNextStep, recordAnswerStatements, recordPoll, recordReply, updateWaitingCount, startRequest, applyLoadUpdate } from '@lynxcourse/placement'
import { noStatements } from '@lynxcourse/limits'
import type { ServerStatements } from '@lynxcourse/limits'
import type { EntryState, DecisionConditions, Placement, RequestState, SendOutcome, InFlightSend } from '@lynxcourse/placement'
import { submitJob, cancelJob } from './backendModel.js'
import type { Backend, BackendResult, Job, Rejection } from './backendModel.js'
import { classifyColdRequest } from './coldCauses.js'
import type { ColdCause } from '../types/coldCause.js'
import { createEntryState, getOneWayDelay } from './world.js'
import type { VmModel, World } from './world.js'

/** A caller's request as it arrives at a VM. */
export interface IncomingRequest {
  readonly route: string
  readonly object: string
  /** The earlier of the caller's and the route's deadline. */
  readonly deadline: Millis
  readonly answer: (answer: VmAnswer) => void
}

export type VmAnswer =
  | { readonly type: 'answered', readonly wasCold: boolean }
  | { readonly type: 'refused', readonly retryAfterMs: Millis }
  /** `timeout`: a server may still work on the request; `lost`: its VM or server stopped. */
  | { readonly type: 'failed', readonly reason: 'timeout' | 'lost', readonly wasCold: boolean }

interface ActiveRequest {
  readonly vm: VmModel
  readonly life: number
  readonly entry: EntryState
  readonly arrival: IncomingRequest
  readonly run: RequestState
  /** Whether the object was cold at the server of the last send. */
  wasCold: boolean
}

const lostAnswer: VmAnswer = { type: 'failed', reason: 'lost', wasCold: false }

const okStatus = 200
const retryBudget = { ratio: 0.2, windowMs: 10_000, slack: 200 }
const conditions: DecisionConditions = { retryBudget, isStopping: false }

/** Handles a request once the VM's processor is free. */
export function handleRequest (world: World, vm: VmModel, arrival: IncomingRequest): void {
  const { timeline, routes } = world
  const route = routes.get(arrival.route)
  if (!vm.isUp || route?.service === undefined) return arrival.answer(lostAnswer)
  const arrivedAt = timeline.now
  const { life, entry } = vm
  const { service } = route
  const { object, deadline } = arrival
  useProcessor(world, vm, () => {
    if (vm.life !== life) return arrival.answer(lostAnswer)
    const run = startRequest(entry, { route, service, object: `${route.name}|${object}`, arrivedAt, deadline }, createCallerLiveness(), conditions, timeline.now)
    performNextStep(world, { vm, life, entry, arrival, run, wasCold: false })
  })
}

/** Queues one half of a request's processor time: the first half precedes the send, the second one follows the answer. */
function useProcessor (world: World, vm: VmModel, action: () => void): void {
  const { timeline, pattern: { entryVm: { requestCpuMs, cores } } } = world
  vm.busyUntil = Math.max(vm.busyUntil, timeline.now) + requestCpuMs / 2 / cores
  scheduleAfter(timeline, vm.busyUntil - timeline.now, action)
}

function performNextStep (world: World, active: ActiveRequest): void {
  const { vm, life, entry, arrival, run } = active
  if (vm.life !== life) return arrival.answer(lostAnswer)
  const step = decideNextStep(entry, run, conditions, world.timeline.now)
  switch (step.type) {
    case 'send': return send(world, active, step.placement)
    case 'poll':
      recordPoll(run.caller, world.timeline.now)
      return performNextStep(world, active)
    case 'wait':
      updateWaitingCount(entry, run, 1)
      return scheduleAfter(world.timeline, step.pauseMs, () => {
        updateWaitingCount(entry, run, -1)
        performNextStep(world, active)
      })
    case 'claimTrial': throw new LynxError('badRequest', 'the model has no requests that end servers', { step: 'replay' })
    case 'answer': return useProcessor(world, vm, () => arrival.answer({ type: 'answered', wasCold: active.wasCold }))
    case 'refuse': return arrival.answer({ type: 'refused', retryAfterMs: step.refused.retryAfterMs })
    case 'fail': return arrival.answer({ type: 'failed', reason: step.reason === 'serverFailed' ? 'lost' : 'timeout', wasCold: active.wasCold })
    case 'gone': return arrival.answer(lostAnswer)
  }
}

function send (world: World, active: ActiveRequest, placement: Placement): void {
  const { timeline, backends, score, random } = world
  const { vm, entry, arrival, run } = active
  const backend = backends.get(placement.server.facts.id) as Backend
  const oneWayMs = getOneWayDelay(world, vm.region, backend.region)
  const isReused = takeIdleConnection(world, vm, backend)
  const connectMs = isReused ? 0 : 2 * oneWayMs
  score.sends += 1
  if (!isReused) score.openedConnections += 1
  if (vm.region !== backend.region) score.remoteSends += 1
  const inFlight = beginSend(entry, run, placement, timeline.now)
  const job = createJob(world, vm.name, arrival, result => scheduleAfter(timeline, oneWayMs, () => handleResult(result)))
  let isFinished = false
  const finish = (outcome: SendOutcome): void => {
    if (isFinished) return
    isFinished = true
    endSend(entry, run, inFlight, outcome, timeline.now)
    performNextStep(world, active)
  }
  const handleResult = (result: BackendResult): void => {
    if (isFinished) return
    if (result.type !== 'lost') {
      recordReply(entry, placement.server, result.ahead, timeline.now)
      recordAnswerStatements(entry, placement.server, toStatements(result), timeline.now)
      returnIdleConnection(vm, backend, timeline.now)
    }
    recordSend(world, result, job, cause)
    finish(toSendOutcome(result, connectMs))
  }
  const abandon = (reason: 'deadline' | 'slow'): void => {
    if (isFinished) return
    cancelJob(timeline, backend, job)
    finish({ type: 'lost', reason })
  }
  let cause: ColdCause | undefined
  scheduleAfter(timeline, connectMs + oneWayMs, () => {
    if (isFinished) return
    active.wasCold = !backend.warm.has(job.object)
    if (backend.isUp && active.wasCold) cause = classifyColdRequest(world, backend, job, placement)
    submitJob(timeline, backend, job, drawRejection(backend, random))
  })
  scheduleAfter(timeline, arrival.deadline - timeline.now, () => abandon('deadline'))
  scheduleFailover(world, active, inFlight, () => abandon('slow'))
}

function scheduleFailover (world: World, { entry, run }: ActiveRequest, { failoverAt }: InFlightSend, abandon: () => void): void {
  const { timeline } = world
  if (failoverAt === undefined) return
  scheduleAfter(timeline, failoverAt - timeline.now, () => { if (reserveFailover(entry, run, conditions, timeline.now)) abandon() })
}

function drawRejection ({ shedPart, pausePart }: Backend, random: () => number): Rejection | undefined {
  if (random() < shedPart) return 'shed'
  return pausePart > 0 && random() < pausePart ? 'pause' : undefined
}

function createJob ({ pattern, random }: World, vm: string, { route, object, deadline }: IncomingRequest, onResult: Job['onResult']): Job {
  const { workMs, warmPart, spread } = pattern.routes[route] as World['pattern']['routes'][string]
  return { vm, object: `${route}|${object}`, coldMs: workMs * (1 + spread * sampleNormal(random)), warmPart, deadline, onResult, wasWarm: false, isFinished: false }
}

/** Returns an approximately normal value with standard deviation 1, within three deviations. */
function sampleNormal (random: () => number): number {
  return (random() + random() + random() - 1.5) * 2
}

function toStatements (result: Exclude<BackendResult, { type: 'lost' }>): ServerStatements {
  const { limit, isLeaving } = result
  return {
    limit: limit === undefined ? noStatements.limit : { type: 'limited', perSecond: limit },
    pause: result.type === 'full' && result.pauseMs !== undefined ? { type: 'paused', forMs: result.pauseMs } : noStatements.pause,
    leaving: isLeaving === true ? { type: 'leaving' } : noStatements.leaving
  }
}

function toSendOutcome (result: BackendResult, connectMs: Millis): SendOutcome {
  switch (result.type) {
    case 'answered': return { type: 'answered', status: okStatus, connectMs }
    case 'full': return { type: 'notRun', reason: 'full' }
    case 'lost': return { type: 'lost', reason: 'failed' }
  }
}

function recordSend ({ score, handled }: World, result: BackendResult, job: Job, cause: ColdCause | undefined): void {
  if (result.type === 'answered') {
    handled.add(job.object)
    if (!job.wasWarm && cause !== undefined) score.cold.set(cause, (score.cold.get(cause) ?? 0) + 1)
  }
  if (result.type === 'full') score.shed += 1
}

function takeIdleConnection ({ pattern, timeline }: World, vm: VmModel, { id }: Backend): boolean {
  const idle = vm.idle.get(id) ?? []
  const usedAt = idle.pop()
  return usedAt !== undefined && timeline.now - usedAt < pattern.entryVm.restMs
}

function returnIdleConnection (vm: VmModel, { id }: Backend, now: Millis): void {
  const idle = vm.idle.get(id)
  if (idle === undefined) vm.idle.set(id, [now])
  else idle.push(now)
}

/** Stops a VM: its requests in flight fail, and its state is lost. */
export function stopVm (vm: VmModel): void {
  vm.isUp = false
  vm.life += 1
}

/** Starts a VM: it knows the servers and the published load update, and has no observations of its own. */
export function startVm (world: World, vm: VmModel): void {
  vm.entry = createEntryState(world, vm.name, vm.region)
  applyLoadUpdate(vm.entry, world.publishedUpdate, vm.region, world.timeline.now)
  vm.idle.clear()
  vm.busyUntil = world.timeline.now
  vm.isUp = true
}
