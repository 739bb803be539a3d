/** Elections: pre-vote, vote and stepping down. */
import type { HolderId, Millis } from '@lynxcourse/base'
import type { ReplicaOutput, VoteAnswer, VoteRequest } from '../types/messages.js'
import { appendOwn, broadcast } from './leaderReplication.js'
import {
  awaitVotes, isLeader, isVoter, lastIndex, lastTerm, quorumSize, resetElection, saveHardState, send, takeRoleEvent, voters
} from './replica.js'
import type { Replica } from './replica.js'

/**
 * How long a copy keeps a pre-vote for the one that it was given to, in heartbeats: a way there and back, and the vote after it.
 *
 * What can go wrong: all copies start at one moment, several win their pre-votes within some milliseconds, and the votes of the
 * same term are split among them. It shows as candidates of one term at several VMs and no leader for another time-out. A pre-vote
 * that is kept for one copy lets only one of them win a quorum.
 */
const keepPreVoteHeartbeats = 1.25

/**
 * Starts a pre-vote. A copy that was cut off would otherwise come back with a high term and force
 * the working leader to step down; the pre-vote raises no term until a quorum says it would vote.
 */
export function startPreVote (replica: Replica, now: Millis, out: ReplicaOutput): void {
  takeRoleEvent(replica, 'electionDue')
  resetElection(replica, now)
  replica.leader = undefined
  replica.votes = new Set([replica.id])
  keepPreVote(replica, replica.id, now)
  askForVotes(replica, true, out)
  checkVotes(replica, now, out)
}

function startVote (replica: Replica, now: Millis, out: ReplicaOutput): void {
  takeRoleEvent(replica, 'preVotesWon')
  replica.term += 1
  replica.votedFor = replica.id
  replica.votes = new Set([replica.id])
  awaitVotes(replica, now)
  saveHardState(replica, out)
  askForVotes(replica, false, out)
  checkVotes(replica, now, out)
}

function askForVotes (replica: Replica, pre: boolean, out: ReplicaOutput): void {
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

function checkVotes (replica: Replica, now: Millis, out: ReplicaOutput): void {
  const won = voters(replica).filter(voter => replica.votes.has(voter)).length >= quorumSize(replica)
  if (!won) return
  if (replica.role === 'preCandidate') startVote(replica, now, out)
  else if (replica.role === 'candidate') startLeading(replica, now, out)
}

function startLeading (replica: Replica, now: Millis, out: ReplicaOutput): void {
  takeRoleEvent(replica, 'votesWon')
  replica.leader = replica.id
  replica.progress = new Map()
  replica.round = 0
  replica.firstRound = 1
  replica.roundSentAt = []
  replica.confirmedRound = 0
  replica.quorumConfirmedAt = now
  replica.reads = []
  replica.joining = new Set()
  // The first entry of the term: older entries count as committed only below one of our own term,
  // since a copy with a longer log of a higher term could still overwrite them.
  replica.termStart = lastIndex(replica) + 1
  appendOwn(replica, { type: 'noop' }, now, out)
  broadcast(replica, now, out)
}

/** Answers a request for a vote or a pre-vote. */
export function answerVote (replica: Replica, from: HolderId, request: VoteRequest, now: Millis, out: ReplicaOutput): void {
  const granted = request.pre ? givePreVote(replica, from, request, now) : giveVote(replica, from, request, now, out)
  const term = request.pre && granted ? request.term : replica.term
  send(replica, out, from, { type: 'voteAnswer', pre: request.pre, term, granted })
}

function givePreVote (replica: Replica, from: HolderId, request: VoteRequest, now: Millis): boolean {
  if (!wouldVote(replica, request, now) || isPreVoteKept(replica, from, now)) return false
  keepPreVote(replica, from, now)
  // The other one is about to win: a pre-vote of this copy's own would only hold votes back from it.
  replica.electionAt = Math.max(replica.electionAt, now + keptMs(replica))
  return true
}

function keepPreVote (replica: Replica, id: HolderId, now: Millis): void {
  replica.preVotedFor = id
  replica.preVotedAt = now
}

function isPreVoteKept (replica: Replica, from: HolderId, now: Millis): boolean {
  return replica.preVotedFor !== from && now - replica.preVotedAt < keptMs(replica)
}

function keptMs (replica: Replica): Millis {
  return replica.times.heartbeatMs * keepPreVoteHeartbeats
}

function wouldVote (replica: Replica, request: VoteRequest, now: Millis): boolean {
  const hasLeader = isLeader(replica) || now - replica.leaderHeardAt < replica.times.electionMs
  if (hasLeader) return false
  return request.term > replica.term && isUpToDate(replica, request)
}

function giveVote (replica: Replica, from: HolderId, request: VoteRequest, now: Millis, out: ReplicaOutput): boolean {
  if (request.term < replica.term) return false
  if (replica.votedFor !== undefined && replica.votedFor !== from) return false
  if (!isUpToDate(replica, request)) return false
  replica.votedFor = from
  saveHardState(replica, out)
  resetElection(replica, now)
  return true
}

function isUpToDate (replica: Replica, request: VoteRequest): boolean {
  if (request.lastTerm !== lastTerm(replica)) return request.lastTerm > lastTerm(replica)
  return request.lastIndex >= lastIndex(replica)
}

/** Counts an answer to our own request for votes. */
export function takeVoteAnswer (replica: Replica, from: HolderId, answer: VoteAnswer, now: Millis, out: ReplicaOutput): void {
  if (!answer.granted) return
  const expected = answer.pre ? 'preCandidate' : 'candidate'
  if (replica.role !== expected) return
  const term = answer.pre ? replica.term + 1 : replica.term
  if (answer.term !== term) return
  replica.votes.add(from)
  checkVotes(replica, now, out)
}

/** Takes over a higher term as a follower of nobody yet. */
export function adoptTerm (replica: Replica, term: number, now: Millis, out: ReplicaOutput): void {
  if (isLeader(replica)) stopLeading(replica, 'higherTerm', now, out)
  else takeRoleEvent(replica, 'higherTerm')
  replica.term = term
  replica.votedFor = undefined
  replica.leader = undefined
  saveHardState(replica, out)
}

/** Gives up the lead; reads that wait can't be answered here any more. */
export function stopLeading (replica: Replica, event: 'quorumLost' | 'higherTerm' | 'removed', now: Millis, out: ReplicaOutput): void {
  takeRoleEvent(replica, event)
  replica.leader = undefined
  out.failedReads.push(...replica.reads.map(read => read.token))
  replica.reads = []
  resetElection(replica, now)
}

/** Whether it is time for this copy to ask for votes. */
export function isElectionDue (replica: Replica, now: Millis): boolean {
  return !isLeader(replica) && isVoter(replica) && now >= replica.electionAt
}
