/** Starts the parts of a daemon and disposes them in reverse order. */
import type { Server } from 'node:http'
import { getErrorMessage, nextState } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { isLeaseValid } from '@lynxcourse/membership'
import type { CallerBlock } from '@lynxcourse/routing'
import { listItems } from '@lynxcourse/state'
import { openTlsFiles } from '../plugins/tlsFiles.js'
import type { Settings } from '../types/settings.js'
import { getCurrentTime } from '../utils/clock.js'
import { announceClose, closeAllGracefully, trackConnections } from '../utils/gracefulServer.js'
import type { ConnectionTracker } from '../utils/gracefulServer.js'
import { closeServer, listen } from '../utils/httpServer.js'
import { log } from '../utils/logging.js'
import { startLoopMonitor } from '../utils/loopMonitor.js'
import { guardServer } from '../utils/connections/connectionGuard.js'
import { createMetricsServer } from '../utils/metricsServer.js'
import { createResourceStack, moveResources, addResource } from '../utils/resourceStack.js'
import type { ResourceStack } from '../utils/resourceStack.js'
import { enqueueEvent, openControl } from './control/controlHost.js'
import type { ControlHost } from './control/hostState.js'
import { addClusterMethods, keepJoining } from './control/joining.js'
import { resignLeadership } from './control/leaving.js'
import { startLeaderTasks } from './control/leaderTasks.js'
import type { LeaderTasks } from './control/leaderState.js'
import { addReportMethod } from './control/vmReports.js'
import { addAnnounceMethod } from './entry/announcements.js'
import { createCallerServer } from './entry/callerServer.js'
import { createClaimClient } from './entry/claimClient.js'
import { closeStaleConnections } from './entry/connectionPool.js'
import { createEntryState } from './entry/entry.js'
import type { EntryState } from './entry/entry.js'
import { startLoadPolling } from './entry/loadPolling.js'
import { addChangeMethod } from './node/changes.js'
import { addClaimMethod } from './node/claimService.js'
import { addCrashMethods } from './node/crashService.js'
import { createControlEnv, createNode, hasControlRole, hasEntryRole } from './node/node.js'
import type { Node, NodeDeps } from './node/node.js'
import { addQueryMethods } from './node/queries.js'
import { startReporting } from './node/reporting.js'
import { addSyncMethod, renewOwnRecord, startSyncing } from './node/syncing.js'
import type { Syncing } from './node/syncing.js'
import { delay, repeat } from './node/timers.js'
import { refreshPools } from './rpc/rpcClient.js'
import { createRpcServer, listenRpc } from './rpc/rpcServer.js'
import type { RpcServer } from './rpc/rpcServer.js'

/** A running daemon. */
export interface Daemon extends AsyncDisposable {
  readonly node: Node
  readonly control: ControlHost | undefined
  readonly leaderTasks: LeaderTasks | undefined
  readonly entry: EntryState | undefined
  readonly syncing: Syncing
  readonly servers: DaemonServers
}

/** The servers of a daemon with the calls in progress at them. */
export interface DaemonServers {
  readonly rpc: ConnectionTracker
  readonly metrics: ConnectionTracker
  /** For callers and backend servers; undefined without the entry role. */
  readonly callers: ConnectionTracker | undefined
}

const tickIntervalMs = 20
const sweepIntervalMs = 250
const drainPollIntervalMs = 50
const lookupCountIntervalMs = 500
/** Longest time that the servers for other VMs and for metrics take to close at a stop. */
const internalCloseMs: Millis = 500

/**
 * Starts a daemon.
 *
 * @param blocks the regions of callers by network address
 * @throws when stored data is not valid, or when an address is in use; all parts already opened are closed first
 */
export async function startDaemon (cfg: Settings, blocks: readonly CallerBlock[], deps: NodeDeps = {}): Promise<Daemon> {
  await using stack = createResourceStack()
  const tls = cfg.tls === undefined ? undefined : addResource(stack, openTlsFiles(cfg.tls, err => log(node.logs, 'rpc', 'error', 'TLS files not reloaded; the previous ones stay in use.', { error: getErrorMessage(err) })))
  const node = createNode(cfg, tls === undefined ? deps : { ...deps, tls }, getCurrentTime())
  addResource(stack, node.client)
  addResource(stack, node.guard)
  tls?.onChange(() => refreshPools(node.client))
  if (tls === undefined) log(node.logs, 'rpc', 'warn', 'No TLS: peers are not authenticated, so only loopback addresses are used.')
  const control = hasControlRole(node) ? addResource(stack, await openControl(createControlEnv(node))) : undefined
  const rpc = createRpcServer({ maxBytes: cfg.limits.maxRpcBytes, perSecond: cfg.limits.rpcPerSecond }, node.metrics, tls, addResource(stack, startLoopMonitor()))
  const syncing = addResource(stack, startSyncing(node, control))
  const entry = hasEntryRole(node) ? createEntryState(node, blocks, createClaimClient(node)) : undefined
  const leaderTasks = control === undefined ? undefined : startControlRole(stack, node, control, rpc)
  addSyncMethod(rpc, syncing)
  addChangeMethod(rpc, node, control)
  addQueryMethods(rpc, { node, control, leaderTasks, entry })
  const metricsServer = createMetricsServer(node.metrics, () => isLeaseValid(node.configLease, getCurrentTime()))
  if (entry !== undefined) addAnnounceMethod(rpc, entry, syncing)
  guardServer(node.guard, rpc.server, 'rpc')
  guardServer(node.guard, metricsServer, 'metrics')
  const servers: DaemonServers = {
    rpc: trackConnections(rpc.server),
    metrics: trackConnections(metricsServer),
    callers: entry === undefined ? undefined : trackConnections(startEntryRole(stack, entry, syncing))
  }
  // Owned before they listen: if one of them fails to listen, those already listening are closed.
  for (const { server } of listServers(servers)) addResource(stack, { [Symbol.asyncDispose]: async () => await closeServer(server) })
  await listenRpc(rpc, cfg.listen.rpc)
  await listen(metricsServer, cfg.listen.metrics)
  if (servers.callers !== undefined) await listen(servers.callers.server, cfg.listen.http)
  log(node.logs, 'daemon', 'info', 'Started.', { vm: cfg.vm, region: cfg.region, roles: cfg.roles.join(), http: cfg.listen.http, rpc: cfg.listen.rpc })
  const owned = moveResources(stack)
  return { node, control, leaderTasks, entry, syncing, servers, [Symbol.asyncDispose]: async () => await owned[Symbol.asyncDispose]() }
}

function listServers ({ rpc, metrics, callers }: DaemonServers): ConnectionTracker[] {
  return callers === undefined ? [rpc, metrics] : [rpc, metrics, callers]
}

function startControlRole (stack: ResourceStack, node: Node, control: ControlHost, rpc: RpcServer): LeaderTasks {
  const leaderTasks = addResource(stack, startLeaderTasks(node, control))
  addClusterMethods(rpc, control)
  addClaimMethod(rpc, control)
  addCrashMethods(rpc, control)
  addReportMethod(rpc, leaderTasks)
  addResource(stack, repeat(tickIntervalMs, () => enqueueEvent(control, { type: 'tick' }), () => undefined))
  addResource(stack, keepJoining(control))
  return leaderTasks
}

function startEntryRole (stack: ResourceStack, entry: EntryState, syncing: Syncing): Server {
  addResource(stack, entry.pool)
  addResource(stack, entry.loop)
  addResource(stack, startReporting(entry.node, entry))
  addResource(stack, startLoadPolling(entry))
  addResource(stack, repeat(sweepIntervalMs, () => closeStaleConnections(entry.pool, getCurrentTime()), () => undefined))
  addResource(stack, repeat(lookupCountIntervalMs, () => recordLookups(entry), () => undefined))
  return createCallerServer(entry, syncing)
}

function recordLookups (entry: EntryState): void {
  entry.node.metrics.lookups.inc({ result: 'ok' }, entry.uncountedLookups)
  entry.uncountedLookups = 0
}

/**
 * Takes the VM out of service without aborting requests: removes it from lookups, waits until the answers that callers
 * have cached expire, then waits for the requests in flight, for at most `times.stopMs`.
 */
export async function leaveGracefully (daemon: Daemon): Promise<void> {
  const { node, entry, syncing, servers } = daemon
  log(node.logs, 'daemon', 'info', 'Leaving.', { open: entry?.open ?? 0 })
  node.self = { ...node.self, state: nextState(node.directory.vmChart, node.self.state, 'leave') }
  renewOwnRecord(node, getCurrentTime())
  syncing.syncSoon()
  if (servers.callers !== undefined) announceClose(servers.callers)
  if (entry !== undefined) await drainEntry(entry, node)
  log(node.logs, 'daemon', 'info', 'Left.', { open: entry?.open ?? 0 })
}

async function drainEntry (entry: EntryState, node: Node): Promise<void> {
  const ttls = listItems(node.config, 'profile').map(item => item.profile.lookupTtlS * 1000)
  const propagationMs = node.cfg.times.syncMs * 3
  await delay(Math.max(0, ...ttls) + propagationMs)
  const deadline: Millis = getCurrentTime() + node.cfg.times.stopMs
  while (entry.open > 0 && getCurrentTime() < deadline) await delay(drainPollIntervalMs)
}

/**
 * Stops the VM gracefully: takes it out of service, waits until callers have their whole answers, for at most `times.stopMs`, lets
 * another VM lead, and answers the calls of other VMs and operators in progress.
 */
export async function stopDaemon (daemon: Daemon): Promise<void> {
  const { node, control, servers } = daemon
  const { rpc, metrics, callers } = servers
  await leaveGracefully(daemon)
  const unanswered = callers === undefined ? 0 : await closeAllGracefully([callers], node.cfg.times.stopMs)
  if (control !== undefined) await resignLeadership(control)
  const unansweredInternal = await closeAllGracefully([rpc, metrics], internalCloseMs)
  log(node.logs, 'daemon', 'info', 'Servers closed.', { unanswered: unanswered + unansweredInternal })
}
