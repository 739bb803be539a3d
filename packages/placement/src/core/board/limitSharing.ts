/**
 * The part of the load board that divides the limits of servers among the entry VMs.
 *
 * A server in need takes few requests from all VMs together. Equal shares would leave most of them unused: the VMs of other
 * regions have few requests for the server. Each VM therefore gets a share in proportion to the requests that it is expected
 * to have for the server, by the demand of its region's callers and the region plan.
 */
import { rankByHash } from '@lynxcourse/base'
import type { Millis, RegionId, ServerId } from '@lynxcourse/base'
import { computeMaxSharers, limitTtlMs } from '@lynxcourse/limits'
import type { KnownServer, KnownServers, LimitUpdate, ServerLimits } from '../../types/loads.js'
import type { LoadBoard } from './loadBoard.js'

/** An entry VM that may send requests. */
export interface SharingVm {
  readonly name: string
  readonly region: RegionId
}

/** Largest number of servers in one update: about 9 KB for each entry VM. */
const maxLimits = 200
/** A VM whose share would be smaller than this fraction of the largest one gets none. */
const minRelativeShare = 0.1

/** Applies the limits of a report; the latest report counts. */
export function recordLimits ({ limits }: LoadBoard, reported: ServerLimits, now: Millis): void {
  for (const [server, perSecond] of reported) limits.set(server, { perSecond, at: now })
}

/** Returns the limits to publish. A limit that has ended stays listed for some time, so that all VMs hear of its end. */
export function buildLimitUpdates (board: LoadBoard, knownServers: KnownServers, vms: readonly SharingVm[], now: Millis): LimitUpdate[] {
  const updates: LimitUpdate[] = []
  for (const [server, { perSecond, at }] of board.limits) {
    const known = knownServers.get(server)
    if (known === undefined || now - at > limitTtlMs) board.limits.delete(server)
    else if (updates.length < maxLimits && vms.length > 0) updates.push({ server, perSecond, shares: perSecond === null ? [] : divideLimit(board, server, known, perSecond, vms) })
  }
  return updates
}

/** Divides the limit of a server among the VMs that are expected to have most of the requests for it. */
function divideLimit (board: LoadBoard, server: ServerId, known: KnownServer, perSecond: number, vms: readonly SharingVm[]): LimitUpdate['shares'] {
  const weights = estimateVmWeights(board, known, vms)
  const maxWeight = Math.max(...weights.values())
  const getWeight = ({ region }: SharingVm): number => maxWeight === 0 ? 1 : weights.get(region) ?? 0
  const usable = vms.filter(vm => getWeight(vm) >= maxWeight * minRelativeShare)
  const byName = new Map(usable.map(vm => [vm.name, vm]))
  const ranked = rankByHash(server, [...byName.keys()]).map(name => ({ name, weight: getWeight(byName.get(name) as SharingVm) }))
  const sharers = ranked.sort((a, b) => b.weight - a.weight).slice(0, computeMaxSharers(perSecond))
  const total = sharers.reduce((sum, { weight }) => sum + weight, 0)
  return sharers.map(({ name, weight }) => [name, Math.floor(weight / total * 1000) / 1000])
}

/** Estimates the requests that one VM of each region has for a server, relative to those of other regions' VMs. */
function estimateVmWeights ({ demand, plans }: LoadBoard, { service, region: target }: KnownServer, vms: readonly SharingVm[]): Map<RegionId, number> {
  const counts = new Map<RegionId, number>()
  for (const { region } of vms) counts.set(region, (counts.get(region) ?? 0) + 1)
  const getDemand = (region: RegionId): number => demand.get(`${service} ${region}`) ?? 0
  const isMeasured = [...counts.keys()].some(region => getDemand(region) > 0)
  const plan = plans.get(service)
  return new Map([...counts].map(([region, count]) => {
    if (target === undefined) return [region, 0]
    const plannedFraction = plan?.get(region)?.get(target) ?? (region === target ? 1 : 0)
    return [region, (isMeasured ? getDemand(region) / count : 1) * plannedFraction]
  }))
}

/** Returns the limits with the shares of one VM only. */
export function selectOwnShares (limits: readonly LimitUpdate[], vm: string): LimitUpdate[] {
  return limits.map(limit => ({ ...limit, shares: limit.shares.filter(([name]) => name === vm) }))
}
