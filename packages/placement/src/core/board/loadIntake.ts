/** A control VM's intake of its entry VMs' load reports, handed on to the leader as one digest. */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { loadReportTtlMs } from '../../types/loads.js'
import type { LoadDigest, LoadReport } from '../../types/loads.js'

/** An entry VM's busy slots as a control VM remembers them. */
interface VmBusy { readonly region: RegionId, readonly at: Millis, readonly busy: LoadReport['busy'] }

export interface LoadIntake {
  /** Requests ahead by server, from reports taken since the last digest; the last one counts. */
  readonly fresh: Map<ServerId, number>
  /** Entry VMs that each server left without an answer, from the same reports. */
  readonly failed: Map<ServerId, number>
  readonly byVm: Map<string, VmBusy>
}

export function createLoadIntake (): LoadIntake {
  return { fresh: new Map(), failed: new Map(), byVm: new Map() }
}

/** Takes an entry VM's report. */
export function noteLoadReport (intake: LoadIntake, vm: string, region: RegionId, report: LoadReport, now: Millis): void {
  for (const [server, ahead] of report.servers) intake.fresh.set(server, ahead)
  for (const server of report.failed) intake.failed.set(server, (intake.failed.get(server) ?? 0) + 1)
  intake.byVm.set(vm, { region, at: now, busy: report.busy })
}

/** What this control VM tells the leader; reports are handed on once. */
export function takeDigest (intake: LoadIntake, now: Millis): LoadDigest {
  const servers = [...intake.fresh]
  const failed = [...intake.failed]
  intake.fresh.clear()
  intake.failed.clear()
  const sums = new Map<string, [ServiceId, RegionId, number]>()
  for (const [vm, { region, at, busy }] of intake.byVm) {
    if (now - at > loadReportTtlMs) {
      intake.byVm.delete(vm)
      continue
    }
    for (const [service, slots] of busy) {
      const key = `${service} ${region}`
      const held = sums.get(key)
      sums.set(key, [service, region, (held?.[2] ?? 0) + slots])
    }
  }
  return { servers, busy: [...sums.values()], failed }
}
