/**
 * Agreement between control VMs: a replicated log with terms, pre-vote, quorum reads, snapshots,
 * learners and changes of members one at a time. No input or output: `stepReplica` is driven by
 * events and says what its host is to save, send and apply.
 */
export { createReplica, isLeader, isEstablishedLeader, isVoter, lastIndex, voters } from './internal.js'
export { stepReplica } from './internal.js'
export { createInitialSnapshot } from './internal.js'
export type { Replica, ReplicaSetup } from './internal.js'
export type { Entry, EntryBody, HardState, Member, Snapshot, StoredLog } from './internal.js'
export type { Envelope, Message, ReplicaOutput, ReplicaEvent, ReplicaTimes } from './internal.js'
