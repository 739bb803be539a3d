/** The leader's side of replication: appends entries, sends them and processes answers. */
import type { HolderId, Millis } from '@lynxcourse/base'
import type { EntryBody } from '../types/log.js'
import type { AppendAnswer, AppendRequest, Message, ReplicaOutput, SnapshotAnswer } from '../types/messages.js'
import {
  commitUpTo, entryAt, isEstablishedLeader, isLeader, lastEntryAt, lastIndex, maxReachedByQuorum, send, termAt, voters
} from './replica.js'
import type { Progress, Replica } from './replica.js'
import { getEntryTransfer, recordLostEntryPart, recordReceived, takePart } from './entryParts.js'
import { createProgress, recordAcknowledged, recordMissing, recordSent, recordUndelivered, takeEntries } from './sendWindow.js'
import { createTransfer, recordLostPart, recordPart, sendPart } from './snapshotTransfer.js'

/** Appends an entry to the leader's log. Its timestamp is never lower than that of the entry before it. */
export function appendEntry (replica: Replica, body: EntryBody, now: Millis, out: ReplicaOutput): number {
  const index = lastIndex(replica) + 1
  const entry = { index, term: replica.term, at: Math.max(now, lastEntryAt(replica)), body }
  replica.entries.push(entry)
  out.entries.push(entry)
  if (body.type === 'members') {
    replica.members = body.members
    replica.membersIndex = index
  }
  return index
}

/** Starts a new round: sends each other member its missing entries, or a heartbeat if it lacks none. */
export function broadcast (replica: Replica, now: Millis, out: ReplicaOutput): void {
  replica.round += 1
  replica.unconfirmedRoundSentAt.push(now)
  replica.nextHeartbeatAt = now + replica.times.heartbeatMs
  for (const member of replica.members) {
    if (member.id !== replica.id) replicateTo(replica, member.id, now, out)
  }
  confirmRounds(replica, out)
}

/** Returns the replication progress of a member and creates it on first use. */
export function getProgress (replica: Replica, id: HolderId, now: Millis): Progress {
  let progress = replica.progress.get(id)
  if (progress === undefined) {
    progress = createProgress(lastIndex(replica) + 1, now)
    replica.progress.set(id, progress)
  }
  return progress
}

function replicateTo (replica: Replica, to: HolderId, now: Millis, out: ReplicaOutput): void {
  const progress = getProgress(replica, to, now)
  sendPayload(replica, to, progress, takePayload(replica, progress, now), now, out)
}

type Payload = Pick<AppendRequest, 'entries' | 'part'>

/** Returns the entries of the next message to a member, or the part of one. */
function takePayload (replica: Replica, progress: Progress, now: Millis): Payload {
  const entryTransfer = getEntryTransfer(replica, progress)
  if (entryTransfer === undefined) return { entries: takeEntries(replica, progress) }
  return { entries: [], part: takePart(replica, entryTransfer, progress, now) }
}

/** Sends a member entries from its next one on, or a heartbeat without any; sends a snapshot instead if it lacks what comes before. */
function sendPayload (replica: Replica, to: HolderId, progress: Progress, payload: Payload, now: Millis, out: ReplicaOutput): void {
  const prevIndex = progress.next - 1
  const prevTerm = termAt(replica, prevIndex)
  if (prevTerm === undefined || progress.transfer !== undefined) {
    sendSnapshot(replica, to, progress, now, out)
    return
  }
  const { term, round } = replica
  send(replica, out, to, { type: 'append', term, prevIndex, prevTerm, ...payload, commit: getAdvertisedCommit(replica), round, ...describeFreshness(replica, progress, now) })
  recordSent(progress, payload.entries.length, now)
}

/** Sends a member the entries that it lacks, if its window has space for any of them. */
function sendMissingEntries (replica: Replica, to: HolderId, progress: Progress, now: Millis, out: ReplicaOutput): void {
  const payload = takePayload(replica, progress, now)
  if (payload.entries.length > 0 || payload.part !== undefined) sendPayload(replica, to, progress, payload, now, out)
}

/** Processes a host's report that it could not deliver a message of this leader; the next broadcast sends its content again. */
export function handleUndelivered (replica: Replica, to: HolderId, message: Message, isRefused: boolean, now: Millis): void {
  if (!isLeader(replica) || message.term !== replica.term) return
  const progress = getProgress(replica, to, now)
  if (message.type === 'append' && message.entries.length > 0) recordUndelivered(progress, message.prevIndex + 1)
  if (message.type === 'append' && message.part !== undefined) recordLostEntryPart(progress, message, isRefused)
  if (message.type === 'snapshot' && progress.transfer !== undefined) recordLostPart(progress.transfer, message)
}

/**
 * Returns the commit index that the leader may advertise; 0 until an entry of its own term is committed. After a restart,
 * the leader's commit index is that of its snapshot although later entries are committed too. A follower that reached
 * this index would count as up to date with an outdated state, and a starting entry VM would serve removed routes.
 */
function getAdvertisedCommit (replica: Replica): number {
  return isEstablishedLeader(replica) ? replica.commit : 0
}

/** Returns the fields by which a follower bounds the age of the leader's commit index, however late it processes the request. */
function describeFreshness ({ quorumConfirmedAt }: Replica, { answeredAt }: Progress, now: Millis): Pick<AppendRequest, 'answeredAt' | 'confirmedAgeMs'> {
  return { answeredAt: answeredAt ?? null, confirmedAgeMs: quorumConfirmedAt === -Infinity ? null : now - quorumConfirmedAt }
}

function sendSnapshot (replica: Replica, to: HolderId, progress: Progress, now: Millis, out: ReplicaOutput): void {
  const { term, round, snapshot } = replica
  progress.transfer ??= createTransfer(snapshot, now)
  if (sendPart(replica, to, progress.transfer, now, out)) return
  // The heartbeat prevents the copy from starting an election while a part is in flight.
  send(replica, out, to, {
    type: 'append', term, prevIndex: snapshot.index, prevTerm: snapshot.term, entries: [], commit: 0, round, answeredAt: null, confirmedAgeMs: null
  })
}

/** Sends the next part of a snapshot once the one before has arrived. */
export function handleSnapshotAnswer (replica: Replica, from: HolderId, answer: SnapshotAnswer, now: Millis, out: ReplicaOutput): void {
  const progress = getProgress(replica, from, now)
  recordAnswer(progress, answer, now)
  const { transfer } = progress
  if (transfer !== undefined && recordPart(transfer, answer, now)) sendPart(replica, from, transfer, now, out)
  confirmRounds(replica, out)
}

function recordAnswer (progress: Progress, { round, at }: AppendAnswer | SnapshotAnswer, now: Millis): void {
  progress.lastSeenAt = now
  progress.ackedRound = Math.max(progress.ackedRound, round)
  progress.answeredAt = at
}

/**
 * Hands leadership to the voter that has the most entries, and among those to the one that answered last. Votes for a copy
 * with fewer entries could be denied, and a copy that doesn't answer can't request them. The leader stays in its role
 * until it hears of a higher term.
 */
export function handOver (replica: Replica, now: Millis, out: ReplicaOutput): void {
  if (!isLeader(replica)) return
  const candidates = voters(replica).filter(id => id !== replica.id).map(id => ({ id, progress: getProgress(replica, id, now) }))
  const [best] = candidates.sort((a, b) => b.progress.match - a.progress.match || b.progress.lastSeenAt - a.progress.lastSeenAt)
  if (best !== undefined) send(replica, out, best.id, { type: 'handOver', term: replica.term })
}

/** Updates a member's progress by its answer and sends the entries that it still lacks. */
export function handleAppendAnswer (replica: Replica, from: HolderId, answer: AppendAnswer, now: Millis, out: ReplicaOutput): void {
  const progress = getProgress(replica, from, now)
  recordAnswer(progress, answer, now)
  recordReceived(progress, answer)
  if (answer.ok) {
    if (progress.transfer !== undefined && answer.index >= progress.transfer.head.index) progress.transfer = undefined
    recordAcknowledged(progress, answer.index, now)
    advanceCommit(replica, out)
  } else if (progress.transfer === undefined && recordMissing(replica, progress, answer.index, now)) {
    replicateTo(replica, from, now, out)
  }
  confirmRounds(replica, out)
  if (answer.ok) sendMissingEntries(replica, from, progress, now, out)
}

/** Commits the entries that a quorum has synced, if the last of them is of the current term. */
export function advanceCommit (replica: Replica, out: ReplicaOutput): void {
  const quorumIndex = maxReachedByQuorum(replica, id => getMatchIndex(replica, id))
  const index = Math.min(quorumIndex, lastIndex(replica))
  if (index <= replica.commit) return
  if (entryAt(replica, index)?.term !== replica.term) return
  const wasEstablished = isEstablishedLeader(replica)
  commitUpTo(replica, index, out)
  // Followers count as up to date once they receive a commit index. An immediate broadcast saves them the wait for the
  // next regular heartbeat, 120 ms at the usual interval.
  if (!wasEstablished && isEstablishedLeader(replica)) replica.nextHeartbeatAt = -Infinity
  confirmRounds(replica, out)
}

function getMatchIndex (replica: Replica, id: HolderId): number {
  if (id === replica.id) return replica.syncedIndex
  return replica.progress.get(id)?.match ?? 0
}

/** Records the newest round that a quorum answered and completes the reads that this round confirms. */
export function confirmRounds (replica: Replica, out: ReplicaOutput): void {
  const getAckedRound = (id: HolderId): number =>
    id === replica.id ? replica.round : replica.progress.get(id)?.ackedRound ?? 0
  const round = maxReachedByQuorum(replica, getAckedRound)
  if (round > replica.confirmedRound) {
    const sentAt = replica.unconfirmedRoundSentAt[round - replica.firstUnconfirmedRound]
    if (sentAt !== undefined) replica.quorumConfirmedAt = sentAt
    replica.confirmedRound = round
    replica.unconfirmedRoundSentAt = replica.unconfirmedRoundSentAt.slice(round - replica.firstUnconfirmedRound + 1)
    replica.firstUnconfirmedRound = round + 1
  }
  if (!isEstablishedLeader(replica)) return
  const confirmedReads = replica.pendingReads.filter(read => read.round <= replica.confirmedRound)
  if (confirmedReads.length === 0) return
  out.confirmedReads.push(...confirmedReads.map(read => read.token))
  replica.pendingReads = replica.pendingReads.filter(read => read.round > replica.confirmedRound)
  const hasUnsentReads = replica.pendingReads.some(read => read.round > replica.round)
  if (hasUnsentReads) replica.nextHeartbeatAt = -Infinity
}
