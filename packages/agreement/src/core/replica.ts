/** The state of one copy of the replicated log and the small questions asked of it. */
import type { Chart, HolderId, Millis, Random } from '@lynxcourse/base'
import { nextState } from '@lynxcourse/base'
import type { Entry, Member, Snapshot, StoredLog } from '../types/log.js'
import type { Envelope, Message, ReplicaOutput, ReplicaTimes } from '../types/messages.js'

/** What the leader knows of one other member. */
export interface Progress {
  /** Next index to send; runs ahead of `match` while answers are under way. */
  next: number
  match: number
  ackedRound: number
  heardAt: Millis
  /** When a snapshot was last sent, so that a slow copy isn't sent one with each heartbeat. */
  snapshotSentAt: Millis
}

/** A read that waits for its round to be confirmed by a quorum. */
export interface PendingRead {
  readonly token: number
  readonly round: number
}

/** One copy of the log. Plain data: every function here takes it first. */
export interface Replica {
  readonly id: HolderId
  readonly cluster: string
  readonly chart: Chart
  readonly times: ReplicaTimes
  readonly random: Random
  role: string
  term: number
  votedFor: HolderId | undefined
  leader: HolderId | undefined
  snapshot: Snapshot
  entries: Entry[]
  /** Members by the newest members entry in the log, committed or not. */
  members: readonly Member[]
  membersIndex: number
  commit: number
  /** Last index that is synced on this disk. */
  synced: number
  electionAt: Millis
  leaderHeardAt: Millis
  /** The copy that was last told that it would get this one's vote, and when. */
  preVotedFor: HolderId | undefined
  preVotedAt: Millis
  /** When this follower last held all that the leader knew to be committed. */
  upToDateAt: Millis
  votes: Set<HolderId>
  progress: Map<HolderId, Progress>
  heartbeatAt: Millis
  round: number
  /** Send times of rounds not yet confirmed; the index in the array is `round - firstRound`. */
  roundSentAt: Millis[]
  firstRound: number
  /** Send time of the newest round that a quorum answered. */
  quorumConfirmedAt: Millis
  confirmedRound: number
  /** Index of this term's first entry: once committed, all before it is known to be committed. */
  termStart: number
  reads: PendingRead[]
  joining: Set<HolderId>
}

/** What a copy needs to start. */
export interface ReplicaSetup {
  readonly id: HolderId
  readonly cluster: string
  readonly chart: Chart
  readonly times: ReplicaTimes
  readonly random: Random
  readonly stored: StoredLog
}

/**
 * When a copy that starts asks for votes, in heartbeats: the first voter soon, each next one this much later, so that the first
 * one's question reaches it before it asks itself.
 */
const firstAskHeartbeats = 0.25
const rankHeartbeats = 0.5
/** Time until such a copy asks again, in heartbeats: others of its age may not have listened yet. */
const startRetryHeartbeats = 2

/** Makes a copy of the log from what its disk holds. */
export function createReplica (setup: ReplicaSetup, now: Millis): Replica {
  const { stored } = setup
  const replica: Replica = {
    id: setup.id,
    cluster: setup.cluster,
    chart: setup.chart,
    times: setup.times,
    random: setup.random,
    role: setup.chart.initial,
    term: stored.hardState.term,
    votedFor: stored.hardState.votedFor,
    leader: undefined,
    snapshot: stored.snapshot,
    entries: [...stored.entries],
    members: stored.snapshot.members,
    membersIndex: stored.snapshot.index,
    commit: stored.snapshot.index,
    synced: 0,
    electionAt: 0,
    leaderHeardAt: -Infinity,
    preVotedFor: undefined,
    preVotedAt: -Infinity,
    upToDateAt: -Infinity,
    votes: new Set(),
    progress: new Map(),
    heartbeatAt: 0,
    round: 0,
    roundSentAt: [],
    firstRound: 1,
    quorumConfirmedAt: -Infinity,
    confirmedRound: 0,
    termStart: 0,
    reads: [],
    joining: new Set()
  }
  replica.synced = lastIndex(replica)
  refreshMembers(replica)
  // A copy that starts asks for votes soon: where all copies start together nobody has anything to wait for, and a
  // pre-vote disturbs no leader that lives.
  replica.electionAt = now + setup.times.heartbeatMs * (firstAskHeartbeats + rankHeartbeats * rankOf(replica))
  return replica
}

/** Place of this copy among the voters, which all copies see alike; 0 where it is no voter. */
function rankOf (replica: Replica): number {
  return Math.max(0, voters(replica).sort().indexOf(replica.id))
}

/** Whether this copy has heard of no leader since its start. */
function isStarting (replica: Replica): boolean {
  return replica.leaderHeardAt === -Infinity
}

/** Moves the role by the chart. */
export function takeRoleEvent (replica: Replica, event: string): void {
  replica.role = nextState(replica.chart, replica.role, event)
}

/** Whether this copy leads, as far as it knows. */
export function isLeader (replica: Replica): boolean {
  return replica.role === 'leader'
}

/**
 * Whether this copy leads and has committed an entry of its own term. Before that it may not know
 * that older entries are committed, so it must neither answer reads nor change members.
 */
export function isEstablishedLeader (replica: Replica): boolean {
  return isLeader(replica) && replica.commit >= replica.termStart
}

export function lastIndex (replica: Replica): number {
  return replica.snapshot.index + replica.entries.length
}

export function lastTerm (replica: Replica): number {
  return termAt(replica, lastIndex(replica)) ?? 0
}

/** Term of the entry at an index; undefined where the log has none or has dropped it. */
export function termAt (replica: Replica, index: number): number | undefined {
  if (index === replica.snapshot.index) return replica.snapshot.term
  return entryAt(replica, index)?.term
}

export function entryAt (replica: Replica, index: number): Entry | undefined {
  return replica.entries[index - replica.snapshot.index - 1]
}

/** Time stamp of the newest entry; later entries never go below it. */
export function lastAt (replica: Replica): Millis {
  return replica.entries.at(-1)?.at ?? replica.snapshot.at
}

export function voters (replica: Replica): HolderId[] {
  return replica.members.filter(member => member.voter).map(member => member.id)
}

export function isVoter (replica: Replica): boolean {
  return replica.members.some(member => member.id === replica.id && member.voter)
}

/** How many voters make a quorum. */
export function quorumSize (replica: Replica): number {
  return Math.floor(voters(replica).length / 2) + 1
}

/** The greatest value that a quorum of voters has reached. */
export function reachedByQuorum (replica: Replica, valueOf: (id: HolderId) => number): number {
  const values = voters(replica).map(valueOf).sort((a, b) => b - a)
  return values[quorumSize(replica) - 1] ?? 0
}

/** Finds the newest members entry; needed at start and after entries were cut off. */
export function refreshMembers (replica: Replica): void {
  replica.members = replica.snapshot.members
  replica.membersIndex = replica.snapshot.index
  for (const entry of replica.entries) {
    if (entry.body.type === 'members') {
      replica.members = entry.body.members
      replica.membersIndex = entry.index
    }
  }
}

/**
 * Draws the time of the next election: between one and two election time-outs from now, and soon, in the order of the
 * voters, where this copy has heard of no leader since its start.
 */
export function resetElection (replica: Replica, now: Millis): void {
  const { electionMs, heartbeatMs } = replica.times
  const chance = replica.random()
  const waitMs = isStarting(replica)
    ? heartbeatMs * (startRetryHeartbeats + rankHeartbeats * (rankOf(replica) + chance))
    : electionMs * (1 + chance)
  replica.electionAt = now + Math.floor(waitMs)
}

/** Draws the time at which a vote that was not won counts as lost; half a time-out covers a way there and back and a sync. */
export function awaitVotes (replica: Replica, now: Millis): void {
  replica.electionAt = now + Math.floor(replica.times.electionMs * (0.5 + replica.random() / 2))
}

export function emptyOutput (): ReplicaOutput {
  return {
    hardState: undefined,
    entries: [],
    snapshot: undefined,
    installSnapshot: false,
    messages: [],
    committed: [],
    confirmedReads: [],
    failedReads: [],
    proposed: []
  }
}

export function send (replica: Replica, out: ReplicaOutput, to: HolderId, message: Message): void {
  const envelope: Envelope = { cluster: replica.cluster, from: replica.id, to, message }
  out.messages.push(envelope)
}

/** Notes that term or vote changed, for the host to sync before anything is sent. */
export function saveHardState (replica: Replica, out: ReplicaOutput): void {
  out.hardState = { term: replica.term, votedFor: replica.votedFor }
}

/** Hands the entries up to `commit` to the host. */
export function commitTo (replica: Replica, commit: number, out: ReplicaOutput): void {
  for (let index = replica.commit + 1; index <= commit; index++) {
    const entry = entryAt(replica, index)
    if (entry !== undefined) out.committed.push(entry)
  }
  replica.commit = Math.max(replica.commit, commit)
}
