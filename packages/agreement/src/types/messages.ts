/** Messages between copies of the log, the events that drive a copy, and the output of a step. */
import type { HolderId, Millis } from '@lynxcourse/base'
import type { Entry, HardState, Snapshot } from './log.js'

/** Requests a vote, or with `pre` a pre-vote, which asks only whether the vote would be granted. */
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

/** A part of the JSON text of an entry, with the length and the checksum of the whole text. */
export interface EntryPart {
  /** Term of the entry. */
  readonly term: number
  readonly size: number
  /** CRC-32 of the whole text in UTF-8. */
  readonly checksum: number
  /** Position of the part in the text, in characters. */
  readonly offset: number
  readonly text: string
}

/** Carries the entries after `prevIndex`, or a part of the entry after it; a request without both is a heartbeat. */
export interface AppendRequest {
  readonly type: 'append'
  readonly term: number
  readonly prevIndex: number
  readonly prevTerm: number
  readonly entries: readonly Entry[]
  /** Undefined for none. */
  readonly part?: EntryPart | undefined
  readonly commit: number
  /** Number of the leader's broadcast round. Answers echo it, so that the leader knows when a quorum last confirmed it. */
  readonly round: number
  /** `at` of the recipient's last answer that the leader had processed when it created this request; null for none. */
  readonly answeredAt: Millis | null
  /** Time between the newest round that a quorum answered and the creation of this request; null for no such round. */
  readonly confirmedAgeMs: Millis | null
}

/** Position of a snapshot in the log, and the length and the checksum of its data. */
export interface SnapshotHead extends Omit<Snapshot, 'data'> {
  readonly size: number
  /** CRC-32 of the data in UTF-8. */
  readonly checksum: number
}

/** Carries a part of a snapshot's data. */
export interface SnapshotRequest {
  readonly type: 'snapshot'
  readonly term: number
  readonly head: SnapshotHead
  /** Position of the part in the data, in characters. */
  readonly offset: number
  readonly part: string
  readonly round: number
}

/** Says how much of a snapshot the sender has; a complete snapshot is answered like entries. */
export interface SnapshotAnswer {
  readonly type: 'snapshotAnswer'
  readonly term: number
  readonly index: number
  /** Position of the next part that the sender needs. */
  readonly offset: number
  readonly round: number
  readonly at: Millis
}

export interface AppendAnswer {
  readonly type: 'appendAnswer'
  readonly term: number
  readonly ok: boolean
  /** With `ok`, the last index known to match the leader's log; otherwise the last index that may match. */
  readonly index: number
  /** Characters of the entry after `index` that arrived in parts; undefined in the answer to a request without a part. */
  readonly received?: number | undefined
  readonly round: number
  /** When the sender created the answer, by its own clock. Only the sender interprets it, when the leader echoes it. */
  readonly at: Millis
}

/** The leader can't continue; the recipient, a follower with all that the leader replicated, requests votes at once. */
export interface HandOver {
  readonly type: 'handOver'
  readonly term: number
}

export type Message = VoteRequest | VoteAnswer | AppendRequest | SnapshotRequest | SnapshotAnswer | AppendAnswer | HandOver

/** Whether a message carries entries, or a part of an entry or of a snapshot. The next heartbeat or election replaces all others. */
export function hasData (message: Message): boolean {
  return message.type === 'snapshot' || (message.type === 'append' && (message.entries.length > 0 || message.part !== undefined))
}

/** A message with its sender and recipient. `cluster` separates clusters that share addresses. */
export interface Envelope {
  readonly cluster: string
  readonly from: HolderId
  readonly to: HolderId
  readonly message: Message
}

/** Input events of a copy of the log. */
export type ReplicaEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'receive', readonly envelope: Envelope }
  /** The host could not deliver a message of this copy, or its recipient refused it as malformed. */
  | { readonly type: 'undelivered', readonly envelope: Envelope, readonly isRefused?: boolean }
  /** The host synced everything that earlier steps asked it to save. */
  | { readonly type: 'synced' }
  | { readonly type: 'propose', readonly commands: readonly unknown[] }
  /** A copy with an empty disk requests to become a member. */
  | { readonly type: 'join', readonly id: HolderId }
  /** The leader's disk failed or stalls: leadership goes to another copy without the wait for an election timeout. */
  | { readonly type: 'handOver' }
  /** The host serialized the state after `index`; the entries up to that index may be discarded. */
  | { readonly type: 'compact', readonly index: number, readonly data: string }
  /** Requests a read that a quorum confirms; the result appears in `Output.reads` or `Output.failedReads`. */
  | { readonly type: 'read', readonly token: number }

/**
 * Work that a step hands to its host, in this order: save and sync, then send, then apply. If the host sent
 * first, a crash before the sync would lose state that a vote or an acknowledgement has already promised.
 */
export interface ReplicaOutput {
  hardState: HardState | undefined
  /** Entries to write at their indexes; they replace all stored entries from the first index on. */
  entries: Entry[]
  /** Replaces the snapshot on disk; with `install`, the state machine is reset to the snapshot. */
  snapshot: Snapshot | undefined
  installSnapshot: boolean
  messages: Envelope[]
  committed: Entry[]
  /** Tokens of reads that a quorum confirmed; they may now be answered from the applied state. */
  confirmedReads: number[]
  /** Tokens of reads that this copy can't answer because it is not the leader. */
  failedReads: number[]
  /** Index and term assigned to each proposed command; empty if this copy is not the leader. */
  proposed: Array<{ readonly index: number, readonly term: number }>
}

/** Heartbeat interval and election timeout of a copy, in milliseconds. */
export interface ReplicaTimes {
  readonly heartbeatMs: Millis
  /** An election starts after one to two times this interval without a leader. */
  readonly electionMs: Millis
}
