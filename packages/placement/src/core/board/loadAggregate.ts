/** Combines the load reports of a control VM's entry VMs into one digest for the leader. */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import type { RolloutReport } from '@lynxcourse/rollouts'
import { loadReportTtlMs } from '../../types/loads.js'
import type { LimitDemand, LoadDigest, LoadReport } from '../../types/loads.js'

/** The demand that an entry VM last reported. */
interface VmDemand { readonly region: RegionId, readonly at: Millis, readonly busy: LoadReport['busy'] }

export interface LoadAggregate {
  /** Queue depth by server, from the reports since the last digest; the latest report counts. */
  readonly fresh: Map<ServerId, number>
  /** Number of entry VMs that each server left without an answer, from the same reports. */
  readonly failed: Map<ServerId, number>
  /** Limits that servers named, from the same reports; the latest report counts. */
  readonly limits: Map<ServerId, number | null>
  /** Requests per second for servers with limits, by entry VM, from the same reports. */
  readonly limitDemand: Map<string, LimitDemand>
  /** The latest reports of running rollouts by entry VM, from the same reports. */
  readonly rollouts: Map<string, readonly RolloutReport[]>
  readonly byVm: Map<string, VmDemand>
}

export function createLoadAggregate (): LoadAggregate {
  return { fresh: new Map(), failed: new Map(), limits: new Map(), limitDemand: new Map(), rollouts: new Map(), byVm: new Map() }
}

/** Adds an entry VM's report. */
export function addLoadReport (aggregate: LoadAggregate, vm: string, region: RegionId, report: LoadReport, now: Millis): void {
  for (const [server, ahead] of report.servers) aggregate.fresh.set(server, ahead)
  for (const server of report.failed) aggregate.failed.set(server, (aggregate.failed.get(server) ?? 0) + 1)
  for (const [server, perSecond] of report.limits ?? []) aggregate.limits.set(server, perSecond)
  if (report.limitDemand !== undefined) aggregate.limitDemand.set(vm, report.limitDemand)
  if (report.rollouts !== undefined) aggregate.rollouts.set(vm, report.rollouts)
  aggregate.byVm.set(vm, { region, at: now, busy: report.busy })
}

/**
 * Returns this control VM's digest for the leader and clears what was reported since the last one: each report is
 * forwarded once.
 */
export function flushDigest (aggregate: LoadAggregate, now: Millis): LoadDigest {
  const servers = [...aggregate.fresh]
  const failed = [...aggregate.failed]
  aggregate.fresh.clear()
  const limits = [...aggregate.limits]
  aggregate.failed.clear()
  const limitDemand = [...aggregate.limitDemand].flatMap(([vm, demands]) => demands.map(([server, demand]) => [server, vm, demand] as const))
  aggregate.limits.clear()
  aggregate.limitDemand.clear()
  const rollouts = [...aggregate.rollouts]
  aggregate.rollouts.clear()
  const sums = new Map<string, [ServiceId, RegionId, number]>()
  for (const [vm, { region, at, busy }] of aggregate.byVm) {
    if (now - at > loadReportTtlMs) {
      aggregate.byVm.delete(vm)
      continue
    }
    for (const [service, slots] of busy) {
      const key = `${service} ${region}`
      const sum = sums.get(key)
      sums.set(key, [service, region, (sum?.[2] ?? 0) + slots])
    }
  }
  return { servers, busy: [...sums.values()], failed, ...(limits.length === 0 ? {} : { limits }), ...(limitDemand.length === 0 ? {} : { limitDemand }), ...(rollouts.length === 0 ? {} : { rollouts }) }
}
