/** State that the components of one VM of a fleet share. */
import { hashText, createRandom, rankByHash } from '@lynxcourse/base'
import type { Millis, Random, RegionId } from '@lynxcourse/base'
import { createConfig } from '@lynxcourse/state'
import type { Config } from '@lynxcourse/state'
import { createBufferMemory } from '../../utils/bufferMemory.js'
import type { BufferMemory } from '../../utils/bufferMemory.js'
import type { ConnectionGuard } from '../../utils/connections/guardedConnection.js'
import { getMemoryBytes, openProcessGuard } from '../../utils/connections/processGuard.js'
import { log, openLogs } from '../../utils/logging.js'
import type { Logs } from '../../utils/logging.js'
import { startLoopMonitor } from '../../utils/loopMonitor.js'
import type { LoopMonitor } from '../../utils/loopMonitor.js'
import { createMetrics } from '../../utils/metrics.js'
import type { Metrics } from '../../utils/metrics.js'
import { createRpcClient } from '../rpc/rpcClient.js'
import type { RpcClient } from '../rpc/rpcClient.js'
import type { FleetSettings } from '../../types/fleetSettings.js'
import { createVmUsage } from './vmUsage.js'
import type { VmUsage } from './vmUsage.js'
import { createFleetMembership, createLoadObservations, createStateFreshness, hasState } from '@lynxcourse/placement'
import type { RolloutReport } from '@lynxcourse/rollouts'
import type { FleetMembership, LimitDemand, LoadUpdate, LoadObservations, StateFreshness } from '@lynxcourse/placement'

/** RPC address and region of a control VM. */
export interface ControlEndpoint {
  readonly rpc: string
  readonly region: RegionId
}

/** State of one VM. Functions of its components take it as their first parameter. */
export interface FleetNode {
  /** Replaced as a whole when the settings are reloaded. */
  cfg: FleetSettings
  readonly logs: Logs
  readonly metrics: Metrics
  readonly random: Random
  readonly client: RpcClient
  readonly loop: LoopMonitor
  /** Bounds what clients make this process hold. */
  readonly guard: ConnectionGuard
  readonly bufferMemory: BufferMemory
  /** Use of the processor and the link; measured only if the settings name their capacity. */
  readonly usage: VmUsage
  /** An entry VM's copy of the routes and the directory; its watch updates it. */
  config: Config
  controls: readonly ControlEndpoint[]
  /** Names of the recently seen entry VMs, including this one. */
  entryNames: readonly string[]
  /** What this VM knows of the other entry VMs. */
  readonly membership: FleetMembership
  /** What this VM knows of the age of its copy. */
  readonly freshness: StateFreshness
  readonly startedAt: Millis
  isLeaving: boolean
  /** Load observations of this VM since its last report. */
  readonly load: LoadObservations
  /** Lists this VM's requests per second for servers with limits; replaced by the gateway. */
  listLimitDemand: (now: Millis) => LimitDemand
  /** Returns this VM's reports of running rollouts; replaced by the gateway. */
  listRolloutReports: (now: Millis) => readonly RolloutReport[]
  /** Latest load update, aggregated from the observations of all VMs. */
  loadUpdate: LoadUpdate
  /** Called when the copy has changed. */
  readonly onChange: Array<() => void>
  /** Asks the control VMs whether the copy is current; replaced once the watch of the state runs. */
  confirmState: () => void
  /** Called when the copy was confirmed or can't be, so that decisions that waited for it may go on. */
  readonly onStateUse: Array<() => void>
  /** Called when `entryNames` has changed. */
  readonly onEntriesChange: Array<() => void>
  /** Called when a load update has arrived. */
  readonly onLoadUpdate: Array<() => void>
}

/** Dependencies that replace the defaults, for example in tests. */
export interface FleetDeps {
  readonly logs?: Logs
}

export function createFleetNode (cfg: FleetSettings, deps: FleetDeps, now: Millis): FleetNode {
  const metrics = createMetrics()
  const logs = deps.logs ?? openLogs(cfg.log)
  return {
    cfg,
    logs,
    metrics,
    random: createRandom(hashText(`${cfg.name} ${now}`)),
    client: createRpcClient({ timeoutMs: cfg.times.rpcTimeoutMs, localAddress: '', tls: () => undefined, metrics }),
    loop: startLoopMonitor(
      forMs => log(logs, 'daemon', 'warn', 'Event loop was blocked.', { forMs: Math.round(forMs) }),
      lateMs => metrics.loopLateSeconds.observe(lateMs / 1000)
    ),
    guard: openProcessGuard(logs, metrics, cfg.resources),
    bufferMemory: createBufferMemory(getMemoryBytes(cfg.resources)),
    usage: createVmUsage(),
    config: createConfig(),
    controls: [],
    membership: createFleetMembership(cfg.name),
    entryNames: cfg.roles.includes('entry') ? [cfg.name] : [],
    freshness: createStateFreshness(),
    startedAt: now,
    isLeaving: false,
    load: createLoadObservations(now),
    listLimitDemand: () => [],
    listRolloutReports: () => [],
    loadUpdate: { full: [], plans: [], silent: [] },
    onChange: [],
    confirmState: () => undefined,
    onStateUse: [],
    onEntriesChange: [],
    onLoadUpdate: []
  }
}

/** Whether callers may be sent to this VM: it has received the current state and is not stopping. */
export function isReadyForCallers (node: FleetNode): boolean {
  return hasState(node.freshness) && !node.isLeaving
}

/** Lists the RPC addresses of other control VMs: the known ones first, then the seeds. */
export function listControlAddresses (node: FleetNode): string[] {
  const known = [...node.controls.map(endpoint => endpoint.rpc), ...node.cfg.seeds]
  return [...new Set(known)].filter(address => address !== node.cfg.rpc)
}

/** Returns whether a control VM is known to be in this VM's region. */
export function isInOwnRegion ({ controls, cfg }: FleetNode, address: string): boolean {
  return controls.some(({ rpc, region }) => rpc === address && region === cfg.region)
}

/** Lists the control VMs that `isUsable` accepts: those of this region first if there are any, in this VM's own order. */
export function rankControls (node: FleetNode, isUsable: (address: string) => boolean): string[] {
  const available = listControlAddresses(node).filter(isUsable)
  const inRegion = available.filter(address => isInOwnRegion(node, address))
  const others = available.filter(address => !isInOwnRegion(node, address))
  return [...rankByHash(node.cfg.name, inRegion), ...rankByHash(node.cfg.name, others)]
}

/** Applies the settings that may change while the process runs: seeds, times, the retry budget, the bounds of rates and rollouts, the VM's capacity and the log settings. */
export function reloadFleetSettings (node: FleetNode, settings: FleetSettings): void {
  const { seeds, times, retryBudget, rateBound, rollouts, capacity, log } = settings
  node.cfg = { ...node.cfg, seeds, times, retryBudget, rateBound, rollouts, capacity, log }
}

export function notifyFleetChange (node: FleetNode): void {
  for (const listener of node.onChange) listener()
}

export function notifyStateUse (node: FleetNode): void {
  for (const listener of [...node.onStateUse]) listener()
}
