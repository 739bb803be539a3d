/** Entry point of a copy of the log: processes an event and returns the resulting work for the host. */
import type { Millis } from '@lynxcourse/base'
import type { Envelope, ReplicaOutput, ReplicaEvent } from '../types/messages.js'
import { adoptTerm, handleHandOver, handleVoteRequest, isElectionDue, startPreVote, stepDown, handleVoteAnswer } from './election.js'
import { handleAppend, handleSnapshot } from './followerReplication.js'
import { proposeMemberChange } from './memberChanges.js'
import { advanceCommit, appendEntry, broadcast, handOver, handleAppendAnswer, handleSnapshotAnswer, handleUndelivered } from './leaderReplication.js'
import {
  createOutput, entryAt, isLeader, isVoter, lastIndex, termAt
} from './replica.js'
import type { Replica } from './replica.js'

/**
 * Processes one event. Performs no input or output: the host carries out the returned work, syncs what must be saved,
 * and then passes in a `synced` event.
 *
 * @param now Unix milliseconds of this process
 */
export function stepReplica (replica: Replica, event: ReplicaEvent, now: Millis): ReplicaOutput {
  const out = createOutput()
  switch (event.type) {
    case 'tick': tick(replica, now, out); break
    case 'receive': receive(replica, event.envelope, now, out); break
    case 'synced': handleSynced(replica, now, out); break
    case 'propose': propose(replica, event.commands, now, out); break
    case 'join': if (isLeader(replica)) replica.joinRequests.add(event.id); break
    case 'compact': compact(replica, event.index, event.data, out); break
    case 'read': startRead(replica, event.token, now, out); break
    case 'handOver': handOver(replica, now, out); break
    case 'undelivered': handleUndelivered(replica, event.envelope.to, event.envelope.message, event.isRefused === true, now); break
  }
  return out
}

/** A tick that is later than this many election timeouts after the one before shows that this copy itself stood still. */
const lateTickElectionTimeouts = 0.25

function tick (replica: Replica, now: Millis, out: ReplicaOutput): void {
  if (now - replica.lastTickAt > replica.times.electionMs * lateTickElectionTimeouts) replica.resumedAt = now
  replica.lastTickAt = now
  if (isElectionDue(replica, now)) {
    startPreVote(replica, now, out)
    return
  }
  if (!isLeader(replica)) return
  if (hasLostQuorum(replica, now)) {
    stepDown(replica, 'quorumLost', now, out)
    return
  }
  proposeMemberChange(replica, now, out)
  if (now >= replica.nextHeartbeatAt) broadcast(replica, now, out)
}

/** Number of election timeouts after which a leader without answers gives up even if it stood still meanwhile. */
const maxUnconfirmedElectionTimeouts = 3

/**
 * Returns whether a leader has to give up: no quorum answers it. Answers that arrived while it stood still are processed after
 * the next tick, so they get an election timeout from then on.
 */
function hasLostQuorum ({ quorumConfirmedAt, resumedAt, times: { electionMs } }: Replica, now: Millis): boolean {
  const unconfirmedMs = now - quorumConfirmedAt
  if (unconfirmedMs > electionMs * maxUnconfirmedElectionTimeouts) return true
  return unconfirmedMs > electionMs && now - resumedAt > electionMs
}

function receive (replica: Replica, envelope: Envelope, now: Millis, out: ReplicaOutput): void {
  // A message to an earlier incarnation of this disk, or from another cluster, must not be answered: the answer would
  // acknowledge entries that this disk has never stored.
  if (envelope.to !== replica.id || envelope.cluster !== replica.cluster) return
  const { message, from } = envelope
  const isPreVote = (message.type === 'vote' || message.type === 'voteAnswer') && message.pre
  if (!isPreVote && message.term > replica.term) adoptTerm(replica, message.term, now, out)
  switch (message.type) {
    case 'vote': handleVoteRequest(replica, from, message, now, out); break
    case 'voteAnswer': handleVoteAnswer(replica, from, message, now, out); break
    case 'append': handleAppend(replica, from, message, now, out); break
    case 'snapshot': handleSnapshot(replica, from, message, now, out); break
    case 'snapshotAnswer':
      if (isLeader(replica) && message.term === replica.term) handleSnapshotAnswer(replica, from, message, now, out)
      break
    case 'handOver': handleHandOver(replica, from, message, now, out); break
    case 'appendAnswer':
      if (isLeader(replica) && message.term === replica.term) handleAppendAnswer(replica, from, message, now, out)
      break
  }
  stepDownIfRemoved(replica, now, out)
}

function handleSynced (replica: Replica, now: Millis, out: ReplicaOutput): void {
  replica.syncedIndex = lastIndex(replica)
  if (!isLeader(replica)) return
  advanceCommit(replica, out)
  stepDownIfRemoved(replica, now, out)
}

function stepDownIfRemoved (replica: Replica, now: Millis, out: ReplicaOutput): void {
  const isMembershipCommitted = replica.membersIndex <= replica.commit
  if (isLeader(replica) && isMembershipCommitted && !isVoter(replica)) stepDown(replica, 'removed', now, out)
}

function propose (replica: Replica, commands: readonly unknown[], now: Millis, out: ReplicaOutput): void {
  if (!isLeader(replica)) return
  for (const command of commands) {
    const index = appendEntry(replica, { type: 'command', command }, now, out)
    out.proposed.push({ index, term: replica.term })
  }
  broadcast(replica, now, out)
}

function startRead (replica: Replica, token: number, now: Millis, out: ReplicaOutput): void {
  if (!isLeader(replica)) {
    out.failedReads.push(token)
    return
  }
  const isWaiting = replica.pendingReads.length > 0
  replica.pendingReads.push({ token, round: replica.round + 1 })
  // Reads that arrive while others wait share the next round; a round for each of them would flood all members.
  if (!isWaiting) broadcast(replica, now, out)
}

function compact (replica: Replica, index: number, data: string, out: ReplicaOutput): void {
  const term = termAt(replica, index)
  if (index <= replica.snapshot.index || index > replica.commit || term === undefined) return
  const at = entryAt(replica, index)?.at ?? replica.snapshot.at
  const members = membersAt(replica, index)
  replica.entries = replica.entries.slice(index - replica.snapshot.index)
  replica.snapshot = { index, term, at, members, data }
  out.snapshot = replica.snapshot
}

function membersAt (replica: Replica, index: number): Replica['members'] {
  let members = replica.snapshot.members
  for (const entry of replica.entries) {
    if (entry.index <= index && entry.body.type === 'members') members = entry.body.members
  }
  return members
}
