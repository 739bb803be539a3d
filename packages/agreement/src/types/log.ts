/** The replicated log: its entries, its members and what is kept on disk. */
import type { HolderId, Millis } from '@lynxcourse/base'

/** One copy of the log, held by one life of one disk. */
export interface Member {
  readonly id: HolderId
  /** A voter counts towards quorums; a learner only receives. */
  readonly voter: boolean
}

/** What an entry carries. */
export type EntryBody =
  | { readonly type: 'noop' }
  | { readonly type: 'members', readonly members: readonly Member[] }
  | { readonly type: 'command', readonly command: unknown }

/** One entry of the log. */
export interface Entry {
  readonly index: number
  readonly term: number
  /** Unix milliseconds of the leader that made it; never falls along the log. */
  readonly at: Millis
  readonly body: EntryBody
}

/** What must be synced before a vote or an answer leaves. */
export interface HardState {
  readonly term: number
  readonly votedFor: HolderId | undefined
}

/** The state after `index`, in place of the entries up to it. */
export interface Snapshot {
  readonly index: number
  readonly term: number
  readonly at: Millis
  readonly members: readonly Member[]
  /** The state machine's state, as its owner wrote it. */
  readonly data: string
}

/** All that a copy reads back from its disk. */
export interface StoredLog {
  readonly hardState: HardState
  readonly snapshot: Snapshot
  readonly entries: readonly Entry[]
}

/** Where the log of a new cluster starts: nothing but its first voters. */
export function createInitialSnapshot (voters: readonly HolderId[], data: string): Snapshot {
  const members = voters.map(id => ({ id, voter: true }))
  return { index: 0, term: 0, at: 0, members, data }
}
