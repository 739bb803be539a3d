/**
 * The lease on being current. A leader's quorum confirmation travels down the tree as an age; each
 * VM adds the time that passed since it asked, by its own clock, so no clocks need agree.
 *
 * What can go wrong: a VM that was cut off, frozen or restarted acts on configuration that others
 * have replaced. It holds no valid lease then, and whoever decides asks here first. All leases that
 * rest on a confirmation from before a change run out `leaseMs` after it: from then on the change is
 * in force everywhere, with no list of VMs needed to say so.
 */
import type { Millis } from '@lynxcourse/base'

export interface ConfigLease {
  readonly leaseMs: Millis
  /** When the leader had a quorum, by this VM's clock; never falls. */
  confirmedAt: Millis
}

/** A lease that this VM does not hold yet. */
export function createConfigLease (leaseMs: Millis): ConfigLease {
  return { leaseMs, confirmedAt: -Infinity }
}

/**
 * Renews the lease.
 *
 * @param askedAt when this VM sent the request that was answered
 * @param ageMs age of the confirmation when the answer left
 */
export function renewConfigLease (currency: ConfigLease, askedAt: Millis, ageMs: Millis): void {
  currency.confirmedAt = Math.max(currency.confirmedAt, askedAt - Math.max(0, ageMs))
}

/** Whether this VM may act on its configuration. */
export function isLeaseValid (currency: ConfigLease, now: Millis): boolean {
  return now - currency.confirmedAt < currency.leaseMs
}

/** Age of the confirmation, to be passed on; undefined when there is none worth passing on. */
export function getConfirmationAge (currency: ConfigLease, now: Millis): Millis | undefined {
  return isLeaseValid(currency, now) ? now - currency.confirmedAt : undefined
}
