/** What one entry VM decides by: its fleet, what it told and was told of the load, its budgets, and what waits in it. */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import type { LoadNotes } from '../board/loadReport.js'
import type { RetryBudgetCfg, RetryShare } from '../retries/retryShare.js'
import { noteShared, noteSharedSilence } from '../server/fleetServer.js'
import type { LoadUpdate, WeightUpdate } from '../../types/loads.js'
import type { Fleet } from './fleet.js'

/** State of an entry VM's decisions. */
export interface EntryState {
  readonly fleet: Fleet
  readonly load: LoadNotes
  readonly retries: RetryShare
  /** Requests that wait for room at the servers, by service. */
  readonly waitingForCapacity: Map<ServiceId, number>
}

/** What holds for a decision now and may be another at the next one. */
export interface DecisionConditions {
  readonly retryBudget: RetryBudgetCfg
  /** Whether this VM stops: it breaks off nothing that it has passed on, and lets nothing wait. */
  readonly isStopping: boolean
}

/** Takes over what all VMs together saw of the load. */
export function applyLoadUpdate ({ fleet, load }: EntryState, news: LoadUpdate, region: RegionId, now: Millis): void {
  const { disabledMechanisms: without } = fleet.setup
  for (const { service, shares, fill, busy } of news.plans) {
    fleet.sharedUtilization.set(service, fill)
    const ownBusy = load.demand.get(service)
    if (ownBusy !== undefined && busy > 0) fleet.demandParts.set(service, ownBusy / busy)
    const own = shares.find(([from]) => from === region)?.[1]
    if (own !== undefined && !without.has('regionPlan')) fleet.shares.set(service, new Map(own))
  }
  applyWeights(fleet, news.weights)
  const silent = new Set<ServerId>(without.has('silentServers') ? [] : news.silent)
  for (const server of fleet.byId.values()) {
    noteShared(server, 0, now)
    noteSharedSilence(server, silent.has(server.facts.id), now)
  }
  if (without.has('sharedLoad')) return
  for (const [id, ahead] of news.full) {
    const server = fleet.byId.get(id)
    if (server !== undefined) noteShared(server, ahead, now)
  }
}

/** Takes over the servers' weights. They come before or after the servers that they are for: a VM that starts hears of both in one reply. */
export function applyWeights (fleet: Fleet, news: WeightUpdate | undefined): void {
  const weights = new Map(fleet.setup.disabledMechanisms.has('weights') ? [] : news?.servers)
  for (const server of fleet.byId.values()) server.weight = weights.get(server.facts.id) ?? 1
}
