/**
 * Consensus between control VMs: a replicated log with terms, pre-votes, quorum reads, snapshots,
 * learners and single-member membership changes. The package performs no input or output: `stepReplica`
 * processes an event and returns what its host must save, send and apply.
 */
export { createReplica, getEntrySize, getEntryText, getUpToDateAt, isLeader, isEstablishedLeader, isTransferring, isVoter, lastIndex, voters } from './internal.js'
export { stepReplica } from './internal.js'
export { createInitialSnapshot, hasData } from './internal.js'
export type { Replica, ReplicaSetup } from './internal.js'
export type { Entry, EntryBody, HardState, Member, Snapshot, StoredLog } from './internal.js'
export type { Envelope, Message, ReplicaOutput, ReplicaEvent, ReplicaTimes } from './internal.js'
