/** Messages between copies of the log, the events that drive a copy and what a step gives back. */
import type { HolderId, Millis } from '@lynxcourse/base'
import type { Entry, HardState, Snapshot } from './log.js'

/** Asks for a vote; with `pre`, only whether the vote would be given. */
export interface VoteRequest {
  readonly type: 'vote'
  readonly pre: boolean
  readonly term: number
  readonly lastIndex: number
  readonly lastTerm: number
}

export interface VoteAnswer {
  readonly type: 'voteAnswer'
  readonly pre: boolean
  readonly term: number
  readonly granted: boolean
}

/** Entries after `prevIndex`; without entries, a heartbeat. */
export interface AppendRequest {
  readonly type: 'append'
  readonly term: number
  readonly prevIndex: number
  readonly prevTerm: number
  readonly entries: readonly Entry[]
  readonly commit: number
  /** Number of the leader's round, echoed, so that the leader knows when it last had a quorum. */
  readonly round: number
}

export interface SnapshotRequest {
  readonly type: 'snapshot'
  readonly term: number
  readonly snapshot: Snapshot
  readonly round: number
}

export interface AppendAnswer {
  readonly type: 'appendAnswer'
  readonly term: number
  readonly ok: boolean
  /** With `ok`, the last index known to equal the leader's; else the last that might. */
  readonly index: number
  readonly round: number
}

export type Message = VoteRequest | VoteAnswer | AppendRequest | SnapshotRequest | AppendAnswer

/** A message with its ends. `cluster` keeps two clusters apart that share addresses. */
export interface Envelope {
  readonly cluster: string
  readonly from: HolderId
  readonly to: HolderId
  readonly message: Message
}

/** What drives a copy of the log. */
export type ReplicaEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'receive', readonly envelope: Envelope }
  /** The host synced all that earlier steps asked it to save. */
  | { readonly type: 'synced' }
  | { readonly type: 'propose', readonly commands: readonly unknown[] }
  /** A copy with an empty disk asks to become a member. */
  | { readonly type: 'join', readonly id: HolderId }
  /** The host wrote the state after `index` as text; entries up to it may go. */
  | { readonly type: 'compact', readonly index: number, readonly data: string }
  /** Asks for a read at a quorum; answered in `Output.reads`. */
  | { readonly type: 'read', readonly token: number }

/**
 * What a step asks of its host, to be done in this order: save and sync, then send, then apply.
 * Sending before the sync would let a vote or an acknowledgement outlive the state that it promised.
 */
export interface ReplicaOutput {
  hardState: HardState | undefined
  /** Entries to write at their indexes; what the disk has from the first index on is void. */
  entries: Entry[]
  /** Replaces the snapshot on disk; with `install`, the state machine starts anew from it. */
  snapshot: Snapshot | undefined
  installSnapshot: boolean
  messages: Envelope[]
  committed: Entry[]
  /** Tokens of reads that may now be answered from the applied state. */
  confirmedReads: number[]
  /** Tokens of reads that can't be answered here. */
  failedReads: number[]
  /** Index and term that each proposed command got; empty if this copy does not lead. */
  proposed: Array<{ readonly index: number, readonly term: number }>
}

/** Time constants of a copy, in milliseconds. */
export interface ReplicaTimes {
  readonly heartbeatMs: Millis
  /** An election starts after this, or up to twice this, without a leader. */
  readonly electionMs: Millis
}
