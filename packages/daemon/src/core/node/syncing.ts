/** Keeps this VM's configuration, directory and configuration lease up to date through the sync tree. */
import { LynxError, brandId, getErrorMessage, getHolderVm } from '@lynxcourse/base'
import type { Millis, VmId } from '@lynxcourse/base'
import {
  answerSyncRequest, avoidParent, buildSyncRequest, chooseParent, getConfirmationAge, expireRecords, isLeaseValid, renewConfigLease,
  putRecord, applySyncAnswer
} from '@lynxcourse/membership'
import type { SyncAnswer, SyncRequest, VmRecord } from '@lynxcourse/membership'
import { getDeltaSince, applyDelta } from '@lynxcourse/state'
import type { ConfigDelta } from '@lynxcourse/state'
import * as z from 'zod'
import { isLeading } from '../control/hostState.js'
import type { ControlHost } from '../control/hostState.js'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { callPeer } from '../rpc/rpcClient.js'
import { addMethod } from '../rpc/rpcServer.js'
import type { RpcServer } from '../rpc/rpcServer.js'
import { addressSchema } from '../../types/settings.js'
import { hasControlRole, notifyChange } from './node.js'
import type { Node } from './node.js'
import { repeat } from './timers.js'

/** Number of sync intervals for which a failed parent is not chosen again. */
const avoidanceIntervals = 10

/** Minimum time between the last sync and an urgent one. */
const minUrgentIntervalMs = 50

/** The parent's reply: its directory answer, and the changes of the configuration since the requested version, if any. */
export interface SyncReply {
  readonly answer: SyncAnswer
  readonly delta: ConfigDelta | undefined
}

/** The running sync of this VM with its parent. */
export interface Syncing extends AsyncDisposable {
  readonly node: Node
  readonly control: ControlHost | undefined
  /** Schedules a sync before the next interval, because this VM has updates to pass on. */
  syncSoon: () => void
}

const nameSchema = z.string().min(1).max(64)
const countSchema = z.number().int().min(0)
const vmSchema = z.object({
  kind: z.literal('vm'),
  key: nameSchema,
  incarnation: countSchema,
  seq: countSchema,
  state: z.enum(['joined', 'suspected', 'lost', 'left']),
  region: nameSchema,
  failureDomain: nameSchema,
  roles: z.array(z.enum(['entry', 'control'])).max(2),
  http: addressSchema,
  rpc: addressSchema,
  life: nameSchema
})
const serverSchema = z.object({
  kind: z.literal('server'),
  key: nameSchema,
  incarnation: countSchema,
  seq: countSchema,
  state: z.enum(['starting', 'serving', 'leaving', 'gone']),
  service: nameSchema,
  region: nameSchema,
  failureDomain: nameSchema,
  address: addressSchema,
  slots: countSchema,
  maxConnections: countSchema
})
const requestSchema = z.strictObject({
  self: vmSchema,
  epoch: z.string(),
  seq: countSchema,
  vouched: z.array(z.discriminatedUnion('kind', [vmSchema, serverSchema])).max(20_000),
  configVersion: countSchema
})

/** Adds the method `sync.ask`, by which this VM's children in the sync tree request updates. */
export function addSyncMethod (rpc: RpcServer, syncing: Syncing): void {
  addMethod(rpc, 'sync.ask', ['vm'], requestSchema, (request, caller): SyncReply => {
    if (caller.role === 'vm' && caller.name !== request.self.key) {
      throw new LynxError('notAllowed', `vm:${caller.name} reports as ${request.self.key}`, { step: 'sync', field: 'self.key' })
    }
    return answerSync(syncing, request as unknown as SyncRequest)
  })
}

function answerSync (syncing: Syncing, request: SyncRequest): SyncReply {
  const { node } = syncing
  applyOwnLog(syncing)
  const now = getCurrentTime()
  const seqBefore = node.directory.seq
  const answer = answerSyncRequest(node.directory, request, getConfirmationAge(node.configLease, now), node.leader ?? '', now)
  if (node.directory.seq !== seqBefore) {
    notifyChange(node)
    syncing.syncSoon()
  }
  const delta = request.configVersion === node.config.version ? undefined : getDeltaSince(node.config, request.configVersion)
  return { answer, delta }
}

/** Starts to sync with the parent at regular intervals, or with this VM's own log while this VM is the leader. */
export function startSyncing (node: Node, control: ControlHost | undefined): Syncing {
  let lastSyncAt = -Infinity
  let urgentTimer: NodeJS.Timeout | undefined
  let runningSync: Promise<void> | undefined
  const sync = async (): Promise<void> => {
    runningSync ??= syncOnce(syncing).finally(() => { runningSync = undefined })
    lastSyncAt = getCurrentTime()
    await runningSync
  }
  const timer = repeat(node.cfg.times.syncMs, sync, err => logSyncError(node, err))
  const syncing: Syncing = {
    node,
    control,
    syncSoon: () => {
      if (urgentTimer !== undefined) return
      const waitMs = Math.max(0, lastSyncAt + minUrgentIntervalMs - getCurrentTime())
      urgentTimer = setTimeout(() => {
        urgentTimer = undefined
        sync().catch((err: unknown) => logSyncError(node, err))
      }, waitMs)
    },
    [Symbol.asyncDispose]: async () => {
      clearTimeout(urgentTimer)
      await timer[Symbol.asyncDispose]()
      clearTimeout(urgentTimer)
    }
  }
  control?.progressListeners.push(() => applyOwnLog(syncing))
  return syncing
}

function logSyncError (node: Node, err: unknown): void {
  log(node.logs, 'sync', 'warn', 'Sync failed.', { error: getErrorMessage(err) })
}

async function syncOnce (syncing: Syncing): Promise<void> {
  const { node } = syncing
  const startedAt = getCurrentTime()
  renewOwnRecord(node, startedAt)
  for (const record of expireRecords(node.directory, startedAt)) {
    log(node.logs, 'member', 'info', 'No update received in time.', { kind: record.kind, name: record.key, state: record.state })
    notifyChange(node)
  }
  applyOwnLog(syncing)
  if (!isLeading(syncing.control)) await syncWithParent(syncing, startedAt)
  node.metrics.current.set(isLeaseValid(node.configLease, getCurrentTime()) ? 1 : 0)
  node.metrics.configVersion.set(node.config.version)
}

/**
 * Increments the sequence number of this VM's own record, so that the record supersedes any state that another VM gave
 * the previous one, for example `suspected`.
 */
export function renewOwnRecord (node: Node, now: Millis): VmRecord {
  node.self = { ...node.self, seq: node.self.seq + 1 }
  if (putRecord(node.directory, node.self, 'direct', now)) notifyChange(node)
  return node.self
}

/**
 * While this VM is the leader, updates its configuration from its own log and renews its lease by its quorum's last
 * confirmation.
 */
function applyOwnLog (syncing: Syncing): void {
  const { node, control } = syncing
  if (control?.replica === undefined || !isLeading(control)) return
  node.leader = node.cfg.vm
  const { machine, replica } = control
  if (machine.config.version > node.config.version) {
    applyDelta(node.config, getDeltaSince(machine.config, node.config.version))
    logVersion(node)
    notifyChange(node)
  }
  renewConfigLease(node.configLease, replica.quorumConfirmedAt, 0)
}

function logVersion (node: Node): void {
  log(node.logs, 'sync', 'info', 'Configuration in force.', { version: node.config.version })
}

async function syncWithParent (syncing: Syncing, now: Millis): Promise<void> {
  const { node } = syncing
  const parent = findParent(syncing, now)
  if (parent === undefined) return
  const request = buildSyncRequest(node.uplink, node.directory, node.self, node.config.version, now)
  let reply: SyncReply
  try {
    reply = await callPeer<SyncReply>(node.client, parent.rpc, 'sync.ask', request, node.cfg.times.syncMs * 2)
  } catch (err) {
    avoidParent(node.uplink, parent.vm, now + node.cfg.times.syncMs * avoidanceIntervals)
    throw err
  }
  applyReply(syncing, request, reply, parent.vm, now)
}

function findParent (syncing: Syncing, now: Millis): Node['cfg']['seeds'][number] | undefined {
  const { node, control } = syncing
  const others = node.cfg.seeds.filter(seed => seed.vm !== node.cfg.vm)
  if (!hasControlRole(node) || control?.replica === undefined) {
    const vm = chooseParent(node.uplink, { vm: node.cfg.vm, region: node.cfg.region }, others, now)
    return others.find(seed => seed.vm === vm)
  }
  // A control VM syncs only with the leader: two control VMs that synced with each other could keep renewing each other's
  // lease from an old confirmation.
  const leader = control.replica.leader
  if (leader === undefined || leader === control.id) return undefined
  const vm = getHolderVm(leader)
  node.leader = vm
  return others.find(seed => seed.vm === chooseParent(node.uplink, { vm: node.cfg.vm, region: node.cfg.region }, others.filter(other => other.vm === vm), Infinity))
}

function applyReply (syncing: Syncing, request: SyncRequest, reply: SyncReply, parent: VmRecord['key'], requestedAt: Millis): void {
  const { node } = syncing
  const now = getCurrentTime()
  const seqBefore = node.directory.seq
  applySyncAnswer(node.uplink, node.directory, request, reply.answer, now)
  if (reply.answer.leader !== '') node.leader = brandId<VmId>(reply.answer.leader)
  const isUpToDate = applyConfigDelta(node, reply)
  if (node.directory.seq !== seqBefore) notifyChange(node)
  if (reply.answer.confirmedAgeMs === undefined) {
    avoidParent(node.uplink, parent, now + node.cfg.times.syncMs)
    return
  }
  // The confirmation applies to the configuration in the same reply, so the lease is renewed only if that was applied.
  if (isUpToDate) renewConfigLease(node.configLease, requestedAt, reply.answer.confirmedAgeMs)
}

/** Applies the reply's configuration changes, if any; returns whether the configuration is then up to date with the reply. */
function applyConfigDelta (node: Node, reply: SyncReply): boolean {
  const { delta } = reply
  if (delta === undefined) return true
  const versionBefore = node.config.version
  const isUpToDate = applyDelta(node.config, delta)
  if (node.config.version > versionBefore) {
    logVersion(node)
    notifyChange(node)
  }
  return isUpToDate
}
