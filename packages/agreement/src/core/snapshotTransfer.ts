/**
 * Sends a snapshot in parts and puts it together again.
 *
 * Each part is a message of its own, and the next one is sent once the one before has been answered. A part that is lost is sent again in smaller
 * pieces; the parts before it are kept for as long as the recipient runs and the same snapshot is sent.
 */
import { crc32 } from 'node:zlib'
import type { HolderId, Millis } from '@lynxcourse/base'
import type { Snapshot } from '../types/log.js'
import type { ReplicaOutput, SnapshotAnswer, SnapshotHead, SnapshotRequest } from '../types/messages.js'
import { send } from './replica.js'
import { lostElectionTimeouts } from './sendWindow.js'
import type { IncomingSnapshot, Transfer } from '../types/transfer.js'
import type { Replica } from './replica.js'

/** Maximum size of a part, in characters. */
export const maxPartSize = 65_536
const minPartSize = 4096

export function createTransfer (snapshot: Snapshot, now: Millis): Transfer {
  const { data, ...position } = snapshot
  const head = { ...position, size: data.length, checksum: crc32(data) }
  return { snapshot, head, offset: 0, partSize: maxPartSize, sentAt: undefined, advancedAt: now }
}

/** Sends the next part, unless one is in flight; returns whether it did. */
export function sendPart (replica: Replica, to: HolderId, transfer: Transfer, now: Millis, out: ReplicaOutput): boolean {
  const { electionMs } = replica.times
  if (transfer.sentAt !== undefined && now - transfer.sentAt < electionMs * lostElectionTimeouts) return false
  transfer.sentAt = now
  const { snapshot, head, offset, partSize } = transfer
  const part = snapshot.data.slice(offset, offset + partSize)
  send(replica, out, to, { type: 'snapshot', term: replica.term, head, offset, part, round: replica.round })
  return true
}

/** Records how much of a snapshot its recipient has; returns whether the answer belongs to this transfer. */
export function recordPart (transfer: Transfer, { index, offset }: SnapshotAnswer, now: Millis): boolean {
  if (index !== transfer.head.index) return false
  if (offset > transfer.offset) {
    transfer.partSize = Math.min(maxPartSize, transfer.partSize * 2)
    transfer.advancedAt = now
  }
  transfer.offset = Math.min(offset, transfer.head.size)
  transfer.sentAt = undefined
  return true
}

/** Records that a part was not delivered; the next one is smaller. */
export function recordLostPart (transfer: Transfer, { head, offset }: SnapshotRequest): void {
  if (head.index !== transfer.head.index || offset !== transfer.offset) return
  transfer.sentAt = undefined
  transfer.partSize = Math.max(minPartSize, Math.floor(transfer.partSize / 2))
}

/**
 * Adds a part to a snapshot that arrives in parts.
 *
 * @returns the snapshot if it is complete and undamaged, otherwise the number of characters that are here
 */
export function receivePart (replica: Replica, { head, offset, part }: SnapshotRequest): Snapshot | number {
  if (!isSameSnapshot(replica.incoming?.head, head)) replica.incoming = { head, text: '' }
  const incoming = replica.incoming as IncomingSnapshot
  if (offset === incoming.text.length) incoming.text += part
  if (incoming.text.length < head.size) return incoming.text.length
  replica.incoming = undefined
  const { size, checksum, ...position } = head
  const isIntact = incoming.text.length === size && crc32(incoming.text) === checksum
  return isIntact ? { ...position, data: incoming.text } : 0
}

function isSameSnapshot (one: SnapshotHead | undefined, other: SnapshotHead): boolean {
  return one !== undefined && one.index === other.index && one.term === other.term && one.size === other.size && one.checksum === other.checksum
}

/** Time without progress after which a transfer no longer delays the compaction of the log, in election timeouts. */
const stalledElectionTimeouts = 4

/** Whether a snapshot is on its way to another copy and got further lately. A newer one would make that copy start again. */
export function isTransferring ({ progress, times }: Replica, now: Millis): boolean {
  return [...progress.values()].some(({ transfer }) => transfer !== undefined && now - transfer.advancedAt < times.electionMs * stalledElectionTimeouts)
}
