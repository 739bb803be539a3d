/**
 * Limits how much of the log is on its way to another copy.
 *
 * A message that takes longer than its call may take is lost as a whole, and so is each repetition of it. Messages are therefore bounded by their
 * size, a lost one makes the next ones smaller, and a copy that doesn't answer gets no more than a window of them.
 */
import type { Millis } from '@lynxcourse/base'
import type { Entry } from '../types/log.js'
import { entryAt, lastIndex } from './replica.js'
import type { Progress, Replica } from './replica.js'

/** Maximum number of entries in one message. */
export const maxEntriesPerMessage = 512
/** Maximum size of the entries in one message, in characters. A larger entry is sent alone. */
export const maxMessageSize = 262_144
/** Size below which a message is not made smaller, in characters. */
export const minMessageSize = 8192
/** How much larger each acknowledgement makes the next messages, in characters. */
const messageSizeStep = 16_384
/** Number of messages of the present size that may be on their way to one copy. */
const messagesInFlight = 2
/** Entries on their way are sent again at once if they are smaller than this, in characters; larger ones wait for an answer. */
const maxResentSize = 8192
/** Time after which entries or a part of a snapshot on their way count as lost although no failure was reported, in election timeouts. */
export const lostElectionTimeouts = 3

const sizes = new WeakMap<Entry, number>()
/** Texts of large entries. */
const texts = new WeakMap<Entry, string>()
/** Size from which the text of an entry is kept, in characters: it is written to the disk and sent to each member. */
const minKeptSize = 65_536

/** Returns an entry's JSON text. */
export function getEntryText (entry: Entry): string {
  const known = texts.get(entry)
  if (known !== undefined) return known
  const text = JSON.stringify(entry)
  sizes.set(entry, text.length)
  if (text.length >= minKeptSize) texts.set(entry, text)
  return text
}

/** Returns the length of an entry's JSON text. */
export function getEntrySize (entry: Entry): number {
  return sizes.get(entry) ?? getEntryText(entry).length
}

/** Creates the progress of a member that is assumed to have all entries before `next`. */
export function createProgress (next: number, now: Millis): Progress {
  return { next, match: 0, sentFrom: next, messageSize: maxMessageSize, waitingSince: now, ackedRound: 0, answeredAt: undefined, lastSeenAt: now, transfer: undefined, entryTransfer: undefined, readsParts: true }
}

/** Returns the size of the entries between two indexes, the first included; stops once it exceeds `limit`. */
function measureEntries (replica: Replica, from: number, to: number, limit: number): number {
  let size = 0
  for (let index = from; index < to && size <= limit; index++) {
    const entry = entryAt(replica, index)
    if (entry !== undefined) size += getEntrySize(entry)
  }
  return size
}

/** Returns the entries of the next message to a member: at least one, unless it lacks none or its window is full. */
export function takeEntries (replica: Replica, { next, sentFrom, messageSize }: Progress): Entry[] {
  const taken: Entry[] = []
  if (next > sentFrom && measureEntries(replica, sentFrom, next, messageSize * messagesInFlight) > messageSize * (messagesInFlight - 1)) return taken
  let size = 0
  for (let index = next; index <= lastIndex(replica) && taken.length < maxEntriesPerMessage; index++) {
    const entry = entryAt(replica, index)
    if (entry === undefined) break
    size += getEntrySize(entry)
    if (taken.length > 0 && size > messageSize) break
    taken.push(entry)
  }
  return taken
}

/** Records that the entries from `progress.next` on were sent. */
export function recordSent (progress: Progress, count: number, now: Millis): void {
  if (count === 0) return
  if (progress.next === progress.sentFrom) progress.waitingSince = now
  progress.next += count
}

/** Records that a member has all entries up to an index. */
export function recordAcknowledged (progress: Progress, index: number, now: Millis): void {
  progress.match = Math.max(progress.match, index)
  progress.next = Math.max(progress.next, index + 1)
  if (index < progress.sentFrom) return
  progress.sentFrom = index + 1
  progress.waitingSince = now
  growMessages(progress, messageSizeStep)
}

/**
 * Records that a member lacks the entries after an index.
 *
 * @returns whether they have to be sent again; a heartbeat can overtake entries that are still on their way
 */
export function recordMissing (replica: Replica, progress: Progress, index: number, now: Millis): boolean {
  const isSent = index + 1 >= progress.sentFrom && index + 1 < progress.next
  const isLost = now - progress.waitingSince > replica.times.electionMs * lostElectionTimeouts
  if (isSent && !isLost && measureEntries(replica, progress.sentFrom, progress.next, maxResentSize) > maxResentSize) return false
  restartFrom(progress, Math.max(progress.match + 1, Math.min(progress.next, index + 1)))
  return true
}

/** Records that a message whose entries begin at an index was not delivered; later ones are smaller. */
export function recordUndelivered (progress: Progress, firstIndex: number): void {
  if (firstIndex < progress.sentFrom || firstIndex >= progress.next) return
  restartFrom(progress, progress.sentFrom)
  shrinkMessages(progress)
}

/** Makes the next messages to a member larger, after one was delivered. */
export function growMessages (progress: Progress, step: number): void {
  progress.messageSize = Math.min(maxMessageSize, progress.messageSize + step)
}

/** Makes the next messages to a member smaller, after one was lost. */
export function shrinkMessages (progress: Progress): void {
  progress.messageSize = Math.max(minMessageSize, Math.floor(progress.messageSize / 2))
}

function restartFrom (progress: Progress, index: number): void {
  progress.next = index
  progress.sentFrom = index
}

/** Whether all entries that a member lacks fit into one message. */
export function isAlmostCaughtUp (replica: Replica, { match, transfer }: Progress): boolean {
  const last = lastIndex(replica)
  if (transfer !== undefined || match === 0 || match < replica.snapshot.index || last - match > maxEntriesPerMessage) return false
  return measureEntries(replica, match + 1, last + 1, maxMessageSize) <= maxMessageSize
}
