/** Starts the components of one VM of a fleet. */
import type { Server } from 'node:http'
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { applyLoadUpdate, listLimitDemand, listRolloutReports } from '@lynxcourse/placement'
import type { EntryPresence } from '@lynxcourse/placement'
import { getCurrentTime } from '../../utils/clock.js'
import { guardServer } from '../../utils/connections/connectionGuard.js'
import { trackConnections } from '../../utils/gracefulServer.js'
import type { ConnectionTracker } from '../../utils/gracefulServer.js'
import { closeServer, listen } from '../../utils/httpServer.js'
import { log } from '../../utils/logging.js'
import { watchMemory } from '../node/memoryWatch.js'
import type { HeapUse } from '../node/memoryWatch.js'
import { createMetricsServer } from '../../utils/metricsServer.js'
import { programBuild } from '../../utils/programBuild.js'
import { createResourceStack, moveResources, addResource } from '../../utils/resourceStack.js'
import type { ResourceStack } from '../../utils/resourceStack.js'
import { countTraffic } from '../../utils/trafficMeter.js'
import type { FleetSettings } from '../../types/fleetSettings.js'
import { enqueueEvent } from '../control/controlHost.js'
import { addClusterMethods, keepJoining } from '../control/joining.js'
import { closeStaleConnections } from '../entry/connectionPool.js'
import { applyCallerLimits, createCallerServer } from '../gateway/callerServer.js'
import type { CallerDialect, ServerDialect } from '../gateway/dialects.js'
import { recordConnectTime, refreshGateway } from '../gateway/gatewayRefresh.js'
import { createGateway } from '../gateway/gateway.js'
import type { Gateway } from '../gateway/gateway.js'
import { addNoticeMethod } from '../gateway/noticeQuery.js'
import { refillPermits } from '../gateway/permitHolder.js'
import { reportRetries } from '../gateway/retryReport.js'
import { logTargetUse } from '../gateway/requestLog.js'
import { logPublishedLimits } from '../gateway/serverNotices.js'
import { repeat } from '../node/timers.js'
import { createRpcServer, listenRpc } from '../rpc/rpcServer.js'
import type { RpcServer } from '../rpc/rpcServer.js'
import { describeHeldBytes, openFleetControl, getStateAge } from './fleetControl.js'
import type { FleetControl } from './fleetControl.js'
import { addFleetMethods } from './fleetMethods.js'
import { createFleetNode, isReadyForCallers } from './fleetNode.js'
import type { FleetDeps, FleetNode } from './fleetNode.js'
import { startPresenceExchange } from './presenceExchange.js'
import { confirmState, keepConfirming } from './stateConfirmation.js'
import { startStateWatch } from './stateWatch.js'
import type { StateWatch } from './stateWatch.js'
import { publishUsage, readUsageTotals, sampleUsage } from './vmUsage.js'

/** The protocols that this VM uses with callers and with backend servers. */
export interface Dialects {
  readonly callers: CallerDialect
  readonly servers: ServerDialect
}

/** A running VM. */
export interface FleetDaemon extends AsyncDisposable {
  readonly node: FleetNode
  readonly control: FleetControl | undefined
  readonly gateway: Gateway | undefined
  readonly stateWatch: StateWatch | undefined
  readonly callerServer: Server | undefined
  /** The servers for other VMs and for metrics. */
  readonly internalServers: readonly ConnectionTracker[]
}

const tickIntervalMs: Millis = 30
const sweepIntervalMs: Millis = 500
const refillIntervalMs: Millis = 1000
const usageIntervalMs: Millis = 1000
const retryReportIntervalMs: Millis = 1000
const maxRpcBytes = 33_554_432
const rpcPerSecond = 20_000

/** Starts a VM. */
export async function startFleetDaemon (cfg: FleetSettings, dialects: Dialects, deps: FleetDeps = {}): Promise<FleetDaemon> {
  await using stack = createResourceStack()
  const node = createFleetNode(cfg, deps, getCurrentTime())
  addResource(stack, node.client)
  addResource(stack, node.loop)
  addResource(stack, node.guard)
  const rpc = createRpcServer({ maxBytes: maxRpcBytes, perSecond: rpcPerSecond }, node.metrics, undefined, node.loop)
  const control = cfg.roles.includes('control') ? await startControl(stack, node, rpc) : undefined
  const gateway = cfg.roles.includes('entry') ? openGateway(stack, node, dialects) : undefined
  addResource(stack, watchMemory(node.metrics, use => logShortMemory(node, control, use)))
  if (gateway !== undefined) addNoticeMethod(rpc, gateway)
  const metricsServer = createMetricsServer(node.metrics, () => isServing(node, control))
  guardServer(node.guard, rpc.server, 'rpc')
  guardServer(node.guard, metricsServer, 'metrics')
  const internalServers = [rpc.server, metricsServer].map(server => trackConnections(server))
  for (const { server } of internalServers) ownServer(stack, server)
  await listenRpc(rpc, cfg.rpcListen ?? cfg.rpc)
  await listen(metricsServer, cfg.metrics)
  const callerServer = gateway === undefined ? undefined : await startCallerServer(stack, gateway)
  const stateWatch = gateway === undefined ? undefined : startWatch(stack, node)
  log(node.logs, 'daemon', 'info', 'Started.', { vm: cfg.name, region: cfg.region, failureDomain: cfg.failureDomain, roles: cfg.roles.join(), rpc: cfg.rpc, callers: cfg.callers, firstStart: cfg.isFirstStart, build: programBuild })
  const owned = moveResources(stack)
  return { node, control, gateway, stateWatch, callerServer, internalServers, [Symbol.asyncDispose]: async () => await owned[Symbol.asyncDispose]() }
}

/** Logs what may hold the memory. A process that runs out of it ends without a line of its own. */
function logShortMemory (node: FleetNode, control: FleetControl | undefined, { heapBytes, heapLimitBytes }: HeapUse): void {
  const held = control === undefined ? {} : describeHeldBytes(control)
  log(node.logs, 'daemon', 'warn', 'Memory is short.', { heapBytes, heapLimitBytes, residentBytes: process.memoryUsage.rss(), ...held })
}

/** Starts to follow the state, and to confirm it while the watch is late. */
function startWatch (stack: ResourceStack, node: FleetNode): StateWatch {
  const watch = addResource(stack, startStateWatch(node, () => describeSelf(node)))
  node.confirmState = () => {
    confirmState(watch).catch((err: unknown) => log(node.logs, 'sync', 'error', 'Confirmation of the state failed.', { error: getErrorMessage(err) }))
  }
  addResource(stack, keepConfirming(watch))
  return watch
}

async function startControl (stack: ResourceStack, node: FleetNode, rpc: RpcServer): Promise<FleetControl> {
  const control = await openFleetControl(node)
  addResource(stack, control.host)
  const exchange = addResource(stack, startPresenceExchange(control))
  addClusterMethods(rpc, control.host)
  addFleetMethods(rpc, control, exchange)
  addResource(stack, repeat(tickIntervalMs, () => enqueueEvent(control.host, { type: 'tick' }), () => undefined))
  addResource(stack, keepJoining(control.host))
  return control
}

function openGateway (stack: ResourceStack, node: FleetNode, { callers, servers }: Dialects): Gateway {
  const gateway = createGateway(node, callers, servers)
  addResource(stack, gateway.pool)
  addResource(stack, gateway.link)
  return gateway
}

async function startCallerServer (stack: ResourceStack, gateway: Gateway): Promise<Server> {
  const { node } = gateway
  const server = createCallerServer(gateway)
  applyCallerLimits(gateway, server)
  node.onChange.push(() => {
    refreshGateway(gateway, getCurrentTime())
    applyCallerLimits(gateway, server)
  })
  node.onEntriesChange.push(() => { gateway.fleet.vms = node.entryNames })
  node.onLoadUpdate.push(() => logPublishedLimits(gateway, applyLoadUpdate(gateway, node.loadUpdate, node.cfg.region, getCurrentTime())))
  node.listLimitDemand = now => listLimitDemand(gateway.fleet, now)
  node.listRolloutReports = now => {
    const reports = listRolloutReports(gateway.fleet.rollouts, now)
    logTargetUse(gateway)
    return reports
  }
  gateway.pool.onUnsolicited = address => {
    node.metrics.unsolicitedAnswers.inc()
    log(node.logs, 'route', 'warn', 'Server sent bytes that belong to no request.', { address })
  }
  gateway.pool.onConnect = (address, startedAt, socket) => {
    recordConnectTime(gateway, address, getCurrentTime() - startedAt)
    if (node.cfg.capacity !== undefined) countTraffic(node.usage.traffic, socket)
  }
  server.on('connection', socket => { if (node.cfg.capacity !== undefined) countTraffic(node.usage.traffic, socket) })
  addResource(stack, repeat(sweepIntervalMs, () => closeStaleConnections(gateway.pool, getCurrentTime()), () => undefined))
  addResource(stack, repeat(usageIntervalMs, () => updateUsage(node, getCurrentTime()), () => undefined))
  addResource(stack, repeat(retryReportIntervalMs, () => reportRetries(gateway, getCurrentTime()), () => undefined))
  addResource(stack, repeat(refillIntervalMs, () => refillPermits(gateway, getCurrentTime()), () => undefined))
  ownServer(stack, server)
  await listen(server, node.cfg.callers ?? '')
  return server
}

/** Measures the use of the processor and the link, if the settings name their capacity. */
function updateUsage ({ cfg: { capacity }, usage, metrics }: FleetNode, now: Millis): void {
  if (capacity === undefined) return
  const change = sampleUsage(usage, capacity, readUsageTotals(usage), now)
  metrics.linkBytes.inc({ direction: 'received' }, Math.max(0, change?.received ?? 0))
  metrics.linkBytes.inc({ direction: 'sent' }, Math.max(0, change?.sent ?? 0))
  if (usage.cpuUse !== undefined) metrics.utilization.set({ resource: 'cpu' }, usage.cpuUse)
  if (usage.linkUse !== undefined) metrics.utilization.set({ resource: 'link' }, usage.linkUse)
}

/** Registers a server for disposal before it listens. If a later server fails to listen, this server is closed too. */
function ownServer (stack: ResourceStack, server: Server): void {
  addResource(stack, { [Symbol.asyncDispose]: async () => await closeServer(server) })
}

function describeSelf (node: FleetNode): EntryPresence {
  const { cfg } = node
  const resources = publishUsage(node.usage, cfg.capacity)
  return { name: cfg.name, address: cfg.callers ?? '', failureDomain: cfg.failureDomain, region: cfg.region, isReady: isReadyForCallers(node), ...(resources === undefined ? {} : { resources }) }
}

/**
 * Whether a VM is ready: an entry VM for callers, a control VM if its copy was recently known to be the current state.
 */
function isServing (node: FleetNode, control: FleetControl | undefined): boolean {
  if (node.isLeaving) return false
  if (node.cfg.roles.includes('entry')) return isReadyForCallers(node)
  return control !== undefined && getStateAge(control, getCurrentTime()) < node.cfg.times.staleMs
}

/** Whether callers may be sent to this VM. */
export function isFleetReady (daemon: FleetDaemon): boolean {
  return daemon.gateway !== undefined && isReadyForCallers(daemon.node)
}
