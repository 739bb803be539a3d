/**
 * Chooses the server of a request by the least expected time to completion: the way there and back,
 * the wait for a slot, and the work, which is shorter where the object is warm. Refuses at once what
 * can't be served in time.
 */
import type { Millis, Random, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import type { Route } from '@lynxcourse/state'
import { hasColdToken, isCold, isWarmingVm } from './coldShare.js'
import { aheadOf, isOpen, isStalled, slownessOf } from './fleetServer.js'
import type { FleetServer } from './fleetServer.js'
import { isWarm, ranksOf } from './warmth.js'
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

/** Travel assumed to a region that was not reached yet, two-way. */
const unknownTravelMs = 80
/** Extra for leaving the region: the time that its bytes and its longer exposure to faults are worth. */
const awayMs = 15
/** Chance that an object is warm at the server that hashing names, if this VM has not seen it there. */
const hashedWarmChance = 0.6
/** Cold servers of equal cost are taken in the order of the hash, so that VMs warm the same one. */
const rankMs = 2
const maxRankCounted = 10
/** Weight of a server's fill, so that equals share. */
const fillMs = 6
/** Waits that are accepted beyond the aim, in parts of the work, by rank: the most urgent wait longest. */
const patience = [1.5, 0.8, 0.5]
/** Least and longest time that a refused caller is told to stay away. */
const minRetryAfterMs = 60
const maxRetryAfterMs = 5000
/** Without any server, those that announce themselves come about this often. */
const noServerRetryMs = 500

interface Scored { server: FleetServer, cost: number, waitMs: Millis, travelMs: Millis, workMs: Millis, wasWarm: boolean }

/** Chooses a server for a request, or says when to come back. */
export function placeRequest (fleet: Fleet, request: PlaceRequest, now: Millis): Placed | Refused {
  const best = findBest(fleet, request, now)
  if (best === undefined) return { type: 'refuse', reason: 'noServer', retryAfterMs: noServerRetryMs }
  const { server, waitMs, travelMs, workMs, wasWarm } = best
  const endsAt = now + travelMs + waitMs + workMs
  if (endsAt > request.deadline) return refuse(fleet, 'noTime', endsAt - request.deadline)
  const tooLong = waitMs - allowedWait(request, travelMs + workMs, now)
  if (tooLong > 0) return refuse(fleet, 'busy', tooLong)
  return { type: 'send', server, wasWarm, isCold: isCold(server, now), waitMs, travelMs, workMs }
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
  const candidates = candidatesOf(fleet, request, now)
  const times = workOf(fleet.work, workKey(request), request.route.aimMs)
  const ranks = request.object === '' ? undefined : ranksFor(fleet, request)
  const homes = ranks === undefined ? new Map<RegionId, ServerId>() : homesOf(candidates, ranks)
  let best: Scored | undefined
  for (const server of candidates) {
    const scored = score(fleet, request, server, times, ranks, homes, now)
    if (best === undefined || scored.cost < best.cost) best = scored
  }
  return best
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
function homesOf (servers: readonly FleetServer[], ranks: ReadonlyMap<ServerId, number>): Map<RegionId, ServerId> {
  const homes = new Map<RegionId, ServerId>()
  const rankOf = (id: ServerId): number => ranks.get(id) ?? Infinity
  for (const { facts } of servers) {
    const held = homes.get(facts.region)
    if (held === undefined || rankOf(facts.id) < rankOf(held)) homes.set(facts.region, facts.id)
  }
  return homes
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

function score (
  fleet: Fleet, request: PlaceRequest, server: FleetServer, times: WorkTimes, ranks: ReadonlyMap<ServerId, number> | undefined,
  homes: ReadonlyMap<RegionId, ServerId>, now: Millis
): Scored {
  const { facts } = server
  const wasWarm = request.object !== '' && isWarm(fleet.warmth, facts.id, request.object, now)
  const isHome = homes.get(facts.region) === facts.id
  const warmChance = !request.route.isSticky ? 0 : wasWarm ? 1 : isHome ? hashedWarmChance : 0
  const slowness = slownessOf(server, now)
  const workMs = (times.coldMs + (times.warmMs - times.coldMs) * warmChance) * slowness
  const meanMs = (fleet.meanWork.get(facts.service) ?? times.coldMs) * slowness
  const ahead = aheadOf(server, meanMs, now)
  const waitMs = ahead < facts.slots ? 0 : (ahead - facts.slots + 1) * meanMs / facts.slots
  const isAway = facts.region !== fleet.setup.region
  const travelMs = travelTo(fleet, facts.region)
  const rank = Math.min(maxRankCounted, ranks?.get(facts.id) ?? 0)
  const cost = travelMs + waitMs + workMs + (isAway ? awayMs : 0) + rank * rankMs * (1 - warmChance) + ahead / facts.slots * fillMs + fleet.setup.random()
  return { server, cost, waitMs, travelMs, workMs, wasWarm }
}

/** Two-way travel to a region's servers. */
export function travelTo (fleet: Fleet, region: RegionId): Millis {
  return fleet.travel.get(region) ?? (region === fleet.setup.region ? 0 : unknownTravelMs)
}
