/**
 * What entry VMs observe of the two versions of a rollout. Counts are cumulative since the VM learned of the rollout, so a lost
 * report costs nothing, and a new leader has everything after one exchange.
 */
import type { ServerId, ServiceId } from '@lynxcourse/base'

/** Answers of one version on one route that tell something about the version. */
export interface AnswerCounts {
  /** All counted answers, the bad ones included. */
  readonly answers: number
  /** Server errors, spoiled answers, and requests without a usable answer. */
  readonly failures: number
  /** Successes that took longer than the longest expected work. */
  readonly slow: number
}

/** Counts of one route. */
export interface RouteEvidence {
  readonly route: string
  readonly baseline: AnswerCounts
  readonly target: AnswerCounts
}

/** Counts of one server of the target version: the server, its answers, and the bad ones among them. */
export type TargetServerEvidence = readonly [server: ServerId, answers: number, bad: number]

/** One entry VM's report of one rollout. */
export interface RolloutReport {
  readonly service: ServiceId
  /** Identifies the rollout, see `RolloutItem.order`. */
  readonly order: number
  /** Step of the rollout by which the VM places requests now. */
  readonly step: number
  /** Requests of this VM in flight at servers of the baseline version. */
  readonly inFlightAtBaseline: number
  readonly routes: readonly RouteEvidence[]
  readonly servers: readonly TargetServerEvidence[]
}

/** The reports of entry VMs by VM name; the latest one of each VM counts. */
export type RolloutReportsByVm = ReadonlyArray<readonly [vm: string, reports: readonly RolloutReport[]]>
