/** Scores servers for a request by the expected time to completion and the cost for other requests. */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { isClosedToRequests } from '@lynxcourse/limits'
import { selectUnderLimits } from '../server/limitedServers.js'
import { hasColdToken, isCold, isWarmingVm } from '../server/coldRateLimit.js'
import { estimateQueueWait, selectReachable } from './deadlineReach.js'
import { estimateRoundTrip, estimateWarmProbability, getConnectionShare, workKey } from './fleet.js'
import type { Fleet } from './fleet.js'
import { estimateQueueDepth, hasCapacity, isStalled, isHealthy, estimateSharedQueueDepth, getSlowdown, takesNewWork } from '../server/fleetServer.js'
import type { FleetServer } from '../server/fleetServer.js'
import { computeHashRanks } from '../object/hashRanks.js'
import type { HashRank } from '../object/hashRanks.js'
import { selectRegion } from '../region/regionPlan.js'
import { getWarmCandidates, isWarm } from '../object/warmObjects.js'
import { getWorkTimes } from '../object/workModel.js'
import type { WorkTimes } from '../object/workModel.js'
import type { PlacementRequest } from '../../types/placementRequest.js'

/** The servers that may get a request by their versions. */
export interface ServerChoice {
  readonly servers: readonly FleetServer[]
  /** Whether only healthy servers are eligible, since others can take the request. */
  readonly needsHealth: boolean
}

/** Cost of a server outside the planned region: traffic between regions, and longer exposure to network faults. */
const remoteRegionCostMs = 15
/**
 * Wait in the planned region above which servers of other regions are considered, as a fraction of the latency objective. With
 * a shorter wait, sending a request elsewhere would meet a cold server and keep two servers warm for one object.
 */
const maxPlannedWaitFraction = 0.4
/** Utilization above which work costs more than its own time, and the increase of its weight per unit of utilization above that. */
const unweightedUtilization = 0.3
const workWeightSlope = 4
const maxExtraWorkWeight = 3
/** Utilization above which objects are served at their primary servers only. With warm work, utilization stays well below it. */
const primaryOnlyUtilization = 0.85
/** Cost of a utilization of 1, growing with its square. It applies before requests wait, since work arrives unevenly and reports lag. */
const utilizationCostMs = 30

/**
 * Cost of cold work that may exceed its deadline, as a fraction of the latency objective: the caller then gets no answer instead of a
 * late one.
 */
const timeoutRiskCostFraction = 1

/** A server with its cost and expected times for a request. */
export interface ScoredServer {
  readonly server: FleetServer
  /** Expected time, plus the cost for other requests. */
  readonly cost: Millis
  /** Wait by the queue depth that this VM knows from its own requests and answers. */
  readonly waitMs: Millis
  /** Wait by the queue depth from the reports of all VMs. */
  readonly sharedWaitMs: Millis
  readonly roundTripMs: Millis
  readonly workMs: Millis
  /** Longest time that work of the route takes at the server. */
  readonly maxWorkMs: Millis
  /** Whether this VM recently saw the server handle the object. */
  readonly wasWarm: boolean
  /** Hash rank of the server for the object; undefined if it has none. */
  readonly place: HashRank | undefined
}

/** The server with the lowest cost, and the one that the request would have without limits. */
export interface BestServer extends ScoredServer {
  readonly wanted: FleetServer
}

/** Returns the server with the lowest cost for a request; undefined if no server can take it now. */
export function selectBestServer (fleet: Fleet, request: PlacementRequest, choice: ServerChoice, now: Millis): BestServer | undefined {
  const hashKey = request.route.isSticky && request.object !== '' ? `${request.service} ${request.object}` : undefined
  const { eligible, region, wanted } = findUsableServers(fleet, request, choice, hashKey, now)
  const open = eligible.filter(server => hasCapacity(server, now))
  // Servers that are full at the moment keep their hash ranks: if all servers are busy, moving objects only makes them cold elsewhere.
  const places = hashKey === undefined ? undefined : computeHashRanks(eligible, hashKey, region)
  const utilization = estimateServiceUtilization(fleet, request.service, now)
  const candidates = places === undefined ? open : findCandidates(fleet, request, open, places, utilization, now)
  const times = getWorkTimes(fleet.workModel, workKey(request), request.route.aimMs)
  const { disabledMechanisms } = fleet.setup
  const hasWarmNonPrimary = places !== undefined && !disabledMechanisms.has('movedPrimaries') && candidates.some(server => isWarmNonPrimary(fleet, request, server, places, region, now))
  const input: ScoreInput = { times, places, region, workWeight: disabledMechanisms.has('workWeight') ? 1 : 1 + computeExtraWorkWeight(utilization), hasWarmNonPrimary }
  const planned = findCheapest(fleet, request, candidates.filter(server => server.facts.region === region), input, now)
  const best = planned !== undefined && planned.sharedWaitMs <= request.route.aimMs * maxPlannedWaitFraction ? planned : findCheapest(fleet, request, candidates, input, now)
  return best === undefined ? undefined : { ...best, wanted: wanted ?? best.server }
}

/** The servers that may get a request under their limits, and the planned region among them. */
interface UsableRegion {
  readonly eligible: readonly FleetServer[]
  readonly region: RegionId | undefined
  /** The server that the request would have without limits; undefined if no limit matters. */
  readonly wanted: FleetServer | undefined
}

function findUsableServers (fleet: Fleet, request: PlacementRequest, choice: ServerChoice, hashKey: string | undefined, now: Millis): UsableRegion {
  const found = findEligibleServers(fleet, request, choice, now)
  const planned = choosePlannedRegion(fleet, request, found)
  const { servers: eligible, wanted } = selectUnderLimits(fleet, found, hashKey, planned, now)
  const isPlannedUsable = eligible.length === found.length || eligible.some(({ facts }) => facts.region === planned)
  return { eligible, region: isPlannedUsable ? planned : choosePlannedRegion(fleet, request, eligible), wanted }
}

/** Returns whether the server is in the planned region, not the object's primary server there, and recently handled the object. */
function isWarmNonPrimary (fleet: Fleet, request: PlacementRequest, { facts }: FleetServer, hashRanks: ReadonlyMap<ServerId, HashRank>, region: RegionId | undefined, now: Millis): boolean {
  return facts.region === region && hashRanks.get(facts.id) !== 'primary' && isWarm(fleet.warmObjects, facts.id, request.object, now)
}

function estimateServiceUtilization (fleet: Fleet, service: ServiceId, now: Millis): number {
  return Math.max(fleet.sharedUtilization.get(service) ?? 0, computeUtilization(fleet.byService.get(service) ?? [], now))
}

/**
 * Returns the servers that may get a request for an object: those with a hash rank, and those that are warm for it. If nearly
 * all slots are busy, only the object's primary server is a candidate, if it can answer by the request's deadline: work at other servers is cold, takes four times the slot
 * time and evicts other objects from their caches, so that cold work keeps the fleet full although warm work would fit.
 */
function findCandidates (fleet: Fleet, request: PlacementRequest, open: readonly FleetServer[], hashRanks: ReadonlyMap<ServerId, HashRank>, utilization: number, now: Millis): readonly FleetServer[] {
  const holders = getWarmCandidates(fleet.warmObjects, request.object)
  const all = open.filter(({ facts: { id } }) => hashRanks.has(id) || (holders.has(id) && isWarm(fleet.warmObjects, id, request.object, now)))
  if (utilization <= primaryOnlyUtilization) return all
  return selectReachable(fleet, request, all.filter(server => hashRanks.get(server.facts.id) === 'primary'), all, now)
}

/** Returns the region that the plan assigns to an object. A request without an object gets a random region, with the same shares. */
function choosePlannedRegion (fleet: Fleet, request: PlacementRequest, eligible: readonly FleetServer[]): RegionId | undefined {
  const localRegion = fleet.setup.region
  const shares = fleet.shares.get(request.service) ?? new Map([[localRegion, 1]])
  const object = request.object === '' ? String(fleet.setup.random()) : request.object
  return selectRegion(shares, localRegion, object, new Set(eligible.map(server => server.facts.region)))
}

function findCheapest (fleet: Fleet, request: PlacementRequest, candidates: readonly FleetServer[], input: ScoreInput, now: Millis): ScoredServer | undefined {
  let best: ScoredServer | undefined
  for (const server of candidates) {
    const scored = scoreServer(fleet, request, server, input, now)
    if (best === undefined || scored.cost < best.cost) best = scored
  }
  return best
}

/**
 * Computes the weight that work gets in addition to 1. If most slots are busy, cold work delays waiting requests by several times
 * the slot time of warm work. Without this weight, a short wait at the warm server would send requests to cold servers, all
 * servers would turn cold for all objects, and the fleet would serve a third of its capacity without recovering.
 */
function computeExtraWorkWeight (utilization: number): number {
  return Math.min(maxExtraWorkWeight, Math.max(0, utilization - unweightedUtilization) * workWeightSlope)
}

/** Returns the utilization of the open servers: running and waiting requests per slot. */
function computeUtilization (servers: readonly FleetServer[], now: Millis): number {
  let queueDepth = 0
  let slots = 0
  for (const server of servers) {
    if (server.facts.isClosed || server.role === 'unused' || isClosedToRequests(server.notice, now)) continue
    queueDepth += estimateQueueDepth(server, now)
    slots += server.facts.slots
  }
  return slots === 0 ? 0 : queueDepth / slots
}

/** Returns whether a server is open to requests like this one, whatever its load and health are now. */
export function canServe ({ route: { homes }, tried }: PlacementRequest, server: FleetServer): boolean {
  const { id, region } = server.facts
  return takesNewWork(server) && !tried.has(id) && (homes.length === 0 || homes.includes(region))
}

/** Returns the servers that may get a request, now or once they have capacity. */
function findEligibleServers (fleet: Fleet, request: PlacementRequest, { servers, needsHealth }: ServerChoice, now: Millis): FleetServer[] {
  const healthy: FleetServer[] = []
  const unhealthy: FleetServer[] = []
  for (const server of servers) {
    if (!canServe(request, server)) continue
    if (isClosedToRequests(server.notice, now) || server.running.size >= getConnectionShare(fleet, server)) continue
    if (!mayReceiveRequest(fleet, request.service, server, now)) continue
    if (isHealthy(server, now)) healthy.push(server)
    else if (!isStalled(server, now)) unhealthy.push(server)
  }
  // If every server is unhealthy, ejection doesn't distinguish them: all servers but the stalled ones are eligible.
  return healthy.length > 0 || needsHealth ? healthy : unhealthy
}

/** Window in which all VMs together observe the rate of a cold server. */
const coldRateWindowMs: Millis = 1000

/** Returns whether the rate limit of a cold server permits a request of this VM; other servers have no such limit. */
function mayReceiveRequest (fleet: Fleet, service: ServiceId, server: FleetServer, now: Millis): boolean {
  if (!isCold(server, now)) return true
  return fleet.mayUseShare(coldRateWindowMs) && isWarmingVm(server, fleet.setup.self, fleet.vms) && hasColdToken(server, fleet.coldRequestRates.get(service) ?? 0, now)
}

interface ScoreInput {
  readonly times: WorkTimes
  /** Hash ranks of the servers for the object; undefined if the route is not sticky or the object is unknown. */
  readonly places: ReadonlyMap<ServerId, HashRank> | undefined
  /** The planned region. */
  readonly region: RegionId | undefined
  /** Factor of the work time in the cost. */
  readonly workWeight: number
  /** Whether the object is warm at a server of the planned region that is not its primary server. */
  readonly hasWarmNonPrimary: boolean
}

function scoreServer (fleet: Fleet, request: PlacementRequest, server: FleetServer, input: ScoreInput, now: Millis): ScoredServer {
  const { facts } = server
  const { times, places, workWeight } = input
  const wasWarm = places !== undefined && isWarm(fleet.warmObjects, facts.id, request.object, now)
  const place = adjustHashRank(places?.get(facts.id), wasWarm, input)
  const warmProbability = wasWarm ? 1 : place === undefined ? 0 : estimateWarmProbability(fleet, request, place)
  const slowdown = Math.max(1, getSlowdown(server, now) / (fleet.meanSlowdowns.get(facts.service) ?? 1))
  const workMs = (times.coldMs + (times.warmMs - times.coldMs) * warmProbability) * slowdown
  const meanSlotMs = (fleet.meanSlotTimes.get(facts.service) ?? times.coldMs) * slowdown
  const sharedQueueDepth = estimateSharedQueueDepth(server, now)
  const waitMs = estimateQueueWait(estimateQueueDepth(server, now), facts.slots, meanSlotMs)
  const sharedWaitMs = estimateQueueWait(sharedQueueDepth, facts.slots, meanSlotMs)
  const roundTripMs = estimateRoundTrip(fleet, facts.region)
  const remoteCostMs = facts.region === input.region ? 0 : remoteRegionCostMs
  const maxWorkMs = Math.max(times.coldMs, times.longestMs) * slowdown
  const riskCostMs = fleet.setup.disabledMechanisms.has('cutRisk') ? 0 : (1 - warmProbability) * computeTimeoutRiskCost(request, now + roundTripMs + sharedWaitMs + maxWorkMs)
  const cost = roundTripMs + sharedWaitMs + workMs * workWeight + remoteCostMs + (sharedQueueDepth / facts.slots) ** 2 * utilizationCostMs + riskCostMs + fleet.setup.random()
  return { server, cost, waitMs, sharedWaitMs, roundTripMs, workMs, maxWorkMs, wasWarm, place }
}

/**
 * Computes the additional cost of cold work that may exceed its deadline. If a route's timeout is hardly longer than its cold work,
 * requests time out at servers that are cold for an object although another server is warm for it.
 */
function computeTimeoutRiskCost ({ route, deadline }: PlacementRequest, latestEndAt: Millis): Millis {
  return latestEndAt > deadline ? route.aimMs * timeoutRiskCostFraction : 0
}

/** Changes `primary` to `movedPrimary` if the object is warm at another server of the region: its new primary server may be cold. */
function adjustHashRank (hashRank: HashRank | undefined, wasWarm: boolean, { hasWarmNonPrimary }: ScoreInput): HashRank | undefined {
  return hashRank === 'primary' && hasWarmNonPrimary && !wasWarm ? 'movedPrimary' : hashRank
}
