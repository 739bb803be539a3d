/**
 * The part of the load board that divides the limits of servers among the entry VMs.
 *
 * A server in need takes few requests from all VMs together. Equal shares would leave many of them unused, and VMs with more
 * requests than their share would send objects to servers where they are cold although the limit has room. Each VM therefore gets
 * a share in proportion to its requests for the server. Until VMs have reported these, they are estimated by the demand of their
 * region's callers and the region plan.
 */
import { rankByHash } from '@lynxcourse/base'
import type { Millis, RegionId, ServerId } from '@lynxcourse/base'
import { computeMaxSharers, limitTtlMs } from '@lynxcourse/limits'
import { loadReportTtlMs } from '../../types/loads.js'
import type { KnownServer, KnownServers, LimitDemandByVm, LimitUpdate, ServerLimits } from '../../types/loads.js'
import type { BoardLimit, LoadBoard } from './boardState.js'

/** An entry VM that may send requests. */
export interface SharingVm {
  readonly name: string
  readonly region: RegionId
}

/** Largest number of servers in one update: about 9 KB for each entry VM. */
const maxLimits = 200
/** Demand that is assumed of each VM, as a fraction of the mean demand: a VM without a share can't use even an ample limit. */
const minRelativeDemand = 0.1

/** Applies the limits of a report; the latest report counts. */
export function recordLimits ({ limits }: LoadBoard, reported: ServerLimits, now: Millis): void {
  for (const [server, perSecond] of reported) {
    limits.set(server, { perSecond, at: now, demand: limits.get(server)?.demand ?? new Map() })
  }
}

/** Applies the requests of entry VMs for servers with limits. */
export function recordLimitDemand ({ limits }: LoadBoard, reported: LimitDemandByVm, now: Millis): void {
  for (const [server, vm, perSecond] of reported) limits.get(server)?.demand.set(vm, { perSecond, at: now })
}

/** Returns the limits to publish. A limit that has ended stays listed for some time, so that all VMs hear of its end. */
export function buildLimitUpdates (board: LoadBoard, knownServers: KnownServers, vms: readonly SharingVm[], now: Millis): LimitUpdate[] {
  const updates: LimitUpdate[] = []
  for (const [server, { perSecond, at, demand }] of board.limits) {
    const known = knownServers.get(server)
    if (known === undefined || now - at > limitTtlMs) board.limits.delete(server)
    else if (updates.length < maxLimits && vms.length > 0) updates.push({ server, perSecond, shares: perSecond === null ? [] : divideLimit(server, perSecond, vms, listRecent(demand, now) ?? estimateDemand(board, known, vms)) })
  }
  return updates
}

/** Returns the demand of the VMs that reported recently; undefined if there is none. */
function listRecent (demand: BoardLimit['demand'], now: Millis): Map<string, number> | undefined {
  for (const [vm, { at }] of demand) if (now - at > loadReportTtlMs) demand.delete(vm)
  return demand.size === 0 ? undefined : new Map([...demand].map(([vm, { perSecond }]) => [vm, perSecond]))
}

/** Divides the limit of a server among the VMs with most of the requests for it. */
function divideLimit (server: ServerId, perSecond: number, vms: readonly SharingVm[], demand: ReadonlyMap<string, number>): LimitUpdate['shares'] {
  const names = vms.map(({ name }) => name)
  const meanDemand = names.reduce((sum, name) => sum + (demand.get(name) ?? 0), 0) / names.length
  const getWeight = (name: string): number => meanDemand === 0 ? 1 : Math.max(demand.get(name) ?? 0, meanDemand * minRelativeDemand)
  // Sorted by the demand itself, VMs with about the same demand would gain and lose their shares all the time.
  const isDemanding = (name: string): boolean => getWeight(name) >= meanDemand / 2
  const ranked = rankByHash(server, names)
  const sharers = [...ranked.filter(isDemanding), ...ranked.filter(name => !isDemanding(name))].slice(0, computeMaxSharers(perSecond))
  const total = sharers.reduce((sum, name) => sum + getWeight(name), 0)
  return sharers.map(name => [name, Math.floor(getWeight(name) / total * 1000) / 1000])
}

/** Estimates the requests of each VM for a server, relative to those of other VMs. */
function estimateDemand ({ demand, plans }: LoadBoard, { service, region: target }: KnownServer, vms: readonly SharingVm[]): Map<string, number> {
  const counts = new Map<RegionId, number>()
  for (const { region } of vms) counts.set(region, (counts.get(region) ?? 0) + 1)
  const getDemand = (region: RegionId): number => demand.get(`${service} ${region}`) ?? 0
  const isMeasured = [...counts.keys()].some(region => getDemand(region) > 0)
  const plan = plans.get(service)
  return new Map(vms.map(({ name, region }) => {
    if (target === undefined) return [name, 0]
    const plannedFraction = plan?.get(region)?.get(target) ?? (region === target ? 1 : 0)
    return [name, (isMeasured ? getDemand(region) / (counts.get(region) ?? 1) : 1) * plannedFraction]
  }))
}

/** Returns the limits with the shares of one VM only. */
export function selectOwnShares (limits: readonly LimitUpdate[], vm: string): LimitUpdate[] {
  return limits.map(limit => ({ ...limit, shares: limit.shares.filter(([name]) => name === vm) }))
}
