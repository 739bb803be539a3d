/** What operators may ask: any VM answers from its own view, or passes the question to the leader. */
import { LynxError, getHolderVm } from '@lynxcourse/base'
import type { ServiceId } from '@lynxcourse/base'
import { isLeaseValid, listServers, listVms } from '@lynxcourse/membership'
import { refreshBackend, routeRequest } from '@lynxcourse/routing'
import { listItems, findServiceProfile } from '@lynxcourse/state'
import * as z from 'zod'
import { confirmRead } from '../control/proposals.js'
import { isLeading } from '../control/hostState.js'
import type { ControlHost } from '../control/hostState.js'
import { judgeItem } from '../control/drainTask.js'
import type { LeaderDuties } from '../control/leaderState.js'
import { measureShift } from '../control/shiftTask.js'
import { judgeInForce } from '../control/versionsInForce.js'
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

/** Parts that questions are answered from. */
export interface QueryParts {
  readonly node: Node
  readonly control: ControlHost | undefined
  readonly duties: LeaderDuties | undefined
  readonly entry: EntryState | undefined
}

const relayed = { relayed: z.boolean().default(false) }

/** Adds all questions. */
export function addQueryMethods (rpc: RpcServer, parts: QueryParts): void {
  addLeaderQuery(rpc, parts, 'query.profiles', {}, (_, duties) => listItems(duties.host.machine.config, 'profile'))
  addLeaderQuery(rpc, parts, 'query.history', { name: z.string() }, (params, duties) => duties.host.machine.history.get(String(params['name'])) ?? [])
  addLeaderQuery(rpc, parts, 'query.services', {}, (_, duties) => listItems(duties.host.machine.config, 'service'))
  addLeaderQuery(rpc, parts, 'query.drains', {}, (_, duties) => drainList(duties))
  addLeaderQuery(rpc, parts, 'query.shifts', {}, (_, duties) => shiftList(duties))
  addLeaderQuery(rpc, parts, 'query.inForce', { version: z.number().int().min(0) }, (params, duties) => judgeInForce(duties, Number(params['version']), getCurrentTime()))
  addLeaderQuery(rpc, parts, 'query.limits', {}, (_, duties) => limitList(duties))
  addLocalQueries(rpc, parts)
}

type LeaderAnswer = (params: Readonly<Record<string, unknown>>, duties: LeaderDuties) => unknown

/** A question that only the leader can answer; read at a quorum, so that no old state is shown. */
function addLeaderQuery (rpc: RpcServer, parts: QueryParts, method: string, shape: z.ZodRawShape, answer: LeaderAnswer): void {
  addMethod(rpc, method, ['operator', 'vm'], z.strictObject({ ...shape, ...relayed }), async params => {
    const { node, control, duties } = parts
    if (control !== undefined && duties !== undefined && isLeading(control)) {
      await confirmRead(control)
      return answer(params, duties)
    }
    if (params['relayed'] === true || getLeaderAddress(node) === '' || node.leader === node.cfg.vm) {
      throw new LynxError('notLeader', 'no leader is known', { step: method })
    }
    return await callPeer(node.client, getLeaderAddress(node), method, { ...params, relayed: true })
  })
}

function drainList (duties: LeaderDuties): unknown[] {
  const now = getCurrentTime()
  return listItems(duties.host.machine.config, 'drain').map(drain => {
    const { remaining, waitingFor } = judgeItem(duties, drain, now)
    return { ...drain, remaining, waitingFor, elapsedMs: Math.round(now - (duties.drainsSeen.get(drain.key) ?? now)) }
  })
}

function shiftList (duties: LeaderDuties): unknown[] {
  const now = getCurrentTime()
  return listItems(duties.host.machine.config, 'shift').map(shift => {
    const { busy, slots, originBusy } = measureShift(duties, shift.service, shift.from, shift.to, now)
    return { ...shift, destinationBusy: busy, destinationSlots: slots, originBusy }
  })
}

function limitList (duties: LeaderDuties): unknown[] {
  const rows: unknown[] = []
  for (const [resource, shares] of duties.host.machine.allocations.byResource) {
    for (const [holder, share] of shares) rows.push({ resource, holder, ...share })
  }
  return rows
}

function addLocalQueries (rpc: RpcServer, parts: QueryParts): void {
  const { node, entry } = parts
  addMethod(rpc, 'query.vms', ['operator', 'vm'], z.strictObject({}), () => listVms(node.directory))
  addMethod(rpc, 'query.servers', ['operator', 'vm'], z.strictObject({}), () => serverList(node, entry))
  addMethod(rpc, 'query.status', ['operator', 'vm'], z.strictObject({}), () => statusOf(parts))
  addMethod(rpc, 'query.explain', ['operator', 'vm'], z.strictObject({ service: z.string().min(1), client: z.string().min(7) }), params => {
    if (entry === undefined) throw new LynxError('badRequest', 'this VM has no entry role', { step: 'explain' })
    return explainRoute(entry, params.service as ServiceId, params.client)
  })
}

function serverList (node: Node, entry: EntryState | undefined): unknown[] {
  return listServers(node.directory).map(server => {
    const observed = entry?.router.backends.byId.get(server.key)
    return { ...server, seenAs: observed?.state, inFlight: observed?.inFlight, latencyMs: observed === undefined ? undefined : Math.round(observed.latencyMs * 10) / 10 }
  })
}

/** What a VM says of itself. */
function statusOf (parts: QueryParts): object {
  const { node, control } = parts
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
    open: parts.entry?.open ?? 0,
    log: control?.replica === undefined ? null : logStatus(control)
  }
}

function logStatus (control: ControlHost): object | null {
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

/** Shows how a request of a client would be routed now, and why. */
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
    return { server: backend.id, region: backend.region, state, leaving: backend.leaving, inFlight, slots: backend.slots, latencyMs: Math.round(latencyMs * 10) / 10 }
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
