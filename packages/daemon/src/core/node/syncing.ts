/** Keeps this VM's configuration, directory and lease up to date through the tree. */
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
import { isControl, notifyChange } from './node.js'
import type { Node } from './node.js'
import { repeat } from './timers.js'

/** A parent that failed is passed over for so many sync intervals. */
const avoidIntervals = 10

/** Least time between two requests to the parent, when something new makes one urgent. */
const urgentMs = 50

/** What the parent answers: the tree's part and the configuration's. */
export interface SyncReply {
  readonly answer: SyncAnswer
  readonly delta: ConfigDelta | undefined
}

/** This VM's place in the tree. */
export interface Syncing extends AsyncDisposable {
  readonly node: Node
  readonly control: ControlHost | undefined
  /** Asks the parent soon, since there is something to pass on. */
  syncSoon: () => void
}

const name = z.string().min(1).max(64)
const count = z.number().int().min(0)
const vmSchema = z.object({
  kind: z.literal('vm'),
  key: name,
  incarnation: count,
  seq: count,
  state: z.enum(['joined', 'suspected', 'lost', 'left']),
  region: name,
  failureDomain: name,
  roles: z.array(z.enum(['entry', 'control'])).max(2),
  http: addressSchema,
  rpc: addressSchema,
  life: name
})
const serverSchema = z.object({
  kind: z.literal('server'),
  key: name,
  incarnation: count,
  seq: count,
  state: z.enum(['starting', 'serving', 'leaving', 'gone']),
  service: name,
  region: name,
  failureDomain: name,
  address: addressSchema,
  slots: count,
  maxConnections: count
})
const requestSchema = z.strictObject({
  self: vmSchema,
  epoch: z.string(),
  seq: count,
  vouched: z.array(z.discriminatedUnion('kind', [vmSchema, serverSchema])).max(20_000),
  configVersion: count
})

/** Adds the method by which VMs below ask. */
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
  refreshLead(syncing)
  const now = getCurrentTime()
  const before = node.directory.seq
  const answer = answerSyncRequest(node.directory, request, getConfirmationAge(node.configLease, now), node.leader ?? '', now)
  if (node.directory.seq !== before) {
    notifyChange(node)
    syncing.syncSoon()
  }
  const delta = request.configVersion === node.config.version ? undefined : getDeltaSince(node.config, request.configVersion)
  return { answer, delta }
}

/** Starts to ask the parent, or to follow the own log while this VM leads. */
export function startSyncing (node: Node, control: ControlHost | undefined): Syncing {
  let lastAskedAt = -Infinity
  let urgent: NodeJS.Timeout | undefined
  let asking: Promise<void> | undefined
  const ask = async (): Promise<void> => {
    asking ??= syncOnce(syncing).finally(() => { asking = undefined })
    lastAskedAt = getCurrentTime()
    await asking
  }
  const timer = repeat(node.cfg.times.syncMs, ask, err => logSyncError(node, err))
  const syncing: Syncing = {
    node,
    control,
    syncSoon: () => {
      if (urgent !== undefined) return
      const wait = Math.max(0, lastAskedAt + urgentMs - getCurrentTime())
      urgent = setTimeout(() => {
        urgent = undefined
        ask().catch((err: unknown) => logSyncError(node, err))
      }, wait)
    },
    [Symbol.asyncDispose]: async () => {
      clearTimeout(urgent)
      await timer[Symbol.asyncDispose]()
      clearTimeout(urgent)
    }
  }
  control?.progressListeners.push(() => refreshLead(syncing))
  return syncing
}

function logSyncError (node: Node, err: unknown): void {
  log(node.logs, 'sync', 'warn', 'Sync failed.', { error: getErrorMessage(err) })
}

async function syncOnce (syncing: Syncing): Promise<void> {
  const { node } = syncing
  const startedAt = getCurrentTime()
  renewSelf(node, startedAt)
  for (const record of expireRecords(node.directory, startedAt)) {
    log(node.logs, 'member', 'info', 'Not heard in time.', { kind: record.kind, name: record.key, state: record.state })
    notifyChange(node)
  }
  refreshLead(syncing)
  if (!isLeading(syncing.control)) await askParent(syncing, startedAt)
  node.metrics.current.set(isLeaseValid(node.configLease, getCurrentTime()) ? 1 : 0)
  node.metrics.configVersion.set(node.config.version)
}

/** Counts this VM's own record on, so that each report is newer than any judgement of the last. */
export function renewSelf (node: Node, now: Millis): VmRecord {
  node.self = { ...node.self, seq: node.self.seq + 1 }
  if (putRecord(node.directory, node.self, 'direct', now)) notifyChange(node)
  return node.self
}

/** While this VM leads, its configuration comes from its own log and its lease from its quorum. */
function refreshLead (syncing: Syncing): void {
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

async function askParent (syncing: Syncing, now: Millis): Promise<void> {
  const { node } = syncing
  const parent = findParent(syncing, now)
  if (parent === undefined) return
  const request = buildSyncRequest(node.uplink, node.directory, node.self, node.config.version, now)
  let reply: SyncReply
  try {
    reply = await callPeer<SyncReply>(node.client, parent.rpc, 'sync.ask', request, node.cfg.times.syncMs * 2)
  } catch (err) {
    avoidParent(node.uplink, parent.vm, now + node.cfg.times.syncMs * avoidIntervals)
    throw err
  }
  takeReply(syncing, request, reply, parent.vm, now)
}

function findParent (syncing: Syncing, now: Millis): Node['cfg']['seeds'][number] | undefined {
  const { node, control } = syncing
  const others = node.cfg.seeds.filter(seed => seed.vm !== node.cfg.vm)
  if (!isControl(node) || control?.replica === undefined) {
    const vm = chooseParent(node.uplink, { vm: node.cfg.vm, region: node.cfg.region }, others, now)
    return others.find(seed => seed.vm === vm)
  }
  // A control VM asks only the leader: two that asked each other would pass an old lease around.
  const leader = control.replica.leader
  if (leader === undefined || leader === control.id) return undefined
  const vm = getHolderVm(leader)
  node.leader = vm
  return others.find(seed => seed.vm === chooseParent(node.uplink, { vm: node.cfg.vm, region: node.cfg.region }, others.filter(other => other.vm === vm), Infinity))
}

function takeReply (syncing: Syncing, request: SyncRequest, reply: SyncReply, parent: VmRecord['key'], askedAt: Millis): void {
  const { node } = syncing
  const now = getCurrentTime()
  const before = node.directory.seq
  applySyncAnswer(node.uplink, node.directory, request, reply.answer, now)
  if (reply.answer.leader !== '') node.leader = brandId<VmId>(reply.answer.leader)
  const isWhole = takeConfig(node, reply)
  if (node.directory.seq !== before) notifyChange(node)
  if (reply.answer.confirmedAgeMs === undefined) {
    avoidParent(node.uplink, parent, now + node.cfg.times.syncMs)
    return
  }
  // The lease speaks for the configuration that came with it; without that one it means nothing.
  if (isWhole) renewConfigLease(node.configLease, askedAt, reply.answer.confirmedAgeMs)
}

function takeConfig (node: Node, reply: SyncReply): boolean {
  const { delta } = reply
  if (delta === undefined) return true
  const before = node.config.version
  const isWhole = applyDelta(node.config, delta)
  if (node.config.version > before) {
    logVersion(node)
    notifyChange(node)
  }
  return isWhole
}
