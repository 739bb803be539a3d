/**
 * Hosts one copy of the replicated log: feeds it events one after the other, saves and syncs what it
 * asks for, then sends and applies. Proposals that arrive during a sync share the next one.
 */
import { LynxError, createHolderId, isLynxError, loadChart, getErrorMessage, getHolderVm } from '@lynxcourse/base'
import type { Incarnation } from '@lynxcourse/base'
import { stepReplica } from '@lynxcourse/agreement'
import type { Envelope, ReplicaOutput, Replica, ReplicaEvent } from '@lynxcourse/agreement'
import { applyEntry, createStateMachine, deserializeStateMachine, serializeStateMachine } from '@lynxcourse/state'
import { randomUUID } from 'node:crypto'
import { openStorage, readIdentity, rewriteLog, saveOutput, writeIdentity } from '../../plugins/logStorage.js'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { callPeer } from '../rpc/rpcClient.js'
import type { LogStorage } from '../../plugins/logStorage.js'
import { answerPlaced, failAll, finishRead, notLeader } from './hostState.js'
import type { ControlEnv, ControlHost } from './hostState.js'
import { startReplica } from './membership.js'

/** Entries kept in the log before it is replaced by a snapshot. */
const snapshotEvery = 5000

/** Opens the data folder and starts the copy that it holds, if any. */
export async function openControl (env: ControlEnv): Promise<ControlHost> {
  const { storage, stored } = await openStorage(env.folder)
  const identity = await readIdentity(env.folder)
  const incarnation = (identity?.incarnation ?? env.firstIncarnation ?? randomUUID().slice(0, 8)) as Incarnation
  const charts = { claim: loadChart('claim'), drain: loadChart('drain'), shift: loadChart('shift') }
  const host: ControlHost = {
    env,
    storage,
    charts,
    id: createHolderId(env.vm, incarnation),
    incarnation,
    cluster: identity?.cluster,
    replica: undefined,
    machine: createStateMachine(charts),
    appliedUpToDateAt: -Infinity,
    events: [],
    proposals: [],
    placed: new Map(),
    readers: new Map(),
    nextReadToken: 1,
    busy: undefined,
    failed: undefined,
    closed: false,
    progressListeners: [],
    [Symbol.asyncDispose]: async () => await closeControl(host)
  }
  if (identity === undefined) await writeIdentity(storage, { incarnation, cluster: undefined })
  if (host.cluster !== undefined && stored !== undefined) {
    startReplica(host, stored.snapshot, stored.hardState, stored.entries)
  }
  return host
}

async function closeControl (host: ControlHost): Promise<void> {
  host.closed = true
  host.failed ??= new LynxError('notLeader', 'this VM stops', { step: 'stop' })
  await host.busy
  failAll(host, host.failed)
  await host.storage[Symbol.asyncDispose]()
}

/** Feeds an event in. */
export function enqueueEvent (host: ControlHost, event: ReplicaEvent): void {
  if (host.replica === undefined || host.failed !== undefined) return
  host.events.push(event)
  wake(host)
}

export function wake (host: ControlHost): void {
  if (host.busy !== undefined) return
  host.busy = runEvents(host)
    .catch((err: unknown) => failHost(host, err))
    .then(() => {
      host.busy = undefined
      if (host.events.length > 0 || host.proposals.length > 0) wake(host)
    })
}

/** A copy whose disk failed is opened again after this; a full or stalled disk often recovers by itself. */
const reviveMs = 1000

/** A disk that can't be written can't vouch for anything: this copy stops, the VM serves on. */
function failHost (host: ControlHost, err: unknown): void {
  host.failed = isLynxError(err) ? err : new LynxError('diskFailed', getErrorMessage(err), { step: 'save', cause: err })
  host.replica = undefined
  host.events = []
  log(host.env.logs, 'agree', 'error', 'Copy of the log stopped.', { error: host.failed.message, step: host.failed.step })
  failAll(host, host.failed)
  setTimeout(() => { revive(host).catch((again: unknown) => failHost(host, again)) }, reviveMs).unref()
}

/**
 * Starts a failed copy anew from its disk. What a failed sync left behind may be read back although it
 * never reached the disk, so all that is read is written and synced once more before it counts.
 */
async function revive (host: ControlHost): Promise<void> {
  if (host.closed || host.cluster === undefined) return
  const { storage, stored } = await openStorage(host.env.folder)
  await closeQuietly(host.storage)
  host.storage = storage
  if (stored === undefined) throw new LynxError('diskFailed', 'the snapshot is gone', { step: 'revive' })
  await rewriteLog(storage, stored.entries)
  if (host.closed) return
  host.failed = undefined
  startReplica(host, stored.snapshot, stored.hardState, stored.entries)
}

/** A file of a failed disk may refuse even to be closed; it is not used again either way. */
async function closeQuietly (storage: LogStorage): Promise<void> {
  try {
    await storage[Symbol.asyncDispose]()
  } catch {
    // Nothing is lost: all that counts was written anew.
  }
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
  const out = stepReplica(replica, { type: 'propose', commands: batch.map(pending => pending.command) }, getCurrentTime())
  batch.forEach((pending, place) => {
    const position = out.proposed[place]
    if (position === undefined) pending.reject(notLeader(host))
    else host.placed.set(position.index, { ...pending, term: position.term })
  })
  await carryOut(host, replica, out)
}

async function runStep (host: ControlHost, replica: Replica, event: ReplicaEvent): Promise<void> {
  const roleBefore = replica.role
  const out = stepReplica(replica, event, getCurrentTime())
  await carryOut(host, replica, out)
  if (replica.role !== roleBefore) {
    log(host.env.logs, 'agree', 'info', 'Role changed.', { from: roleBefore, to: replica.role, term: replica.term })
    for (const listener of host.progressListeners) listener()
  }
}

async function carryOut (host: ControlHost, replica: Replica, out: ReplicaOutput): Promise<void> {
  const { upToDateAt: freshAt } = replica
  const needsSync = out.hardState !== undefined || out.entries.length > 0 || out.snapshot !== undefined
  if (needsSync) {
    await saveOutput(host.storage, out, replica.entries)
    host.env.metrics.diskSyncs.inc()
  }
  sendAll(host, out.messages)
  if (out.installSnapshot && out.snapshot !== undefined) host.machine = deserializeStateMachine(host.charts, out.snapshot.data)
  applyAll(host, out)
  const isFirstFresh = host.appliedUpToDateAt === -Infinity && freshAt > -Infinity
  host.appliedUpToDateAt = freshAt
  if (isFirstFresh) for (const listener of host.progressListeners) listener()
  if (!needsSync) return
  const after = stepReplica(replica, { type: 'synced' }, getCurrentTime())
  sendAll(host, after.messages)
  applyAll(host, after)
  await compactIfLong(host, replica)
}

function sendAll (host: ControlHost, messages: readonly Envelope[]): void {
  for (const envelope of messages) {
    const address = host.env.getAddress(getHolderVm(envelope.to))
    // Messages may be lost: the log's own rounds repeat whatever matters.
    if (address !== undefined) callPeer(host.env.client, address, 'log.message', envelope).catch(() => undefined)
  }
}

function applyAll (host: ControlHost, out: ReplicaOutput): void {
  for (const entry of out.committed) {
    const answer = applyEntry(host.machine, entry)
    answerPlaced(host, entry, answer)
  }
  for (const token of out.confirmedReads) finishRead(host, token, undefined)
  for (const token of out.failedReads) finishRead(host, token, notLeader(host))
  if (out.committed.length > 0 || out.installSnapshot) for (const listener of host.progressListeners) listener()
}

async function compactIfLong (host: ControlHost, replica: Replica): Promise<void> {
  if (host.machine.applied - replica.snapshot.index < snapshotEvery) return
  const out = stepReplica(replica, { type: 'compact', index: host.machine.applied, data: serializeStateMachine(host.machine) }, getCurrentTime())
  if (out.snapshot === undefined) return
  await saveOutput(host.storage, out, replica.entries)
  log(host.env.logs, 'agree', 'info', 'Snapshot written.', { index: out.snapshot.index, bytes: out.snapshot.data.length })
}
