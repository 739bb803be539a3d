/** Joins the parts of a daemon and stops them in order. */
import type { Server } from 'node:http'
import { getErrorMessage, nextState } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { isLeaseValid } from '@lynxcourse/membership'
import type { CallerBlock } from '@lynxcourse/routing'
import { listItems } from '@lynxcourse/state'
import { openTlsFiles } from '../plugins/tlsFiles.js'
import type { Settings } from '../types/settings.js'
import { getCurrentTime } from '../utils/clock.js'
import { closeServer, listen } from '../utils/httpServer.js'
import { log } from '../utils/logging.js'
import { startLoopMonitor } from '../utils/loopMonitor.js'
import { createMetricsServer } from '../utils/metricsServer.js'
import { createResourceStack, moveResources, addResource } from '../utils/resourceStack.js'
import type { ResourceStack } from '../utils/resourceStack.js'
import { enqueueEvent, openControl } from './control/controlHost.js'
import type { ControlHost } from './control/hostState.js'
import { addClusterMethods, keepJoining } from './control/joining.js'
import { startDuties } from './control/leaderTasks.js'
import type { LeaderDuties } from './control/leaderState.js'
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
import { controlEnv, createNode, isControl, isEntry } from './node/node.js'
import type { Node, NodeDeps } from './node/node.js'
import { addQueryMethods } from './node/queries.js'
import { startReporting } from './node/reporting.js'
import { addSyncMethod, renewSelf, startSyncing } from './node/syncing.js'
import type { Syncing } from './node/syncing.js'
import { delay, repeat } from './node/timers.js'
import { refreshPools } from './rpc/rpcClient.js'
import { createRpcServer, listenRpc } from './rpc/rpcServer.js'
import type { RpcServer } from './rpc/rpcServer.js'

/** A running daemon. */
export interface Daemon extends AsyncDisposable {
  readonly node: Node
  readonly control: ControlHost | undefined
  readonly duties: LeaderDuties | undefined
  readonly entry: EntryState | undefined
  readonly syncing: Syncing
  readonly servers: readonly Server[]
}

const tickMs = 20
const sweepMs = 250
const drainPollMs = 50
const countEveryMs = 500

/** Starts a daemon. */
export async function startDaemon (cfg: Settings, blocks: readonly CallerBlock[], deps: NodeDeps = {}): Promise<Daemon> {
  await using stack = createResourceStack()
  const tls = cfg.tls === undefined ? undefined : addResource(stack, openTlsFiles(cfg.tls, err => log(node.logs, 'rpc', 'error', 'TLS files not taken over.', { error: getErrorMessage(err) })))
  const node = createNode(cfg, tls === undefined ? deps : { ...deps, tls }, getCurrentTime())
  addResource(stack, node.client)
  tls?.onChange(() => refreshPools(node.client))
  if (tls === undefined) log(node.logs, 'rpc', 'warn', 'No TLS: peers are not checked, so only loopback addresses are used.')
  const control = isControl(node) ? addResource(stack, await openControl(controlEnv(node))) : undefined
  const rpc = createRpcServer({ maxBytes: cfg.limits.maxRpcBytes, perSecond: cfg.limits.rpcPerSecond }, node.metrics, tls, addResource(stack, startLoopMonitor()))
  const syncing = addResource(stack, startSyncing(node, control))
  const entry = isEntry(node) ? createEntryState(node, blocks, createClaimClient(node)) : undefined
  const duties = control === undefined ? undefined : startControlParts(stack, node, control, rpc)
  addSyncMethod(rpc, syncing)
  addChangeMethod(rpc, node, control)
  addQueryMethods(rpc, { node, control, duties, entry })
  const metricsServer = createMetricsServer(node.metrics, () => isLeaseValid(node.configLease, getCurrentTime()))
  const servers = [rpc.server, metricsServer]
  if (entry !== undefined) {
    addAnnounceMethod(rpc, entry, syncing)
    servers.push(startEntryParts(stack, entry, syncing))
  }
  // Owned from before they listen: a later one that can't would leave the others open.
  for (const server of servers) addResource(stack, { [Symbol.asyncDispose]: async () => await closeServer(server) })
  await listenRpc(rpc, cfg.listen.rpc)
  await listen(metricsServer, cfg.listen.metrics)
  if (entry !== undefined) await listen(servers[2] as Server, cfg.listen.http)
  log(node.logs, 'daemon', 'info', 'Started.', { vm: cfg.vm, region: cfg.region, roles: cfg.roles.join(), http: cfg.listen.http, rpc: cfg.listen.rpc })
  const owned = moveResources(stack)
  return { node, control, duties, entry, syncing, servers, [Symbol.asyncDispose]: async () => await owned[Symbol.asyncDispose]() }
}

function startControlParts (stack: ResourceStack, node: Node, control: ControlHost, rpc: RpcServer): LeaderDuties {
  const duties = addResource(stack, startDuties(node, control))
  addClusterMethods(rpc, control)
  addClaimMethod(rpc, control)
  addReportMethod(rpc, duties)
  addResource(stack, repeat(tickMs, () => enqueueEvent(control, { type: 'tick' }), () => undefined))
  addResource(stack, keepJoining(control))
  return duties
}

function startEntryParts (stack: ResourceStack, entry: EntryState, syncing: Syncing): Server {
  addResource(stack, entry.pool)
  addResource(stack, entry.loop)
  addResource(stack, startReporting(entry.node, entry))
  addResource(stack, startLoadPolling(entry))
  addResource(stack, repeat(sweepMs, () => closeStaleConnections(entry.pool, getCurrentTime()), () => undefined))
  addResource(stack, repeat(countEveryMs, () => countLookups(entry), () => undefined))
  return createCallerServer(entry, syncing)
}

function countLookups (entry: EntryState): void {
  entry.node.metrics.lookups.inc({ result: 'ok' }, entry.uncountedLookups)
  entry.uncountedLookups = 0
}

/**
 * Lets the VM go without cutting a request: look-ups stop naming it, answers that callers have cached
 * run out, requests in flight end.
 */
export async function leaveGracefully (daemon: Daemon): Promise<void> {
  const { node, entry, syncing } = daemon
  log(node.logs, 'daemon', 'info', 'Leaving.', { open: entry?.open ?? 0 })
  node.self = { ...node.self, state: nextState(node.directory.vmChart, node.self.state, 'leave') }
  renewSelf(node, getCurrentTime())
  syncing.syncSoon()
  if (entry !== undefined) await drainEntry(entry, node)
  log(node.logs, 'daemon', 'info', 'Left.', { open: entry?.open ?? 0 })
}

async function drainEntry (entry: EntryState, node: Node): Promise<void> {
  entry.leaving = true
  const ttls = listItems(node.config, 'profile').map(item => item.profile.lookupTtlS * 1000)
  const spreadMs = node.cfg.times.syncMs * 3
  await delay(Math.max(0, ...ttls) + spreadMs)
  const until: Millis = getCurrentTime() + node.cfg.times.stopMs
  while (entry.open > 0 && getCurrentTime() < until) await delay(drainPollMs)
}
