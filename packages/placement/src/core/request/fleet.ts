/** What one entry VM knows of a fleet: its servers, and what it learned of their work and of the ways to them. */
import type { Millis, Random, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import type { Route } from '@lynxcourse/state'
import { createConcurrency } from '../admission/concurrency.js'
import type { Concurrency } from '../admission/concurrency.js'
import type { FleetServer } from '../server/fleetServer.js'
import type { Mechanism } from '../../types/mechanisms.js'
import type { HashPlace } from '../object/hashPlaces.js'
import type { RegionShares } from '../region/regionPlan.js'
import { createWarmth } from '../object/warmth.js'
import type { Warmth } from '../object/warmth.js'
import { workOf } from '../object/workModel.js'
import type { WorkModel } from '../object/workModel.js'

/** What placement needs for its whole life. */
export interface FleetSetup {
  readonly self: string
  readonly region: RegionId
  readonly random: Random
  /** Mechanisms that are left out. */
  readonly disabledMechanisms: ReadonlySet<Mechanism>
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
  readonly roundTripTimes: Map<RegionId, Millis>
  /** Requests a second that a cold server of a service bears. */
  readonly coldRequestRates: Map<ServiceId, number>
  vms: readonly string[]
  /** Where this region's objects are served, by service; empty before the first plan came. */
  readonly shares: Map<ServiceId, RegionShares>
  /** Requests ahead for each slot, by service, as all VMs together saw it. */
  readonly sharedUtilization: Map<ServiceId, number>
  /** This VM's part of the demand for a service, as all VMs together saw it. */
  readonly demandParts: Map<ServiceId, number>
  /** Chance that an object is warm where hashing puts it, by route, service and kind of place. */
  readonly placeWarm: Map<string, number>
  /** Smoothed ratio of real to expected times, by service; a server is slow only against its peers. */
  readonly meanSlowness: Map<ServiceId, number>
  /** Requests under way and how many there may be, by service. */
  readonly concurrency: Map<ServiceId, Concurrency>
}

/** A fleet of which nothing is known yet. */
export function createFleet (setup: FleetSetup, vms: readonly string[]): Fleet {
  return {
    setup,
    byId: new Map(),
    byService: new Map(),
    warmth: createWarmth(),
    work: new Map(),
    meanWork: new Map(),
    roundTripTimes: new Map(),
    coldRequestRates: new Map(),
    vms,
    shares: new Map(),
    sharedUtilization: new Map(),
    demandParts: new Map(),
    placeWarm: new Map(),
    meanSlowness: new Map(),
    concurrency: new Map()
  }
}

/** Puts the fleet's servers into groups by service; to be called when servers came or left. */
export function groupServersByService (fleet: Fleet): void {
  fleet.byService = new Map()
  for (const server of fleet.byId.values()) {
    const group = fleet.byService.get(server.facts.service)
    if (group === undefined) fleet.byService.set(server.facts.service, [server])
    else group.push(server)
  }
}

/** A route's requests to one of its services; what is learned is learned for each pair. */
export interface RoutedService {
  readonly route: Route
  readonly service: ServiceId
}

/** Travel assumed to a region that was not reached yet, two-way. */
const unknownTravelMs = 80
/** Chance that an object is warm at such a place, before this VM has seen any there. */
const firstWarmChances: Record<HashPlace, number> = { primary: 0.7, movedPrimary: 0.3, secondary: 0.1, remote: 0.1 }
/**
 * While every object is cold, primary servers look no better than others; going to others would make each object
 * cold at several of them, and the first seconds would last for ten.
 */
const leastPrimaryChance = 0.5
/** Smoothing of that chance as answers show it. */
const chanceSmoothing = 0.03
/** One freak answer must not make all servers look fast. */
const maxRatioLearned = 10
const slownessMeanSmoothing = 0.02

/** The requests of a service under way at this VM. */
export function getConcurrency (fleet: Fleet, service: ServiceId): Concurrency {
  const known = fleet.concurrency.get(service)
  if (known !== undefined) return known
  const made = createConcurrency(slotShare(fleet, service))
  fleet.concurrency.set(service, made)
  return made
}

/** Least and most of an equal share that a VM may count as its own, whatever demand it sees. */
const leastOfEqual = 0.5
const mostOfEqual = 3

/**
 * This VM's share of a service's open slots, by its part of the demand. With equal shares, callers of a failure domain with one VM
 * or at the height of their day are refused while the slots that others count as theirs are idle.
 */
export function slotShare (fleet: Fleet, service: ServiceId): number {
  const equal = 1 / Math.max(1, fleet.vms.length)
  const part = fleet.demandParts.get(service) ?? equal
  let slots = 0
  for (const { facts } of fleet.byService.get(service) ?? []) {
    if (!facts.isClosed) slots += facts.slots
  }
  return slots * Math.min(mostOfEqual * equal, Math.max(leastOfEqual * equal, part))
}

/** Key of a request's learned times. */
export function workKey (request: RoutedService): string {
  return `${request.route.name} ${request.service}`
}

/** Slot time that a request needs at a server that is warm for its object, or, without an object, the usual one of its service. */
export function slotTimeOf (fleet: Fleet, request: RoutedService, object: string): Millis {
  const times = workOf(fleet.work, workKey(request), request.route.aimMs)
  if (request.route.isSticky && object !== '') return times.warmMs
  return fleet.meanWork.get(request.service) ?? times.coldMs
}

/** Chance that an object is warm at a place where this VM has not seen it. */
export function warmChance (fleet: Fleet, request: RoutedService, place: HashPlace): number {
  const chance = fleet.placeWarm.get(`${workKey(request)} ${place}`) ?? firstWarmChances[place]
  return place === 'primary' ? Math.max(leastPrimaryChance, chance) : chance
}

/** Learns whether an object was warm, from an answer of a server where this VM had not seen it. */
export function learnWarmChance (fleet: Fleet, request: RoutedService, place: HashPlace, wasWarm: boolean): void {
  const key = `${workKey(request)} ${place}`
  const chance = warmChance(fleet, request, place)
  fleet.placeWarm.set(key, chance + ((wasWarm ? 1 : 0) - chance) * chanceSmoothing)
}

/** Takes a server's ratio of real to expected time into its service's mean. */
export function learnSlowness (fleet: Fleet, service: ServiceId, ratio: number): void {
  const mean = fleet.meanSlowness.get(service) ?? 1
  fleet.meanSlowness.set(service, Math.max(1, mean + (Math.min(ratio, maxRatioLearned) - mean) * slownessMeanSmoothing))
}

/** Two-way travel to a region's servers. */
export function estimateRoundTrip (fleet: Fleet, region: RegionId): Millis {
  return fleet.roundTripTimes.get(region) ?? (region === fleet.setup.region ? 0 : unknownTravelMs)
}
