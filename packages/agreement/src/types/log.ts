/** Types of the replicated log: entries, members and the state stored on disk. */
import type { HolderId, Millis } from '@lynxcourse/base'

/** One copy of the log, identified by its VM and the incarnation of the disk that stores it. */
export interface Member {
  readonly id: HolderId
  /** A voter counts towards quorums; a learner only receives entries. */
  readonly voter: boolean
}

/** Payload of a log entry. */
export type EntryBody =
  | { readonly type: 'noop' }
  | { readonly type: 'members', readonly members: readonly Member[] }
  | { readonly type: 'command', readonly command: unknown }

/** One entry of the log. */
export interface Entry {
  readonly index: number
  readonly term: number
  /** Unix milliseconds by the clock of the leader that appended the entry; never decreases along the log. */
  readonly at: Millis
  readonly body: EntryBody
}

/** Term and vote, which must be synced to disk before a vote or an answer is sent. */
export interface HardState {
  readonly term: number
  readonly votedFor: HolderId | undefined
}

/** The state after the entry at `index`; replaces the entries up to that index. */
export interface Snapshot {
  readonly index: number
  readonly term: number
  readonly at: Millis
  readonly members: readonly Member[]
  /** The serialized state of the state machine; opaque to this package. */
  readonly data: string
}

/** The state that a copy of the log restores from its disk. */
export interface StoredLog {
  readonly hardState: HardState
  readonly snapshot: Snapshot
  readonly entries: readonly Entry[]
}

/** Creates the snapshot with which the log of a new cluster starts: index 0 and the initial voters. */
export function createInitialSnapshot (voters: readonly HolderId[], data: string): Snapshot {
  const members = voters.map(id => ({ id, voter: true }))
  return { index: 0, term: 0, at: 0, members, data }
}
