/** The state of the host of this VM's replica, with basic queries and updates. */
import { LynxError } from '@lynxcourse/base'
import type { HolderId, Incarnation, Millis, Random, VmId } from '@lynxcourse/base'
import { isEstablishedLeader } from '@lynxcourse/agreement'
import type { Entry, Envelope, Replica, ReplicaEvent } from '@lynxcourse/agreement'
import type { CommandAnswer, Command, StateMachine, StateMachineCharts } from '@lynxcourse/state'
import type { LogStorage } from '../../plugins/logStorage.js'
import { getCurrentTime } from '../../utils/clock.js'
import type { ByteBudget } from '../../utils/byteBudget.js'
import type { Logs } from '../../utils/logging.js'
import type { Metrics } from '../../utils/metrics.js'
import type { RpcClient } from '../rpc/rpcClient.js'

/** Dependencies of a `ControlHost` on its process. */
export interface ControlEnv {
  readonly vm: VmId
  /** Folder of the replica's files. */
  readonly folder: string
  readonly times: { readonly heartbeatMs: Millis, readonly electionMs: Millis, readonly rpcTimeoutMs: Millis }
  readonly logs: Logs
  readonly metrics: Metrics
  readonly random: Random
  readonly client: RpcClient
  /** Incarnation assigned to an empty data folder; random if undefined. */
  readonly firstIncarnation: Incarnation | undefined
  /** Returns the RPC address of a control VM; undefined for a VM that may not be a member. */
  getAddress: (vm: VmId) => string | undefined
  /** Returns the RPC addresses of the other control VMs. */
  listPeerAddresses: () => string[]
}

/** A command whose caller waits until its entry is applied. */
export interface PendingProposal {
  readonly command: Command
  readonly resolve: (answer: CommandAnswer) => void
  readonly reject: (err: LynxError) => void
}

/** An event that the replica has not processed yet, and the size of its message if that is counted. */
export interface QueuedEvent {
  readonly event: ReplicaEvent
  readonly bytes: number
}

/** A proposal whose entry is in the leader's log but not yet applied. */
interface AppendedProposal extends PendingProposal {
  readonly term: number
}

export interface HeardLeader {
  readonly id: HolderId
  readonly term: number
  readonly at: Millis
}

/** The control role of a daemon: the replica, its state machine, and the proposals and reads that wait for it. */
export interface ControlHost extends AsyncDisposable {
  readonly env: ControlEnv
  storage: LogStorage
  readonly charts: StateMachineCharts
  /** Member id of the replica: the VM and the incarnation of its data folder. */
  readonly id: HolderId
  incarnation: Incarnation
  cluster: string | undefined
  /** Undefined while the data folder belongs to no cluster, or after a failure. */
  replica: Replica | undefined
  machine: StateMachine
  /**
   * Time as of which every committed entry is applied here. For the replica this time advances sooner, because entries are synced
   * to disk before they are applied: a VM that answered by the replica's time would vouch for a state that it has not applied
   * yet.
   */
  appliedUpToDateAt: Millis
  /** When this replica last changed its role. */
  roleChangedAt: Millis
  /** The last leader whose entries or heartbeats arrived here, whether or not the replica has processed them. */
  heardLeader: HeardLeader | undefined
  events: QueuedEvent[]
  /** Sizes of the large messages in `events`. */
  readonly queuedBytes: ByteBudget
  proposals: PendingProposal[]
  /** By the index of their entries. */
  appendedProposals: Map<number, AppendedProposal>
  /** By token. */
  pendingReads: Map<number, { resolve: () => void, reject: (err: LynxError) => void }>
  nextReadToken: number
  busy: Promise<void> | undefined
  /** Why the replica stopped; undefined while it runs. A stopped replica is restarted after a delay. */
  failed: LynxError | undefined
  closed: boolean
  /** Whether this VM accepts no proposals because it hands its leadership over for a stop. */
  isResigning: boolean
  /** Listeners called after entries were applied, after a change of role, and when the state first becomes up to date. */
  readonly progressListeners: Array<() => void>
}

/**
 * Whether this VM is the leader and knows which entries are committed. While its disk stalls, the replica doesn't process
 * that another VM leads; proposals that it accepted meanwhile would time out.
 */
export function isLeading (host: ControlHost | undefined): boolean {
  return host?.replica !== undefined && isEstablishedLeader(host.replica) && !isSuperseded(host, host.replica)
}

function isSuperseded ({ heardLeader }: ControlHost, { term }: Replica): boolean {
  return heardLeader !== undefined && heardLeader.term > term
}

/** Number of election timeouts without a message from a leader after which a VM without a replica names it no more. */
const heardLeaderElectionTimeouts = 3

/**
 * Returns the leader that this VM knows. If its disk failed or stalls, that is the one that it last heard from, so that it
 * can still relay orders.
 */
export function findLeader (host: ControlHost, now: Millis): HolderId | undefined {
  const { replica, heardLeader, env } = host
  if (replica !== undefined && !isSuperseded(host, replica)) return replica.leader
  return heardLeader !== undefined && now - heardLeader.at < heardLeaderElectionTimeouts * env.times.electionMs ? heardLeader.id : undefined
}

/** Records that a message of a leader has arrived. */
export function recordHeardLeader (host: ControlHost, { from, cluster, message }: Envelope, now: Millis): void {
  if (cluster !== host.cluster || (message.type !== 'append' && message.type !== 'snapshot')) return
  if (message.term >= (host.heardLeader?.term ?? 0)) host.heardLeader = { id: from, term: message.term, at: now }
}

/** Rejects all waiting proposals and reads. */
export function rejectAll (host: ControlHost, err: LynxError): void {
  for (const pending of [...host.proposals, ...host.appendedProposals.values()]) pending.reject(err)
  for (const reader of host.pendingReads.values()) reader.reject(err)
  host.proposals = []
  host.appendedProposals.clear()
  host.pendingReads.clear()
}

/**
 * Resolves the proposal of an applied entry, if one was made here. Rejects it if the entry at its index has another term,
 * since another leader's entry then replaced it.
 */
export function resolveProposal (host: ControlHost, entry: Entry, answer: CommandAnswer): void {
  const proposal = host.appendedProposals.get(entry.index)
  if (proposal === undefined) return
  host.appendedProposals.delete(entry.index)
  if (proposal.term === entry.term) proposal.resolve(answer)
  else proposal.reject(new LynxError('noQuorum', 'the leader changed before the entry was committed', { step: 'propose' }))
}

/** Resolves a pending read, or rejects it if an error is given. */
export function finishRead (host: ControlHost, token: number, err: LynxError | undefined): void {
  const reader = host.pendingReads.get(token)
  host.pendingReads.delete(token)
  if (err === undefined) reader?.resolve()
  else reader?.reject(err)
}

/** Creates the error for a proposal or a read whose outcome is unknown, since no quorum answered in time. */
export function createNoQuorumError (timeoutMs: Millis, step: string): LynxError {
  return new LynxError('noQuorum', `no quorum within ${timeoutMs} ms`, { step })
}

/** Creates the error for a call that only the leader can answer. */
export function createNotLeaderError (host: ControlHost): LynxError {
  const leader = findLeader(host, getCurrentTime())
  return new LynxError('notLeader', leader === undefined ? 'no leader is known' : `the leader is ${leader}`, { step: 'propose' })
}
