/**
 * Hosts one copy of the replicated log: feeds it events one after the other, saves and syncs what it
 * asks for, then sends and applies. Proposals that arrive during a sync share the next one.
 */
import { join } from 'node:path'
import { LynxError, holderOf, isLynxError, loadChart, messageOf, vmOfHolder } from '@lynxcourse/base'
import type { HolderId, Incarnation } from '@lynxcourse/base'
import { createReplica, firstSnapshot, isSettledLeader, stepReplica } from '@lynxcourse/agreement'
import type { Entry, Envelope, HardState, Output, Replica, ReplicaEvent, Snapshot } from '@lynxcourse/agreement'
import { applyEntry, createMachine, readMachine, writeMachine } from '@lynxcourse/state'
import type { Answer, Command, Machine, MachineCharts } from '@lynxcourse/state'
import { randomUUID } from 'node:crypto'
import { openStorage, readIdentity, saveOutput, writeIdentity, writeSnapshot } from '../../plugins/logStorage.js'
import type { LogStorage } from '../../plugins/logStorage.js'
import { presentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { seedAddress } from '../node/node.js'
import type { Node } from '../node/node.js'
import { callPeer } from '../rpc/rpcClient.js'

interface Pending {
  readonly command: Command
  readonly resolve: (answer: Answer) => void
  readonly reject: (err: LynxError) => void
}

interface Placed extends Pending {
  readonly term: number
}

/** A control VM's part of the daemon. */
export interface ControlHost extends AsyncDisposable {
  readonly node: Node
  readonly storage: LogStorage
  readonly charts: MachineCharts
  /** Id of this disk's copy. */
  readonly id: HolderId
  incarnation: Incarnation
  cluster: string | undefined
  replica: Replica | undefined
  machine: Machine
  events: ReplicaEvent[]
  proposals: Pending[]
  placed: Map<number, Placed>
  readers: Map<number, { resolve: () => void, reject: (err: LynxError) => void }>
  nextToken: number
  busy: Promise<void> | undefined
  failed: LynxError | undefined
  /** Called after entries were applied or the lead may have changed. */
  readonly onProgress: Array<() => void>
}

/** Entries kept in the log before it is replaced by a snapshot. */
const snapshotEvery = 5000

/** Most proposals that wait; over it new ones are refused at once. */
const maxProposals = 10_000

/** Opens the data folder and starts the copy that it holds, if any. */
export async function openControl (node: Node): Promise<ControlHost> {
  const folder = join(node.cfg.dataFolder ?? '.', node.cfg.vm)
  const { storage, stored } = await openStorage(folder)
  const identity = await readIdentity(folder)
  const incarnation = (identity?.incarnation ?? randomUUID().slice(0, 8)) as Incarnation
  const charts = { claim: loadChart('claim'), drain: loadChart('drain'), shift: loadChart('shift') }
  const host: ControlHost = {
    node,
    storage,
    charts,
    id: holderOf(node.cfg.vm, incarnation),
    incarnation,
    cluster: identity?.cluster,
    replica: undefined,
    machine: createMachine(charts),
    events: [],
    proposals: [],
    placed: new Map(),
    readers: new Map(),
    nextToken: 1,
    busy: undefined,
    failed: undefined,
    onProgress: [],
    [Symbol.asyncDispose]: async () => await closeControl(host)
  }
  if (identity === undefined) await writeIdentity(storage, { incarnation, cluster: undefined })
  if (host.cluster !== undefined && stored !== undefined) {
    startReplica(host, stored.snapshot, stored.hardState, stored.entries)
  }
  return host
}

function startReplica (host: ControlHost, snapshot: Snapshot, hardState: HardState, entries: readonly Entry[]): void {
  const { heartbeatMs, electionMs } = host.node.cfg.times
  host.machine = readMachine(host.charts, snapshot.data)
  host.replica = createReplica({
    id: host.id,
    cluster: host.cluster ?? '',
    chart: loadChart('agreementRole'),
    times: { heartbeatMs, electionMs },
    random: host.node.random,
    stored: { hardState, snapshot, entries }
  }, presentTime())
  log(host.node.logs, 'agree', 'info', 'Copy of the log started.', { id: host.id, cluster: host.cluster, entries: entries.length, snapshot: snapshot.index })
}

async function closeControl (host: ControlHost): Promise<void> {
  host.failed ??= new LynxError('notLeader', 'this VM stops', { step: 'stop' })
  await host.busy
  failAll(host, host.failed)
  await host.storage[Symbol.asyncDispose]()
}

/** Whether this disk belongs to no cluster yet. */
export function isBlank (host: ControlHost): boolean {
  return host.replica === undefined
}

/**
 * Makes this blank disk a first voter of a new cluster.
 *
 * @throws LynxError when the disk belongs to a cluster, or the voters name another life of it
 */
export async function initCluster (host: ControlHost, cluster: string, voters: readonly HolderId[]): Promise<void> {
  if (!isBlank(host)) throw new LynxError('badRequest', `this VM belongs to cluster ${host.cluster}`, { step: 'init', field: 'cluster' })
  if (!voters.includes(host.id)) throw new LynxError('badRequest', `voters do not name ${host.id}`, { step: 'init', field: 'voters' })
  await adoptCluster(host, cluster, firstSnapshot(voters, ''))
}

/** Makes this blank disk a copy of a running cluster; the leader adds it as a learner. */
export async function joinCluster (host: ControlHost, cluster: string): Promise<void> {
  await adoptCluster(host, cluster, firstSnapshot([], ''))
}

async function adoptCluster (host: ControlHost, cluster: string, snapshot: Snapshot): Promise<void> {
  if (!isBlank(host)) return
  await writeSnapshot(host.storage, snapshot)
  await writeIdentity(host.storage, { incarnation: host.incarnation, cluster })
  host.cluster = cluster
  startReplica(host, snapshot, { term: 0, votedFor: undefined }, [])
}

/** Feeds an event in. */
export function feed (host: ControlHost, event: ReplicaEvent): void {
  if (host.replica === undefined || host.failed !== undefined) return
  host.events.push(event)
  wake(host)
}

function wake (host: ControlHost): void {
  if (host.busy !== undefined) return
  host.busy = runEvents(host)
    .catch((err: unknown) => failHost(host, err))
    .then(() => {
      host.busy = undefined
      if (host.events.length > 0 || host.proposals.length > 0) wake(host)
    })
}

/** A disk that can't be written can't vouch for anything: this copy stops, the VM serves on. */
function failHost (host: ControlHost, err: unknown): void {
  host.failed = isLynxError(err) ? err : new LynxError('diskFailed', messageOf(err), { step: 'save', cause: err })
  host.replica = undefined
  host.events = []
  log(host.node.logs, 'agree', 'error', 'Copy of the log stopped.', { error: host.failed.message, step: host.failed.step })
  failAll(host, host.failed)
}

function failAll (host: ControlHost, err: LynxError): void {
  for (const pending of [...host.proposals, ...host.placed.values()]) pending.reject(err)
  for (const reader of host.readers.values()) reader.reject(err)
  host.proposals = []
  host.placed.clear()
  host.readers.clear()
}

async function runEvents (host: ControlHost): Promise<void> {
  while (host.replica !== undefined && (host.events.length > 0 || host.proposals.length > 0)) {
    const event = host.events.shift()
    if (event !== undefined) await runStep(host, host.replica, event)
    else await runProposals(host, host.replica)
  }
}

async function runProposals (host: ControlHost, replica: Replica): Promise<void> {
  const batch = host.proposals
  host.proposals = []
  const out = stepReplica(replica, { type: 'propose', commands: batch.map(pending => pending.command) }, presentTime())
  batch.forEach((pending, place) => {
    const position = out.proposed[place]
    if (position === undefined) pending.reject(notLeader(host))
    else host.placed.set(position.index, { ...pending, term: position.term })
  })
  await carryOut(host, replica, out)
}

async function runStep (host: ControlHost, replica: Replica, event: ReplicaEvent): Promise<void> {
  const roleBefore = replica.role
  const out = stepReplica(replica, event, presentTime())
  await carryOut(host, replica, out)
  if (replica.role !== roleBefore) {
    log(host.node.logs, 'agree', 'info', 'Role changed.', { from: roleBefore, to: replica.role, term: replica.term })
    for (const listener of host.onProgress) listener()
  }
}

async function carryOut (host: ControlHost, replica: Replica, out: Output): Promise<void> {
  const needsSync = out.hardState !== undefined || out.entries.length > 0 || out.snapshot !== undefined
  if (needsSync) {
    await saveOutput(host.storage, out, replica.entries)
    host.node.metrics.diskSyncs.inc()
  }
  sendAll(host, out.messages)
  if (out.install && out.snapshot !== undefined) host.machine = readMachine(host.charts, out.snapshot.data)
  applyAll(host, out)
  if (!needsSync) return
  const after = stepReplica(replica, { type: 'synced' }, presentTime())
  sendAll(host, after.messages)
  applyAll(host, after)
  await compactIfLong(host, replica)
}

function sendAll (host: ControlHost, messages: readonly Envelope[]): void {
  for (const envelope of messages) {
    const address = seedAddress(host.node, vmOfHolder(envelope.to))
    // Messages may be lost: the log's own rounds repeat whatever matters.
    if (address !== undefined) callPeer(host.node.client, address, 'log.message', envelope).catch(() => undefined)
  }
}

function applyAll (host: ControlHost, out: Output): void {
  for (const entry of out.committed) {
    const answer = applyEntry(host.machine, entry)
    answerPlaced(host, entry, answer)
  }
  for (const token of out.reads) finishRead(host, token, undefined)
  for (const token of out.failedReads) finishRead(host, token, notLeader(host))
  if (out.committed.length > 0) for (const listener of host.onProgress) listener()
}

function answerPlaced (host: ControlHost, entry: Entry, answer: Answer): void {
  const placed = host.placed.get(entry.index)
  if (placed === undefined) return
  host.placed.delete(entry.index)
  if (placed.term === entry.term) placed.resolve(answer)
  else placed.reject(new LynxError('noQuorum', 'the lead changed before the entry was committed', { step: 'propose' }))
}

function finishRead (host: ControlHost, token: number, err: LynxError | undefined): void {
  const reader = host.readers.get(token)
  host.readers.delete(token)
  if (err === undefined) reader?.resolve()
  else reader?.reject(err)
}

async function compactIfLong (host: ControlHost, replica: Replica): Promise<void> {
  if (host.machine.applied - replica.snapshot.index < snapshotEvery) return
  const out = stepReplica(replica, { type: 'compact', index: host.machine.applied, data: writeMachine(host.machine) }, presentTime())
  if (out.snapshot === undefined) return
  await saveOutput(host.storage, out, replica.entries)
  log(host.node.logs, 'agree', 'info', 'Snapshot written.', { index: out.snapshot.index, bytes: out.snapshot.data.length })
}

function notLeader (host: ControlHost): LynxError {
  const leader = host.replica?.leader
  return new LynxError('notLeader', leader === undefined ? 'no leader is known' : `the leader is ${leader}`, { step: 'propose' })
}

/** Whether this VM leads and knows all that is committed. */
export function leads (host: ControlHost | undefined): boolean {
  return host?.replica !== undefined && isSettledLeader(host.replica)
}

/**
 * Proposes a command and waits until it is committed and applied.
 *
 * @throws LynxError `notLeader` when this VM does not lead, `noQuorum` when the outcome is not known
 */
export async function submitHere (host: ControlHost, command: Command): Promise<Answer> {
  if (host.failed !== undefined) throw host.failed
  if (!leads(host)) throw notLeader(host)
  if (host.proposals.length + host.placed.size >= maxProposals) {
    throw new LynxError('overCapacity', `${maxProposals} proposals wait`, { step: 'propose' })
  }
  const timeoutMs = host.node.cfg.times.rpcTimeoutMs
  return await new Promise<Answer>((resolve, reject) => {
    const timer = setTimeout(() => reject(new LynxError('noQuorum', `no quorum within ${timeoutMs} ms`, { step: 'propose' })), timeoutMs)
    const settle = <Value>(finish: (value: Value) => void) => (value: Value): void => {
      clearTimeout(timer)
      finish(value)
    }
    host.proposals.push({ command, resolve: settle(resolve), reject: settle(reject) })
    wake(host)
  })
}

/**
 * Waits until this VM is known to lead now, so that a read of its state is up to date.
 *
 * @throws LynxError `notLeader` or `noQuorum`
 */
export async function confirmRead (host: ControlHost): Promise<void> {
  if (!leads(host)) throw notLeader(host)
  const token = host.nextToken++
  const timeoutMs = host.node.cfg.times.rpcTimeoutMs
  await new Promise<void>((resolve, reject) => {
    const timer = setTimeout(() => finishRead(host, token, new LynxError('noQuorum', `no quorum within ${timeoutMs} ms`, { step: 'read' })), timeoutMs)
    host.readers.set(token, {
      resolve: () => { clearTimeout(timer); resolve() },
      reject: err => { clearTimeout(timer); reject(err) }
    })
    feed(host, { type: 'read', token })
  })
}
