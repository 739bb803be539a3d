/** The one way into a copy of the log: an event and the present time in, what is to be done out. */
import type { Millis } from '@lynxcourse/base'
import type { Envelope, ReplicaOutput, ReplicaEvent } from '../types/messages.js'
import { adoptTerm, answerVote, isElectionDue, startPreVote, stopLeading, takeVoteAnswer } from './election.js'
import { takeAppend, takeSnapshot } from './followerReplication.js'
import { repairMembers } from './memberChanges.js'
import { advanceCommit, appendOwn, broadcast, takeAppendAnswer } from './leaderReplication.js'
import {
  emptyOutput, entryAt, isLeader, isVoter, lastIndex, termAt
} from './replica.js'
import type { Replica } from './replica.js'

/**
 * Drives a copy of the log by one event. Does no input or output: the host carries the result out,
 * syncs what it says to save, and then passes a `synced` event in.
 *
 * @param now Unix milliseconds of this process
 */
export function stepReplica (replica: Replica, event: ReplicaEvent, now: Millis): ReplicaOutput {
  const out = emptyOutput()
  switch (event.type) {
    case 'tick': tick(replica, now, out); break
    case 'receive': receive(replica, event.envelope, now, out); break
    case 'synced': noteSynced(replica, now, out); break
    case 'propose': propose(replica, event.commands, now, out); break
    case 'join': if (isLeader(replica)) replica.joining.add(event.id); break
    case 'compact': compact(replica, event.index, event.data, out); break
    case 'read': startRead(replica, event.token, now, out); break
  }
  return out
}

function tick (replica: Replica, now: Millis, out: ReplicaOutput): void {
  if (isElectionDue(replica, now)) {
    startPreVote(replica, now, out)
    return
  }
  if (!isLeader(replica)) return
  // A leader that was cut off believes that it leads until it notices that no quorum answers.
  if (now - replica.quorumConfirmedAt > replica.times.electionMs) {
    stopLeading(replica, 'quorumLost', now, out)
    return
  }
  repairMembers(replica, now, out)
  if (now >= replica.heartbeatAt) broadcast(replica, now, out)
}

function receive (replica: Replica, envelope: Envelope, now: Millis, out: ReplicaOutput): void {
  // A message to an earlier life of this disk, or from another cluster, must not be answered: the
  // answer would vouch for entries that this disk never held.
  if (envelope.to !== replica.id || envelope.cluster !== replica.cluster) return
  const { message, from } = envelope
  const isPreVote = (message.type === 'vote' || message.type === 'voteAnswer') && message.pre
  if (!isPreVote && message.term > replica.term) adoptTerm(replica, message.term, now, out)
  switch (message.type) {
    case 'vote': answerVote(replica, from, message, now, out); break
    case 'voteAnswer': takeVoteAnswer(replica, from, message, now, out); break
    case 'append': takeAppend(replica, from, message, now, out); break
    case 'snapshot': takeSnapshot(replica, from, message, now, out); break
    case 'appendAnswer':
      if (isLeader(replica) && message.term === replica.term) takeAppendAnswer(replica, from, message, now, out)
      break
  }
  stepDownIfRemoved(replica, now, out)
}

function noteSynced (replica: Replica, now: Millis, out: ReplicaOutput): void {
  replica.synced = lastIndex(replica)
  if (!isLeader(replica)) return
  advanceCommit(replica, out)
  stepDownIfRemoved(replica, now, out)
}

function stepDownIfRemoved (replica: Replica, now: Millis, out: ReplicaOutput): void {
  const committedMembers = replica.membersIndex <= replica.commit
  if (isLeader(replica) && committedMembers && !isVoter(replica)) stopLeading(replica, 'removed', now, out)
}

function propose (replica: Replica, commands: readonly unknown[], now: Millis, out: ReplicaOutput): void {
  if (!isLeader(replica)) return
  for (const command of commands) {
    const index = appendOwn(replica, { type: 'command', command }, now, out)
    out.proposed.push({ index, term: replica.term })
  }
  broadcast(replica, now, out)
}

function startRead (replica: Replica, token: number, now: Millis, out: ReplicaOutput): void {
  if (!isLeader(replica)) {
    out.failedReads.push(token)
    return
  }
  replica.reads.push({ token, round: replica.round + 1 })
  broadcast(replica, now, out)
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
