/** Scores servers for a request by the expected time to completion and what it costs others. */
import { hashText } from '@lynxcourse/base'
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import type { Route } from '@lynxcourse/state'
import { hasColdToken, isCold, isWarmingVm } from './coldShare.js'
import { homeWarmChance, travelTo, workKey } from './fleet.js'
import type { Fleet } from './fleet.js'
import { aheadOf, isOpen, isStalled, slownessOf } from './fleetServer.js'
import type { FleetServer } from './fleetServer.js'
import { isWarm, ranksOf } from './warmth.js'
import { workOf } from './workModel.js'
import type { WorkTimes } from './workModel.js'

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

/** Far regions differ by up to this for an object, by its hash, so that all VMs of a region choose the same. */
const regionSpreadMs = 12
/** Hashes are 32 bits wide. */
const hashRange = 2 ** 32
/** Extra for leaving the region: the time that its bytes and its longer exposure to faults are worth. */
const awayMs = 15
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
/** A server with what is expected of it for a request. */
export interface Scored {
  readonly server: FleetServer
  /** Expected time, and what the choice costs others, in milliseconds. */
  readonly cost: Millis
  readonly waitMs: Millis
  readonly travelMs: Millis
  readonly workMs: Millis
  /** Whether this VM saw the server handle the object lately. */
  readonly wasWarm: boolean
  /** Whether hashing names the server for the object in its region. */
  readonly isHome: boolean
}

/** The server of least cost; undefined where none is open to the request. */
export function findBest (fleet: Fleet, request: PlaceRequest, now: Millis): Scored | undefined {
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

/** What a near server bears for an object: more as the region's slots fill. */
function leaveCostOf (fleet: Fleet, request: PlaceRequest, now: Millis): Millis {
  return hashText(request.object) / hashRange * leaveMs * fillOf(nearServers(fleet, request.service), now)
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
  const warmChance = wasWarm ? 1 : isHome ? homeWarmChance(fleet, request, isAway) : 0
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
