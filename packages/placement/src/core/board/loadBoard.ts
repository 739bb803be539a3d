/**
 * The leader's load board: combines what all entry VMs observe, and publishes the result to all of them.
 *
 * With many entry VMs, each of them sends a given server only one request in several seconds, so none of them knows of
 * the queues that the others caused. The symptom is requests that wait behind full queues while other servers are idle.
 * Every answer reports its server's load, so all VMs together receive several reports per second for each server. The
 * leader smooths these reports and publishes the servers that are nearly full.
 */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { adjustWeights } from '../object/serverWeights.js'
import type { ServerUtilization } from '../object/serverWeights.js'
import { buildLimitUpdates, recordLimitDemand, recordLimits } from './limitSharing.js'
import type { SharingVm } from './limitSharing.js'
import type { LoadBoard } from './boardState.js'
import { planRegions, smoothDemand } from './demandPlanning.js'
import { recordFailures, listSilentServers } from './silentServers.js'
import type { LoadDigest, LoadUpdate, PlanUpdate, KnownServers, ServiceSlots, WeightUpdate } from '../../types/loads.js'

/** Smoothing of a server's queue depth per report; about five reports arrive per second. */
const queueDepthSmoothing = 0.35
/** A server without a report for this long gets no requests that could form a queue. */
const maxQueueDepthAgeMs: Millis = 2500
/**
 * Queue depth per slot from which a server is published as full. A shorter queue is empty by the time the VMs receive
 * the update, and the objects that are moved away because of it are cold at other servers.
 */
const fullUtilization = 2
/** Largest number of full servers in one update, the fullest first: about 8 KB. */
const maxFullServers = 400
/** Time constant of the utilization that weights follow. At five slots, half of a momentary value is chance. */
const utilizationSmoothingMs: Millis = 3000
/**
 * Time between two published versions of the weights. 175 weights take 4 KB, and the objects that they move should
 * become warm before the next ones move.
 */
const weightsIntervalMs: Millis = 2000
/** A weight that differs less than this from 1 moves almost no objects. */
const minPublishedWeightChange = 0.03
/** A leader that did not plan for this long may have just begun to lead. Entry VMs report within this time. */
const leadershipPauseMs: Millis = 2000

/** Applies a control VM's digest at the leader. */
export function applyDigest (board: LoadBoard, control: string, digest: LoadDigest, now: Millis): void {
  board.byControl.set(control, { busy: digest.busy, at: now })
  recordFailures(board.silent, digest, now)
  recordLimits(board, digest.limits ?? [], now)
  recordLimitDemand(board, digest.limitDemand ?? [], now)
  for (const [server, ahead] of digest.servers) {
    const stored = board.queueDepths.get(server)
    const previous = stored === undefined || now - stored.at > maxQueueDepthAgeMs ? ahead : stored.ahead
    board.queueDepths.set(server, { ahead: previous + (ahead - previous) * queueDepthSmoothing, at: now })
  }
}

/**
 * Smooths the demand, updates plans and weights, lists the full servers, and divides the limits of servers among the given
 * entry VMs. The leader calls it once per exchange.
 */
export function updateBoard (board: LoadBoard, slots: ServiceSlots, knownServers: KnownServers, vms: readonly SharingVm[], now: Millis): void {
  const passedMs = Number.isFinite(board.plannedAt) ? Math.min(1000, now - board.plannedAt) : 0
  if (now - board.plannedAt > leadershipPauseMs) board.resumedAt = now
  board.plannedAt = now
  smoothDemand(board, passedMs, now)
  planRegions(board, slots, knownServers, passedMs, now)
  const full = listFullServers(board, knownServers, now)
  smoothUtilizations(board, knownServers, passedMs)
  adjustWeights(board.weights, listSettledUtilizations(board, knownServers), passedMs)
  const silent = listSilentServers(board.silent, id => knownServers.has(id), now)
  const limits = buildLimitUpdates(board, knownServers, vms, now)
  board.news = {
    full,
    silent,
    plans: encodePlans(board, computeServiceUtilizations(board, knownServers, slots)),
    weights: buildWeightUpdate(board, knownServers, now),
    ...(limits.length === 0 ? {} : { limits })
  }
}

function listFullServers (board: LoadBoard, knownServers: KnownServers, now: Millis): LoadUpdate['full'] {
  const fullest: Array<readonly [ServerId, number]> = []
  for (const [server, { ahead, at }] of board.queueDepths) {
    const slots = knownServers.get(server)?.slots
    if (slots === undefined || now - at > maxQueueDepthAgeMs) board.queueDepths.delete(server)
    else if (ahead >= slots * fullUtilization) fullest.push([server, Math.round(ahead * 10) / 10])
  }
  return fullest.sort((a, b) => b[1] - a[1]).slice(0, maxFullServers)
}

/** Smooths the servers' utilization over some seconds, so that chance variations move no weights. */
function smoothUtilizations (board: LoadBoard, knownServers: KnownServers, passedMs: Millis): void {
  const gain = Math.min(1, passedMs / utilizationSmoothingMs)
  for (const [id, { ahead }] of board.queueDepths) {
    const slots = knownServers.get(id)?.slots ?? 1
    const previous = board.utilizations.get(id) ?? ahead / slots
    board.utilizations.set(id, previous + (ahead / slots - previous) * gain)
  }
  for (const id of board.utilizations.keys()) if (!board.queueDepths.has(id)) board.utilizations.delete(id)
}

/** Lists the utilization of the servers that were reported recently and take work like their neighbours. */
function listSettledUtilizations (board: LoadBoard, knownServers: KnownServers): ServerUtilization[] {
  const utilizations: ServerUtilization[] = []
  for (const [id, fill] of board.utilizations) {
    const server = knownServers.get(id)
    // A server with a limit is less utilized, which does not mean that it can take more objects.
    const isLimited = typeof board.limits.get(id)?.perSecond === 'number'
    if (server?.region !== undefined && server.isSettled && !isLimited) utilizations.push({ id, service: server.service, region: server.region, fill })
  }
  return utilizations
}

/**
 * Returns the weights to publish. The last version is returned until its interval has passed, so that VMs receive each
 * version once.
 */
function buildWeightUpdate (board: LoadBoard, knownServers: KnownServers, now: Millis): WeightUpdate {
  const published = board.news.weights
  if (published !== undefined && now - board.weightsPublishedAt < weightsIntervalMs) return published
  board.weightsPublishedAt = now
  for (const id of board.weights.keys()) if (!knownServers.has(id)) board.weights.delete(id)
  const servers = [...board.weights].filter(([, weight]) => Math.abs(weight - 1) > minPublishedWeightChange)
  return { version: Math.round(now), servers: servers.map(([id, weight]) => [id, Math.round(weight * 100) / 100]) }
}

/**
 * Returns the update for a VM that has a version of the weights: the weights are left out if that version is the
 * current one.
 */
export function omitKnownWeights (update: LoadUpdate, knownVersion: number): LoadUpdate {
  if (update.weights?.version !== knownVersion) return update
  const { weights, ...others } = update
  return others
}

/** Returns the queue depth per slot, by service. A server without a recent report counts as idle. */
function computeServiceUtilizations (board: LoadBoard, knownServers: KnownServers, slots: ServiceSlots): Map<ServiceId, number> {
  const queueDepths = new Map<ServiceId, number>()
  for (const [server, stored] of board.queueDepths) {
    const service = knownServers.get(server)?.service
    if (service !== undefined) queueDepths.set(service, (queueDepths.get(service) ?? 0) + stored.ahead)
  }
  return new Map([...slots].map(([service, byRegion]) => {
    const total = [...byRegion.values()].reduce((sum, count) => sum + count, 0)
    return [service, total === 0 ? 0 : (queueDepths.get(service) ?? 0) / total]
  }))
}

function encodePlans ({ plans, measuredServices, demand, peaks }: LoadBoard, utilizations: ReadonlyMap<ServiceId, number>): PlanUpdate[] {
  const round = (slots: number): number => Math.round(slots * 10) / 10
  const rounded = (shares: ReadonlyMap<RegionId, number>): Array<readonly [RegionId, number]> => [...shares].map(([region, share]) => [region, Math.round(share * 1000) / 1000])
  return [...plans].map(([service, plan]) => ({
    service,
    isMeasured: measuredServices.has(service),
    fill: Math.round((utilizations.get(service) ?? 0) * 100) / 100,
    busy: round([...plan.keys()].reduce((sum, region) => sum + (demand.get(`${service} ${region}`) ?? 0), 0)),
    demand: [...plan.keys()].map(region => [region, round(peaks.get(`${service} ${region}`) ?? 0)]),
    shares: [...plan].map(([region, shares]) => [region, rounded(shares)])
  }))
}

/** Applies the leader's update at another control VM, which continues from these plans if it becomes the leader. */
export function storeLoadUpdate (board: LoadBoard, update: LoadUpdate, now: Millis): void {
  const weights = update.weights ?? board.news.weights
  board.news = weights === undefined ? update : { ...update, weights }
  board.weights.clear()
  for (const [id, weight] of weights?.servers ?? []) board.weights.set(id, weight)
  board.limits.clear()
  board.silentSharers.clear()
  recordLimits(board, (update.limits ?? []).map(({ server, perSecond }) => [server, perSecond]), now)
  board.plans.clear()
  for (const { service, isMeasured, demand, shares } of update.plans) {
    for (const [region, slots] of demand) {
      board.demand.set(`${service} ${region}`, slots)
      board.peaks.set(`${service} ${region}`, slots)
    }
    board.plans.set(service, new Map(shares.map(([region, inRegion]) => [region, new Map(inRegion)])))
    if (isMeasured) board.measuredServices.add(service)
  }
}
