/** The state on which one entry VM bases its decisions: the fleet, the load data, the retry budget and the waiting requests. */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { applyPublishedLimit } from '@lynxcourse/limits'
import type { LimitChange } from '@lynxcourse/limits'
import type { RequestRestriction } from '../admission/crashingRequests.js'
import type { LoadObservations } from '../board/loadObservations.js'
import type { RetryBudgetCfg, RetryUsage } from '../retries/retryBudget.js'
import { recordSharedQueueDepth, recordSharedResponsiveness } from '../server/fleetServer.js'
import type { LimitUpdate, LoadUpdate, WeightUpdate } from '../../types/loads.js'
import type { Fleet } from './fleet.js'

/** The decision state of an entry VM. */
export interface EntryState {
  readonly fleet: Fleet
  /** Load observations for the next report. */
  readonly load: LoadObservations
  readonly retries: RetryUsage
  /** Number of requests that wait for server capacity, by service. */
  readonly waitingForCapacity: Map<ServiceId, number>
}

/** Conditions of one decision; they may differ at the next one. */
export interface DecisionConditions {
  readonly retryBudget: RetryBudgetCfg
  /** Whether this VM is stopping: it then aborts no request in flight and lets no request wait for capacity. */
  readonly isStopping: boolean
  /** How the request may be sent if servers ended under it; undefined for all other requests. */
  readonly restriction?: RequestRestriction | undefined
  /** Whether the request needs a permit of its team before it is sent. */
  readonly needsPermit?: boolean
}

/** A change of a server's limit that the leader published. */
export interface PublishedLimitChange {
  readonly server: ServerId
  readonly change: LimitChange
}

/**
 * Applies the load data that the leader published: plans, weights, unresponsive servers, limits and queue depths.
 *
 * @returns the limits of servers that changed
 */
export function applyLoadUpdate ({ fleet, load }: EntryState, update: LoadUpdate, region: RegionId, now: Millis): PublishedLimitChange[] {
  const { disabledMechanisms } = fleet.setup
  for (const { service, shares, fill, busy } of update.plans) {
    fleet.sharedUtilization.set(service, fill)
    const ownDemand = load.demand.get(service)
    if (ownDemand !== undefined && busy > 0) fleet.demandFractions.set(service, ownDemand / busy)
    const ownShares = shares.find(([from]) => from === region)?.[1]
    if (ownShares !== undefined && !disabledMechanisms.has('regionPlan')) fleet.shares.set(service, new Map(ownShares))
  }
  applyWeights(fleet, update.weights)
  const unresponsive = new Set<ServerId>(disabledMechanisms.has('silentServers') ? [] : update.silent)
  for (const server of fleet.byId.values()) {
    recordSharedQueueDepth(server, 0, now)
    recordSharedResponsiveness(server, unresponsive.has(server.facts.id), now)
  }
  for (const [id, ahead] of disabledMechanisms.has('sharedLoad') ? [] : update.full) {
    const server = fleet.byId.get(id)
    if (server !== undefined) recordSharedQueueDepth(server, ahead, now)
  }
  return applyLimits(fleet, update.limits ?? [], now)
}

/**
 * Applies the limits of servers. Must be called again when servers were added, as for weights.
 *
 * @returns the limits that changed
 */
export function applyLimits ({ byId, setup }: Fleet, limits: readonly LimitUpdate[], now: Millis): PublishedLimitChange[] {
  if (setup.disabledMechanisms.has('limitShares')) return []
  const changes: PublishedLimitChange[] = []
  for (const { server: id, perSecond, shares } of limits) {
    const server = byId.get(id)
    if (server === undefined) continue
    const share = shares.find(([vm]) => vm === setup.self)?.[1] ?? 0
    const change = applyPublishedLimit(server.notice.limit, perSecond ?? undefined, share, now)
    if (change !== undefined) changes.push({ server: id, change })
  }
  return changes
}

/**
 * Applies the hash weights of the servers. Must be called again when servers were added: weights can arrive before the servers
 * that they belong to, since a VM that starts receives both in one reply.
 */
export function applyWeights (fleet: Fleet, update: WeightUpdate | undefined): void {
  const weights = new Map(fleet.setup.disabledMechanisms.has('weights') ? [] : update?.servers)
  for (const server of fleet.byId.values()) server.weight = weights.get(server.facts.id) ?? 1
}
