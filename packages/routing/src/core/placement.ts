/**
 * Chooses the server of a request by the least expected time to completion: the way there and back,
 * the wait for a slot, and the work, which is shorter where the object is warm. Refuses at once what
 * can't be served in time.
 */
import type { Millis, Random, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import type { Route } from '@lynxcourse/state'
import { hashText } from '@lynxcourse/base'
import { createConcurrency, mayStart } from './concurrency.js'
import type { Concurrency } from './concurrency.js'
import { hasColdToken, isCold, isWarmingVm } from './coldShare.js'
import { aheadOf, isOpen, isStalled, slownessOf } from './fleetServer.js'
import type { FleetServer } from './fleetServer.js'
import { activeObjects, isWarm, objectsPerServer, ranksOf } from './warmth.js'
import type { Warmth } from './warmth.js'
import { workOf } from './workModel.js'
import type { WorkModel, WorkTimes } from './workModel.js'

/** What placement needs for its whole life. */
export interface FleetSetup {
  readonly self: string
  readonly region: RegionId
  readonly random: Random
}

/** Servers, what was learned of them, and the VMs beside this one. */
export interface Fleet {
  readonly setup: FleetSetup
  readonly byId: Map<ServerId, FleetServer>
  byService: Map<ServiceId, FleetServer[]>
  readonly warmth: Warmth
  readonly work: WorkModel
  /** Smoothed time in a slot, by service. */
  readonly meanWork: Map<ServiceId, Millis>
  /** Smoothed two-way travel to other regions; learned from connecting. */
  readonly travel: Map<RegionId, Millis>
  /** Requests a second that a cold server of a service bears. */
  readonly coldRates: Map<ServiceId, number>
  vms: readonly string[]
  /** Chance that an object is warm at its home by hash, in this region and elsewhere, by route and service. */
  readonly homeWarm: Map<string, number>
  /** Smoothed ratio of real to expected times, by service; a server is slow only against its peers. */
  readonly meanSlowness: Map<ServiceId, number>
  /** Requests under way and how many there may be, by service. */
  readonly concurrency: Map<ServiceId, Concurrency>
}

/** A request to be placed. */
export interface PlaceRequest {
  readonly route: Route
  readonly service: ServiceId
  /** The object that it concerns; empty if unknown. */
  readonly object: string
  readonly tried: ReadonlySet<ServerId>
  /** When the caller first reached this VM. */
  readonly arrivedAt: Millis
  readonly deadline: Millis
}

export interface Placed {
  readonly type: 'send'
  readonly server: FleetServer
  readonly wasWarm: boolean
  /** Whether hashing names the server for the object in its region. */
  readonly isHome: boolean
  readonly isCold: boolean
  readonly waitMs: Millis
  readonly travelMs: Millis
  readonly workMs: Millis
}

export interface Refused {
  readonly type: 'refuse'
  readonly reason: 'noServer' | 'noTime' | 'busy'
  /** After which a slot will have come. */
  readonly retryAfterMs: Millis
}

/**
 * Cost of a near server for an object that is one too many: a server that is asked for more objects than
 * it keeps has none of them warm when it is asked again. Measured in a region with two servers and 136
 * objects: work took 149 ms where 78 ms were expected.
 */
const crowdedMs = 200
/** Far regions differ by up to this for an object, by its hash, so that all VMs of a region choose the same. */
const regionSpreadMs = 12
/** Hashes are 32 bits wide. */
const hashRange = 2 ** 32
/** Travel assumed to a region that was not reached yet, two-way. */
const unknownTravelMs = 80
/** Extra for leaving the region: the time that its bytes and its longer exposure to faults are worth. */
const awayMs = 15
/** Chance that an object is warm at the server that hashing names, before this VM has seen any there. */
const firstWarmChance = 0.6
/** Smoothing of that chance as answers show it. */
const chanceSmoothing = 0.03
/**
 * Cost that this region's servers bear for an object as their slots fill, up to this much by the object's
 * hash; about the way to another region and back. Objects leave a full region one after the other and for
 * good, where equal costs would send each of them now here, now there, and keep none of them warm.
 */
const leaveMs = 130
/** Part of all slots in use from which work is weighed beyond its own time, and how fast that grows. */
const freeFill = 0.3
const fillWeight = 4
const maxFillWeight = 3
/** Cost of a full server's fill before anyone waits there, growing by its square: work comes unevenly, and reports lag. */
const fillMs = 30
/** Waits that are accepted beyond the aim, in parts of the work, by rank: the most urgent wait longest. */
const patience = [1.5, 0.8, 0.5]
/** Least and longest time that a refused caller is told to stay away. */
const minRetryAfterMs = 100
const maxRetryAfterMs = 5000
/** Without any server, those that announce themselves come about this often. */
const noServerRetryMs = 500

interface Scored { server: FleetServer, cost: number, waitMs: Millis, travelMs: Millis, workMs: Millis, wasWarm: boolean, isHome: boolean }

/** Chooses a server for a request, or says when to come back. */
export function placeRequest (fleet: Fleet, request: PlaceRequest, now: Millis): Placed | Refused {
  const concurrency = concurrencyOf(fleet, request.service)
  if (!mayStart(concurrency, request.route.rank)) return refuse(fleet, 'busy', timeToRoom(fleet, request.service, concurrency))
  const best = findBest(fleet, request, now)
  if (best === undefined) return { type: 'refuse', reason: 'noServer', retryAfterMs: noServerRetryMs }
  const { server, waitMs, travelMs, workMs, wasWarm, isHome } = best
  const endsAt = now + travelMs + waitMs + workMs
  if (endsAt > request.deadline) return refuse(fleet, 'noTime', endsAt - request.deadline)
  const tooLong = waitMs - allowedWait(request, travelMs + workMs, now)
  if (tooLong > 0) return refuse(fleet, 'busy', tooLong)
  return { type: 'send', server, wasWarm, isHome, isCold: isCold(server, now), waitMs, travelMs, workMs }
}

/** About the time in which what is under way now ends, at the pace at which answers come now. */
function timeToRoom (fleet: Fleet, service: ServiceId, concurrency: Concurrency): Millis {
  return (fleet.meanWork.get(service) ?? minRetryAfterMs) * Math.max(1, concurrency.meanRatio)
}

/** The requests of a service under way at this VM. */
export function concurrencyOf (fleet: Fleet, service: ServiceId): Concurrency {
  const known = fleet.concurrency.get(service)
  if (known !== undefined) return known
  const made = createConcurrency(slotShare(fleet, service))
  fleet.concurrency.set(service, made)
  return made
}

/** This VM's equal share of a service's open slots. */
export function slotShare (fleet: Fleet, service: ServiceId): number {
  let slots = 0
  for (const { facts } of fleet.byService.get(service) ?? []) {
    if (!facts.isClosed) slots += facts.slots
  }
  return slots / Math.max(1, fleet.vms.length)
}

/**
 * How long a request may wait. Under load all slots are busy whatever the length of the queues; short
 * ones serve as many and serve them in time, so a wait beyond the aim is kept small and is longest for
 * the most urgent.
 */
function allowedWait (request: PlaceRequest, restMs: Millis, now: Millis): Millis {
  const slack = request.route.aimMs - (now - request.arrivedAt) - restMs
  const part = patience[Math.min(request.route.rank, patience.length - 1)] ?? 0
  return Math.max(slack * (part >= 1 ? 1 : part), restMs * part)
}

function refuse (fleet: Fleet, reason: Refused['reason'], afterMs: Millis): Refused {
  // Spread over twice the time, since slots come one by one and not all at its end.
  const spread = afterMs * (0.5 + fleet.setup.random() * 1.5)
  return { type: 'refuse', reason, retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, spread)) }
}

function findBest (fleet: Fleet, request: PlaceRequest, now: Millis): Scored | undefined {
  const open = candidatesOf(fleet, request, now)
  const times = workOf(fleet.work, workKey(request), request.route.aimMs)
  const isKeyed = request.route.isSticky && request.object !== ''
  const homes = isKeyed ? homesOf(open, ranksFor(fleet, request)) : undefined
  const candidates = homes === undefined ? open : open.filter(server => homes.has(server.facts.id) || isWarm(fleet.warmth, server.facts.id, request.object, now))
  const workWeight = 1 + loadWeight(fleet, request.service, now)
  const leaveCost = homes === undefined ? 0 : leaveCostOf(fleet, request, now)
  let best: Scored | undefined
  for (const server of candidates) {
    const scored = score(fleet, request, server, { times, homes, workWeight, leaveCost }, now)
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
function loadWeight (fleet: Fleet, service: ServiceId, now: Millis): number {
  const fill = fillOf(fleet.byService.get(service) ?? [], now)
  return Math.min(maxFillWeight, Math.max(0, fill - freeFill) * fillWeight)
}

/** What a near server bears for an object: more as slots fill, and much where the objects are more than the servers keep warm. */
function leaveCostOf (fleet: Fleet, request: PlaceRequest, now: Millis): Millis {
  const near = nearServers(fleet, request.service).filter(server => !server.facts.isClosed)
  const turn = hashText(request.object) / hashRange
  const isCrowded = turn * activeObjects(fleet.warmth, request.service) > near.length * objectsPerServer
  return turn * leaveMs * fillOf(near, now) + (isCrowded ? crowdedMs : 0)
}

function nearServers (fleet: Fleet, service: ServiceId): FleetServer[] {
  return (fleet.byService.get(service) ?? []).filter(server => server.facts.region === fleet.setup.region)
}

/** Requests running and waiting for each slot of some servers. */
function fillOf (servers: readonly FleetServer[], now: Millis): number {
  let ahead = 0
  let slots = 0
  for (const server of servers) {
    if (server.facts.isClosed) continue
    ahead += aheadOf(server, now)
    slots += server.facts.slots
  }
  return slots === 0 ? 0 : ahead / slots
}

/** Key of a request's learned times. */
export function workKey (request: { readonly route: Route, readonly service: ServiceId }): string {
  return `${request.route.name} ${request.service}`
}

function ranksFor (fleet: Fleet, request: PlaceRequest): ReadonlyMap<ServerId, number> {
  const all = fleet.byService.get(request.service) ?? []
  return ranksOf(fleet.warmth, `${request.service} ${request.object}`, all.map(server => server.facts.id))
}

/** The first server by hash in each region. */
function homesOf (servers: readonly FleetServer[], ranks: ReadonlyMap<ServerId, number>): Set<ServerId> {
  const first = new Map<RegionId, ServerId>()
  const rankOf = (id: ServerId): number => ranks.get(id) ?? Infinity
  for (const { facts } of servers) {
    const held = first.get(facts.region)
    if (held === undefined || rankOf(facts.id) < rankOf(held)) first.set(facts.region, facts.id)
  }
  return new Set(first.values())
}

function candidatesOf (fleet: Fleet, request: PlaceRequest, now: Millis): FleetServer[] {
  const { homes } = request.route
  const all = (fleet.byService.get(request.service) ?? []).filter(server =>
    !server.facts.isClosed && !request.tried.has(server.facts.id) && (homes.length === 0 || homes.includes(server.facts.region)))
  const allowed = all.filter(server => mayWarm(fleet, request.service, server, now))
  const open = allowed.filter(server => isOpen(server, now))
  if (open.length > 0) return open
  // Where every server is under suspicion, suspicion tells nothing: those whose time is nearly over are tried.
  return allowed.filter(server => now >= server.pausedUntil && !isStalled(server, now))
}

function mayWarm (fleet: Fleet, service: ServiceId, server: FleetServer, now: Millis): boolean {
  if (!isCold(server, now)) return true
  return isWarmingVm(server, fleet.setup.self, fleet.vms) && hasColdToken(server, fleet.coldRates.get(service) ?? 0, now)
}

interface ScoreInput {
  readonly times: WorkTimes
  readonly homes: ReadonlySet<ServerId> | undefined
  readonly workWeight: number
  /** What a near server bears for this object. */
  readonly leaveCost: Millis
}

function score (fleet: Fleet, request: PlaceRequest, server: FleetServer, input: ScoreInput, now: Millis): Scored {
  const { facts } = server
  const { times, homes, workWeight, leaveCost } = input
  const isAway = facts.region !== fleet.setup.region
  const wasWarm = homes !== undefined && isWarm(fleet.warmth, facts.id, request.object, now)
  const isHome = homes?.has(facts.id) === true
  const warmChance = wasWarm ? 1 : isHome ? fleet.homeWarm.get(chanceKey(request, isAway)) ?? firstWarmChance : 0
  const slowness = Math.max(1, slownessOf(server, now) / (fleet.meanSlowness.get(facts.service) ?? 1))
  const workMs = (times.coldMs + (times.warmMs - times.coldMs) * warmChance) * slowness
  const meanMs = (fleet.meanWork.get(facts.service) ?? times.coldMs) * slowness
  const ahead = aheadOf(server, now)
  const waitMs = ahead < facts.slots ? 0 : (ahead - facts.slots + 1) * meanMs / facts.slots
  const travelMs = travelTo(fleet, facts.region)
  const cost = travelMs + waitMs + workMs * workWeight + (isAway ? awayCost(request, facts.region) : leaveCost) + (ahead / facts.slots) ** 2 * fillMs + fleet.setup.random()
  return { server, cost, waitMs, travelMs, workMs, wasWarm, isHome }
}

function awayCost (request: PlaceRequest, region: RegionId): Millis {
  return awayMs + (request.object === '' ? 0 : hashText(`${request.object}|${region}`) / hashRange * regionSpreadMs)
}

function chanceKey (request: { readonly route: Route, readonly service: ServiceId }, isAway: boolean): string {
  return `${workKey(request)} ${isAway ? 'away' : 'near'}`
}

/** Learns whether an object was warm at its home, from an answer of a server where this VM had not seen it. */
export function learnHomeWarmth (fleet: Fleet, request: { readonly route: Route, readonly service: ServiceId }, isAway: boolean, wasWarm: boolean): void {
  const key = chanceKey(request, isAway)
  const chance = fleet.homeWarm.get(key) ?? firstWarmChance
  fleet.homeWarm.set(key, chance + ((wasWarm ? 1 : 0) - chance) * chanceSmoothing)
}

/** Takes a server's ratio of real to expected time into its service's mean. */
export function learnSlowness (fleet: Fleet, service: ServiceId, ratio: number): void {
  const mean = fleet.meanSlowness.get(service) ?? 1
  fleet.meanSlowness.set(service, Math.max(1, mean + (Math.min(ratio, maxRatioLearned) - mean) * slownessMeanSmoothing))
}

/** One freak answer must not make all servers look fast. */
const maxRatioLearned = 10
const slownessMeanSmoothing = 0.02

/** Two-way travel to a region's servers. */
export function travelTo (fleet: Fleet, region: RegionId): Millis {
  return fleet.travel.get(region) ?? (region === fleet.setup.region ? 0 : unknownTravelMs)
}
