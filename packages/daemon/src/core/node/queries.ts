/** Operators' queries. A VM answers them from its own state or relays them to the leader. */
import { LynxError, getHolderVm } from '@lynxcourse/base'
import type { Millis, ServiceId } from '@lynxcourse/base'
import { getPauseMs } from '@lynxcourse/limits'
import { isLeaseValid, listServers, listVms } from '@lynxcourse/membership'
import { refreshBackend, routeRequest } from '@lynxcourse/routing'
import type { ObservedServer } from '@lynxcourse/routing'
import { listItems, findServiceProfile } from '@lynxcourse/state'
import * as z from 'zod'
import { confirmRead } from '../control/proposals.js'
import { isLeading } from '../control/hostState.js'
import type { ControlHost } from '../control/hostState.js'
import { getDrainStatus } from '../control/drainTask.js'
import type { LeaderTasks } from '../control/leaderState.js'
import { measureShiftLoads } from '../control/shiftTask.js'
import { getInForceStatus } from '../control/versionsInForce.js'
import { getCallerInfo, getCandidateRegions } from '../entry/callerRegions.js'
import { refreshRoutingState } from '../entry/entry.js'
import type { EntryState } from '../entry/entry.js'
import { createLimitGate } from '../entry/slots.js'
import { getCurrentTime } from '../../utils/clock.js'
import { callPeer } from '../rpc/rpcClient.js'
import { addMethod } from '../rpc/rpcServer.js'
import type { RpcServer } from '../rpc/rpcServer.js'
import { getLeaderAddress } from './node.js'
import type { Node } from './node.js'

/** The parts of the daemon that queries read; those of a role that this VM lacks are undefined. */
export interface QueryContext {
  readonly node: Node
  readonly control: ControlHost | undefined
  readonly leaderTasks: LeaderTasks | undefined
  readonly entry: EntryState | undefined
}

const relayedField = { relayed: z.boolean().default(false) }

/** Adds the methods `query.*`. */
export function addQueryMethods (rpc: RpcServer, context: QueryContext): void {
  addLeaderQuery(rpc, context, 'query.profiles', {}, (_, leaderTasks) => listItems(leaderTasks.host.machine.config, 'profile'))
  addLeaderQuery(rpc, context, 'query.history', { name: z.string() }, (params, leaderTasks) => leaderTasks.host.machine.history.get(String(params['name'])) ?? [])
  addLeaderQuery(rpc, context, 'query.services', {}, (_, leaderTasks) => listItems(leaderTasks.host.machine.config, 'service'))
  addLeaderQuery(rpc, context, 'query.drains', {}, (_, leaderTasks) => listDrains(leaderTasks))
  addLeaderQuery(rpc, context, 'query.shifts', {}, (_, leaderTasks) => listShifts(leaderTasks))
  addLeaderQuery(rpc, context, 'query.inForce', { version: z.number().int().min(0) }, (params, leaderTasks) => getInForceStatus(leaderTasks, Number(params['version']), getCurrentTime()))
  addLeaderQuery(rpc, context, 'query.limits', {}, (_, leaderTasks) => listLimits(leaderTasks))
  addLocalQueries(rpc, context)
}

type LeaderAnswer = (params: Readonly<Record<string, unknown>>, leaderTasks: LeaderTasks) => unknown

/**
 * Adds a query that only the leader can answer. The leader answers after a quorum has confirmed it, so that the answer is
 * never outdated.
 */
function addLeaderQuery (rpc: RpcServer, context: QueryContext, method: string, shape: z.ZodRawShape, answer: LeaderAnswer): void {
  addMethod(rpc, method, ['operator', 'vm'], z.strictObject({ ...shape, ...relayedField }), async params => {
    const { node, control, leaderTasks } = context
    if (control !== undefined && leaderTasks !== undefined && isLeading(control)) {
      await confirmRead(control)
      return answer(params, leaderTasks)
    }
    if (params['relayed'] === true || getLeaderAddress(node) === '' || node.leader === node.cfg.vm) {
      throw new LynxError('notLeader', 'no leader is known', { step: method })
    }
    return await callPeer(node.client, getLeaderAddress(node), method, { ...params, relayed: true })
  })
}

function listDrains (leaderTasks: LeaderTasks): unknown[] {
  const now = getCurrentTime()
  return listItems(leaderTasks.host.machine.config, 'drain').map(drain => {
    const { remaining, waitingFor } = getDrainStatus(leaderTasks, drain, now)
    return { ...drain, remaining, waitingFor, elapsedMs: Math.round(now - (leaderTasks.drainsFirstSeenAt.get(drain.key) ?? now)) }
  })
}

function listShifts (leaderTasks: LeaderTasks): unknown[] {
  const now = getCurrentTime()
  return listItems(leaderTasks.host.machine.config, 'shift').map(shift => {
    const { busy, slots, originBusy } = measureShiftLoads(leaderTasks, shift.service, shift.from, shift.to, now)
    return { ...shift, destinationBusy: busy, destinationSlots: slots, originBusy }
  })
}

function listLimits (leaderTasks: LeaderTasks): unknown[] {
  const rows: unknown[] = []
  for (const [resource, shares] of leaderTasks.host.machine.allocations.byResource) {
    for (const [holder, share] of shares) rows.push({ resource, holder, ...share })
  }
  return rows
}

function addLocalQueries (rpc: RpcServer, context: QueryContext): void {
  const { node, entry } = context
  addMethod(rpc, 'query.vms', ['operator', 'vm'], z.strictObject({}), () => listVms(node.directory))
  addMethod(rpc, 'query.servers', ['operator', 'vm'], z.strictObject({}), () => listObservedServers(node, entry))
  addMethod(rpc, 'query.status', ['operator', 'vm'], z.strictObject({}), () => createStatus(context))
  addMethod(rpc, 'query.explain', ['operator', 'vm'], z.strictObject({ service: z.string().min(1), client: z.string().min(7) }), params => {
    if (entry === undefined) throw new LynxError('badRequest', 'this VM has no entry role', { step: 'explain' })
    return explainRoute(entry, params.service as ServiceId, params.client)
  })
}

function listObservedServers (node: Node, entry: EntryState | undefined): unknown[] {
  const now = getCurrentTime()
  return listServers(node.directory).map(server => {
    const observed = entry?.router.backends.byId.get(server.key)
    return { ...server, seenAs: observed?.state, ...describeNotice(observed, now), inFlight: observed?.inFlight, latencyMs: observed === undefined ? undefined : Math.round(observed.latencyMs * 10) / 10 }
  })
}

/** Returns what a server has said about itself to this VM. */
function describeNotice (observed: ObservedServer | undefined, now: Millis): object {
  if (observed === undefined) return {}
  const { notice } = observed
  return { takesPerSecond: notice.limit.perSecond, pausedMs: Math.round(getPauseMs(notice, now)) || undefined, saysLeaving: notice.isLeaving || undefined }
}

/** Returns the answer to `query.status`: this VM's roles, lease, configuration version and replica. */
function createStatus (context: QueryContext): object {
  const { node, control } = context
  const now = getCurrentTime()
  return {
    vm: node.cfg.vm,
    region: node.cfg.region,
    failureDomain: node.cfg.failureDomain,
    roles: node.cfg.roles,
    current: isLeaseValid(node.configLease, now),
    confirmedAgeMs: Number.isFinite(node.configLease.confirmedAt) ? Math.round(now - node.configLease.confirmedAt) : null,
    version: node.config.version,
    leader: node.leader,
    open: context.entry?.open ?? 0,
    log: control?.replica === undefined ? null : createLogStatus(control)
  }
}

function createLogStatus (control: ControlHost): object | null {
  const { replica } = control
  if (replica === undefined) return null
  return {
    id: replica.id,
    role: replica.role,
    term: replica.term,
    leader: replica.leader === undefined ? null : getHolderVm(replica.leader),
    commit: replica.commit,
    members: replica.members,
    claims: control.machine.claims.records.size
  }
}

/** Returns how a request of a client would be routed now, with the states of the service's servers. */
function explainRoute (entry: EntryState, service: ServiceId, client: string): object {
  const now = getCurrentTime()
  refreshRoutingState(entry, now)
  const profile = findServiceProfile(entry.node.config, service)
  if (profile === undefined) throw new LynxError('unknownService', `'${service}'`, { step: 'explain', field: 'service' })
  const caller = getCallerInfo(entry, client)
  const places = getCandidateRegions(entry, service, profile, caller)
  const decision = routeRequest(entry.router, { service, places, triedServers: new Set() }, createLimitGate(entry, service, profile, getCurrentTime), now)
  const servers = (entry.router.backends.byService.get(service) ?? []).map(observed => {
    refreshBackend(entry.router.backends, observed, now)
    const { backend, state, inFlight, latencyMs } = observed
    return { server: backend.id, region: backend.region, state, leaving: backend.leaving, inFlight, slots: backend.slots, latencyMs: Math.round(latencyMs * 10) / 10, ...describeNotice(observed, now) }
  })
  return {
    service,
    profile: profile.name,
    client,
    clientRegion: caller.region ?? null,
    current: isLeaseValid(entry.node.configLease, now),
    places,
    decision: decision.type === 'send' ? { server: decision.observed.backend.id, region: decision.place.region } : 'wait',
    passedOver: decision.passedOver,
    drained: [...entry.drained],
    servers
  }
}
