/** The state of the host of one copy of the log, and the small steps on it that need no running host. */
import { LynxError } from '@lynxcourse/base'
import type { HolderId, Incarnation, Millis, Random, VmId } from '@lynxcourse/base'
import { isEstablishedLeader } from '@lynxcourse/agreement'
import type { Entry, Replica, ReplicaEvent } from '@lynxcourse/agreement'
import type { CommandAnswer, Command, StateMachine, StateMachineCharts } from '@lynxcourse/state'
import type { LogStorage } from '../../plugins/logStorage.js'
import type { Logs } from '../../utils/logging.js'
import type { Metrics } from '../../utils/metrics.js'
import type { RpcClient } from '../rpc/rpcClient.js'

/** What a copy's host needs of the process around it. */
export interface ControlEnv {
  readonly vm: VmId
  /** Folder of this copy's files. */
  readonly folder: string
  readonly times: { readonly heartbeatMs: Millis, readonly electionMs: Millis, readonly rpcTimeoutMs: Millis }
  readonly logs: Logs
  readonly metrics: Metrics
  readonly random: Random
  readonly client: RpcClient
  /** Incarnation that an empty disk takes; random if left out. */
  readonly firstIncarnation: Incarnation | undefined
  /** RPC address of a control VM; undefined for one that may not take part. */
  getAddress: (vm: VmId) => string | undefined
  /** RPC addresses at which other control VMs may be found. */
  listPeerAddresses: () => string[]
}

/** A command that waits for its entry to be applied. */
export interface Pending {
  readonly command: Command
  readonly resolve: (answer: CommandAnswer) => void
  readonly reject: (err: LynxError) => void
}

interface Placed extends Pending {
  readonly term: number
}

/** A control VM's part of the daemon. */
export interface ControlHost extends AsyncDisposable {
  readonly env: ControlEnv
  storage: LogStorage
  readonly charts: StateMachineCharts
  /** Id of this disk's copy. */
  readonly id: HolderId
  incarnation: Incarnation
  cluster: string | undefined
  replica: Replica | undefined
  machine: StateMachine
  /**
   * When this follower had last applied all that the leader knew to be committed. The log's own moment is earlier: its
   * entries wait for the disk first, and a VM that answered by it would vouch for a state that it does not hold yet.
   */
  appliedUpToDateAt: Millis
  events: ReplicaEvent[]
  proposals: Pending[]
  placed: Map<number, Placed>
  readers: Map<number, { resolve: () => void, reject: (err: LynxError) => void }>
  nextReadToken: number
  busy: Promise<void> | undefined
  /** Why the copy stopped; it is opened again after a while. */
  failed: LynxError | undefined
  closed: boolean
  /** Called after entries were applied or the lead may have changed. */
  readonly progressListeners: Array<() => void>
}

/** Whether this VM leads and knows all that is committed. */
export function isLeading (host: ControlHost | undefined): boolean {
  return host?.replica !== undefined && isEstablishedLeader(host.replica)
}

export function failAll (host: ControlHost, err: LynxError): void {
  for (const pending of [...host.proposals, ...host.placed.values()]) pending.reject(err)
  for (const reader of host.readers.values()) reader.reject(err)
  host.proposals = []
  host.placed.clear()
  host.readers.clear()
}

export function answerPlaced (host: ControlHost, entry: Entry, answer: CommandAnswer): void {
  const placed = host.placed.get(entry.index)
  if (placed === undefined) return
  host.placed.delete(entry.index)
  if (placed.term === entry.term) placed.resolve(answer)
  else placed.reject(new LynxError('noQuorum', 'the lead changed before the entry was committed', { step: 'propose' }))
}

export function finishRead (host: ControlHost, token: number, err: LynxError | undefined): void {
  const reader = host.readers.get(token)
  host.readers.delete(token)
  if (err === undefined) reader?.resolve()
  else reader?.reject(err)
}

export function notLeader (host: ControlHost): LynxError {
  const leader = host.replica?.leader
  return new LynxError('notLeader', leader === undefined ? 'no leader is known' : `the leader is ${leader}`, { step: 'propose' })
}
