/**
 * Sends a large entry in parts and puts it together again.
 *
 * An entry of any size is sent in one message to a member that has acknowledged entries, unless messages to it were lost. Otherwise, an entry that is
 * larger than a message may be is sent in parts of that size, one at a time. The parts that have arrived are kept for as long as the recipient
 * runs, also for the next leader.
 */
import { crc32 } from 'node:zlib'
import type { Millis } from '@lynxcourse/base'
import type { Entry } from '../types/log.js'
import type { AppendAnswer, AppendRequest, EntryPart } from '../types/messages.js'
import type { EntryTransfer } from '../types/transfer.js'
import { entryAt } from './replica.js'
import type { Progress, Replica } from './replica.js'
import { getEntrySize, getEntryText, growMessages, lostElectionTimeouts, maxMessageSize, shrinkMessages } from './sendWindow.js'

/** How much larger each part makes the next one, in characters; less than each message does, since a lost part leaves the link idle. */
const partSizeStep = 4096

/** Returns the transfer of the next entry of a member; undefined unless the entry has to be sent in parts. */
export function getEntryTransfer (replica: Replica, progress: Progress): EntryTransfer | undefined {
  const { next, sentFrom, transfer, entryTransfer } = progress
  if (next > sentFrom || transfer !== undefined) return undefined
  if (entryTransfer?.index === next) return entryTransfer
  progress.entryTransfer = undefined
  const entry = entryAt(replica, next)
  if (entry !== undefined && isTooLarge(entry, progress)) progress.entryTransfer = createEntryTransfer(entry)
  return progress.entryTransfer
}

function isTooLarge (entry: Entry, { messageSize, match, readsParts }: Progress): boolean {
  const hasLostMessages = messageSize < maxMessageSize
  return readsParts && (hasLostMessages || match === 0) && getEntrySize(entry) > messageSize
}

function createEntryTransfer (entry: Entry): EntryTransfer {
  const text = getEntryText(entry)
  return { index: entry.index, term: entry.term, text, checksum: crc32(text), offset: 0, sentAt: undefined }
}

/** Returns the next part of an entry; undefined while one is in flight. */
export function takePart (replica: Replica, transfer: EntryTransfer, { messageSize }: Progress, now: Millis): EntryPart | undefined {
  if (transfer.sentAt !== undefined && now - transfer.sentAt < replica.times.electionMs * lostElectionTimeouts) return undefined
  transfer.sentAt = now
  const { term, text, checksum, offset } = transfer
  return { term, size: text.length, checksum, offset, text: text.slice(offset, offset + messageSize) }
}

/** Records how much a member has of the entry after the index of its answer. */
export function recordReceived (progress: Progress, { index, received }: AppendAnswer): void {
  const { entryTransfer } = progress
  if (received === undefined || entryTransfer?.index !== index + 1 || received === entryTransfer.offset) return
  // A lower offset is that of a recipient that has restarted, or that had parts of another entry.
  if (received > entryTransfer.offset) growMessages(progress, partSizeStep)
  entryTransfer.offset = Math.min(received, entryTransfer.text.length)
  entryTransfer.sentAt = undefined
}

/** Records that a part was not delivered; the next one is smaller. A member of an earlier version refuses parts and is sent the whole entry. */
export function recordLostEntryPart (progress: Progress, { prevIndex, part }: AppendRequest, isRefused: boolean): void {
  const { entryTransfer } = progress
  if (isRefused) {
    progress.readsParts = false
    progress.entryTransfer = undefined
    return
  }
  if (entryTransfer?.index !== prevIndex + 1 || entryTransfer.offset !== part?.offset) return
  entryTransfer.sentAt = undefined
  shrinkMessages(progress)
}

/** Adds a part to the entry at an index; returns the entry once it is complete and undamaged. */
export function receiveEntryPart (replica: Replica, index: number, part: EntryPart): Entry | undefined {
  if (!isSameEntry(replica, index, part)) replica.incomingEntry = { index, term: part.term, size: part.size, checksum: part.checksum, text: '' }
  const { incomingEntry: incoming } = replica
  if (incoming === undefined) return undefined
  if (part.offset === incoming.text.length) incoming.text += part.text
  if (incoming.text.length < incoming.size) return undefined
  replica.incomingEntry = undefined
  if (crc32(incoming.text) !== incoming.checksum) return undefined
  const entry = JSON.parse(incoming.text) as Entry
  return entry.index === index && entry.term === part.term ? entry : undefined
}

function isSameEntry ({ incomingEntry }: Replica, index: number, { term, size, checksum }: EntryPart): boolean {
  return incomingEntry?.index === index && incomingEntry.term === term && incomingEntry.size === size && incomingEntry.checksum === checksum
}

/** Returns how many characters of an entry have arrived in parts. */
export function getReceivedSize ({ incomingEntry }: Replica, index: number): number {
  return incomingEntry?.index === index ? incomingEntry.text.length : 0
}
