/** Joins the parts of one VM of a fleet and stops them in order. */
import type { Server } from 'node:http'
import type { Millis } from '@lynxcourse/base'
import { applyLoadUpdate } from '@lynxcourse/placement'
import type { EntryPresence } from '@lynxcourse/placement'
import { getCurrentTime } from '../../utils/clock.js'
import { closeServer, listen } from '../../utils/httpServer.js'
import { log } from '../../utils/logging.js'
import { createMetricsServer } from '../../utils/metricsServer.js'
import { createResourceStack, moveResources, addResource } from '../../utils/resourceStack.js'
import type { ResourceStack } from '../../utils/resourceStack.js'
import { waitForPoll } from '../../utils/pollPhase.js'
import type { FleetSettings } from '../../types/fleetSettings.js'
import { enqueueEvent } from '../control/controlHost.js'
import { addClusterMethods, keepJoining } from '../control/joining.js'
import { sweepConnections } from '../entry/connectionPool.js'
import { applyCallerLimits, createCallerServer } from '../gateway/callerServer.js'
import type { CallerDialect, ServerDialect } from '../gateway/dialects.js'
import { recordConnectTime, refreshGateway } from '../gateway/gatewayRefresh.js'
import { createGateway } from '../gateway/gateway.js'
import type { Gateway } from '../gateway/gateway.js'
import { delay, repeat } from '../node/timers.js'
import { createRpcServer, listenRpc } from '../rpc/rpcServer.js'
import type { RpcServer } from '../rpc/rpcServer.js'
import { openFleetControl, getStateAge } from './fleetControl.js'
import type { FleetControl } from './fleetControl.js'
import { addFleetMethods } from './fleetMethods.js'
import { createFleetNode, isReadyForCallers } from './fleetNode.js'
import type { FleetDeps, FleetNode } from './fleetNode.js'
import { startPresence } from './presenceExchange.js'
import { startWatching, tellPresence } from './stateWatch.js'
import type { Watching } from './stateWatch.js'

/** How callers and servers speak to this VM. */
export interface Dialects {
  readonly callers: CallerDialect
  readonly servers: ServerDialect
}

/** A running VM. */
export interface FleetDaemon extends AsyncDisposable {
  readonly node: FleetNode
  readonly control: FleetControl | undefined
  readonly gateway: Gateway | undefined
  readonly watching: Watching | undefined
  readonly callerServer: Server | undefined
}

const tickMs: Millis = 30
const sweepMs: Millis = 500
const drainPollMs: Millis = 20
/** New callers may still come for this long after the signal to stop: look-ups that named this VM run out. */
const acceptAfterStopMs: Millis = 3500
const maxRpcBytes = 33_554_432
const rpcPerSecond = 20_000

/** Starts a VM. */
export async function startFleetDaemon (cfg: FleetSettings, dialects: Dialects, deps: FleetDeps = {}): Promise<FleetDaemon> {
  await using stack = createResourceStack()
  const node = createFleetNode(cfg, deps, getCurrentTime())
  addResource(stack, node.client)
  addResource(stack, node.loop)
  const rpc = createRpcServer({ maxBytes: maxRpcBytes, perSecond: rpcPerSecond }, node.metrics, undefined, node.loop)
  const control = cfg.roles.includes('control') ? await startControl(stack, node, rpc) : undefined
  const gateway = cfg.roles.includes('entry') ? openGateway(stack, node, dialects) : undefined
  const metricsServer = createMetricsServer(node.metrics, () => isServing(node, control))
  for (const server of [rpc.server, metricsServer]) ownServer(stack, server)
  await listenRpc(rpc, cfg.rpcListen ?? cfg.rpc)
  await listen(metricsServer, cfg.metrics)
  const callerServer = gateway === undefined ? undefined : await startCallers(stack, gateway)
  const watching = gateway === undefined ? undefined : addResource(stack, startWatching(node, () => presenceOf(node)))
  log(node.logs, 'daemon', 'info', 'Started.', { vm: cfg.name, region: cfg.region, failureDomain: cfg.failureDomain, roles: cfg.roles.join(), rpc: cfg.rpc, callers: cfg.callers, firstStart: cfg.isFirstStart })
  const owned = moveResources(stack)
  return { node, control, gateway, watching, callerServer, [Symbol.asyncDispose]: async () => await owned[Symbol.asyncDispose]() }
}

async function startControl (stack: ResourceStack, node: FleetNode, rpc: RpcServer): Promise<FleetControl> {
  const control = await openFleetControl(node)
  addResource(stack, control.host)
  const loop = addResource(stack, startPresence(control))
  addClusterMethods(rpc, control.host)
  addFleetMethods(rpc, control, loop)
  addResource(stack, repeat(tickMs, () => enqueueEvent(control.host, { type: 'tick' }), () => undefined))
  addResource(stack, keepJoining(control.host))
  return control
}

function openGateway (stack: ResourceStack, node: FleetNode, { callers, servers }: Dialects): Gateway {
  const gateway = createGateway(node, callers, servers)
  addResource(stack, gateway.pool)
  return gateway
}

async function startCallers (stack: ResourceStack, gateway: Gateway): Promise<Server> {
  const { node } = gateway
  const server = createCallerServer(gateway)
  applyCallerLimits(gateway, server)
  node.onChange.push(() => {
    refreshGateway(gateway, getCurrentTime())
    applyCallerLimits(gateway, server)
  })
  node.onLoad.push(() => applyLoadUpdate(gateway, node.loadUpdate, node.cfg.region, getCurrentTime()))
  gateway.pool.onConnect = (address, startedAt) => recordConnectTime(gateway, address, getCurrentTime() - startedAt)
  addResource(stack, repeat(sweepMs, () => sweepConnections(gateway.pool, getCurrentTime()), () => undefined))
  ownServer(stack, server)
  await listen(server, node.cfg.callers ?? '')
  return server
}

/** Owns a server from before it listens: a later one that can't would leave it open. */
function ownServer (stack: ResourceStack, server: Server): void {
  addResource(stack, { [Symbol.asyncDispose]: async () => await closeServer(server) })
}

function presenceOf (node: FleetNode): EntryPresence {
  const { cfg } = node
  return { name: cfg.name, address: cfg.callers ?? '', failureDomain: cfg.failureDomain, region: cfg.region, isReady: isReadyForCallers(node) }
}

/** Whether a VM does its part: an entry VM may get callers, a control VM's copy of the log knows the present state. */
function isServing (node: FleetNode, control: FleetControl | undefined): boolean {
  if (node.isLeaving) return false
  if (node.cfg.roles.includes('entry')) return isReadyForCallers(node)
  return control !== undefined && getStateAge(control, getCurrentTime()) < node.cfg.times.staleMs
}

/** Whether callers may be sent to this VM. */
export function isFleetReady (daemon: FleetDaemon): boolean {
  return daemon.gateway !== undefined && isReadyForCallers(daemon.node)
}

/** Lets the VM go without cutting a request: look-ups stop naming it, and requests in flight end. */
export async function leaveFleet (daemon: FleetDaemon): Promise<void> {
  const { node, gateway, watching, callerServer } = daemon
  const startedAt = getCurrentTime()
  node.isLeaving = true
  log(node.logs, 'daemon', 'info', 'Leaving.', { open: gateway?.open ?? 0 })
  if (gateway !== undefined && watching !== undefined && callerServer !== undefined) {
    await Promise.all([tellPresence(watching), drainCallers(gateway, callerServer, startedAt)])
  }
  log(node.logs, 'daemon', 'info', 'Left.', { open: gateway?.open ?? 0 })
}

async function drainCallers (gateway: Gateway, server: Server, startedAt: Millis): Promise<void> {
  const { stopMs } = gateway.node.cfg.times
  await delay(Math.min(acceptAfterStopMs, stopMs / 2))
  // A connection is not idle while a request on it lies unread.
  await waitForPoll(gateway.loop.polls)
  server.close()
  server.closeIdleConnections()
  while (gateway.open > 0 && getCurrentTime() - startedAt < stopMs) await delay(drainPollMs)
}
