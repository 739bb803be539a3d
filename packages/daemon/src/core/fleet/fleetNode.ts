/** What the parts of one VM of a fleet share. */
import { hashText, createRandom } from '@lynxcourse/base'
import type { Millis, Random, RegionId } from '@lynxcourse/base'
import { createConfig } from '@lynxcourse/state'
import type { Config } from '@lynxcourse/state'
import { log, openLogs } from '../../utils/logging.js'
import type { Logs } from '../../utils/logging.js'
import { startLoopMonitor } from '../../utils/loopMonitor.js'
import type { LoopMonitor } from '../../utils/loopMonitor.js'
import { createMetrics } from '../../utils/metrics.js'
import type { Metrics } from '../../utils/metrics.js'
import { createRpcClient } from '../rpc/rpcClient.js'
import type { RpcClient } from '../rpc/rpcClient.js'
import type { FleetSettings } from '../../types/fleetSettings.js'
import { createLoadObservations } from '@lynxcourse/placement'
import type { LoadUpdate, LoadObservations } from '@lynxcourse/placement'

/** A control VM as others find it. */
export interface ControlPlace {
  readonly rpc: string
  readonly region: RegionId
}

/** State of one VM; its parts take it first. */
export interface FleetNode {
  /** Replaced as a whole when the settings are read again. */
  cfg: FleetSettings
  readonly logs: Logs
  readonly metrics: Metrics
  readonly random: Random
  readonly client: RpcClient
  readonly loop: LoopMonitor
  /** This VM's copy of the routes and the directory; on a control VM, its log's own. */
  config: Config
  controls: readonly ControlPlace[]
  /** Names of the entry VMs heard of late, this one among them. */
  entryNames: readonly string[]
  /** When the copy was last known to be the present state; -Infinity before the first time. */
  upToDateAt: Millis
  isLeaving: boolean
  /** What this VM has seen of the load since its last report. */
  readonly load: LoadObservations
  /** What all VMs together saw of the load, by the last word of it. */
  loadUpdate: LoadUpdate
  /** Called when the copy changed. */
  readonly onChange: Array<() => void>
  /** Called when there is news of the load. */
  readonly onLoad: Array<() => void>
}

/** What tests give in place of the defaults. */
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
      forMs => log(logs, 'daemon', 'warn', 'Stood still.', { forMs: Math.round(forMs) }),
      lateMs => metrics.loopLateSeconds.observe(lateMs / 1000)
    ),
    config: createConfig(),
    controls: [],
    entryNames: cfg.roles.includes('entry') ? [cfg.name] : [],
    upToDateAt: -Infinity,
    isLeaving: false,
    load: createLoadObservations(now),
    loadUpdate: { full: [], plans: [], silent: [] },
    onChange: [],
    onLoad: []
  }
}

/** Whether callers may be sent to this VM: it knows the present state and does not stop. */
export function isReadyForCallers (node: FleetNode): boolean {
  return node.upToDateAt > -Infinity && !node.isLeaving
}

/** RPC addresses at which control VMs may be found: those heard of, then the seeds. */
export function controlAddresses (node: FleetNode): string[] {
  const known = [...node.controls.map(place => place.rpc), ...node.cfg.seeds]
  return [...new Set(known)].filter(address => address !== node.cfg.rpc)
}

/** Takes over what may change while the process runs: where control VMs are found, times and budgets. */
export function reloadFleetSettings (node: FleetNode, next: FleetSettings): void {
  const { seeds, times, retryBudget, log } = next
  node.cfg = { ...node.cfg, seeds, times, retryBudget, log }
}

export function notifyFleetChange (node: FleetNode): void {
  for (const listener of node.onChange) listener()
}
