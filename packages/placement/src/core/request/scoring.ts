/** Scores servers for a request by the expected time to completion and what it costs others. */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import type { Route } from '@lynxcourse/state'
import { hasColdToken, isCold, isWarmingVm } from '../server/coldRateLimit.js'
import { estimateRoundTrip, warmChance, workKey } from './fleet.js'
import type { Fleet } from './fleet.js'
import { estimateQueueDepth, hasRoom, isStalled, isTrusted, sharedAheadOf, slownessOf } from '../server/fleetServer.js'
import type { FleetServer } from '../server/fleetServer.js'
import { placesOf } from '../object/hashPlaces.js'
import type { HashPlace } from '../object/hashPlaces.js'
import { regionOf } from '../region/regionPlan.js'
import { holdersOf, isWarm } from '../object/warmth.js'
import { workOf } from '../object/workModel.js'
import type { WorkTimes } from '../object/workModel.js'

/** A request to be placed. */
export interface PlacementRequest {
  readonly route: Route
  readonly service: ServiceId
  /** The object that it concerns; empty if unknown. */
  readonly object: string
  readonly tried: ReadonlySet<ServerId>
  /** When the caller first reached this VM. */
  readonly arrivedAt: Millis
  readonly deadline: Millis
}

/** Extra for leaving the region that the plan names: what its bytes and its longer exposure to faults are worth. */
const awayMs = 15
/**
 * Wait at the planned region beyond which others are asked, in parts of the latency objective. Below it a request
 * that goes elsewhere finds a cold server and keeps two of them warm for one object.
 */
const planWaitPart = 0.4
/** Part of all slots in use from which work is weighed beyond its own time, and how fast that grows. */
const freeFill = 0.3
const fillWeight = 4
const maxFillWeight = 3
/** Requests ahead for each slot beyond which objects keep to their primary servers; with warm work there it stays well below. */
const primaryOnlyFill = 0.85
/** Cost of a full server's fill before anyone waits there, growing by its square: work comes unevenly, and reports lag. */
const fillMs = 30

/** Cost of cold work that its deadline may cut, in parts of the latency objective: the caller then has nothing instead of a late answer. */
const cutRiskPart = 1

/** A server with what is expected of it for a request. */
export interface Scored {
  readonly server: FleetServer
  /** Expected time, and what the choice costs others, in milliseconds. */
  readonly cost: Millis
  /** Wait by what this VM saw itself. */
  readonly waitMs: Millis
  /** Wait by what all VMs together saw. */
  readonly sharedWaitMs: Millis
  readonly travelMs: Millis
  readonly workMs: Millis
  /** The longest that work of its route takes at the server. */
  readonly longestWorkMs: Millis
  /** Whether this VM saw the server handle the object lately. */
  readonly wasWarm: boolean
  /** What hashing says of the server for the object; undefined if nothing. */
  readonly place: HashPlace | undefined
}

/** The server of least cost; undefined where none is open to the request. */
export function findBest (fleet: Fleet, request: PlacementRequest, now: Millis): Scored | undefined {
  const trusted = trustedServers(fleet, request, now)
  const open = trusted.filter(server => hasRoom(server, now))
  const region = plannedRegion(fleet, request, trusted)
  const isKeyed = request.route.isSticky && request.object !== ''
  // A server without room for a moment keeps its objects: where all are busy they would only be cold elsewhere.
  const places = isKeyed ? placesOf(trusted, `${request.service} ${request.object}`, region) : undefined
  const fill = fillOfService(fleet, request.service, now)
  const candidates = places === undefined ? open : candidatesOf(fleet, request, open, places, fill, now)
  const times = workOf(fleet.work, workKey(request), request.route.aimMs)
  const { disabledMechanisms: without } = fleet.setup
  const isHeldBeside = places !== undefined && !without.has('movedPrimaries') && candidates.some(server => isWarmBesidePrimary(fleet, request, server, places, region, now))
  const input: ScoreInput = { times, places, region, workWeight: without.has('workWeight') ? 1 : 1 + loadWeight(fill), isHeldBeside }
  const planned = leastCost(fleet, request, candidates.filter(server => server.facts.region === region), input, now)
  if (planned !== undefined && planned.sharedWaitMs <= request.route.aimMs * planWaitPart) return planned
  return leastCost(fleet, request, candidates, input, now)
}

/** Whether this VM saw the object lately at a server of the planned region that is not its primary server there. */
function isWarmBesidePrimary (fleet: Fleet, request: PlacementRequest, { facts }: FleetServer, places: ReadonlyMap<ServerId, HashPlace>, region: RegionId | undefined, now: Millis): boolean {
  return facts.region === region && places.get(facts.id) !== 'primary' && isWarm(fleet.warmth, facts.id, request.object, now)
}

function fillOfService (fleet: Fleet, service: ServiceId, now: Millis): number {
  return Math.max(fleet.sharedUtilization.get(service) ?? 0, fillOf(fleet.byService.get(service) ?? [], now))
}

/**
 * Servers that may get a request for an object: those that hashing names, and those that this VM saw warm. Where nearly
 * all slots are busy, only the object's primary server may: at others the work is cold and takes four times the slot time, pushes
 * other objects out of their warm places, and the fleet stays full of cold work although warm work would fit.
 */
function candidatesOf (fleet: Fleet, request: PlacementRequest, open: readonly FleetServer[], places: ReadonlyMap<ServerId, HashPlace>, fill: number, now: Millis): FleetServer[] {
  if (fill > primaryOnlyFill) return open.filter(server => places.get(server.facts.id) === 'primary')
  const holders = holdersOf(fleet.warmth, request.object)
  return open.filter(({ facts: { id } }) => places.has(id) || (holders.has(id) && isWarm(fleet.warmth, id, request.object, now)))
}

/** The region that the plan gives an object; a request without an object falls to a region by chance, in the same shares. */
function plannedRegion (fleet: Fleet, request: PlacementRequest, trusted: readonly FleetServer[]): RegionId | undefined {
  const near = fleet.setup.region
  const shares = fleet.shares.get(request.service) ?? new Map([[near, 1]])
  const object = request.object === '' ? String(fleet.setup.random()) : request.object
  return regionOf(shares, near, object, new Set(trusted.map(server => server.facts.region)))
}

function leastCost (fleet: Fleet, request: PlacementRequest, candidates: readonly FleetServer[], input: ScoreInput, now: Millis): Scored | undefined {
  let best: Scored | undefined
  for (const server of candidates) {
    const scored = score(fleet, request, server, input, now)
    if (best === undefined || scored.cost < best.cost) best = scored
  }
  return best
}

/**
 * How much more than its own time work counts. Where most slots are busy, work at a server that is not
 * warm for the object takes several times the slot time from those who wait: unweighed, a little wait
 * at the warm server sends requests to cold ones, all servers turn cold for all objects, and the fleet
 * serves a third of what it could without ever finding back.
 */
function loadWeight (fill: number): number {
  return Math.min(maxFillWeight, Math.max(0, fill - freeFill) * fillWeight)
}

/** Requests running and waiting for each slot of some servers. */
function fillOf (servers: readonly FleetServer[], now: Millis): number {
  let ahead = 0
  let slots = 0
  for (const server of servers) {
    if (server.facts.isClosed) continue
    ahead += estimateQueueDepth(server, now)
    slots += server.facts.slots
  }
  return slots === 0 ? 0 : ahead / slots
}

/** Whether a server takes requests like this one at all, whatever its state is now. */
export function mayServe ({ route: { homes }, tried }: PlacementRequest, { facts }: FleetServer): boolean {
  return !facts.isClosed && !tried.has(facts.id) && (homes.length === 0 || homes.includes(facts.region))
}

/** Servers that a request may go to, now or as soon as they have room. */
function trustedServers (fleet: Fleet, request: PlacementRequest, now: Millis): FleetServer[] {
  const trusted: FleetServer[] = []
  const ejected: FleetServer[] = []
  for (const server of fleet.byService.get(request.service) ?? []) {
    if (!mayServe(request, server)) continue
    if (!mayWarm(fleet, request.service, server, now)) continue
    if (isTrusted(server, now)) trusted.push(server)
    else if (!isStalled(server, now)) ejected.push(server)
  }
  // Where every server is ejected, ejection tells nothing: all but those that hang are tried.
  return trusted.length > 0 ? trusted : ejected
}

function mayWarm (fleet: Fleet, service: ServiceId, server: FleetServer, now: Millis): boolean {
  if (!isCold(server, now)) return true
  return isWarmingVm(server, fleet.setup.self, fleet.vms) && hasColdToken(server, fleet.coldRequestRates.get(service) ?? 0, now)
}

interface ScoreInput {
  readonly times: WorkTimes
  readonly places: ReadonlyMap<ServerId, HashPlace> | undefined
  /** The region that the plan names. */
  readonly region: RegionId | undefined
  readonly workWeight: number
  /** Whether the object is warm at a server of that region which is not its primary server there. */
  readonly isHeldBeside: boolean
}

function score (fleet: Fleet, request: PlacementRequest, server: FleetServer, input: ScoreInput, now: Millis): Scored {
  const { facts } = server
  const { times, places, workWeight } = input
  const wasWarm = places !== undefined && isWarm(fleet.warmth, facts.id, request.object, now)
  const place = placeFor(places?.get(facts.id), wasWarm, input)
  const chance = wasWarm ? 1 : place === undefined ? 0 : warmChance(fleet, request, place)
  const slowness = Math.max(1, slownessOf(server, now) / (fleet.meanSlowness.get(facts.service) ?? 1))
  const workMs = (times.coldMs + (times.warmMs - times.coldMs) * chance) * slowness
  const meanMs = (fleet.meanWork.get(facts.service) ?? times.coldMs) * slowness
  const ahead = sharedAheadOf(server, now)
  const waitMs = waitBehind(estimateQueueDepth(server, now), facts.slots, meanMs)
  const sharedWaitMs = waitBehind(ahead, facts.slots, meanMs)
  const travelMs = estimateRoundTrip(fleet, facts.region)
  const leavingMs = facts.region === input.region ? 0 : awayMs
  const longestWorkMs = Math.max(times.coldMs, times.longestMs) * slowness
  const riskMs = fleet.setup.disabledMechanisms.has('cutRisk') ? 0 : (1 - chance) * cutRisk(request, now + travelMs + sharedWaitMs + longestWorkMs)
  const cost = travelMs + sharedWaitMs + workMs * workWeight + leavingMs + (ahead / facts.slots) ** 2 * fillMs + riskMs + fleet.setup.random()
  return { server, cost, waitMs, sharedWaitMs, travelMs, workMs, longestWorkMs, wasWarm, place }
}

/**
 * What cold work costs beyond its time where its deadline may cut it: a route whose timeout is hardly longer than its cold work loses
 * requests at servers that are cold for an object while another one is warm for it.
 */
function cutRisk ({ route, deadline }: PlacementRequest, longestEnd: Millis): Millis {
  return longestEnd > deadline ? route.aimMs * cutRiskPart : 0
}

/** An object that this VM saw elsewhere in the region has a new primary server, which nobody may have warmed yet. */
function placeFor (place: HashPlace | undefined, wasWarm: boolean, { isHeldBeside }: ScoreInput): HashPlace | undefined {
  return place === 'primary' && isHeldBeside && !wasWarm ? 'movedPrimary' : place
}

/** Wait of a request behind so many others. */
function waitBehind (ahead: number, slots: number, meanMs: Millis): Millis {
  return ahead < slots ? 0 : (ahead - slots + 1) * meanMs / slots
}
