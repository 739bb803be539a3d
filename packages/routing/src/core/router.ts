/** Chooses place and backend server for each request; the heart of an entry VM. */
import type { Chart, Millis, Random, RegionId, ResourceId, ServiceId, VmId } from '@lynxcourse/base'
import type { RegionLatencies } from '../types/view.js'
import { latencyBetween } from '../types/view.js'
import { createBackends, isServing, isUsable, recordAttemptEnd, recordAttemptStart, refreshBackend } from './backends.js'
import type { AttemptOutcome, Backends, ObservationCfg, ObservedServer } from './backends.js'
import type { CandidateRegion } from './regionOrder.js'
import type { PolicyContext, ServerPolicy } from './serverPolicy.js'

/** What the router needs for its whole life. */
export interface RouterSetup {
  readonly self: VmId
  readonly region: RegionId
  readonly policy: ServerPolicy
  readonly observation: ObservationCfg
  readonly chart: Chart
  readonly random: Random
  readonly latencies: RegionLatencies
}

/** Limits as the router sees them. */
export interface LimitGate {
  /** Whether a request may start against these resources now. */
  hasCapacity (resources: readonly ResourceId[]): boolean
  /** The capped resources that a request to a place uses. */
  getResources (place: CandidateRegion): readonly ResourceId[]
}

export interface Router {
  readonly setup: RouterSetup
  readonly backends: Backends
  /** Entry VMs by region, for sharing servers out. */
  peers: Map<RegionId, readonly VmId[]>
}

/** A request as routing sees it. */
export interface RouteRequest {
  readonly service: ServiceId
  readonly places: readonly CandidateRegion[]
  /** Servers already tried. */
  readonly triedServers: ReadonlySet<string>
}

/** Why a place was passed over, for `route explain` and the log. */
export interface PassedOverRegion {
  readonly region: RegionId
  readonly reason: 'noServer' | 'noSlot' | 'limit'
}

export type RouteDecision =
  | { readonly type: 'send', readonly observed: ObservedServer, readonly place: CandidateRegion, readonly resources: readonly ResourceId[], readonly passedOver: readonly PassedOverRegion[] }
  | { readonly type: 'wait', readonly passedOver: readonly PassedOverRegion[] }

export function createRouter (setup: RouterSetup): Router {
  return { setup, backends: createBackends(setup.observation, setup.chart), peers: new Map() }
}

function contextFor (router: Router, region: RegionId, now: Millis): PolicyContext {
  const { setup } = router
  const inRegion = router.peers.get(region) ?? []
  // Where no entry VM stands in a region, those of all regions share its servers.
  const peers = inRegion.length > 0 ? inRegion : [...router.peers.values()].flat()
  return { cfg: setup.observation, self: setup.self, peers, random: setup.random, now }
}

/** Chooses the first place, in order, with a free slot and room under its limits. */
export function routeRequest (router: Router, request: RouteRequest, gate: LimitGate, now: Millis): RouteDecision {
  const passedOver: PassedOverRegion[] = []
  for (const place of request.places) {
    const usable = servingIn(router, request, place.region, now).filter(observed => isUsable(observed, now))
    if (usable.length === 0) {
      passedOver.push({ region: place.region, reason: 'noServer' })
      continue
    }
    const resources = gate.getResources(place)
    if (!gate.hasCapacity(resources)) {
      passedOver.push({ region: place.region, reason: 'limit' })
      continue
    }
    const ctx = contextFor(router, place.region, now)
    const free = usable.filter(observed => observed.inFlight < slotsFor(router, observed, ctx))
    const observed = router.setup.policy.pick(free, ctx)
    if (observed !== undefined) return { type: 'send', observed, place, resources, passedOver }
    passedOver.push({ region: place.region, reason: 'noSlot' })
  }
  return { type: 'wait', passedOver }
}

function servingIn (router: Router, request: RouteRequest, region: RegionId, now: Millis): ObservedServer[] {
  const all = router.backends.byService.get(request.service) ?? []
  return all.filter(observed => {
    if (observed.backend.region !== region || request.triedServers.has(observed.backend.id)) return false
    refreshBackend(router.backends, observed, now)
    return isServing(observed)
  })
}

function slotsFor (router: Router, observed: ObservedServer, ctx: PolicyContext): number {
  return router.setup.policy.countUsableSlots(observed, ctx)
}

/** Slots that this VM may fill for a request, busy or free, also those that are left alone for a moment. */
export function countAvailableSlots (router: Router, request: RouteRequest, now: Millis): number {
  let slots = 0
  for (const place of request.places) {
    const ctx = contextFor(router, place.region, now)
    for (const observed of servingIn(router, request, place.region, now)) slots += slotsFor(router, observed, ctx)
  }
  return slots
}

/** Mean service time of a service as this VM saw it, in milliseconds. */
export function getMeanServiceMs (router: Router, service: ServiceId): Millis {
  const all = router.backends.byService.get(service) ?? []
  if (all.length === 0) return 0
  return all.reduce((sum, observed) => sum + observed.latencyMs, 0) / all.length
}

/** Two-way latency from this VM to a region. */
export function getRoundTripMs (router: Router, region: RegionId): Millis {
  return 2 * latencyBetween(router.setup.latencies, router.setup.region, region)
}

/** Counts an attempt in; pair it with `endAttempt`. */
export function beginAttempt (observed: ObservedServer): void {
  recordAttemptStart(observed)
}

/** Counts an attempt out. */
export function endAttempt (router: Router, observed: ObservedServer, end: AttemptOutcome, tookMs: Millis, now: Millis): void {
  recordAttemptEnd(router.backends, observed, end, tookMs, now)
}
