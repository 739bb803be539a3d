/** A control VM of a fleet: its replica of the log, and the changes and reads that every control VM accepts. */
import { join } from 'node:path'
import { LynxError, brandId, hashText, createHolderId, isLynxError, getHolderVm } from '@lynxcourse/base'
import type { HolderId, Incarnation, Millis, RequestFingerprint, ServerId, VmId } from '@lynxcourse/base'
import { createKnownVersions, findItem, acceptsAnnouncement, hasBackendChanged, isUnconfirmableDrain, recordKnownVersion, getKnownVersionAt } from '@lynxcourse/state'
import type { BackendAnnouncement, ChangeAnswer, CrashCommand, KnownVersions, RolloutCommand, RouteCommand } from '@lynxcourse/state'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { validateValue } from '../../utils/validation.js'
import { announcementSchema } from '../../types/fleetCommands.js'
import type { LogFields } from '../../utils/logging.js'
import { openControl } from '../control/controlHost.js'
import { findLeader, isLeading } from '../control/hostState.js'
import type { ControlEnv, ControlHost } from '../control/hostState.js'
import { initCluster, isBlank } from '../control/membership.js'
import { grantControlTrial } from '../control/crashTrials.js'
import { createControlIssuer, issueTeamPermits, refreshMembers } from '../control/permitIssuing.js'
import type { ControlIssuer, PermitReply, PermitRequest } from '../control/permitIssuing.js'
import { proposeChange } from '../control/proposals.js'
import { callPeer } from '../rpc/rpcClient.js'
import { enqueueAnnouncement, createAnnouncementQueue } from './announcementQueue.js'
import type { AnnouncementQueue } from './announcementQueue.js'
import { createChangesInProgress, proposeRouteChange } from './changesInProgress.js'
import type { ChangesInProgress } from './changesInProgress.js'
import { listControlAddresses } from './fleetNode.js'
import type { FleetNode } from './fleetNode.js'
import { cancelTrial, createLoadBoard, createLoadAggregate } from '@lynxcourse/placement'
import type { LoadBoard, LoadAggregate, TrialAnswer, Trials } from '@lynxcourse/placement'
import { createPresence, hasRecentExchange } from './presence.js'
import type { Presence } from './presence.js'
import { createRolloutLeader } from './rolloutLeader.js'
import type { RolloutLeader } from './rolloutLeader.js'
import { createSharedDeltas } from './sharedDeltas.js'
import type { SharedDeltas } from './sharedDeltas.js'

/** State of a control VM. */
export interface FleetControl {
  readonly node: FleetNode
  readonly host: ControlHost
  /** Versions of the state that this VM knew recently. */
  readonly knownVersions: KnownVersions
  readonly presence: Presence
  readonly loadAggregate: LoadAggregate
  readonly board: LoadBoard
  readonly announcementQueue: AnnouncementQueue
  readonly permits: ControlIssuer
  readonly changes: ChangesInProgress
  /** Changes of the state as entry VMs are sent them. */
  readonly deltas: SharedDeltas
  /** At the leader: trials of restricted requests. */
  readonly trials: Trials
  /** At the leader: running rollouts. */
  readonly rollouts: RolloutLeader
  /** Whether calls that are held until there is a change have to end, because this VM stops. */
  hasEndedWatches: boolean
}

/** The commands that a fleet's VMs and operators submit. */
export type FleetCommand = RouteCommand | CrashCommand | RolloutCommand

/**
 * Incarnation of the seeds' disks when they found the group, so that each seed can derive the holder ids of the others.
 */
const founderIncarnation = brandId<Incarnation>('first')

/** Timeout of a call to the leader. The outcome of a change that takes longer is unknown to its sender. */
const submitTimeoutMs: Millis = 900

/** Opens the replica; on the first start of the fleet, the seeds found the group. */
export async function openFleetControl (node: FleetNode): Promise<FleetControl> {
  const { cfg } = node
  const isFounder = cfg.isFirstStart && cfg.seeds.includes(cfg.rpc)
  const host = await openControl(createControlEnv(node, isFounder))
  if (isFounder && isBlank(host)) {
    const voters: HolderId[] = cfg.seeds.map(seed => createHolderId(brandId<VmId>(seed), founderIncarnation))
    const cluster = `fleet-${hashText([...cfg.seeds].sort().join()).toString(16)}`
    await initCluster(host, cluster, [...voters].sort())
  }
  const knownVersions = createKnownVersions()
  const recordVersion = (): void => recordKnownVersion(knownVersions, host.machine.config.version, getCurrentTime())
  const permits = createControlIssuer(getCurrentTime())
  const recordProgress = (): void => {
    recordVersion()
    refreshMembers(permits, host, getCurrentTime())
  }
  recordProgress()
  host.progressListeners.push(recordProgress)
  return { node, host, knownVersions, presence: createPresence(), loadAggregate: createLoadAggregate(), board: createLoadBoard(), announcementQueue: createAnnouncementQueue(), changes: createChangesInProgress(), deltas: createSharedDeltas(), permits, trials: new Map(), rollouts: createRolloutLeader(), hasEndedWatches: false }
}

function createControlEnv (node: FleetNode, isFounder: boolean): ControlEnv {
  const { cfg, logs, metrics, random, client } = node
  return {
    vm: brandId<VmId>(cfg.rpc),
    folder: join(cfg.dataFolder ?? '.', 'control'),
    times: cfg.times,
    logs,
    metrics,
    random,
    client,
    firstIncarnation: isFounder ? founderIncarnation : undefined,
    // The name of a control VM is its RPC address, so other VMs can reach a new control VM without a configured list.
    getAddress: vm => vm,
    listPeerAddresses: () => listControlAddresses(node)
  }
}

/** Returns the RPC address of the leader; undefined if this VM knows none. */
export function getLeaderAddress (control: FleetControl): string | undefined {
  const leader = findLeader(control.host, getCurrentTime())
  return leader === undefined ? undefined : getHolderVm(leader)
}

/** A call to the leader by a VM that does not lead. */
export interface LeaderCall {
  /** Name of the operation, for errors. */
  readonly step: string
  readonly method: string
  readonly params: object
  /** Whether another control VM forwarded the call; it is not forwarded again. */
  readonly isRelayed: boolean
}

/**
 * Calls the leader.
 *
 * @throws LynxError `notLeader` if no other VM is known to lead, or if the call was forwarded already
 */
export async function relayToLeader<Result> (control: FleetControl, { step, method, params, isRelayed }: LeaderCall): Promise<Result> {
  const { node } = control
  const leader = getLeaderAddress(control)
  if (leader === undefined || leader === node.cfg.rpc || isRelayed) throw new LynxError('notLeader', 'no leader is known', { step })
  return await callPeer<Result>(node.client, leader, method, params, submitTimeoutMs)
}

/**
 * Submits a command to the leader and waits until it is committed.
 *
 * @param isRelayed whether another control VM forwarded the command; it is not forwarded again
 * @param arrivedAt earliest time at which the command may have arrived in the kernel of this VM; undefined for the VM's
 * own commands
 * @throws LynxError if the outcome is unknown
 */
export async function submitFleetCommand (control: FleetControl, submitted: FleetCommand, isRelayed = false, arrivedAt?: Millis): Promise<ChangeAnswer> {
  const { host, node } = control
  if (submitted.type === 'startRollout' && node.cfg.rollouts === undefined) {
    return { ok: false, code: 'notFound', detail: 'the settings of this fleet allow no rollouts', winner: undefined }
  }
  const command = isRelayed ? submitted : withBaseVersion(control, submitted, arrivedAt)
  if (isLeading(host)) {
    const isRouteSetChange = command.type === 'replaceRoutes' || command.type === 'updateRoutes'
    const answer = isRouteSetChange ? await proposeRouteChange(control.changes, host, command) : await proposeChange(host, command, 'submit')
    logCommand(control, command, answer)
    return answer
  }
  return await relayToLeader<ChangeAnswer>(control, { step: 'submit', method: 'fleet.submit', params: { command }, isRelayed })
}

/**
 * Adds a base version to an evacuation without one: the version of the state that this VM knew when the order may have
 * arrived.
 */
function withBaseVersion ({ host, knownVersions }: FleetControl, command: FleetCommand, arrivedAt: Millis | undefined): FleetCommand {
  if (command.type !== 'evacuate' || command.baseVersion !== undefined) return command
  return { ...command, baseVersion: arrivedAt === undefined ? host.machine.config.version : getKnownVersionAt(knownVersions, arrivedAt) }
}

function logCommand (control: FleetControl, command: FleetCommand, answer: ChangeAnswer): void {
  const { logs } = control.node
  const outcome = answer.ok ? 'applied' : answer.detail
  switch (command.type) {
    case 'announce':
      logAnnouncement(control, command.facts)
      break
    case 'announceAll':
      for (const facts of command.servers) logAnnouncement(control, facts)
      break
    case 'dismiss':
    case 'miss':
      log(logs, 'member', 'info', command.type === 'miss' ? 'Servers fell silent.' : 'Servers ended.', { servers: command.ids.join(), version: control.host.machine.config.version })
      break
    case 'reportServerEnds':
      logRestrictions(control, [...command.ends.map(({ request }) => request), ...command.answered])
      break
    case 'releaseRequest':
      log(logs, 'route', 'info', 'Release of a request processed.', { request: command.request, outcome })
      break
    case 'startRollout':
    case 'advanceRollout':
    case 'abortRollout':
      logRollout(control, command, outcome)
      break
    case 'evacuate':
      log(logs, 'drain', 'info', 'Evacuation processed.', { failureDomain: command.failureDomain, active: command.isActive, base: command.baseVersion, outcome, version: control.host.machine.config.version })
      break
    default:
      log(logs, 'agree', 'info', 'Routes change processed.', { type: command.type, order: command.order, base: command.baseVersion, routesVersion: command.routesVersion, ok: answer.ok, outcome })
  }
}

function logAnnouncement ({ node, host }: FleetControl, { id, service, isDraining, seq, coldMs }: BackendAnnouncement): void {
  log(node.logs, 'announce', 'info', 'Server announced itself.', { server: id, service, draining: isDraining, seq, coldMs, version: host.machine.config.version })
}

/** Logs an order or step of a rollout with the rollout's state after it; the reason of a step contains its evidence. */
function logRollout ({ node, host }: FleetControl, { type, service }: RolloutCommand, outcome: string): void {
  const item = findItem(host.machine.config, 'rollout', service)
  log(node.logs, 'rollout', item?.state === 'rolledBack' ? 'warn' : 'info', 'Rollout command processed.', { type, service, outcome, state: item?.state, baseline: item?.baseline, target: item?.target, percent: item?.percent, order: item?.order, step: item?.step, reason: item?.reason })
}

/** Logs the state of the requests that a report was about, unless they are not restricted. */
function logRestrictions ({ node, host }: FleetControl, requests: readonly RequestFingerprint[]): void {
  for (const request of new Set(requests)) {
    const item = findItem(host.machine.config, 'crashingRequest', request)
    if (item !== undefined) log(node.logs, 'route', 'warn', 'Request under which servers ended.', { request, route: item.route, state: item.state, servers: item.servers.join(), blockedUntil: item.blockedUntil })
  }
}

/**
 * Decides at the leader whether a VM may send a restricted request as a trial.
 *
 * @param forMs longest time that the trial may take
 * @param isRelayed whether another control VM forwarded the claim; it is not forwarded again
 * @throws LynxError if no leader can be reached
 */
export async function claimTrial (control: FleetControl, request: RequestFingerprint, forMs: Millis, isRelayed: boolean): Promise<TrialAnswer> {
  const { host, trials } = control
  if (isLeading(host)) return grantControlTrial(host, trials, request, forMs, getCurrentTime())
  return await relayToLeader<TrialAnswer>(control, { step: 'trial', method: 'fleet.claimTrial', params: { request, forMs, isRelayed: true }, isRelayed })
}

/**
 * Takes back a trial in which no server got the request, at the leader.
 *
 * @param isRelayed whether another control VM forwarded the call; it is not forwarded again
 * @throws LynxError if no leader can be reached
 */
export async function cancelFleetTrial (control: FleetControl, request: RequestFingerprint, isRelayed: boolean): Promise<void> {
  if (isLeading(control.host)) cancelTrial(control.trials, request)
  else await relayToLeader(control, { step: 'trial', method: 'fleet.cancelTrial', params: { request, isRelayed: true }, isRelayed })
}

/**
 * Handles a server's announcement. An announcement that changes the state is committed before the server receives its
 * answer: a server whose leaving is confirmed gets no new requests from any VM that is connected to the leader.
 *
 * If this VM is partitioned from the leader and confirms announcements all the same, none of these servers tries
 * another VM, and the leader marks all of them as lost. The symptom is log lines about silent servers that still answer
 * requests. So an unchanged announcement is confirmed only after a recent exchange with the leader, and not while this
 * VM's disk fails, since its copy of the state is old then.
 *
 * @throws LynxError if the leader can't be reached, or `badRequest` if the failure domain is unknown or a field is invalid
 */
export async function handleAnnouncement (control: FleetControl, facts: BackendAnnouncement, now: Millis): Promise<void> {
  if (!control.node.cfg.regions.has(facts.failureDomain)) {
    throw new LynxError('badRequest', `failureDomain: '${facts.failureDomain}' is not known`, { step: 'announce', field: 'failureDomain' })
  }
  const { config } = control.host.machine
  const isAccepted = acceptsAnnouncement(config, facts)
  const hasChanged = hasBackendChanged(config, facts)
  // What repeats a known announcement was valid before.
  if (!isAccepted || hasChanged) validateValue(announcementSchema, facts, 'announce', '')
  if (isUnconfirmableDrain(config, facts)) {
    throw new LynxError('notLeader', `another incarnation of '${facts.id}' serves, so that its drain can't be confirmed`, { step: 'announce', field: 'bornAt' })
  }
  const isConfirmed = control.host.replica !== undefined && hasRecentExchange(control.presence, control.node.cfg.times.presenceMs, now)
  if (!hasChanged && !isConfirmed) {
    throw new LynxError('notLeader', 'no recent exchange with the leader', { step: 'announce' })
  }
  if (isAccepted) control.presence.heard.add(facts.id)
  if (!hasChanged) return
  await enqueueAnnouncement(control.announcementQueue, () => control.host.machine.config, facts, async servers => await submitFleetCommand(control, { type: 'announceAll', servers }))
}

/**
 * Records that a server has ended or is ending.
 *
 * @param bornAt start time of the server's incarnation; undefined for any
 */
export async function dismissServer (control: FleetControl, id: ServerId, bornAt?: Millis): Promise<void> {
  if (findItem(control.host.machine.config, 'backend', id)?.state === 'gone') return
  await submitFleetCommand(control, { type: 'dismiss', ids: [id], ...(bornAt === undefined ? {} : { bornAt }) })
}

/**
 * Issues permits for requests of teams from this VM's share of the teams' rate limits.
 *
 * @throws LynxError if this VM may not issue permits now
 */
export function takePermits (control: FleetControl, requests: readonly PermitRequest[], now: Millis): PermitReply {
  const { host, node, permits } = control
  return issueTeamPermits(permits, host, node.cfg.rateBound, requests, getStateAge(control, now), now)
}

/** Returns how long ago the local copy was last known to be the current state. */
export function getStateAge (control: FleetControl, now: Millis): Millis {
  const { replica, appliedUpToDateAt } = control.host
  return replica === undefined ? Infinity : now - appliedUpToDateAt
}

/** Returns the sizes of what this VM holds, for the log. */
export function describeHeldBytes ({ host, changes }: FleetControl): LogFields {
  return { logBytes: host.storage.logBytes, logEntries: host.replica?.entries.length, snapshotBytes: host.replica?.snapshot.data.length, changeBytes: changes.bytes, proposals: host.proposals.length + host.appendedProposals.size }
}

/** Whether a call that failed with this error may succeed at another VM. */
export function isRetryableElsewhere (err: unknown): boolean {
  return isLynxError(err, 'notLeader') || isLynxError(err, 'noQuorum') || isLynxError(err, 'peerFailed') || isLynxError(err, 'overCapacity') || isLynxError(err, 'diskFailed')
}

/** Ends the calls that this VM holds until there is a change, so that their senders continue at other VMs. */
export function endWatches (control: FleetControl): void {
  control.hasEndedWatches = true
  for (const listener of [...control.host.progressListeners]) listener()
}
