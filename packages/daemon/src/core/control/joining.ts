/** Lets a control VM with an empty data folder find its cluster and become a member. */
import type { Envelope } from '@lynxcourse/agreement'
import { LynxError, getErrorMessage, getHolderVm } from '@lynxcourse/base'
import type { HolderId } from '@lynxcourse/base'
import * as z from 'zod'
import { log } from '../../utils/logging.js'
import { repeat } from '../node/timers.js'
import { callPeer } from '../rpc/rpcClient.js'
import { addMethod } from '../rpc/rpcServer.js'
import type { RpcServer } from '../rpc/rpcServer.js'
import { initCluster, isBlank, joinCluster } from './membership.js'
import { enqueueEvent, enqueueMessage } from './controlHost.js'
import { isLeading } from './hostState.js'
import type { ControlEnv, ControlHost } from './hostState.js'

const joinIntervalMs = 1000
const holderSchema = z.string().regex(/^[a-z0-9.:-]+\/[a-z0-9-]+$/, 'must be VM/INCARNATION') as unknown as z.ZodType<HolderId>

/** The member id and the cluster of a control VM. */
export interface ClusterInfo {
  readonly id: HolderId
  readonly cluster: string | undefined
}

/** Adds the methods that create a cluster, add members to it, and carry the messages of the replicated log. */
export function addClusterMethods (rpc: RpcServer, host: ControlHost): void {
  addMethod(rpc, 'cluster.info', ['vm', 'operator'], z.strictObject({}), (): ClusterInfo => ({ id: host.id, cluster: host.cluster }))
  addMethod(rpc, 'cluster.init', ['operator'], z.strictObject({ cluster: z.string().min(8), voters: z.array(holderSchema).min(1).max(7) }), async params => {
    await initCluster(host, params.cluster, params.voters)
    return { id: host.id }
  })
  addMethod(rpc, 'cluster.join', ['vm'], z.strictObject({ id: holderSchema, isRelayed: z.boolean().default(false) }), async ({ id, isRelayed }) => {
    if (host.env.getAddress(getHolderVm(id)) === undefined) {
      throw new LynxError('notAllowed', `${id} is not listed as a control VM in the seeds`, { step: 'join', field: 'id' })
    }
    if (isLeading(host)) enqueueEvent(host, { type: 'join', id })
    else await relayJoin(host, id, isRelayed)
    return {}
  })
  addMethod(rpc, 'log.message', ['vm'], envelopeSchema, (envelope, caller) => {
    if (caller.role === 'vm' && caller.name !== getHolderVm(envelope.from)) {
      throw new LynxError('notAllowed', `vm:${caller.name} sends as ${envelope.from}`, { step: 'log.message', field: 'from' })
    }
    enqueueMessage(host, envelope as Envelope, caller.size)
    return {}
  })
}

/**
 * Relays a request to join to the leader. A VM with an empty data folder knows only its seeds, and possibly none of them
 * is the leader.
 */
async function relayJoin ({ env, replica }: ControlHost, id: HolderId, isRelayed: boolean): Promise<void> {
  const leader = replica?.leader === undefined ? undefined : env.getAddress(getHolderVm(replica.leader))
  if (leader === undefined || isRelayed) throw new LynxError('notLeader', 'no leader is known', { step: 'join' })
  await callPeer(env.client, leader, 'cluster.join', { id, isRelayed: true })
}

const nonNegativeInt = z.number().int().min(0)

const memberSchema = z.object({ id: holderSchema, voter: z.boolean() })

const entrySchema = z.object({
  index: nonNegativeInt,
  term: nonNegativeInt,
  at: z.number(),
  body: z.union([
    z.object({ type: z.literal('noop') }),
    z.object({ type: z.literal('members'), members: z.array(memberSchema) }),
    z.object({ type: z.literal('command'), command: z.looseObject({ type: z.string() }) })
  ])
})

const snapshotHeadSchema = z.object({ index: nonNegativeInt, term: nonNegativeInt, at: z.number(), members: z.array(memberSchema), size: nonNegativeInt, checksum: nonNegativeInt })

const entryPartSchema = z.object({ term: nonNegativeInt, size: nonNegativeInt, checksum: nonNegativeInt, offset: nonNegativeInt, text: z.string() })

const envelopeSchema = z.strictObject({
  cluster: z.string(),
  from: holderSchema,
  to: holderSchema,
  message: z.discriminatedUnion('type', [
    z.strictObject({ type: z.literal('vote'), pre: z.boolean(), term: nonNegativeInt, lastIndex: nonNegativeInt, lastTerm: nonNegativeInt }),
    z.strictObject({ type: z.literal('voteAnswer'), pre: z.boolean(), term: nonNegativeInt, granted: z.boolean() }),
    z.strictObject({ type: z.literal('append'), term: nonNegativeInt, prevIndex: nonNegativeInt, prevTerm: nonNegativeInt, entries: z.array(entrySchema), part: entryPartSchema.optional(), commit: nonNegativeInt, round: nonNegativeInt, answeredAt: z.number().nullable(), confirmedAgeMs: z.number().min(0).nullable() }),
    z.strictObject({ type: z.literal('snapshot'), term: nonNegativeInt, head: snapshotHeadSchema, offset: nonNegativeInt, part: z.string(), round: nonNegativeInt }),
    z.strictObject({ type: z.literal('snapshotAnswer'), term: nonNegativeInt, index: nonNegativeInt, offset: nonNegativeInt, round: nonNegativeInt, at: z.number() }),
    z.strictObject({ type: z.literal('handOver'), term: nonNegativeInt }),
    z.strictObject({ type: z.literal('appendAnswer'), term: nonNegativeInt, ok: z.boolean(), index: z.number().int(), received: nonNegativeInt.optional(), round: nonNegativeInt, at: z.number() })
  ])
})

/** Requests to join at regular intervals for as long as this VM's replica is not a member. */
export function keepJoining (host: ControlHost): AsyncDisposable {
  return repeat(joinIntervalMs, async () => await tryJoin(host), () => undefined)
}

async function tryJoin (host: ControlHost): Promise<void> {
  const { env } = host
  if (host.failed !== undefined) return
  if (isBlank(host)) {
    const cluster = await findCluster(env)
    if (cluster === undefined) return
    log(env.logs, 'member', 'info', 'Joining a running cluster with an empty data folder.', { cluster, id: host.id })
    await joinCluster(host, cluster)
  }
  const isMember = host.replica?.members.some(member => member.id === host.id) ?? false
  if (isMember) return
  let lastError: unknown
  for (const address of env.listPeerAddresses()) {
    try {
      await callPeer(env.client, address, 'cluster.join', { id: host.id })
      return
    } catch (err) {
      lastError = err
    }
  }
  log(env.logs, 'member', 'warn', 'Request to join failed.', { id: host.id, error: getErrorMessage(lastError) })
}

async function findCluster (env: ControlEnv): Promise<string | undefined> {
  for (const address of env.listPeerAddresses()) {
    const info = await callPeer<ClusterInfo>(env.client, address, 'cluster.info', {}).catch(() => undefined)
    if (info?.cluster !== undefined) return info.cluster
  }
  return undefined
}
