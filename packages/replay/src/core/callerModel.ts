/** Callers: they come by chance around their wave, choose a VM of their region, and come back once if they are told to. */
import type { Millis } from '@lynxcourse/base'
import { scheduleAfter } from '@lynxcourse/base/timeline'
import type { RoutePattern } from '../types/pattern.js'
import { noteEnd } from './score.js'
import type { CallerEnd } from './score.js'
import { takeRequest } from './vmModel.js'
import type { VmAnswer } from './vmModel.js'
import type { VmModel, World } from './world.js'

/** A caller waits no longer than this part of the time that it has left before it comes back. */
const longestPausePart = 1 / 3

/** One caller's request through all of its attempts. */
interface CallerRequest {
  readonly name: string
  readonly region: string
  readonly route: RoutePattern
  readonly object: string
  readonly startedAt: Millis
  retriesLeft: number
}

/** Callers of all regions start to send. */
export function startCallers (world: World): void {
  for (const region of Object.keys(world.pattern.regions)) {
    for (const name of Object.keys(world.pattern.routes)) nextCaller(world, region, name)
  }
}

function nextCaller (world: World, region: string, name: string): void {
  const { timeline, random, pattern } = world
  const perSecond = rateOf(world, region, name)
  scheduleAfter(timeline, -Math.log(1 - random()) * 1000 / perSecond, () => {
    if (timeline.now >= pattern.seconds * 1000) return
    sendNew(world, region, name)
    nextCaller(world, region, name)
  })
}

function rateOf ({ pattern, timeline, burst }: World, region: string, name: string): number {
  const { swing, periodS } = pattern.wave
  const { callers, phase } = pattern.regions[region] as World['pattern']['regions'][string]
  const { perSecond } = pattern.routes[name] as RoutePattern
  const wave = 1 + swing * Math.sin(2 * Math.PI * (timeline.now / 1000 / periodS + phase))
  return perSecond * callers * wave * burst
}

function sendNew (world: World, home: string, name: string): void {
  const { random, timeline, moved } = world
  const route = world.pattern.routes[name] as RoutePattern
  const away = moved.get(home)
  const region = away !== undefined && random() < away.share ? away.to : home
  const object = `${home}-${Math.floor(random() * route.objects)}`
  attempt(world, { name, region, route, object, startedAt: timeline.now, retriesLeft: 1 })
}

function attempt (world: World, request: CallerRequest): void {
  const { timeline, pattern: { delays } } = world
  const vm = chooseVm(world, request.region)
  if (vm === undefined) return finish(world, request, 'failed')
  const { route } = request
  scheduleAfter(timeline, delays.toCallers, () => takeRequest(world, vm, {
    route: request.name,
    object: request.object,
    deadline: Math.min(timeline.now + route.timeoutMs, request.startedAt + route.patienceMs),
    answer: answer => scheduleAfter(timeline, delays.toCallers, () => takeAnswer(world, request, answer))
  }))
}

function chooseVm ({ vms, random }: World, region: string): VmModel | undefined {
  const up = vms.filter(vm => vm.isUp)
  const near = up.filter(vm => vm.region === region)
  const chosen = near.length > 0 ? near : up
  return chosen[Math.floor(random() * chosen.length)]
}

function takeAnswer (world: World, request: CallerRequest, answer: VmAnswer): void {
  switch (answer.type) {
    case 'answered': return finish(world, request, 'answered')
    case 'refused': return comeBack(world, request, answer.retryAfterMs, 'refused')
    case 'failed':
      // What may have run is sent again only where it may be repeated.
      return request.route.isIdempotent ? comeBack(world, request, 0, 'failed') : finish(world, request, 'failed')
  }
}

function comeBack (world: World, request: CallerRequest, pauseMs: Millis, outcome: 'refused' | 'failed'): void {
  const leftMs = request.startedAt + request.route.patienceMs - world.timeline.now
  if (request.retriesLeft === 0 || leftMs <= 0) return finish(world, request, outcome)
  request.retriesLeft -= 1
  scheduleAfter(world.timeline, Math.min(pauseMs, leftMs * longestPausePart), () => attempt(world, request))
}

function finish (world: World, { name, region, route, startedAt }: CallerRequest, end: 'answered' | 'refused' | 'failed'): void {
  const tookMs = world.timeline.now - startedAt
  const outcome: CallerEnd['outcome'] = end !== 'answered' ? end : tookMs <= route.aimMs ? 'inTime' : tookMs <= route.patienceMs ? 'late' : 'failed'
  const earned = outcome === 'inTime' ? route.worth : outcome === 'late' ? route.lateWorth : 0
  noteEnd(world.score, { route: name, region, startedAt, outcome, tookMs, owed: route.worth, earned })
}
