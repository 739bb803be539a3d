/** Judges how far a drain has come. */
import type { DrainId, Millis, VmId } from '@lynxcourse/base'

/** What one VM last reported, by the leader's clock. */
export interface VmProgress {
  readonly vm: VmId
  /** When the leader heard it. */
  readonly at: Millis
  /** Configuration version that the VM had in force. */
  readonly version: number
  /** Requests in flight, by drain. */
  readonly remaining: ReadonlyMap<DrainId, number>
}

/** A drain as the plan needs it. */
export interface DrainView {
  readonly id: DrainId
  readonly state: string
  /** Unix milliseconds at which it is due. */
  readonly at: Millis
  /** Configuration version at which it began. */
  readonly version: number
  /** When this leader first saw it draining. */
  readonly firstSeenAt: Millis
}

export interface DrainStatus {
  readonly event: 'due' | 'empty' | undefined
  /** Requests known to be in flight. */
  readonly remaining: number
  /** VMs that have not yet shown that they hold the drain. */
  readonly waitingFor: readonly VmId[]
}

/**
 * Judges a drain.
 *
 * What can go wrong: a VM that has not heard of the drain, or that is cut off, still sends work while
 * all others report none. So a drain is empty only when each VM heard of late holds its version, and
 * when so much time has passed that any VM not heard has lost its lease and ended what it had.
 *
 * @param leaseMs how long a VM may act on what it last heard
 * @param holdMs longest that a request may run
 */
export function evaluateDrain (
  drain: DrainView, reports: Iterable<VmProgress>, leaseMs: Millis, holdMs: Millis, now: Millis
): DrainStatus {
  if (drain.state === 'scheduled') {
    return { event: drain.at <= now ? 'due' : undefined, remaining: 0, waitingFor: [] }
  }
  let remaining = 0
  const waitingFor: VmId[] = []
  let anySilent = false
  for (const report of reports) {
    const isFresh = now - report.at < leaseMs
    if (!isFresh) {
      anySilent = true
      continue
    }
    if (report.version < drain.version) waitingFor.push(report.vm)
    remaining += report.remaining.get(drain.id) ?? 0
  }
  const elapsedMs = now - drain.firstSeenAt
  const silentAreDone = !anySilent || elapsedMs > leaseMs + holdMs
  const leasesAreOver = elapsedMs > leaseMs
  const isEmpty = drain.state === 'draining' && remaining === 0 && waitingFor.length === 0 && silentAreDone && leasesAreOver
  return { event: isEmpty ? 'empty' : undefined, remaining, waitingFor }
}
