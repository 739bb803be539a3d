/** The state that the leader tasks share, with the queries that several of them use. */
import { getHolderVm } from '@lynxcourse/base'
import type { DrainId, HolderId, Millis, ShiftId } from '@lynxcourse/base'
import type { Grantor } from '@lynxcourse/limits'
import { listItems } from '@lynxcourse/state'
import type { LoadReading, StepRule, VmProgress } from '@lynxcourse/steering'
import type { Node } from '../node/node.js'
import type { VmReport } from '../node/reporting.js'
import { isLeading } from './hostState.js'
import type { ControlHost } from './hostState.js'

/** A VM's report, and when the leader received it. */
export interface ReceivedReport {
  readonly at: Millis
  readonly report: VmReport
}

/** State of the leader tasks. It is not replicated: a new leader starts with an empty one. */
export interface LeaderTasks extends AsyncDisposable {
  readonly node: Node
  readonly host: ControlHost
  readonly stepRule: StepRule
  grantor: Grantor
  reports: Map<HolderId, ReceivedReport>
  /** When this leader first saw each drain in the state `draining`. */
  drainsFirstSeenAt: Map<DrainId, Millis>
  /** Configuration versions with the time at which this VM applied them, oldest first. */
  appliedVersions: Array<{ readonly version: number, readonly at: Millis }>
  leadingSince: Millis | undefined
  /** Recent load readings of each shift's origin and destination. */
  shiftReadings: Map<ShiftId, LoadReading[]>
}

/**
 * Whether this VM may issue grants now: it is the leader, and a quorum confirmed this within the last election timeout.
 * The role alone doesn't suffice: a leader that was suspended still has the role when it resumes, and would issue grants
 * from shares that its successor has changed.
 */
export function mayGrant (host: ControlHost, now: Millis): boolean {
  if (!isLeading(host) || host.replica === undefined) return false
  return now - host.replica.quorumConfirmedAt < host.replica.times.electionMs
}

/**
 * Returns the longest time that a request may run after its grant: the longest deadline of any profile, plus the time for
 * which a leader that lost its quorum may still have issued grants.
 */
export function getMaxRequestMs (tasks: LeaderTasks): Millis {
  const deadlines = listItems(tasks.host.machine.config, 'profile').map(item => item.profile.maxDeadlineMs)
  return Math.max(0, ...deadlines) + tasks.node.cfg.times.electionMs
}

/** Returns the configuration version and the requests in flight that each VM last reported. */
export function listVmProgress (tasks: LeaderTasks): VmProgress[] {
  return [...tasks.reports.values()].map(({ at, report }) => ({
    vm: getHolderVm(report.holder),
    at,
    version: report.version,
    remaining: new Map(report.remaining.map(({ drain, count }) => [drain, count]))
  }))
}
