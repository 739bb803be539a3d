/** The follower's side of replication: stores entries and snapshots from the leader. */
import type { HolderId, Millis } from '@lynxcourse/base'
import type { Entry, Snapshot } from '../types/log.js'
import type { AppendRequest, ReplicaOutput, SnapshotRequest } from '../types/messages.js'
import { hasTransition } from '@lynxcourse/base'
import { commitUpTo, lastIndex, refreshMembers, resetElectionTimer, send, applyRoleEvent, termAt } from './replica.js'
import type { Replica } from './replica.js'
import { getReceivedSize, receiveEntryPart } from './entryParts.js'
import { receivePart } from './snapshotTransfer.js'

/** Stores the leader's entries, or answers with the last index at which the two logs may match. */
export function handleAppend (replica: Replica, from: HolderId, request: AppendRequest, now: Millis, out: ReplicaOutput): void {
  if (request.term < replica.term) {
    sendAppendAnswer(replica, from, false, lastIndex(replica), request, now, out)
    return
  }
  recordLeaderContact(replica, from, now)
  const isMatching = matchesPreviousEntry(replica, request)
  if (!isMatching) {
    const lastPossibleMatch = Math.min(lastIndex(replica), request.prevIndex - 1)
    sendAppendAnswer(replica, from, false, lastPossibleMatch, request, now, out)
    return
  }
  const entries = listReceivedEntries(replica, request)
  for (const entry of entries) storeEntry(replica, entry, out)
  const matchIndex = request.prevIndex + entries.length
  commitUpTo(replica, Math.min(request.commit, matchIndex), out)
  // A heartbeat in place of a snapshot, or from a leader without a committed entry of its own term, has commit index 0
  // and doesn't show whether this follower is up to date.
  if (request.commit > 0 && replica.commit >= request.commit) recordUpToDate(replica, request, now)
  sendAppendAnswer(replica, from, true, matchIndex, request, now, out)
}

function listReceivedEntries (replica: Replica, { prevIndex, entries, part }: AppendRequest): readonly Entry[] {
  const entry = part === undefined ? undefined : receiveEntryPart(replica, prevIndex + 1, part)
  return entry === undefined ? entries : [entry]
}

/**
 * Records the time as of which this follower has every committed entry.
 *
 * The request may have waited unread for seconds, so the time at which it is processed proves nothing. The leader created it after
 * this follower's answer that it echoes, and its commit index includes every entry that was committed when it sent the round that
 * a quorum last answered.
 */
function recordUpToDate (replica: Replica, { answeredAt, confirmedAgeMs }: AppendRequest, now: Millis): void {
  if (answeredAt === null || confirmedAgeMs === null) return
  const isOwnAnswer = answeredAt >= replica.startedAt && answeredAt <= now
  if (isOwnAnswer) replica.upToDateAt = Math.max(replica.upToDateAt, answeredAt - confirmedAgeMs)
}

function matchesPreviousEntry (replica: Replica, request: AppendRequest): boolean {
  // Entries covered by the snapshot are committed, so they equal the leader's entries and need no comparison.
  if (request.prevIndex < replica.snapshot.index) return true
  return termAt(replica, request.prevIndex) === request.prevTerm
}

function storeEntry (replica: Replica, entry: Entry, out: ReplicaOutput): void {
  if (entry.index <= replica.snapshot.index) return
  const storedTerm = termAt(replica, entry.index)
  if (storedTerm === entry.term) return
  if (storedTerm !== undefined) {
    // The stored entry is an uncommitted one of a former leader; it and all entries after it are removed.
    replica.entries.length = entry.index - replica.snapshot.index - 1
    replica.syncedIndex = Math.min(replica.syncedIndex, entry.index - 1)
  }
  replica.entries.push(entry)
  out.entries.push(entry)
  if (storedTerm !== undefined || entry.body.type === 'members') refreshMembers(replica)
}

/** Stores a part of the leader's snapshot, and installs the snapshot once it is complete. */
export function handleSnapshot (replica: Replica, from: HolderId, request: SnapshotRequest, now: Millis, out: ReplicaOutput): void {
  const { head, round } = request
  if (request.term < replica.term) {
    sendAppendAnswer(replica, from, false, lastIndex(replica), { round }, now, out)
    return
  }
  recordLeaderContact(replica, from, now)
  if (head.index > replica.commit) {
    const received = receivePart(replica, request)
    if (typeof received === 'number') {
      send(replica, out, from, { type: 'snapshotAnswer', term: replica.term, index: head.index, offset: received, round, at: now })
      return
    }
    installSnapshot(replica, received, out)
  }
  sendAppendAnswer(replica, from, true, head.index, { round }, now, out)
}

/** Replaces the log up to the snapshot; keeps later entries only if the log matches it. */
function installSnapshot (replica: Replica, snapshot: Snapshot, out: ReplicaOutput): void {
  const hasMatchingEntry = termAt(replica, snapshot.index) === snapshot.term
  replica.entries = hasMatchingEntry ? replica.entries.slice(snapshot.index - replica.snapshot.index) : []
  replica.snapshot = snapshot
  replica.commit = snapshot.index
  replica.syncedIndex = lastIndex(replica)
  refreshMembers(replica)
  out.snapshot = snapshot
  out.installSnapshot = true
}

function recordLeaderContact (replica: Replica, leader: HolderId, now: Millis): void {
  if (hasTransition(replica.chart, replica.role, 'leaderHeard')) applyRoleEvent(replica, 'leaderHeard')
  replica.leader = leader
  replica.leaderLastSeenAt = now
  resetElectionTimer(replica, now)
}

function sendAppendAnswer (replica: Replica, to: HolderId, ok: boolean, index: number, { round, part }: Pick<AppendRequest, 'round' | 'part'>, now: Millis, out: ReplicaOutput): void {
  const received = part === undefined ? undefined : getReceivedSize(replica, index + 1)
  send(replica, out, to, { type: 'appendAnswer', term: replica.term, ok, index, received, round, at: now })
}
