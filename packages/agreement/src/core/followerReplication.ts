/** The follower's side of replication: taking entries and snapshots from the leader. */
import type { HolderId, Millis } from '@lynxcourse/base'
import type { Entry } from '../types/log.js'
import type { AppendRequest, ReplicaOutput, SnapshotRequest } from '../types/messages.js'
import { hasTransition } from '@lynxcourse/base'
import { commitTo, lastIndex, refreshMembers, resetElection, send, takeRoleEvent, termAt } from './replica.js'
import type { Replica } from './replica.js'

/** Takes entries, or says from where they are lacking. */
export function takeAppend (replica: Replica, from: HolderId, request: AppendRequest, now: Millis, out: ReplicaOutput): void {
  if (request.term < replica.term) {
    answer(replica, from, false, lastIndex(replica), request.round, out)
    return
  }
  hearLeader(replica, from, now)
  const known = knownUpTo(replica, request)
  if (!known) {
    const hint = Math.min(lastIndex(replica), request.prevIndex - 1)
    answer(replica, from, false, hint, request.round, out)
    return
  }
  for (const entry of request.entries) takeEntry(replica, entry, out)
  const matched = request.prevIndex + request.entries.length
  commitTo(replica, Math.min(request.commit, matched), out)
  // A heartbeat that stands in for a snapshot, and any of a leader that has not settled, carry no commit index: they tell nothing of freshness.
  if (request.commit > 0 && replica.commit >= request.commit) replica.upToDateAt = now
  answer(replica, from, true, matched, request.round, out)
}

function knownUpTo (replica: Replica, request: AppendRequest): boolean {
  // What a snapshot covers is committed, so it equals the leader's log without a look.
  if (request.prevIndex < replica.snapshot.index) return true
  return termAt(replica, request.prevIndex) === request.prevTerm
}

function takeEntry (replica: Replica, entry: Entry, out: ReplicaOutput): void {
  if (entry.index <= replica.snapshot.index) return
  const held = termAt(replica, entry.index)
  if (held === entry.term) return
  if (held !== undefined) {
    // A former leader's entry that was never committed: it and all after it go.
    replica.entries.length = entry.index - replica.snapshot.index - 1
    replica.synced = Math.min(replica.synced, entry.index - 1)
  }
  replica.entries.push(entry)
  out.entries.push(entry)
  if (held !== undefined || entry.body.type === 'members') refreshMembers(replica)
}

/** Replaces the log by the leader's snapshot when that is ahead of it. */
export function takeSnapshot (replica: Replica, from: HolderId, request: SnapshotRequest, now: Millis, out: ReplicaOutput): void {
  if (request.term < replica.term) {
    answer(replica, from, false, lastIndex(replica), request.round, out)
    return
  }
  hearLeader(replica, from, now)
  const { snapshot } = request
  if (snapshot.index > replica.commit) {
    const keepsTail = termAt(replica, snapshot.index) === snapshot.term
    replica.entries = keepsTail ? replica.entries.slice(snapshot.index - replica.snapshot.index) : []
    replica.snapshot = snapshot
    replica.commit = snapshot.index
    replica.synced = lastIndex(replica)
    refreshMembers(replica)
    out.snapshot = snapshot
    out.installSnapshot = true
  }
  answer(replica, from, true, snapshot.index, request.round, out)
}

function hearLeader (replica: Replica, leader: HolderId, now: Millis): void {
  if (hasTransition(replica.chart, replica.role, 'leaderHeard')) takeRoleEvent(replica, 'leaderHeard')
  replica.leader = leader
  replica.leaderHeardAt = now
  resetElection(replica, now)
}

function answer (replica: Replica, to: HolderId, ok: boolean, index: number, round: number, out: ReplicaOutput): void {
  send(replica, out, to, { type: 'appendAnswer', term: replica.term, ok, index, round })
}
