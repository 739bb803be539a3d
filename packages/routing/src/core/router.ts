/** Selects the region and the backend server for each request at an entry VM. */
import { rankByHash } from '@lynxcourse/base'
import type { Chart, Millis, Random, RegionId, ResourceId, ServiceId, VmId } from '@lynxcourse/base'
import { computeEqualShare, consumeLimitToken, getRequestDelay, isClosedToRequests, permitsRequest, restrictsRequests } from '@lynxcourse/limits'
import type { RegionLatencies } from '../types/view.js'
import { getLatencyMs } from '../types/view.js'
import { createBackends, isServing, isUsable, recordAttemptEnd, recordAttemptStart, refreshBackend } from './backends.js'
import type { AttemptOutcome, Backends, ObservationCfg, ObservedServer } from './backends.js'
import type { CandidateRegion } from './regionOrder.js'
import type { PolicyContext, ServerPolicy } from './serverPolicy.js'

/** Settings and dependencies of a router, fixed for its lifetime. */
export interface RouterSetup {
  readonly self: VmId
  readonly region: RegionId
  readonly policy: ServerPolicy
  readonly observation: ObservationCfg
  readonly chart: Chart
  readonly random: Random
  readonly latencies: RegionLatencies
}

/** The router's interface to the limits on requests in flight. */
export interface LimitGate {
  /** Returns whether a request may start against these resources now. */
  hasCapacity (resources: readonly ResourceId[]): boolean
  /** Returns the capped resources that a request to this region uses. */
  getResources (place: CandidateRegion): readonly ResourceId[]
}

export interface Router {
  readonly setup: RouterSetup
  readonly backends: Backends
  /** Entry VMs by region, among which servers are divided. */
  peers: Map<RegionId, readonly VmId[]>
}

/** The properties of a request that determine its route. */
export interface RouteRequest {
  readonly service: ServiceId
  /** Regions to try, in order. */
  readonly places: readonly CandidateRegion[]
  /** Ids of the servers already tried. */
  readonly triedServers: ReadonlySet<string>
}

/** A region that was passed over and why, for `route explain` and the log. */
export interface PassedOverRegion {
  readonly region: RegionId
  readonly reason: 'noServer' | 'noSlot' | 'limit' | 'serverLimit' | 'serverPause'
}

export type RouteDecision =
  | { readonly type: 'send', readonly observed: ObservedServer, readonly place: CandidateRegion, readonly resources: readonly ResourceId[], readonly passedOver: readonly PassedOverRegion[] }
  | { readonly type: 'wait', readonly passedOver: readonly PassedOverRegion[] }

export function createRouter (setup: RouterSetup): Router {
  return { setup, backends: createBackends(setup.observation, setup.chart), peers: new Map() }
}

function createPolicyContext (router: Router, region: RegionId, now: Millis): PolicyContext {
  const { setup } = router
  const inRegion = router.peers.get(region) ?? []
  // The servers of a region without entry VMs are divided among the entry VMs of all regions.
  const peers = inRegion.length > 0 ? inRegion : [...router.peers.values()].flat()
  return { cfg: setup.observation, self: setup.self, peers, random: setup.random, now }
}

/** Selects a server in the first region, in order, that has a free slot and capacity under its limits. */
export function routeRequest (router: Router, request: RouteRequest, gate: LimitGate, now: Millis): RouteDecision {
  const passedOver: PassedOverRegion[] = []
  const vmCount = countVms(router)
  for (const place of request.places) {
    const serving = listServing(router, request, place.region, now)
    const usable = serving.filter(observed => isUsable(observed, now))
    if (usable.length === 0) {
      const isPaused = serving.some(({ notice }) => isClosedToRequests(notice, now))
      passedOver.push({ region: place.region, reason: isPaused ? 'serverPause' : 'noServer' })
      continue
    }
    const resources = gate.getResources(place)
    if (!gate.hasCapacity(resources)) {
      passedOver.push({ region: place.region, reason: 'limit' })
      continue
    }
    const permitted = usable.filter(observed => permitsRequest(observed.notice, getLimitShare(router, observed), now))
    if (permitted.length === 0) {
      passedOver.push({ region: place.region, reason: 'serverLimit' })
      continue
    }
    const ctx = createPolicyContext(router, place.region, now)
    const free = permitted.filter(observed => observed.inFlight < countUsableSlots(router, observed, vmCount, ctx))
    const observed = router.setup.policy.pick(free, ctx)
    if (observed !== undefined) return { type: 'send', observed, place, resources, passedOver }
    passedOver.push({ region: place.region, reason: 'noSlot' })
  }
  return { type: 'wait', passedOver }
}

function listServing (router: Router, request: RouteRequest, region: RegionId, now: Millis): ObservedServer[] {
  const servers = router.backends.byService.get(request.service) ?? []
  return servers.filter(observed => {
    if (observed.backend.region !== region || request.triedServers.has(observed.backend.id)) return false
    refreshBackend(router.backends, observed, now)
    return isServing(observed)
  })
}

/** Returns the fraction of a server's limit that this VM may use. The VMs of the server's region come first. */
function getLimitShare ({ peers, setup }: Router, { backend, notice: { limit } }: ObservedServer): number {
  if (limit.perSecond === undefined) return 1
  const local = peers.get(backend.region) ?? []
  const remote = [...peers].filter(([region]) => region !== backend.region).flatMap(([, vms]) => vms)
  const vms = [...rankByHash(backend.id, local), ...rankByHash(backend.id, remote)]
  return computeEqualShare(limit.perSecond, setup.self, vms)
}

/** Returns the time until some server takes a request of this VM, by what the servers have said. */
export function estimateRequestDelay (router: Router, request: RouteRequest, now: Millis): Millis {
  if (!hasRestrictedServers(router, request.service, now)) return 0
  const servers = request.places.flatMap(place => listServing(router, request, place.region, now))
  if (servers.length === 0) return 0
  return Math.min(...servers.map(observed => getRequestDelay(observed.notice, getLimitShare(router, observed), now)))
}

/** Whether some server of a service wants no requests now, or takes a limited number of them. */
export function hasRestrictedServers ({ backends }: Router, service: ServiceId, now: Millis): boolean {
  const servers = backends.byService.get(service) ?? []
  return servers.some(({ notice }) => restrictsRequests(notice, now))
}

function countVms ({ peers }: Router): number {
  return [...peers.values()].reduce((sum, vms) => sum + vms.length, 0)
}

/** Returns how many slots of a server this VM may use. Each request needs a connection, and all VMs share those of a server. */
function countUsableSlots (router: Router, observed: ObservedServer, vmCount: number, ctx: PolicyContext): number {
  const connectionShare = Math.max(1, Math.floor(observed.backend.maxConnections / Math.max(1, vmCount)))
  return Math.min(connectionShare, router.setup.policy.countUsableSlots(observed, ctx))
}

/** Returns the number of slots, busy or free, that this VM may use for a request; includes servers paused after a shed. */
export function countAvailableSlots (router: Router, request: RouteRequest, now: Millis): number {
  let slots = 0
  const vmCount = countVms(router)
  for (const place of request.places) {
    const ctx = createPolicyContext(router, place.region, now)
    for (const observed of listServing(router, request, place.region, now)) slots += countUsableSlots(router, observed, vmCount, ctx)
  }
  return slots
}

/** Returns the mean service time of a service as observed by this VM, in milliseconds; 0 if it has no servers. */
export function getMeanServiceMs (router: Router, service: ServiceId): Millis {
  const servers = router.backends.byService.get(service) ?? []
  if (servers.length === 0) return 0
  return servers.reduce((sum, observed) => sum + observed.latencyMs, 0) / servers.length
}

/** Returns the round-trip time from this VM to a region, in milliseconds. */
export function getRoundTripMs (router: Router, region: RegionId): Millis {
  return 2 * getLatencyMs(router.setup.latencies, router.setup.region, region)
}

/** Counts an attempt as in flight, and uses a token of the server's limit. Each call needs a matching call of `endAttempt` when the attempt ends. */
export function beginAttempt (observed: ObservedServer): void {
  recordAttemptStart(observed)
  consumeLimitToken(observed.notice.limit)
}

/** Records the end and the outcome of an attempt. */
export function endAttempt (router: Router, observed: ObservedServer, end: AttemptOutcome, tookMs: Millis, now: Millis): void {
  recordAttemptEnd(router.backends, observed, end, tookMs, now)
}
