/**
 * Runs this VM's copy of the replicated log, the replica. Processes one event at a time: saves and syncs the output of
 * the replica, then sends its messages and applies its committed entries. Proposals that arrive during a sync are
 * appended together and share the next sync.
 */
import { LynxError, createHolderId, isLynxError, loadChart, getErrorMessage, getHolderVm } from '@lynxcourse/base'
import type { Incarnation, Millis } from '@lynxcourse/base'
import { getEntryText, getUpToDateAt, hasData, isTransferring, stepReplica } from '@lynxcourse/agreement'
import type { Envelope, ReplicaOutput, Replica, ReplicaEvent } from '@lynxcourse/agreement'
import { applyEntry, createStateMachine, deserializeStateMachine, serializeStateMachine } from '@lynxcourse/state'
import { randomUUID } from 'node:crypto'
import { openStorage, probeDisk, readIdentity, rewriteLog, saveOutput, writeIdentity } from '../../plugins/logStorage.js'
import { createByteBudget, returnBytes, tryTakeBytes } from '../../utils/byteBudget.js'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { packState, unpackState } from './snapshotText.js'
import { callPeerWithText } from '../rpc/rpcClient.js'
import type { LogStorage } from '../../plugins/logStorage.js'
import { resolveProposal, recordHeardLeader, rejectAll, finishRead, createNotLeaderError } from './hostState.js'
import type { ControlEnv, ControlHost } from './hostState.js'
import { startReplica } from './membership.js'

/** Number of applied entries after which a snapshot replaces them in the log. */
const entriesPerSnapshot = 5000
/** Size of the log file from which a snapshot replaces it, as long as the snapshot itself is small. */
const minCompactedBytes = 1_048_576
/** A log that is this many times as large as its snapshot is replaced by a new one. */
const logBytesPerSnapshotByte = 4
/** A snapshot on its way to another copy delays the next one until the log is this many times as large as otherwise. */
const maxCompactionDelay = 4
/** Size of the log file from which the compaction goes before events that wait. */
const fullLogBytes = 16_777_216

/** Maximum size of the messages with entries or parts in the queue, in bytes of their text. */
const maxQueuedBytes = 4_194_304

/** Opens the data folder and starts the replica stored there; an empty folder starts none. */
export async function openControl (env: ControlEnv): Promise<ControlHost> {
  const startedAt = getCurrentTime()
  const { storage, stored } = await openStorage(env.folder)
  if (stored !== undefined) log(env.logs, 'agree', 'info', 'Log read.', { logBytes: storage.logBytes, entries: stored.entries.length, snapshotBytes: stored.snapshot.data.length, tookMs: Math.round(getCurrentTime() - startedAt) })
  const identity = await readIdentity(env.folder)
  const incarnation = (identity?.incarnation ?? env.firstIncarnation ?? randomUUID().slice(0, 8)) as Incarnation
  const charts = { claim: loadChart('claim'), crashingRequest: loadChart('crashingRequest'), drain: loadChart('drain'), rollout: loadChart('rollout'), shift: loadChart('shift') }
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
    roleChangedAt: -Infinity,
    heardLeader: undefined,
    events: [],
    queuedBytes: createByteBudget(maxQueuedBytes),
    proposals: [],
    appendedProposals: new Map(),
    pendingReads: new Map(),
    nextReadToken: 1,
    busy: undefined,
    failed: undefined,
    closed: false,
    isResigning: false,
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
  host.failed ??= new LynxError('notLeader', 'this VM is stopping', { step: 'stop' })
  await host.busy
  rejectAll(host, host.failed)
  await host.storage[Symbol.asyncDispose]()
}

/** Queues an event for the replica; drops it if no replica is running. */
export function enqueueEvent (host: ControlHost, event: ReplicaEvent, bytes = 0): void {
  if (event.type === 'receive') recordHeardLeader(host, event.envelope, getCurrentTime())
  if (host.replica === undefined || host.failed !== undefined) {
    returnBytes(host.queuedBytes, bytes)
    return
  }
  host.events.push({ event, bytes })
  startProcessing(host)
}

/**
 * Queues a message of another control VM. While this VM's disk stalls, its leader sends what counts as lost again and again.
 *
 * @param size length of the message's text
 * @throws LynxError `overCapacity` if the messages in the queue are too large already
 */
export function enqueueMessage (host: ControlHost, envelope: Envelope, size: number): void {
  const bytes = hasData(envelope.message) ? size : 0
  if (!tryTakeBytes(host.queuedBytes, bytes)) {
    throw new LynxError('overCapacity', `messages of ${host.queuedBytes.bytes} bytes are in the queue`, { step: 'log.message' })
  }
  enqueueEvent(host, { type: 'receive', envelope }, bytes)
}

/** Removes and returns the first queued event. */
function takeEvent (host: ControlHost): ReplicaEvent | undefined {
  const first = host.events.shift()
  if (first !== undefined) returnBytes(host.queuedBytes, first.bytes)
  return first?.event
}

function dropEvents (host: ControlHost): void {
  for (const { bytes } of host.events) returnBytes(host.queuedBytes, bytes)
  host.events = []
}

/** Starts to process the queued events and proposals, unless a run is already in progress. */
export function startProcessing (host: ControlHost): void {
  if (host.busy !== undefined) return
  host.busy = processQueues(host)
    .catch((err: unknown) => stopFailedReplica(host, err))
    .then(() => {
      host.busy = undefined
      if (hasWork(host)) startProcessing(host)
    })
}

/**
 * Delay before a replica whose disk failed is restarted; a full or stalled disk often recovers without help. With a longer
 * delay and the election after it, a group whose disks were full would write again only after a second.
 */
const restartDelayMs = 300

/**
 * Stops the replica after a failure and schedules its restart. A replica that can't write to its disk must not
 * acknowledge anything. The other parts of the daemon keep running.
 */
function stopFailedReplica (host: ControlHost, err: unknown): void {
  const isFirstFailure = host.failed === undefined
  if (host.replica !== undefined) handOverLeadership(host, host.replica)
  host.failed = isLynxError(err) ? err : new LynxError('diskFailed', getErrorMessage(err), { step: 'save', cause: err })
  host.replica = undefined
  dropEvents(host)
  const level = isFirstFailure ? 'error' : 'debug'
  log(host.env.logs, 'agree', level, 'Replica stopped.', { error: host.failed.message, step: host.failed.step })
  rejectAll(host, host.failed)
  setTimeout(() => { restartReplica(host).catch((restartErr: unknown) => stopFailedReplica(host, restartErr)) }, restartDelayMs).unref()
}

/** Lets another copy lead at once if this one does, for example because it can confirm nothing without a working disk. */
export function handOverLeadership (host: ControlHost, replica: Replica): void {
  const { messages } = stepReplica(replica, { type: 'handOver' }, getCurrentTime())
  for (const { to } of messages) log(host.env.logs, 'agree', 'warn', 'Leadership handed over.', { to, term: replica.term })
  sendMessages(host, messages)
}

/**
 * Restarts a failed replica from its disk. Data of a failed sync can be read back from the page cache although it never
 * reached the disk, so all entries that are read are written and synced again before the replica relies on them.
 */
async function restartReplica (host: ControlHost): Promise<void> {
  if (host.closed || host.cluster === undefined) return
  await probeDisk(host.env.folder)
  const { storage, stored } = await openStorage(host.env.folder)
  await closeQuietly(host.storage)
  host.storage = storage
  if (stored === undefined) throw new LynxError('diskFailed', 'the snapshot is missing', { step: 'revive' })
  await rewriteLog(storage, stored.entries)
  if (host.closed) return
  host.failed = undefined
  startReplica(host, stored.snapshot, stored.hardState, stored.entries)
}

/** Closes the storage of a failed disk and ignores errors: the files may fail to close, but are not used again. */
async function closeQuietly (storage: LogStorage): Promise<void> {
  try {
    await storage[Symbol.asyncDispose]()
  } catch {
    // No data is lost: the restart writes and syncs the stored entries again.
  }
}

/** Whether a running replica has events or proposals to process; without one, they wait until it runs. */
function hasWork (host: ControlHost): host is ControlHost & { replica: Replica } {
  return host.replica !== undefined && (host.events.length > 0 || host.proposals.length > 0)
}

async function processQueues (host: ControlHost): Promise<void> {
  while (hasWork(host)) {
    const event = takeEvent(host)
    if (event !== undefined) await processEvent(host, host.replica, event)
    else await processProposals(host, host.replica)
    // What arrived meanwhile, a heartbeat that is due among it, goes first.
    if (host.replica !== undefined && (host.events.length === 0 || isLogFull(host.storage))) await compactLogIfLong(host, host.replica)
  }
}

async function processProposals (host: ControlHost, replica: Replica): Promise<void> {
  const batch = host.proposals
  host.proposals = []
  const output = stepReplica(replica, { type: 'propose', commands: batch.map(pending => pending.command) }, getCurrentTime())
  batch.forEach((pending, index) => {
    const position = output.proposed[index]
    if (position === undefined) pending.reject(createNotLeaderError(host))
    else host.appendedProposals.set(position.index, { ...pending, term: position.term })
  })
  await executeOutput(host, replica, output)
}

async function processEvent (host: ControlHost, replica: Replica, event: ReplicaEvent): Promise<void> {
  const roleBefore = replica.role
  const output = stepReplica(replica, event, getCurrentTime())
  await executeOutput(host, replica, output)
  if (replica.role !== roleBefore) {
    host.roleChangedAt = getCurrentTime()
    log(host.env.logs, 'agree', 'info', 'Role changed.', { from: roleBefore, to: replica.role, term: replica.term })
    for (const listener of host.progressListeners) listener()
  }
}

async function executeOutput (host: ControlHost, replica: Replica, output: ReplicaOutput): Promise<void> {
  const upToDateAt = getUpToDateAt(replica)
  const needsSync = output.hardState !== undefined || output.entries.length > 0 || output.snapshot !== undefined
  if (needsSync) {
    await withStallWatch(host, replica, saveOutput(host.storage, output, replica.entries))
    host.env.metrics.diskSyncs.inc()
    host.env.metrics.logEntries.set(replica.entries.length)
    host.env.metrics.logBytes.set(host.storage.logBytes)
    host.env.metrics.snapshotBytes.set(replica.snapshot.data.length)
  }
  logMemberChanges(host, output)
  sendMessages(host, output.messages)
  if (output.installSnapshot && output.snapshot !== undefined) host.machine = deserializeStateMachine(host.charts, unpackState(output.snapshot.data))
  applyOutput(host, output)
  const isFirstUpToDate = host.appliedUpToDateAt === -Infinity && upToDateAt > -Infinity
  host.appliedUpToDateAt = upToDateAt
  if (isFirstUpToDate) for (const listener of host.progressListeners) listener()
  if (!needsSync) return
  const syncedOutput = stepReplica(replica, { type: 'synced' }, getCurrentTime())
  sendMessages(host, syncedOutput.messages)
  applyOutput(host, syncedOutput)
}

/** Number of election timeouts that a leader leads at least before it hands over because of a stalled disk. */
const minElectionTimeoutsLed = 4

/**
 * Waits for a save. A leader whose disk stalls sends no heartbeats meanwhile. It hands its leadership over after half an
 * election timeout; otherwise the group would be without a leader for one to two of them. A sync normally takes
 * milliseconds. A new leader does not hand over: when all disks are slow at once, leadership would move on and on.
 */
async function withStallWatch (host: ControlHost, replica: Replica, saving: Promise<void>): Promise<void> {
  const { electionMs } = host.env.times
  let isSaved = false
  const timer = setTimeout(() => {
    // After the process itself was suspended, the timer runs before the end of the save is read.
    setImmediate(() => {
      const hasLedLong = getCurrentTime() - host.roleChangedAt > electionMs * minElectionTimeoutsLed
      if (!isSaved && hasLedLong && host.replica === replica) handOverLeadership(host, replica)
    })
  }, electionMs / 2)
  try {
    await saving
  } finally {
    isSaved = true
    clearTimeout(timer)
  }
}

function sendMessages (host: ControlHost, messages: readonly Envelope[]): void {
  for (const envelope of messages) {
    const address = host.env.getAddress(getHolderVm(envelope.to))
    if (address !== undefined) sendMessage(host, address, envelope).catch((err: unknown) => handleSendFailure(host, envelope, err))
  }
}

async function sendMessage (host: ControlHost, address: string, envelope: Envelope): Promise<void> {
  const { client, metrics } = host.env
  const labels = { peer: getHolderVm(envelope.to), type: envelope.message.type }
  const entries = countEntries(envelope)
  if (entries > 0) metrics.logEntriesSent.inc({ peer: labels.peer }, entries)
  try {
    await callPeerWithText(client, address, 'log.message', encodeEnvelope(envelope))
    metrics.logMessages.inc({ ...labels, result: 'delivered' })
  } catch (err) {
    metrics.logMessages.inc({ ...labels, result: 'failed' })
    throw err
  }
}

/** Encodes a message; its entries have the texts that were also written to the disk. */
function encodeEnvelope (envelope: Envelope): string {
  const { message, ...others } = envelope
  if (message.type !== 'append' || message.entries.length === 0) return JSON.stringify(envelope)
  const { entries, ...fields } = message
  return `${JSON.stringify(others).slice(0, -1)},"message":{"entries":[${entries.map(getEntryText).join()}],${JSON.stringify(fields).slice(1)}}`
}

/** Logs a lost message; reports one that carried data to the replica. */
function handleSendFailure (host: ControlHost, envelope: Envelope, err: unknown): void {
  const { to, message } = envelope
  const carriedData = hasData(message)
  log(host.env.logs, 'agree', carriedData ? 'warn' : 'debug', 'Message of the log was not delivered.', { to, type: message.type, entries: countEntries(envelope), error: getErrorMessage(err), step: 'send' })
  if (carriedData) enqueueEvent(host, { type: 'undelivered', envelope, isRefused: isLynxError(err, 'badRequest') })
}

function logMemberChanges (host: ControlHost, { entries }: ReplicaOutput): void {
  for (const { index, body } of entries) {
    if (body.type !== 'members') continue
    const members = body.members.map(({ id, voter }) => voter ? id : `${id} (learner)`)
    log(host.env.logs, 'member', 'info', 'Members changed.', { index, members: members.join() })
  }
}

function countEntries ({ message }: Envelope): number {
  return message.type === 'append' ? message.entries.length : 0
}

function applyOutput (host: ControlHost, output: ReplicaOutput): void {
  for (const entry of output.committed) {
    const answer = applyEntry(host.machine, entry)
    if (answer.type === 'failed') log(host.env.logs, 'agree', 'error', 'Entry could not be applied.', { index: entry.index, error: answer.detail })
    resolveProposal(host, entry, answer)
  }
  for (const token of output.confirmedReads) finishRead(host, token, undefined)
  for (const token of output.failedReads) finishRead(host, token, createNotLeaderError(host))
  if (output.committed.length > 0 || output.installSnapshot) for (const listener of host.progressListeners) listener()
}

/**
 * Replaces applied entries by a snapshot once there are many or large ones. The log is held in memory, is read at each start, and is what a copy
 * with an empty disk needs besides the snapshot.
 */
async function compactLogIfLong (host: ControlHost, replica: Replica): Promise<void> {
  if (!isCompactionDue(host, replica, getCurrentTime())) return
  const { machine, storage } = host
  const logBytes = storage.logBytes
  const output = stepReplica(replica, { type: 'compact', index: machine.applied, data: packState(serializeStateMachine(machine)) }, getCurrentTime())
  if (output.snapshot === undefined) return
  await withStallWatch(host, replica, saveOutput(storage, output, replica.entries))
  log(host.env.logs, 'agree', 'info', 'Snapshot written.', { index: output.snapshot.index, bytes: output.snapshot.data.length, logBytes })
}

function isLogFull ({ logBytes }: LogStorage): boolean {
  return logBytes >= fullLogBytes
}

function isCompactionDue ({ machine, storage }: ControlHost, replica: Replica, now: Millis): boolean {
  const { index, data } = replica.snapshot
  const appliedCount = machine.applied - index
  if (appliedCount <= 0) return false
  const maxBytes = Math.max(minCompactedBytes, data.length * logBytesPerSnapshotByte)
  if (appliedCount < entriesPerSnapshot && storage.logBytes < maxBytes) return false
  return storage.logBytes >= maxBytes * maxCompactionDelay || !isTransferring(replica, now)
}
