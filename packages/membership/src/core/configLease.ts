/**
 * The configuration lease: a VM may act on its configuration only while the leader's last quorum confirmation is recent.
 * The confirmation is passed down the sync tree as an age. Each VM adds the time since it sent its request, by its own
 * clock, so that clocks need not be synchronized.
 *
 * The lease prevents a VM that was partitioned, suspended or restarted from acting on outdated configuration: such a VM
 * has no valid lease, and code that makes decisions checks the lease first. All leases based on a confirmation from
 * before a change expire at the latest `leaseMs` after the change. From then on, the change is in force everywhere,
 * without a list of the VMs that have applied it.
 */
import type { Millis } from '@lynxcourse/base'

/** State of one VM's configuration lease. */
export interface ConfigLease {
  readonly leaseMs: Millis
  /** When a quorum last confirmed the leader, by this VM's clock; never decreases. */
  confirmedAt: Millis
}

/** Creates a lease that is not valid until its first renewal. */
export function createConfigLease (leaseMs: Millis): ConfigLease {
  return { leaseMs, confirmedAt: -Infinity }
}

/**
 * Renews the lease. An older confirmation doesn't shorten it.
 *
 * @param requestedAt when this VM sent the request that was answered
 * @param ageMs age of the confirmation when the answer was sent
 */
export function renewConfigLease (lease: ConfigLease, requestedAt: Millis, ageMs: Millis): void {
  lease.confirmedAt = Math.max(lease.confirmedAt, requestedAt - Math.max(0, ageMs))
}

/** Whether the lease is valid, so that this VM may act on its configuration. */
export function isLeaseValid (lease: ConfigLease, now: Millis): boolean {
  return now - lease.confirmedAt < lease.leaseMs
}

/** Returns the age of the confirmation, for the VMs below; undefined if the lease is not valid. */
export function getConfirmationAge (lease: ConfigLease, now: Millis): Millis | undefined {
  return isLeaseValid(lease, now) ? now - lease.confirmedAt : undefined
}
