/** What the leader remembers for its duties, and the questions that all of them ask. */
import { getHolderVm } from '@lynxcourse/base'
import type { DrainId, HolderId, Millis, ShiftId } from '@lynxcourse/base'
import type { Grantor } from '@lynxcourse/limits'
import { listItems } from '@lynxcourse/state'
import type { LoadReading, StepRule, VmProgress } from '@lynxcourse/steering'
import type { Node } from '../node/node.js'
import type { VmReport } from '../node/reporting.js'
import { isLeading } from './hostState.js'
import type { ControlHost } from './hostState.js'

/** A VM's report and when it came. */
export interface HeldReport {
  readonly at: Millis
  readonly report: VmReport
}

/** What the leader remembers; a new leader starts it empty. */
export interface LeaderDuties extends AsyncDisposable {
  readonly node: Node
  readonly host: ControlHost
  readonly rule: StepRule
  grantor: Grantor
  reports: Map<HolderId, HeldReport>
  /** When this leader first saw a drain draining. */
  drainsSeen: Map<DrainId, Millis>
  /** Log time at which versions were applied, oldest first. */
  versions: Array<{ readonly version: number, readonly at: Millis }>
  leadingSince: Millis | undefined
  /** Readings of each shift's two ends over the last while. */
  readings: Map<ShiftId, LoadReading[]>
}

/**
 * Whether this VM may grant now. The role alone won't do: a leader that was frozen and wakes still
 * believes that it leads, and would grant from shares that its successor has changed.
 */
export function mayGrant (host: ControlHost, now: Millis): boolean {
  if (!isLeading(host) || host.replica === undefined) return false
  return now - host.replica.quorumConfirmedAt < host.replica.times.electionMs
}

/**
 * How long a request may run after its grant: the longest deadline, and the time for which a leader
 * that lost its quorum may have gone on granting.
 */
export function longestRequestMs (duties: LeaderDuties): Millis {
  const deadlines = listItems(duties.host.machine.config, 'profile').map(item => item.profile.maxDeadlineMs)
  return Math.max(0, ...deadlines) + duties.node.cfg.times.electionMs
}

/** How far each VM that reported is. */
export function progressList (duties: LeaderDuties): VmProgress[] {
  return [...duties.reports.values()].map(({ at, report }) => ({
    vm: getHolderVm(report.holder),
    at,
    version: report.version,
    remaining: new Map(report.remaining.map(({ drain, count }) => [drain, count]))
  }))
}
