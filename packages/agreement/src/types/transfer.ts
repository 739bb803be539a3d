/** Snapshots and large entries that are sent from copy to copy in parts. */
import type { Millis } from '@lynxcourse/base'
import type { Snapshot } from './log.js'
import type { SnapshotHead } from './messages.js'

/** A snapshot on its way to another copy. The leader keeps it until it has arrived, even if it has a newer one. */
export interface Transfer {
  readonly snapshot: Snapshot
  readonly head: SnapshotHead
  /** Characters that the recipient has. */
  offset: number
  partSize: number
  /** When the part in flight was sent; undefined if none is. */
  sentAt: Millis | undefined
  /** When the recipient last got further. */
  advancedAt: Millis
}

/** A large entry on its way to another copy. */
export interface EntryTransfer {
  readonly index: number
  readonly term: number
  /** The entry as JSON text, and the CRC-32 of this in UTF-8. */
  readonly text: string
  readonly checksum: number
  /** Characters that the recipient has. */
  offset: number
  /** When the part in flight was sent; undefined if none is. */
  sentAt: Millis | undefined
}

/** An entry of which the first part or more has arrived. */
export interface IncomingEntry {
  readonly index: number
  readonly term: number
  readonly size: number
  readonly checksum: number
  text: string
}

/** A snapshot of which the first part or more has arrived. */
export interface IncomingSnapshot {
  readonly head: SnapshotHead
  text: string
}
