/**
 * The part of the load board that divides the limits of servers among the entry VMs.
 *
 * A server in need takes few requests from all VMs together. Equal shares would leave many of them unused, and VMs with more
 * requests than their share would send objects to servers where they are cold although the limit has room. Each VM therefore gets
 * a share in proportion to its requests for the server. Until VMs have reported these, they are estimated by the demand of their
 * region's callers and the region plan.
 *
 * A VM that is not heard may still use the shares that it was last given. They are kept for it until it must have stopped using
 * them, and the others divide the rest.
 */
import { rankByHash } from '@lynxcourse/base'
import type { Millis, RegionId, ServerId } from '@lynxcourse/base'
import { computeMaxSharers, limitTtlMs } from '@lynxcourse/limits'
import { loadReportTtlMs, reducedPart, reducedShareMs } from '../../types/loads.js'
import type { KnownServer, KnownServers, LimitDemandByVm, LimitUpdate, ServerLimits } from '../../types/loads.js'
import { maxListAgeMs } from '../entries/fleetMembership.js'
import type { BoardLimit, LoadBoard } from './boardState.js'

/** An entry VM that may send requests. */
export interface SharingVm {
  readonly name: string
  readonly region: RegionId
}

/** Largest number of servers in one update: about 9 KB for each entry VM. */
const maxLimits = 200
/** Time by which a VM's last confirmation may be newer than the last report that the leader got of the VM: more than a watch takes. */
const reportDelayMs = loadReportTtlMs
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
  trackSilentSharers(board, new Set(vms.map(({ name }) => name)), now)
  for (const [server, { perSecond, at, demand }] of board.limits) {
    const known = knownServers.get(server)
    if (known === undefined || now - at > limitTtlMs) board.limits.delete(server)
    else if (updates.length < maxLimits && vms.length > 0) updates.push({ server, perSecond, shares: perSecond === null ? [] : divideLimit(server, perSecond, vms, listRecent(demand, now) ?? estimateDemand(board, known, vms), listKept(board, server, now)) })
  }
  return updates
}

/** Returns the demand of the VMs that reported recently; undefined if there is none. */
function listRecent (demand: BoardLimit['demand'], now: Millis): Map<string, number> | undefined {
  for (const [vm, { at }] of demand) if (now - at > loadReportTtlMs) demand.delete(vm)
  return demand.size === 0 ? undefined : new Map([...demand].map(([vm, { perSecond }]) => [vm, perSecond]))
}

/** Records the shares of VMs that are not heard any more, and drops those that are not in use any more. */
function trackSilentSharers ({ news, silentSharers }: LoadBoard, heard: ReadonlySet<string>, now: Millis): void {
  const known = new Set(silentSharers.keys())
  for (const { server, shares } of news.limits ?? []) {
    for (const [name, share] of shares) {
      if (heard.has(name) || known.has(name)) continue
      const sharer = silentSharers.get(name) ?? { since: now, shares: new Map<ServerId, number>() }
      sharer.shares.set(server, share)
      silentSharers.set(name, sharer)
    }
  }
  for (const [name, { since }] of silentSharers) {
    if (heard.has(name) || now - since > reducedShareMs + reportDelayMs) silentSharers.delete(name)
  }
}

/** Lists what silent VMs may still use of a server's limit. */
function listKept ({ silentSharers }: LoadBoard, server: ServerId, now: Millis): LimitUpdate['shares'] {
  return [...silentSharers].flatMap(([name, { since, shares }]) => {
    const share = shares.get(server)
    return share === undefined ? [] : [[name, now - since > maxListAgeMs + reportDelayMs ? share * reducedPart : share] as const]
  })
}

/** Divides the limit of a server among the VMs with most of the requests for it, beyond the shares that are kept for silent VMs. */
function divideLimit (server: ServerId, perSecond: number, vms: readonly SharingVm[], demand: ReadonlyMap<string, number>, kept: LimitUpdate['shares']): LimitUpdate['shares'] {
  const available = Math.max(0, 1 - kept.reduce((sum, [, share]) => sum + share, 0))
  const names = vms.map(({ name }) => name)
  const meanDemand = names.reduce((sum, name) => sum + (demand.get(name) ?? 0), 0) / names.length
  const getWeight = (name: string): number => meanDemand === 0 ? 1 : Math.max(demand.get(name) ?? 0, meanDemand * minRelativeDemand)
  // Sorted by the demand itself, VMs with about the same demand would gain and lose their shares all the time.
  const isDemanding = (name: string): boolean => getWeight(name) >= meanDemand / 2
  const ranked = rankByHash(server, names)
  const sharers = [...ranked.filter(isDemanding), ...ranked.filter(name => !isDemanding(name))].slice(0, Math.max(1, computeMaxSharers(perSecond) - kept.length))
  const total = sharers.reduce((sum, name) => sum + getWeight(name), 0)
  return [...kept, ...sharers.map(name => [name, Math.floor(getWeight(name) / total * available * 1000) / 1000] as const)]
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
