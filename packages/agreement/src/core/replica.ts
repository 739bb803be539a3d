/** The state of one copy of the replicated log, with basic queries and updates. */
import type { Chart, HolderId, Millis, Random } from '@lynxcourse/base'
import { nextState } from '@lynxcourse/base'
import type { Entry, Member, Snapshot, StoredLog } from '../types/log.js'
import type { Envelope, Message, ReplicaOutput, ReplicaTimes } from '../types/messages.js'
import type { EntryTransfer, IncomingEntry, IncomingSnapshot, Transfer } from '../types/transfer.js'

/** Replication progress of one other member, as the leader tracks it. */
export interface Progress {
  /** Next index to send; greater than `sentFrom` while appends are in flight. */
  next: number
  /** Index of the first entry that was sent and not yet acknowledged. */
  sentFrom: number
  /** Size of the entries in one message, in characters; smaller after lost messages. */
  messageSize: number
  /** When the first of the entries in flight was sent, or the last acknowledgement of entries arrived. */
  waitingSince: Millis
  /** Last index known to be synced by the member. */
  match: number
  ackedRound: number
  /** `at` of the member's last answer; undefined before the first. */
  answeredAt: Millis | undefined
  lastSeenAt: Millis
  /** The snapshot that the member is being sent; undefined if it has what comes before the leader's log. */
  transfer: Transfer | undefined
  /** The entry that the member is being sent in parts. */
  entryTransfer: EntryTransfer | undefined
  /** False once the member has refused a part of an entry. */
  readsParts: boolean
}

/** A read that is pending until a quorum confirms its round. */
export interface PendingRead {
  readonly token: number
  readonly round: number
}

/** One copy of the log. Plain data: functions of this package take it as their first parameter. */
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
  /** Members according to the newest members entry in the log, whether committed or not. */
  members: readonly Member[]
  membersIndex: number
  commit: number
  /** Last index that is synced to this copy's disk. */
  syncedIndex: number
  electionDueAt: Millis
  leaderLastSeenAt: Millis
  /** The candidate that last received a pre-vote from this copy, and when. */
  preVotedFor: HolderId | undefined
  preVotedAt: Millis
  /** Time as of which this follower has every committed entry; -Infinity if it can't tell. */
  upToDateAt: Millis
  readonly startedAt: Millis
  lastTickAt: Millis
  /** When this copy last went on after it had processed nothing for long. */
  resumedAt: Millis
  votes: Set<HolderId>
  progress: Map<HolderId, Progress>
  nextHeartbeatAt: Millis
  round: number
  /** Send times of unconfirmed rounds; the array index is `round - firstUnconfirmedRound`. */
  unconfirmedRoundSentAt: Millis[]
  firstUnconfirmedRound: number
  /** Send time of the newest round that a quorum confirmed. */
  quorumConfirmedAt: Millis
  confirmedRound: number
  /** Index of this term's first entry: once it is committed, all earlier entries are known to be committed. */
  termStartIndex: number
  pendingReads: PendingRead[]
  /** The snapshot that arrives from the leader in parts. */
  incoming: IncomingSnapshot | undefined
  /** The entry that arrives from the leader in parts. */
  incomingEntry: IncomingEntry | undefined
  joinRequests: Set<HolderId>
}

/** Parameters of `createReplica`. */
export interface ReplicaSetup {
  readonly id: HolderId
  readonly cluster: string
  readonly chart: Chart
  readonly times: ReplicaTimes
  readonly random: Random
  readonly stored: StoredLog
}

/**
 * Delay of the first election after a start, in heartbeat intervals. Each voter adds one rank delay per rank, so that the
 * request of a lower-ranked voter arrives before the next voter's own election is due.
 */
const firstElectionDelayHeartbeats = 0.25
const rankDelayHeartbeats = 0.5
/** Delay until a starting copy requests votes again, in heartbeat intervals: other copies may not have been listening yet. */
const startupRetryHeartbeats = 2

/** Creates a copy of the log from its stored state. */
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
    syncedIndex: 0,
    electionDueAt: 0,
    leaderLastSeenAt: -Infinity,
    preVotedFor: undefined,
    preVotedAt: -Infinity,
    upToDateAt: -Infinity,
    startedAt: now,
    lastTickAt: now,
    resumedAt: now,
    votes: new Set(),
    progress: new Map(),
    nextHeartbeatAt: 0,
    round: 0,
    unconfirmedRoundSentAt: [],
    firstUnconfirmedRound: 1,
    quorumConfirmedAt: -Infinity,
    confirmedRound: 0,
    termStartIndex: 0,
    pendingReads: [],
    incoming: undefined,
    incomingEntry: undefined,
    joinRequests: new Set()
  }
  replica.syncedIndex = lastIndex(replica)
  refreshMembers(replica)
  // A starting copy requests votes early: if all copies start together, there is no leader to wait for, and a pre-vote
  // doesn't affect a working leader.
  replica.electionDueAt = now + setup.times.heartbeatMs * (firstElectionDelayHeartbeats + rankDelayHeartbeats * getVoterRank(replica))
  return replica
}

/** Returns the time as of which this copy has every committed entry; -Infinity if it can't tell. */
export function getUpToDateAt (replica: Replica): Millis {
  const { quorumConfirmedAt, upToDateAt } = replica
  return isEstablishedLeader(replica) ? Math.max(upToDateAt, quorumConfirmedAt) : upToDateAt
}

/** Returns the rank of this copy among the voters sorted by id, equal on all copies; 0 if this copy is not a voter. */
function getVoterRank (replica: Replica): number {
  return Math.max(0, voters(replica).sort().indexOf(replica.id))
}

/** Whether this copy has received nothing from a leader since its start. */
function hasNeverSeenLeader (replica: Replica): boolean {
  return replica.leaderLastSeenAt === -Infinity
}

/** Changes the role by the transition that the chart defines for an event. */
export function applyRoleEvent (replica: Replica, event: string): void {
  replica.role = nextState(replica.chart, replica.role, event)
}

/** Whether this copy is in the leader role; it may have been superseded without knowing yet. */
export function isLeader (replica: Replica): boolean {
  return replica.role === 'leader'
}

/**
 * Whether this copy is the leader and has committed an entry of its own term. Before that, it may not know which older
 * entries are committed, so it must neither answer reads nor change members.
 */
export function isEstablishedLeader (replica: Replica): boolean {
  return isLeader(replica) && replica.commit >= replica.termStartIndex
}

export function lastIndex (replica: Replica): number {
  return replica.snapshot.index + replica.entries.length
}

export function lastTerm (replica: Replica): number {
  return termAt(replica, lastIndex(replica)) ?? 0
}

/** Returns the term of the entry at an index; undefined if the log has no such entry or has compacted it. */
export function termAt (replica: Replica, index: number): number | undefined {
  if (index === replica.snapshot.index) return replica.snapshot.term
  return entryAt(replica, index)?.term
}

export function entryAt (replica: Replica, index: number): Entry | undefined {
  return replica.entries[index - replica.snapshot.index - 1]
}

/** Returns the timestamp of the newest entry; later entries never have a lower one. */
export function lastEntryAt (replica: Replica): Millis {
  return replica.entries.at(-1)?.at ?? replica.snapshot.at
}

export function voters (replica: Replica): HolderId[] {
  return replica.members.filter(member => member.voter).map(member => member.id)
}

export function isVoter (replica: Replica): boolean {
  return replica.members.some(member => member.id === replica.id && member.voter)
}

/** Returns the number of voters that form a quorum. */
export function quorumSize (replica: Replica): number {
  return Math.floor(voters(replica).length / 2) + 1
}

/** Returns the greatest value that a quorum of voters has reached. */
export function maxReachedByQuorum (replica: Replica, getValue: (id: HolderId) => number): number {
  const values = voters(replica).map(getValue).sort((a, b) => b - a)
  return values[quorumSize(replica) - 1] ?? 0
}

/** Updates the members from the newest members entry; needed at start and after the log was truncated or replaced. */
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
 * Draws the time of the next election: one to two election timeouts from now, or earlier and staggered by voter rank if
 * this copy has received nothing from a leader since its start.
 */
export function resetElectionTimer (replica: Replica, now: Millis): void {
  const { electionMs, heartbeatMs } = replica.times
  const jitter = replica.random()
  const delayMs = hasNeverSeenLeader(replica)
    ? heartbeatMs * (startupRetryHeartbeats + rankDelayHeartbeats * (getVoterRank(replica) + jitter))
    : electionMs * (1 + jitter)
  replica.electionDueAt = now + Math.floor(delayMs)
}

/** Draws the time at which an undecided vote counts as lost; half an election timeout covers a round trip and a sync. */
export function startVoteTimeout (replica: Replica, now: Millis): void {
  replica.electionDueAt = now + Math.floor(replica.times.electionMs * (0.5 + replica.random() / 2))
}

export function createOutput (): ReplicaOutput {
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

/** Asks the host to save term and vote, and to sync them before it sends any message. */
export function saveHardState (replica: Replica, out: ReplicaOutput): void {
  out.hardState = { term: replica.term, votedFor: replica.votedFor }
}

/** Raises the commit index to `commit` and hands the newly committed entries to the host. */
export function commitUpTo (replica: Replica, commit: number, out: ReplicaOutput): void {
  for (let index = replica.commit + 1; index <= commit; index++) {
    const entry = entryAt(replica, index)
    if (entry !== undefined) out.committed.push(entry)
  }
  replica.commit = Math.max(replica.commit, commit)
}
