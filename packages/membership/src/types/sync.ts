/** Messages of the sync tree: a VM sends a request to its parent, which answers with the changes that the VM lacks. */
import type { Millis } from '@lynxcourse/base'
import type { DirectoryRecord, VmRecord } from './records.js'

/** Request of a VM to its parent; also reports the VM's own records and those from below. */
export interface SyncRequest {
  readonly self: VmRecord
  /** The directory epoch of the parent to which `seq` belongs; empty in the first request. */
  readonly epoch: string
  readonly seq: number
  /** Records that this VM or VMs below it received directly. */
  readonly vouched: readonly DirectoryRecord[]
  readonly configVersion: number
}

/** Answer of the parent: directory changes and the age of the quorum confirmation. */
export interface SyncAnswer {
  readonly epoch: string
  readonly seq: number
  /** Whether `records` is the parent's full list instead of a delta. */
  readonly full: boolean
  readonly records: readonly DirectoryRecord[]
  /** Age of the leader's quorum confirmation when this answer was sent; undefined if the parent's lease is not valid. */
  readonly confirmedAgeMs: Millis | undefined
  /** The VM that is the leader; empty if unknown. */
  readonly leader: string
}

/** Intervals and timeouts of membership, in milliseconds. */
export interface MembershipTimes {
  /** Interval between two requests to the parent. */
  readonly syncMs: Millis
  /** A VM is suspected after this time without a report. */
  readonly suspectMs: Millis
  /** A VM is lost after this time without a report. */
  readonly lostMs: Millis
  /** Lifetime of a backend server's announcement. */
  readonly announceMs: Millis
  /** Interval after which records sent to the parent are repeated. */
  readonly refreshMs: Millis
  /** Extra time before a record from below expires; longer than two refresh intervals. */
  readonly relayGraceMs: Millis
  /** How long a tombstone is kept, so that it reaches all VMs. */
  readonly tombstoneMs: Millis
  /** How long a configuration lease is valid after the leader's quorum confirmation. */
  readonly leaseMs: Millis
}

export const defaultMembershipTimes: MembershipTimes = {
  syncMs: 500,
  suspectMs: 2000,
  lostMs: 5000,
  announceMs: 6000,
  refreshMs: 5000,
  relayGraceMs: 15_000,
  tombstoneMs: 60_000,
  leaseMs: 4000
}
