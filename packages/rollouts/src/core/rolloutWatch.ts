/** What the leader remembers of a running rollout. A new leader starts with nothing and gets all counts from the VMs' next reports. */
import type { Millis } from '@lynxcourse/base'
import type { RolloutItem } from '@lynxcourse/state'
import type { RolloutReport, RolloutReportsByVm } from '../types/evidence.js'
import { computeWindow } from './evidenceWindow.js'
import type { ReportByVm } from './evidenceWindow.js'
import type { Evidence } from './judgement.js'

/** Lengths of the recent periods that are judged, the longest first. */
const recentPeriodsMs: readonly Millis[] = [3000, 1500]

interface Sample { readonly at: Millis, readonly reports: ReportByVm }

export interface RolloutWatch {
  readonly order: number
  /** Time at which this leader first saw the rollout. */
  readonly startedAt: Millis
  /** Step of the rollout, and the time at which this leader first saw it. */
  step: number
  stepSeenAt: Millis
  /** Time since which there are servers of the target version; undefined if there were none yet. */
  targetSeenAt: Millis | undefined
  /** The latest report of each VM. */
  readonly reports: Map<string, RolloutReport>
  /** Earlier reports, the oldest first. */
  readonly samples: Sample[]
}

/** Returns the watch of a rollout; a new one if the rollout is not the watched one. */
export function followRollout (watch: RolloutWatch | undefined, item: RolloutItem, now: Millis): RolloutWatch {
  if (watch === undefined || watch.order !== item.order) {
    return { order: item.order, startedAt: now, step: item.step, stepSeenAt: now, targetSeenAt: undefined, reports: new Map(), samples: [] }
  }
  if (watch.step !== item.step) {
    watch.step = item.step
    watch.stepSeenAt = now
  }
  return watch
}

/** Stores the latest reports of VMs; those of other orders are ignored. */
export function recordReports (watch: RolloutWatch, item: RolloutItem, reportsByVm: RolloutReportsByVm): void {
  for (const [vm, reports] of reportsByVm) {
    const report = reports.find(({ service, order }) => service === item.key && order === item.order)
    if (report !== undefined) watch.reports.set(vm, report)
  }
}

/** Adds the current reports to the samples, and drops samples that no period needs. */
export function takeSample (watch: RolloutWatch, now: Millis): void {
  watch.samples.push({ at: now, reports: new Map(watch.reports) })
  const firstNeeded = watch.samples.findLastIndex(({ at }) => now - at >= (recentPeriodsMs[0] ?? 0))
  if (firstNeeded > 0) watch.samples.splice(0, firstNeeded)
}

/** Returns the evidence since the order and in the recent periods. */
export function getEvidence (watch: RolloutWatch, now: Millis): Evidence {
  const whole = computeWindow(watch.reports, new Map())
  const recent = recentPeriodsMs.map(periodMs => {
    const start = watch.samples.findLast(({ at }) => now - at >= periodMs)
    return start === undefined ? whole : computeWindow(watch.reports, start.reports)
  })
  return { whole, recent }
}
