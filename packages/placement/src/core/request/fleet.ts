/** The state of a fleet as one entry VM knows it: its servers, and estimates of work times and network delays. */
import type { Millis, Random, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import type { ServerNotices } from '@lynxcourse/limits'
import type { Route } from '@lynxcourse/state'
import type { ConcurrencyLimit } from '../admission/concurrencyLimit.js'
import type { FleetServer } from '../server/fleetServer.js'
import type { Mechanism } from '../../types/mechanisms.js'
import type { HashRank } from '../object/hashRanks.js'
import { computeSlackShare } from '../retries/retryBudget.js'
import type { RetryBudgetCfg } from '../retries/retryBudget.js'
import type { RegionShares } from '../region/regionPlan.js'
import { createActiveRollouts } from '../rollout/activeRollouts.js'
import type { ActiveRollouts } from '../rollout/activeRollouts.js'
import { createWarmObjects } from '../object/warmObjects.js'
import type { WarmObjects } from '../object/warmObjects.js'
import { getWorkTimes } from '../object/workModel.js'
import type { WorkModel } from '../object/workModel.js'

/** Settings that don't change while the VM runs. */
export interface FleetSetup {
  /** Name of this VM. */
  readonly self: string
  readonly region: RegionId
  readonly random: Random
  /** Disabled mechanisms. */
  readonly disabledMechanisms: ReadonlySet<Mechanism>
}

/** Servers, estimates learned from their answers, and the entry VMs of the fleet. */
export interface Fleet {
  readonly setup: FleetSetup
  readonly byId: Map<ServerId, FleetServer>
  byService: Map<ServiceId, FleetServer[]>
  /** What servers have said about themselves. */
  readonly notices: ServerNotices
  readonly warmObjects: WarmObjects
  readonly workModel: WorkModel
  /** Smoothed time that a request occupies a slot, by service. */
  readonly meanSlotTimes: Map<ServiceId, Millis>
  /** Smoothed round-trip time to other regions, learned from opening connections. */
  readonly roundTripTimes: Map<RegionId, Millis>
  /** Requests per second that a cold server can handle, by service. */
  readonly coldRequestRates: Map<ServiceId, number>
  /** Connections that a server accepts from all VMs together, by service. */
  readonly maxConnections: Map<ServiceId, number>
  /** Names of the entry VMs, this one included. */
  vms: readonly string[]
  /**
   * Returns whether this VM may use its share of a bound that all VMs together observe in any window; always if nothing replaces it.
   * The window is undefined for a share that the leader gave.
   */
  mayUseShare: (windowMs: Millis | undefined) => boolean
  /** Returns whether this VM may use a reduced part of a share that the leader gave and no longer confirms; always if nothing replaces it. */
  mayUseReducedShare: () => boolean
  /** Returns whether this VM has had a complete list of the entry VMs; always if nothing replaces it. */
  knowsOthers: () => boolean
  /** Fractions of this region's objects that each region serves, by service; empty until the first plan arrives. */
  readonly shares: Map<ServiceId, RegionShares>
  /** Utilization over the reports of all VMs: running and waiting requests per slot, by service. */
  readonly sharedUtilization: Map<ServiceId, number>
  /** This VM's fraction of the demand of all VMs, by service. */
  readonly demandFractions: Map<ServiceId, number>
  /** Probability that an object is warm at a server where this VM has not seen it, by route, service and hash rank. */
  readonly warmProbabilities: Map<string, number>
  /** Smoothed ratio of observed to expected times, by service; a server is slow only relative to its peers. */
  readonly meanSlowdowns: Map<ServiceId, number>
  /** Requests in flight and their limit, by service. */
  readonly concurrency: Map<ServiceId, ConcurrencyLimit>
  readonly rollouts: ActiveRollouts
}

/** Creates a fleet without servers or learned estimates. */
export function createFleet (setup: FleetSetup, vms: readonly string[]): Fleet {
  return {
    setup,
    byId: new Map(),
    byService: new Map(),
    notices: new Map(),
    warmObjects: createWarmObjects(),
    workModel: new Map(),
    meanSlotTimes: new Map(),
    roundTripTimes: new Map(),
    coldRequestRates: new Map(),
    maxConnections: new Map(),
    vms,
    mayUseShare: () => true,
    mayUseReducedShare: () => true,
    knowsOthers: () => true,
    shares: new Map(),
    sharedUtilization: new Map(),
    demandFractions: new Map(),
    warmProbabilities: new Map(),
    meanSlowdowns: new Map(),
    concurrency: new Map(),
    rollouts: createActiveRollouts()
  }
}

/** Rebuilds the groups of servers by service. Must be called after servers were added or removed. */
export function groupServersByService (fleet: Fleet): void {
  fleet.byService = new Map()
  for (const server of fleet.byId.values()) {
    const group = fleet.byService.get(server.facts.service)
    if (group === undefined) fleet.byService.set(server.facts.service, [server])
    else group.push(server)
  }
}

/** A route and one of its services. Work times are learned for each such pair. */
export interface RoutedService {
  readonly route: Route
  readonly service: ServiceId
}

/** Assumed round-trip time to a region that has not been reached yet. */
const defaultRoundTripMs = 80
/** Probability that an object is warm at a server of each hash rank, before any answers. */
const initialWarmProbabilities: Record<HashRank, number> = { primary: 0.7, movedPrimary: 0.3, secondary: 0.1, remote: 0.1 }
/**
 * Lower bound of the probability for primary servers. While every object is cold, learned probabilities would not favor primary
 * servers; requests would then go to other servers too, each object would be cold at several servers, and the cold phase after
 * a start would take ten seconds instead of a few.
 */
const minPrimaryProbability = 0.5
/** Smoothing factor of the learned probability. */
const warmProbabilitySmoothing = 0.03
/** Upper bound of one sample: a single outlier must not make all other servers look fast. */
const maxSlowdownSample = 10
const meanSlowdownSmoothing = 0.02

/** Requests in flight for each slot of a server, of a VM that does not know the others yet: one runs and one waits. */
const requestsPerSlot = 2

/** Returns how many requests this VM may have in flight at one server: each needs a connection, and all VMs share those of a server. */
export function getConnectionShare ({ maxConnections, vms, knowsOthers }: Fleet, { facts: { service, slots } }: FleetServer): number {
  const connections = maxConnections.get(service) ?? 0
  if (connections <= 0) return Infinity
  const share = Math.max(1, Math.floor(connections / Math.max(1, vms.length)))
  return knowsOthers() ? share : Math.min(requestsPerSlot * slots, share)
}

/** Returns how many retries of each window this VM may send beyond those that its requests earn. */
export function getSlackShare ({ vms, mayUseShare }: Fleet, budget: RetryBudgetCfg): number {
  return mayUseShare(budget.windowMs) ? computeSlackShare(budget, vms.length) : 0
}

/** Returns the key of the work times that are learned for a request. */
export function workKey (request: RoutedService): string {
  return `${request.route.name} ${request.service}`
}

/** Returns the slot time of a request at a server that is warm for its object; without an object, the mean slot time of the service. */
export function estimateSlotTime (fleet: Fleet, request: RoutedService, object: string): Millis {
  const times = getWorkTimes(fleet.workModel, workKey(request), request.route.aimMs)
  if (request.route.isSticky && object !== '') return times.warmMs
  return fleet.meanSlotTimes.get(request.service) ?? times.coldMs
}

/** Returns the probability that an object is warm at a server of the given hash rank where this VM has not seen it. */
export function estimateWarmProbability (fleet: Fleet, request: RoutedService, hashRank: HashRank): number {
  const probability = fleet.warmProbabilities.get(`${workKey(request)} ${hashRank}`) ?? initialWarmProbabilities[hashRank]
  return hashRank === 'primary' ? Math.max(minPrimaryProbability, probability) : probability
}

/** Updates that probability with an answer from a server where this VM had not seen the object. */
export function updateWarmProbability (fleet: Fleet, request: RoutedService, hashRank: HashRank, wasWarm: boolean): void {
  const key = `${workKey(request)} ${hashRank}`
  const probability = estimateWarmProbability(fleet, request, hashRank)
  fleet.warmProbabilities.set(key, probability + ((wasWarm ? 1 : 0) - probability) * warmProbabilitySmoothing)
}

/** Updates the mean slowdown of a service with one server's ratio of observed to expected time. */
export function updateMeanSlowdown (fleet: Fleet, service: ServiceId, ratio: number): void {
  const mean = fleet.meanSlowdowns.get(service) ?? 1
  fleet.meanSlowdowns.set(service, Math.max(1, mean + (Math.min(ratio, maxSlowdownSample) - mean) * meanSlowdownSmoothing))
}

/** Returns the estimated round-trip time to the servers of a region. */
export function estimateRoundTrip (fleet: Fleet, region: RegionId): Millis {
  return fleet.roundTripTimes.get(region) ?? (region === fleet.setup.region ? 0 : defaultRoundTripMs)
}
