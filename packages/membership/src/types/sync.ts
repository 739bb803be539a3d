/** Messages of the tree: a VM asks its parent, which answers with what the VM lacks. */
import type { Millis } from '@lynxcourse/base'
import type { DirectoryRecord, VmRecord } from './records.js'

/** What a VM tells its parent and asks of it. */
export interface SyncRequest {
  readonly self: VmRecord
  /** The parent's life whose numbers `seq` counts in; empty at first. */
  readonly epoch: string
  readonly seq: number
  /** Records that this VM or VMs below it hear themselves. */
  readonly vouched: readonly DirectoryRecord[]
  readonly configVersion: number
}

/** What the parent answers about the directory and about being current. */
export interface SyncAnswer {
  readonly epoch: string
  readonly seq: number
  /** Whether `records` is all that the parent holds. */
  readonly full: boolean
  readonly records: readonly DirectoryRecord[]
  /** Age of the leader's quorum confirmation when this answer left; undefined without one. */
  readonly confirmedAgeMs: Millis | undefined
  /** The VM that leads; empty if unknown. */
  readonly leader: string
}

/** Time constants of membership, in milliseconds. */
export interface MembershipTimes {
  /** Between two requests to the parent. */
  readonly syncMs: Millis
  /** A VM not heard for this long is suspected. */
  readonly suspectMs: Millis
  /** A VM not heard for this long is lost. */
  readonly lostMs: Millis
  /** Lifetime of a backend server's announcement. */
  readonly announceMs: Millis
  /** Records passed up the tree are repeated after this. */
  readonly refreshMs: Millis
  /** How long a record counts at an ancestor without being repeated; over two refreshes. */
  readonly relayedMs: Millis
  /** How long a lost record is kept so that its loss reaches everyone. */
  readonly tombstoneMs: Millis
  /** How long a VM is current after the leader's quorum confirmation. */
  readonly leaseMs: Millis
}

export const defaultMembershipTimes: MembershipTimes = {
  syncMs: 500,
  suspectMs: 2000,
  lostMs: 5000,
  announceMs: 6000,
  refreshMs: 5000,
  relayedMs: 15_000,
  tombstoneMs: 60_000,
  leaseMs: 4000
}
