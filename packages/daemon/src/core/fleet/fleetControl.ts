/** A control VM of a fleet: its copy of the log, and changes and reads that any control VM takes. */
import { join } from 'node:path'
import { LynxError, brandId, hashText, createHolderId, isLynxError, getHolderVm } from '@lynxcourse/base'
import type { HolderId, Incarnation, Millis, ServerId, VmId } from '@lynxcourse/base'
import { createKnownVersions, findItem, acceptsAnnouncement, hasBackendChanged, recordKnownVersion, findRouteSet, getRoutesVersion, getKnownVersionAt } from '@lynxcourse/state'
import type { BackendAnnouncement, ChangeAnswer, KnownVersions, RouteCommand, RouteSet } from '@lynxcourse/state'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { openControl } from '../control/controlHost.js'
import { isLeading } from '../control/hostState.js'
import type { ControlEnv, ControlHost } from '../control/hostState.js'
import { initCluster, isBlank } from '../control/membership.js'
import { confirmRead, proposeCommand } from '../control/proposals.js'
import { callPeer } from '../rpc/rpcClient.js'
import { announceTogether, createAnnouncing } from './announcementQueue.js'
import type { Announcing } from './announcementQueue.js'
import { controlAddresses } from './fleetNode.js'
import type { FleetNode } from './fleetNode.js'
import { createLoadBoard, createLoadAggregate } from '@lynxcourse/placement'
import type { LoadBoard, LoadAggregate } from '@lynxcourse/placement'
import { createPresence, isInTouch } from './presence.js'
import type { Presence } from './presence.js'

/** A control VM's part. */
export interface FleetControl {
  readonly node: FleetNode
  readonly host: ControlHost
  /** Versions of the state that this VM has known of late. */
  readonly versions: KnownVersions
  readonly presence: Presence
  readonly intake: LoadAggregate
  readonly board: LoadBoard
  readonly announcing: Announcing
}

/** The routes as a read gives them. */
export interface RoutesReadResult {
  readonly routesVersion: number
  readonly set: RouteSet | undefined
}

/** Incarnation of the disks that found the group, so that each seed can name the others' copies. */
const founding = brandId<Incarnation>('first')

/** A change waits this long for the leader and its quorum, then its outcome is unknown to the sender. */
const submitTimeoutMs: Millis = 900

/** Opens the copy; on the fleet's first start the seeds found the group. */
export async function openFleetControl (node: FleetNode): Promise<FleetControl> {
  const { cfg } = node
  const isFounder = cfg.isFirstStart && cfg.seeds.includes(cfg.rpc)
  const host = await openControl(envOf(node, isFounder))
  if (isFounder && isBlank(host)) {
    const voters: HolderId[] = cfg.seeds.map(seed => createHolderId(brandId<VmId>(seed), founding))
    const cluster = `fleet-${hashText([...cfg.seeds].sort().join()).toString(16)}`
    await initCluster(host, cluster, [...voters].sort())
  }
  const versions = createKnownVersions()
  const note = (): void => recordKnownVersion(versions, host.machine.config.version, getCurrentTime())
  note()
  host.progressListeners.push(note)
  return { node, host, versions, presence: createPresence(), intake: createLoadAggregate(), board: createLoadBoard(), announcing: createAnnouncing() }
}

function envOf (node: FleetNode, isFounder: boolean): ControlEnv {
  const { cfg, logs, metrics, random, client } = node
  return {
    vm: brandId<VmId>(cfg.rpc),
    folder: join(cfg.dataFolder ?? '.', 'control'),
    times: cfg.times,
    logs,
    metrics,
    random,
    client,
    firstIncarnation: isFounder ? founding : undefined,
    // A control VM's name is its address, so that a new one needs no list to be found by.
    getAddress: vm => vm,
    listPeerAddresses: () => controlAddresses(node)
  }
}

/** RPC address of the leader, if this VM knows one. */
export function leaderOf (control: FleetControl): string | undefined {
  const leader = control.host.replica?.leader
  return leader === undefined ? undefined : getHolderVm(leader)
}

/**
 * Has the leader apply a command, and waits until it is committed.
 *
 * @param arrivedAt since when an order can have lain unread at this VM; undefined for a command that this VM gives itself
 * @throws LynxError when the outcome is not known
 */
export async function submitRouteCommand (control: FleetControl, given: RouteCommand, isRelayed = false, arrivedAt?: Millis): Promise<ChangeAnswer> {
  const { host, node } = control
  const command = isRelayed ? given : withBase(control, given, arrivedAt)
  if (isLeading(host)) {
    const answer = await proposeCommand(host, command)
    if (answer.type !== 'change') throw new LynxError('badRpc', 'no answer to a change', { step: 'submit' })
    logChange(control, command, answer.change)
    return answer.change
  }
  const leader = leaderOf(control)
  if (leader === undefined || leader === node.cfg.rpc || isRelayed) throw new LynxError('notLeader', 'no leader is known', { step: 'submit' })
  return await callPeer<ChangeAnswer>(node.client, leader, 'fleet.submit', { command }, submitTimeoutMs)
}

/** Marks an order that names no version of its own with the state that this VM knew when the order can have come. */
function withBase ({ host, versions }: FleetControl, command: RouteCommand, arrivedAt: Millis | undefined): RouteCommand {
  if (command.type !== 'evacuate' || command.baseVersion !== undefined) return command
  return { ...command, baseVersion: arrivedAt === undefined ? host.machine.config.version : getKnownVersionAt(versions, arrivedAt) }
}

function logChange (control: FleetControl, command: RouteCommand, answer: ChangeAnswer): void {
  const { logs } = control.node
  const outcome = answer.ok ? 'applied' : answer.detail
  switch (command.type) {
    case 'announce':
      logAnnounced(control, command.facts)
      break
    case 'announceAll':
      for (const facts of command.servers) logAnnounced(control, facts)
      break
    case 'dismiss':
    case 'miss':
      log(logs, 'member', 'info', command.type === 'miss' ? 'Servers fell silent.' : 'Servers ended.', { servers: command.ids.join(), version: control.host.machine.config.version })
      break
    case 'evacuate':
      log(logs, 'drain', 'info', 'Evacuation judged.', { failureDomain: command.failureDomain, active: command.isActive, base: command.baseVersion, outcome, version: control.host.machine.config.version })
      break
    default:
      log(logs, 'agree', 'info', 'Routes change judged.', { type: command.type, order: command.order, base: command.baseVersion, routesVersion: command.routesVersion, ok: answer.ok, outcome })
  }
}

function logAnnounced ({ node, host }: FleetControl, { id, service, isDraining, seq, coldMs }: BackendAnnouncement): void {
  log(node.logs, 'announce', 'info', 'Server announced itself.', { server: id, service, draining: isDraining, seq, coldMs, version: host.machine.config.version })
}

/**
 * Reads the routes as of now, confirmed by a quorum.
 *
 * @throws LynxError when this VM can't be sure that they are the newest
 */
export async function readRoutes (control: FleetControl, isRelayed = false): Promise<RoutesReadResult> {
  const { host, node } = control
  if (isLeading(host)) {
    await confirmRead(host)
    return { routesVersion: getRoutesVersion(host.machine.config), set: findRouteSet(host.machine.config) }
  }
  const leader = leaderOf(control)
  if (leader === undefined || leader === node.cfg.rpc || isRelayed) throw new LynxError('notLeader', 'no leader is known', { step: 'read' })
  return await callPeer<RoutesReadResult>(node.client, leader, 'fleet.read', {}, submitTimeoutMs)
}

/**
 * Takes a server's announcement. What is news is committed before the server hears of it, so that a
 * server told that its leaving is known gets no new work from any VM in touch.
 *
 * What can go wrong: this VM is cut off from the leader, and servers go on to announce themselves here. Confirmed, none of them
 * turns to another VM, and the leader takes all of them for lost. It shows as lines of servers that fell silent while they answer
 * requests. So an announcement without news is confirmed only where the leader was reached lately.
 *
 * @throws LynxError when the leader could not be reached, or for a failure domain that is not known
 */
export async function handleAnnouncement (control: FleetControl, facts: BackendAnnouncement, now: Millis): Promise<void> {
  if (!control.node.cfg.regions.has(facts.failureDomain)) {
    throw new LynxError('badRequest', `failureDomain: '${facts.failureDomain}' is not known`, { step: 'announce', field: 'failureDomain' })
  }
  const { config } = control.host.machine
  const hasNews = hasBackendChanged(config, facts)
  if (!hasNews && !isInTouch(control.presence, control.node.cfg.times.presenceMs, now)) {
    throw new LynxError('notLeader', 'the leader was not reached lately', { step: 'announce' })
  }
  if (acceptsAnnouncement(config, facts)) control.presence.heard.add(facts.id)
  if (!hasNews) return
  await announceTogether(control.announcing, () => control.host.machine.config, facts, async servers => await submitRouteCommand(control, { type: 'announceAll', servers }))
}

/** Takes a server's word that it has ended or ends now; `bornAt` tells which start of it. */
export async function dismissServer (control: FleetControl, id: ServerId, bornAt?: Millis): Promise<void> {
  if (findItem(control.host.machine.config, 'backend', id)?.state === 'gone') return
  await submitRouteCommand(control, { type: 'dismiss', ids: [id], ...(bornAt === undefined ? {} : { bornAt }) })
}

/** Whether the copy is known to be the present state, as of some milliseconds ago. */
export function getStateAge (control: FleetControl, now: Millis): Millis {
  const { replica, appliedUpToDateAt } = control.host
  if (replica === undefined) return Infinity
  return now - (isLeading(control.host) ? replica.quorumConfirmedAt : appliedUpToDateAt)
}

/** Whether an error says only that another VM should be asked. */
export function isRetryableElsewhere (err: unknown): boolean {
  return isLynxError(err, 'notLeader') || isLynxError(err, 'noQuorum') || isLynxError(err, 'peerFailed') || isLynxError(err, 'overCapacity')
}
