/** Elections: pre-votes, votes and stepping down. */
import { hasTransition } from '@lynxcourse/base'
import type { HolderId, Millis } from '@lynxcourse/base'
import type { HandOver, ReplicaOutput, VoteAnswer, VoteRequest } from '../types/messages.js'
import { appendEntry, broadcast } from './leaderReplication.js'
import {
  startVoteTimeout, isLeader, isVoter, lastIndex, lastTerm, quorumSize, resetElectionTimer, saveHardState, send, applyRoleEvent, voters
} from './replica.js'
import type { Replica } from './replica.js'

/**
 * How long a granted pre-vote excludes other candidates, in heartbeat intervals: a round trip and the vote after it.
 *
 * Without this exclusion, copies that start at the same time can win their pre-votes within a few milliseconds of each
 * other and split the votes of one term, which leaves the cluster without a leader for another election timeout. An
 * exclusive pre-vote lets only one of them win a quorum.
 */
const preVoteHoldHeartbeats = 1.25

/**
 * Starts a pre-vote. Without it, a copy that returns from a network partition would have a high term and force a
 * working leader to step down; with it, the copy raises its term only after a quorum has granted its pre-vote.
 */
export function startPreVote (replica: Replica, now: Millis, out: ReplicaOutput): void {
  applyRoleEvent(replica, 'electionDue')
  resetElectionTimer(replica, now)
  replica.leader = undefined
  replica.votes = new Set([replica.id])
  recordPreVote(replica, replica.id, now)
  requestVotes(replica, true, out)
  countVotes(replica, now, out)
}

/**
 * Requests votes at once if the present leader hands its leadership to this copy. A pre-vote would be denied: the other
 * copies have just heard from the leader.
 */
export function handleHandOver (replica: Replica, from: HolderId, message: HandOver, now: Millis, out: ReplicaOutput): void {
  const isFromLeader = message.term === replica.term && replica.leader === from
  if (!isFromLeader || !isVoter(replica) || !hasTransition(replica.chart, replica.role, 'handedOver')) return
  startVote(replica, 'handedOver', now, out)
}

function startVote (replica: Replica, event: 'preVotesWon' | 'handedOver', now: Millis, out: ReplicaOutput): void {
  applyRoleEvent(replica, event)
  replica.leader = undefined
  replica.term += 1
  replica.votedFor = replica.id
  replica.votes = new Set([replica.id])
  startVoteTimeout(replica, now)
  saveHardState(replica, out)
  requestVotes(replica, false, out)
  countVotes(replica, now, out)
}

function requestVotes (replica: Replica, pre: boolean, out: ReplicaOutput): void {
  const message: VoteRequest = {
    type: 'vote',
    pre,
    term: pre ? replica.term + 1 : replica.term,
    lastIndex: lastIndex(replica),
    lastTerm: lastTerm(replica)
  }
  for (const voter of voters(replica)) {
    if (voter !== replica.id) send(replica, out, voter, message)
  }
}

function countVotes (replica: Replica, now: Millis, out: ReplicaOutput): void {
  const hasQuorum = voters(replica).filter(voter => replica.votes.has(voter)).length >= quorumSize(replica)
  if (!hasQuorum) return
  if (replica.role === 'preCandidate') startVote(replica, 'preVotesWon', now, out)
  else if (replica.role === 'candidate') becomeLeader(replica, now, out)
}

function becomeLeader (replica: Replica, now: Millis, out: ReplicaOutput): void {
  applyRoleEvent(replica, 'votesWon')
  replica.leader = replica.id
  replica.progress = new Map()
  replica.round = 0
  replica.firstUnconfirmedRound = 1
  replica.unconfirmedRoundSentAt = []
  replica.confirmedRound = 0
  replica.quorumConfirmedAt = now
  replica.pendingReads = []
  replica.joinRequests = new Set()
  // An entry of an older term counts as committed only once an entry of the leader's own term after it is committed.
  // Until then, a copy whose last entry has a higher term could still overwrite it.
  replica.termStartIndex = lastIndex(replica) + 1
  appendEntry(replica, { type: 'noop' }, now, out)
  broadcast(replica, now, out)
}

/** Grants or denies a vote or a pre-vote and answers the request. */
export function handleVoteRequest (replica: Replica, from: HolderId, request: VoteRequest, now: Millis, out: ReplicaOutput): void {
  const granted = request.pre ? tryGrantPreVote(replica, from, request, now) : tryGrantVote(replica, from, request, now, out)
  const term = request.pre && granted ? request.term : replica.term
  send(replica, out, from, { type: 'voteAnswer', pre: request.pre, term, granted })
}

function tryGrantPreVote (replica: Replica, from: HolderId, request: VoteRequest, now: Millis): boolean {
  if (!canGrantPreVote(replica, request, now) || hasPreVotedForOther(replica, from, now)) return false
  recordPreVote(replica, from, now)
  // The other candidate may be about to win; a pre-vote round of this copy would only withhold votes from it.
  replica.electionDueAt = Math.max(replica.electionDueAt, now + getPreVoteHoldMs(replica))
  return true
}

function recordPreVote (replica: Replica, id: HolderId, now: Millis): void {
  replica.preVotedFor = id
  replica.preVotedAt = now
}

function hasPreVotedForOther (replica: Replica, from: HolderId, now: Millis): boolean {
  return replica.preVotedFor !== from && now - replica.preVotedAt < getPreVoteHoldMs(replica)
}

function getPreVoteHoldMs (replica: Replica): Millis {
  return replica.times.heartbeatMs * preVoteHoldHeartbeats
}

function canGrantPreVote (replica: Replica, request: VoteRequest, now: Millis): boolean {
  const hasLeader = isLeader(replica) || now - replica.leaderLastSeenAt < replica.times.electionMs
  if (hasLeader) return false
  return request.term > replica.term && isUpToDate(replica, request)
}

function tryGrantVote (replica: Replica, from: HolderId, request: VoteRequest, now: Millis, out: ReplicaOutput): boolean {
  if (request.term < replica.term) return false
  if (replica.votedFor !== undefined && replica.votedFor !== from) return false
  if (!isUpToDate(replica, request)) return false
  replica.votedFor = from
  saveHardState(replica, out)
  resetElectionTimer(replica, now)
  return true
}

function isUpToDate (replica: Replica, request: VoteRequest): boolean {
  if (request.lastTerm !== lastTerm(replica)) return request.lastTerm > lastTerm(replica)
  return request.lastIndex >= lastIndex(replica)
}

/** Counts an answer to this copy's own request for votes or pre-votes. */
export function handleVoteAnswer (replica: Replica, from: HolderId, answer: VoteAnswer, now: Millis, out: ReplicaOutput): void {
  if (!answer.granted) return
  const expected = answer.pre ? 'preCandidate' : 'candidate'
  if (replica.role !== expected) return
  const term = answer.pre ? replica.term + 1 : replica.term
  if (answer.term !== term) return
  replica.votes.add(from)
  countVotes(replica, now, out)
}

/** Adopts a higher term and becomes a follower whose leader is not known yet. */
export function adoptTerm (replica: Replica, term: number, now: Millis, out: ReplicaOutput): void {
  if (isLeader(replica)) stepDown(replica, 'higherTerm', now, out)
  else applyRoleEvent(replica, 'higherTerm')
  replica.term = term
  replica.votedFor = undefined
  replica.leader = undefined
  saveHardState(replica, out)
}

/** Ends this copy's leadership and fails its pending reads. */
export function stepDown (replica: Replica, event: 'quorumLost' | 'higherTerm' | 'removed', now: Millis, out: ReplicaOutput): void {
  applyRoleEvent(replica, event)
  replica.leader = undefined
  out.failedReads.push(...replica.pendingReads.map(read => read.token))
  replica.pendingReads = []
  resetElectionTimer(replica, now)
}

/** Whether this copy's election timer has expired and it may request votes. */
export function isElectionDue (replica: Replica, now: Millis): boolean {
  return !isLeader(replica) && isVoter(replica) && now >= replica.electionDueAt
}
