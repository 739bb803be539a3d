/** What a control VM knows of running rollouts while it leads. */
import type { ServiceId } from '@lynxcourse/base'
import { RatioTestJudge } from '@lynxcourse/rollouts'
import type { RolloutJudge, RolloutReport, RolloutReportsByVm, RolloutWatch } from '@lynxcourse/rollouts'

export interface RolloutLeader {
  readonly judge: RolloutJudge
  readonly watches: Map<ServiceId, RolloutWatch>
  /** The latest reports of each entry VM, by the VM's name. */
  readonly reports: Map<string, readonly RolloutReport[]>
}

export function createRolloutLeader (): RolloutLeader {
  return { judge: new RatioTestJudge(), watches: new Map(), reports: new Map() }
}

/** Forgets everything, since this VM does not lead: what it knew may be old when it leads again. */
export function resetRolloutLeader ({ watches, reports }: RolloutLeader): void {
  watches.clear()
  reports.clear()
}

/** Records the reports of a digest; the latest report of a VM counts. */
export function recordRolloutReports ({ reports }: RolloutLeader, reportsByVm: RolloutReportsByVm = []): void {
  for (const [vm, latest] of reportsByVm) reports.set(vm, latest)
}
