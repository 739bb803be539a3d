/** The leader's side of replication: appending, sending, counting answers. */
import type { HolderId, Millis } from '@lynxcourse/base'
import type { EntryBody } from '../types/log.js'
import type { AppendAnswer, ReplicaOutput } from '../types/messages.js'
import {
  commitTo, entryAt, isEstablishedLeader, lastAt, lastIndex, reachedByQuorum, send, termAt
} from './replica.js'
import type { Progress, Replica } from './replica.js'

/** Most entries in one message; bounds its size and the memory of who receives it. */
export const maxEntriesPerMessage = 512

/** A snapshot is sent again to the same copy only after this many election time-outs. */
const snapshotPatience = 3

/** Appends an entry of this leader's own. Its time never falls below the log's last. */
export function appendOwn (replica: Replica, body: EntryBody, now: Millis, out: ReplicaOutput): number {
  const index = lastIndex(replica) + 1
  const entry = { index, term: replica.term, at: Math.max(now, lastAt(replica)), body }
  replica.entries.push(entry)
  out.entries.push(entry)
  if (body.type === 'members') {
    replica.members = body.members
    replica.membersIndex = index
  }
  return index
}

/** Sends each other member what it lacks, or a heartbeat, as one new round. */
export function broadcast (replica: Replica, now: Millis, out: ReplicaOutput): void {
  replica.round += 1
  replica.roundSentAt.push(now)
  replica.heartbeatAt = now + replica.times.heartbeatMs
  for (const member of replica.members) {
    if (member.id !== replica.id) sendTo(replica, member.id, now, out)
  }
  confirmRounds(replica, out)
}

/** What the leader knows of a member; made when first asked for. */
export function progressOf (replica: Replica, id: HolderId, now: Millis): Progress {
  let progress = replica.progress.get(id)
  if (progress === undefined) {
    progress = { next: lastIndex(replica) + 1, match: 0, ackedRound: 0, heardAt: now, snapshotSentAt: -Infinity }
    replica.progress.set(id, progress)
  }
  return progress
}

function sendTo (replica: Replica, to: HolderId, now: Millis, out: ReplicaOutput): void {
  const progress = progressOf(replica, to, now)
  const prevIndex = progress.next - 1
  const prevTerm = termAt(replica, prevIndex)
  if (prevTerm === undefined) {
    sendSnapshot(replica, to, progress, now, out)
    return
  }
  const first = prevIndex - replica.snapshot.index
  const entries = replica.entries.slice(first, first + maxEntriesPerMessage)
  const { term, round } = replica
  send(replica, out, to, { type: 'append', term, prevIndex, prevTerm, entries, commit: knownCommit(replica), round })
  progress.next += entries.length
}

/**
 * What the leader may say is committed. After a restart its own index is that of its snapshot, and entries after it
 * are committed as well; a follower that reached it would vouch for a state that had been replaced, and an entry VM
 * that starts would serve by dropped routes. Until an entry of its own term is committed a leader says nothing.
 */
function knownCommit (replica: Replica): number {
  return isEstablishedLeader(replica) ? replica.commit : 0
}

function sendSnapshot (replica: Replica, to: HolderId, progress: Progress, now: Millis, out: ReplicaOutput): void {
  const { term, round, snapshot } = replica
  if (now - progress.snapshotSentAt < replica.times.electionMs * snapshotPatience) {
    // Still a heartbeat: without it the copy would start an election while it waits.
    send(replica, out, to, {
      type: 'append', term, prevIndex: snapshot.index, prevTerm: snapshot.term, entries: [], commit: 0, round
    })
    return
  }
  progress.snapshotSentAt = now
  send(replica, out, to, { type: 'snapshot', term, snapshot, round })
}

/** Counts a member's answer and sends on what it still lacks. */
export function takeAppendAnswer (replica: Replica, from: HolderId, answer: AppendAnswer, now: Millis, out: ReplicaOutput): void {
  const progress = progressOf(replica, from, now)
  progress.heardAt = now
  progress.ackedRound = Math.max(progress.ackedRound, answer.round)
  if (answer.ok) {
    progress.match = Math.max(progress.match, answer.index)
    progress.next = Math.max(progress.next, progress.match + 1)
    advanceCommit(replica, out)
  } else {
    progress.next = Math.max(progress.match + 1, Math.min(progress.next, answer.index + 1))
    sendTo(replica, from, now, out)
  }
  confirmRounds(replica, out)
  if (answer.ok && progress.next <= lastIndex(replica)) sendTo(replica, from, now, out)
}

/** Commits what a quorum has synced, if its last entry is of this term. */
export function advanceCommit (replica: Replica, out: ReplicaOutput): void {
  const reached = reachedByQuorum(replica, id => matchOf(replica, id))
  const index = Math.min(reached, lastIndex(replica))
  if (index <= replica.commit) return
  if (entryAt(replica, index)?.term !== replica.term) return
  const wasSettled = isEstablishedLeader(replica)
  commitTo(replica, index, out)
  // Followers count as up to date by the first commit index that they hear: with the next heartbeat it came 120 ms later.
  if (!wasSettled && isEstablishedLeader(replica)) replica.heartbeatAt = -Infinity
  confirmRounds(replica, out)
}

function matchOf (replica: Replica, id: HolderId): number {
  if (id === replica.id) return replica.synced
  return replica.progress.get(id)?.match ?? 0
}

/** Notes the newest round that a quorum answered and frees the reads that waited for it. */
export function confirmRounds (replica: Replica, out: ReplicaOutput): void {
  const ackedRound = (id: HolderId): number =>
    id === replica.id ? replica.round : replica.progress.get(id)?.ackedRound ?? 0
  const round = reachedByQuorum(replica, ackedRound)
  if (round > replica.confirmedRound) {
    const sentAt = replica.roundSentAt[round - replica.firstRound]
    if (sentAt !== undefined) replica.quorumConfirmedAt = sentAt
    replica.confirmedRound = round
    replica.roundSentAt = replica.roundSentAt.slice(round - replica.firstRound + 1)
    replica.firstRound = round + 1
  }
  if (!isEstablishedLeader(replica)) return
  const ready = replica.reads.filter(read => read.round <= replica.confirmedRound)
  if (ready.length === 0) return
  out.confirmedReads.push(...ready.map(read => read.token))
  replica.reads = replica.reads.filter(read => read.round > replica.confirmedRound)
}
