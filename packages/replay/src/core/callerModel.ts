/**
 * Model of the callers: requests arrive as a Poisson process whose rate follows the region's wave. A caller sends to a random
 * running VM of its region, or of any region if none runs there. It retries once after a refusal, or after a failure if the
 * request is idempotent.
 */
import type { Millis } from '@lynxcourse/base'
import { scheduleAfter } from '@lynxcourse/base/timeline'
import type { RoutePattern } from '../types/pattern.js'
import { recordCompletedRequest } from './score.js'
import type { CompletedRequest, LossCause } from './score.js'
import { handleRequest } from './vmModel.js'
import type { VmAnswer } from './vmModel.js'
import type { VmModel, World } from './world.js'

/** The pause before a retry is at most this fraction of the time that the caller has left. */
const maxPauseFraction = 1 / 3

/** One request of a caller, over all its attempts. */
interface CallerRequest {
  readonly name: string
  readonly region: string
  readonly route: RoutePattern
  readonly object: string
  readonly startedAt: Millis
  retriesLeft: number
  wasRefused: boolean
}

/** Starts the callers of all regions. */
export function startCallers (world: World): void {
  for (const region of Object.keys(world.pattern.regions)) {
    for (const name of Object.keys(world.pattern.routes)) scheduleNextCaller(world, region, name)
  }
}

function scheduleNextCaller (world: World, region: string, name: string): void {
  const { timeline, random, pattern } = world
  const perSecond = getRequestRate(world, region, name)
  scheduleAfter(timeline, -Math.log(1 - random()) * 1000 / perSecond, () => {
    if (timeline.now >= pattern.seconds * 1000) return
    sendNewRequest(world, region, name)
    scheduleNextCaller(world, region, name)
  })
}

function getRequestRate ({ pattern, timeline, burst }: World, region: string, name: string): number {
  const { swing, periodS } = pattern.wave
  const { callers, phase } = pattern.regions[region] as World['pattern']['regions'][string]
  const { perSecond } = pattern.routes[name] as RoutePattern
  const wave = 1 + swing * Math.sin(2 * Math.PI * (timeline.now / 1000 / periodS + phase))
  return perSecond * callers * wave * burst
}

function sendNewRequest (world: World, homeRegion: string, name: string): void {
  const { random, timeline, movedCallers } = world
  const route = world.pattern.routes[name] as RoutePattern
  const move = movedCallers.get(homeRegion)
  const region = move !== undefined && random() < move.share ? move.to : homeRegion
  const object = `${homeRegion}-${Math.floor(random() * route.objects)}`
  sendAttempt(world, { name, region, route, object, startedAt: timeline.now, retriesLeft: 1, wasRefused: false })
}

function sendAttempt (world: World, request: CallerRequest): void {
  const { timeline, pattern: { delays } } = world
  const vm = chooseVm(world, request.region)
  if (vm === undefined) return reconnect(world, request)
  const { route } = request
  scheduleAfter(timeline, delays.toCallers, () => handleRequest(world, vm, {
    route: request.name,
    object: request.object,
    deadline: Math.min(timeline.now + route.timeoutMs, request.startedAt + route.patienceMs),
    answer: answer => scheduleAfter(timeline, delays.toCallers, () => handleAnswer(world, request, answer))
  }))
}

/** Tries again while no VM is running, if the pattern's callers do so. */
function reconnect (world: World, request: CallerRequest): void {
  const { timeline, pattern: { callers: { reconnectMs } } } = world
  if (reconnectMs === undefined || timeline.now + reconnectMs >= request.startedAt + request.route.patienceMs) return finishRequest(world, request, { type: 'failed', reason: 'lost', wasCold: false })
  scheduleAfter(timeline, reconnectMs, () => sendAttempt(world, request))
}

function chooseVm ({ vms, random }: World, region: string): VmModel | undefined {
  const runningVms = vms.filter(vm => vm.isUp)
  const local = runningVms.filter(vm => vm.region === region)
  const candidates = local.length > 0 ? local : runningVms
  return candidates[Math.floor(random() * candidates.length)]
}

function handleAnswer (world: World, request: CallerRequest, answer: VmAnswer): void {
  switch (answer.type) {
    case 'answered': return finishRequest(world, request, answer)
    case 'refused':
      request.wasRefused = true
      return retry(world, request, world.pattern.callers.impatient > 0 && world.random() < world.pattern.callers.impatient ? 0 : answer.retryAfterMs, answer)
    case 'failed':
      // A failed request may have run, so it is sent again only if it is idempotent.
      return request.route.isIdempotent ? retry(world, request, 0, answer) : finishRequest(world, request, answer)
  }
}

function retry (world: World, request: CallerRequest, pauseMs: Millis, answer: VmAnswer): void {
  const leftMs = request.startedAt + request.route.patienceMs - world.timeline.now
  if (request.retriesLeft === 0 || leftMs <= 0) return finishRequest(world, request, answer)
  request.retriesLeft -= 1
  scheduleAfter(world.timeline, Math.min(pauseMs, leftMs * maxPauseFraction), () => sendAttempt(world, request))
}

function finishRequest (world: World, { name, region, route, startedAt, wasRefused }: CallerRequest, answer: VmAnswer): void {
  const tookMs = world.timeline.now - startedAt
  const outcome: CompletedRequest['outcome'] = answer.type !== 'answered' ? answer.type : tookMs <= route.aimMs ? 'inTime' : tookMs <= route.patienceMs ? 'late' : 'failed'
  const earned = outcome === 'inTime' ? route.worth : outcome === 'late' ? route.lateWorth : 0
  recordCompletedRequest(world.score, { route: name, region, startedAt, outcome, tookMs, attainable: route.worth, earned, cause: classifyLoss(answer, outcome, wasRefused) })
}

/** Returns why a request earned less than its value; undefined if it was answered in time. */
function classifyLoss (answer: VmAnswer, outcome: CompletedRequest['outcome'], wasRefused: boolean): LossCause | undefined {
  if (outcome === 'inTime') return undefined
  if (answer.type === 'refused') return 'refused'
  if (answer.type === 'failed') return answer.reason === 'lost' ? 'lost' : answer.wasCold ? 'timeout cold' : 'timeout warm'
  if (wasRefused) return 'late after refusal'
  return answer.wasCold ? 'late cold' : 'late warm'
}
