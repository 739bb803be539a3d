/** How a blank control VM finds the cluster that it is to join, and becomes a member. */
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
import { enqueueEvent } from './controlHost.js'
import { isLeading } from './hostState.js'
import type { ControlEnv, ControlHost } from './hostState.js'

const joinEveryMs = 1000
const holderSchema = z.string().regex(/^[a-z0-9.:-]+\/[a-z0-9-]+$/, 'must be VM/INCARNATION') as unknown as z.ZodType<HolderId>

/** What a control VM says of its cluster. */
export interface ClusterInfo {
  readonly id: HolderId
  readonly cluster: string | undefined
}

/** Adds the methods that found a cluster and let members in. */
export function addClusterMethods (rpc: RpcServer, host: ControlHost): void {
  addMethod(rpc, 'cluster.info', ['vm', 'operator'], z.strictObject({}), (): ClusterInfo => ({ id: host.id, cluster: host.cluster }))
  addMethod(rpc, 'cluster.init', ['operator'], z.strictObject({ cluster: z.string().min(8), voters: z.array(holderSchema).min(1).max(7) }), async params => {
    await initCluster(host, params.cluster, params.voters)
    return { id: host.id }
  })
  addMethod(rpc, 'cluster.join', ['vm'], z.strictObject({ id: holderSchema, isRelayed: z.boolean().default(false) }), async ({ id, isRelayed }) => {
    if (host.env.getAddress(getHolderVm(id)) === undefined) {
      throw new LynxError('notAllowed', `${id} is no control VM by the seeds`, { step: 'join', field: 'id' })
    }
    if (isLeading(host)) enqueueEvent(host, { type: 'join', id })
    else await relayJoin(host, id, isRelayed)
    return {}
  })
  addMethod(rpc, 'log.message', ['vm'], envelopeSchema, (envelope, caller) => {
    if (caller.role === 'vm' && caller.name !== getHolderVm(envelope.from)) {
      throw new LynxError('notAllowed', `vm:${caller.name} sends as ${envelope.from}`, { step: 'log.message', field: 'from' })
    }
    enqueueEvent(host, { type: 'receive', envelope: envelope as Envelope })
    return {}
  })
}

/** A blank disk knows its seeds only, and none of them may lead. */
async function relayJoin ({ env, replica }: ControlHost, id: HolderId, isRelayed: boolean): Promise<void> {
  const leader = replica?.leader === undefined ? undefined : env.getAddress(getHolderVm(replica.leader))
  if (leader === undefined || isRelayed) throw new LynxError('notLeader', 'no leader is known', { step: 'join' })
  await callPeer(env.client, leader, 'cluster.join', { id, isRelayed: true })
}

const natural = z.number().int().min(0)

const memberSchema = z.object({ id: holderSchema, voter: z.boolean() })

const entrySchema = z.object({
  index: natural,
  term: natural,
  at: z.number(),
  body: z.union([
    z.object({ type: z.literal('noop') }),
    z.object({ type: z.literal('members'), members: z.array(memberSchema) }),
    z.object({ type: z.literal('command'), command: z.looseObject({ type: z.string() }) })
  ])
})

const snapshotSchema = z.object({ index: natural, term: natural, at: z.number(), members: z.array(memberSchema), data: z.string() })

const envelopeSchema = z.strictObject({
  cluster: z.string(),
  from: holderSchema,
  to: holderSchema,
  message: z.discriminatedUnion('type', [
    z.strictObject({ type: z.literal('vote'), pre: z.boolean(), term: natural, lastIndex: natural, lastTerm: natural }),
    z.strictObject({ type: z.literal('voteAnswer'), pre: z.boolean(), term: natural, granted: z.boolean() }),
    z.strictObject({ type: z.literal('append'), term: natural, prevIndex: natural, prevTerm: natural, entries: z.array(entrySchema), commit: natural, round: natural }),
    z.strictObject({ type: z.literal('snapshot'), term: natural, snapshot: snapshotSchema, round: natural }),
    z.strictObject({ type: z.literal('appendAnswer'), term: natural, ok: z.boolean(), index: z.number().int(), round: natural })
  ])
})

/** Keeps asking to be let in until this VM's copy is a member. */
export function keepJoining (host: ControlHost): AsyncDisposable {
  return repeat(joinEveryMs, async () => await tryJoin(host), () => undefined)
}

async function tryJoin (host: ControlHost): Promise<void> {
  const { env } = host
  if (host.failed !== undefined) return
  if (isBlank(host)) {
    const cluster = await findCluster(env)
    if (cluster === undefined) return
    log(env.logs, 'member', 'info', 'Empty disk joins a running cluster.', { cluster, id: host.id })
    await joinCluster(host, cluster)
  }
  const isMember = host.replica?.members.some(member => member.id === host.id) ?? false
  if (isMember) return
  let problem: unknown
  for (const address of env.listPeerAddresses()) {
    try {
      await callPeer(env.client, address, 'cluster.join', { id: host.id })
      return
    } catch (err) {
      problem = err
    }
  }
  log(env.logs, 'member', 'warn', 'Not let in yet.', { id: host.id, error: getErrorMessage(problem) })
}

async function findCluster (env: ControlEnv): Promise<string | undefined> {
  for (const address of env.listPeerAddresses()) {
    const info = await callPeer<ClusterInfo>(env.client, address, 'cluster.info', {}).catch(() => undefined)
    if (info?.cluster !== undefined) return info.cluster
  }
  return undefined
}
