/** Determines the progress of a drain. */
import type { DrainId, Millis, VmId } from '@lynxcourse/base'

/** The last report of one VM, timed by the leader's clock. */
export interface VmProgress {
  readonly vm: VmId
  /** When the leader received the report. */
  readonly at: Millis
  /** Configuration version that the VM had in force. */
  readonly version: number
  /** Requests in flight, by drain. */
  readonly remaining: ReadonlyMap<DrainId, number>
}

/** The properties of a drain that determine its progress. */
export interface DrainView {
  readonly id: DrainId
  readonly state: string
  /** Start time, in Unix milliseconds. */
  readonly at: Millis
  /** Configuration version at which the drain started. */
  readonly version: number
  /** When this leader first saw the drain in the state `draining`. */
  readonly firstSeenAt: Millis
}

export interface DrainStatus {
  /** The event that the drain is ready for, if any. */
  readonly event: 'due' | 'empty' | undefined
  /** Requests in flight according to the reports. */
  readonly remaining: number
  /** VMs whose reports do not yet show the drain's configuration version. */
  readonly waitingFor: readonly VmId[]
}

/**
 * Determines whether a drain is due, in progress or empty.
 *
 * A VM that has not received the drain, or that is partitioned from the leader, may still send requests while all
 * other VMs report none in flight. A drain is therefore empty only when every VM with a recent report has the drain's
 * version in force, and when enough time has passed that any other VM has lost its lease and finished its requests.
 *
 * @param leaseMs how long a VM may act on the last configuration that it received
 * @param maxRequestMs longest time that a request may run
 */
export function evaluateDrain (
  drain: DrainView, reports: Iterable<VmProgress>, leaseMs: Millis, maxRequestMs: Millis, now: Millis
): DrainStatus {
  if (drain.state === 'scheduled') {
    return { event: drain.at <= now ? 'due' : undefined, remaining: 0, waitingFor: [] }
  }
  let remaining = 0
  const waitingFor: VmId[] = []
  let hasStaleReport = false
  for (const report of reports) {
    const isFresh = now - report.at < leaseMs
    if (!isFresh) {
      hasStaleReport = true
      continue
    }
    if (report.version < drain.version) waitingFor.push(report.vm)
    remaining += report.remaining.get(drain.id) ?? 0
  }
  const elapsedMs = now - drain.firstSeenAt
  const haveSilentVmsFinished = !hasStaleReport || elapsedMs > leaseMs + maxRequestMs
  const haveLeasesExpired = elapsedMs > leaseMs
  const isEmpty = drain.state === 'draining' && remaining === 0 && waitingFor.length === 0 && haveSilentVmsFinished && haveLeasesExpired
  return { event: isEmpty ? 'empty' : undefined, remaining, waitingFor }
}
