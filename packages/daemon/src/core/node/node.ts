/** The state that all parts of a daemon share. */
import { brandId, createHolderId, loadChart, createRandom } from '@lynxcourse/base'
import type { HolderId, Incarnation, Millis, Random, VmId } from '@lynxcourse/base'
import { createConfigLease, createDirectory, createUplink, defaultMembershipTimes } from '@lynxcourse/membership'
import type { ConfigLease, Directory, MembershipTimes, Uplink, VmRecord } from '@lynxcourse/membership'
import { createHolderLimits } from '@lynxcourse/limits'
import type { HolderLimits } from '@lynxcourse/limits'
import { createConfig } from '@lynxcourse/state'
import type { Config } from '@lynxcourse/state'
import { randomInt } from 'node:crypto'
import { join } from 'node:path'
import type { Settings } from '../../types/settings.js'
import type { ConnectionGuard } from '../../utils/connections/guardedConnection.js'
import { openProcessGuard } from '../../utils/connections/processGuard.js'
import { openLogs } from '../../utils/logging.js'
import type { Logs } from '../../utils/logging.js'
import { createMetrics } from '../../utils/metrics.js'
import type { Metrics } from '../../utils/metrics.js'
import { createRpcClient } from '../rpc/rpcClient.js'
import type { RpcClient } from '../rpc/rpcClient.js'
import type { ControlEnv } from '../control/hostState.js'
import type { TlsFiles } from '../../plugins/tlsFiles.js'

/** Shared state of a daemon; functions of its parts take it as their first parameter. */
export interface Node {
  readonly cfg: Settings
  readonly logs: Logs
  readonly metrics: Metrics
  readonly random: Random
  /** Identifies this incarnation of the process as the holder of claims and grants. */
  readonly holder: HolderId
  readonly client: RpcClient
  /** Bounds what clients make this process hold. */
  readonly guard: ConnectionGuard
  readonly directory: Directory
  readonly uplink: Uplink
  readonly configLease: ConfigLease
  readonly limits: HolderLimits
  /** The configuration in force at this VM. */
  readonly config: Config
  /** This VM's own record in the directory; replaced by a newer one with each sync. */
  self: VmRecord
  /** The leader, according to the last answer of the parent or to this VM's replica; undefined if unknown. */
  leader: VmId | undefined
  /** Listeners called after the directory or the configuration has changed. */
  readonly changeListeners: Array<() => void>
}

/** Optional dependencies of a node; defaults are created from the settings. */
export interface NodeDeps {
  readonly logs?: Logs
  readonly tls?: TlsFiles
  readonly seed?: number
}

const maxSeed = 2 ** 31 - 1

/** Creates the shared state of a daemon; the present time determines the incarnation of the process. */
export function createNode (cfg: Settings, deps: NodeDeps, now: Millis): Node {
  const life = brandId<Incarnation>(Math.floor(now).toString(36))
  const random = createRandom(deps.seed ?? randomInt(maxSeed))
  const metrics = createMetrics()
  const localAddress = cfg.listen.rpc.slice(0, cfg.listen.rpc.lastIndexOf(':'))
  const logs = deps.logs ?? openLogs(cfg.log)
  return {
    cfg,
    logs,
    metrics,
    random,
    holder: createHolderId(cfg.vm, life),
    client: createRpcClient({ timeoutMs: cfg.times.rpcTimeoutMs, localAddress, tls: () => deps.tls?.current, metrics }),
    guard: openProcessGuard(logs, metrics, undefined),
    directory: createDirectory(cfg.vm, `${cfg.vm}/${life}`, createMembershipTimes(cfg), loadChart('vm')),
    uplink: createUplink(),
    configLease: createConfigLease(cfg.times.leaseMs),
    limits: createHolderLimits(),
    config: createConfig(),
    self: {
      kind: 'vm',
      key: cfg.vm,
      incarnation: Math.floor(now),
      seq: 0,
      state: 'joined',
      region: cfg.region,
      failureDomain: cfg.failureDomain,
      roles: cfg.roles,
      http: cfg.listen.http,
      rpc: cfg.listen.rpc,
      life
    },
    leader: undefined,
    changeListeners: []
  }
}

function createMembershipTimes (cfg: Settings): MembershipTimes {
  const { syncMs, suspectMs, lostMs, announceMs, leaseMs } = cfg.times
  return { ...defaultMembershipTimes, syncMs, suspectMs, lostMs, announceMs, leaseMs }
}

/** Calls all listeners, so that they update data derived from the directory and the configuration. */
export function notifyChange (node: Node): void {
  for (const listener of node.changeListeners) listener()
}

/** Returns the RPC address of a control VM; undefined if the VM is not a seed. */
export function getSeedAddress (node: Node, vm: VmId): string | undefined {
  return node.cfg.seeds.find(seed => seed.vm === vm)?.rpc
}

/** Creates the dependencies of the control role from the shared state. */
export function createControlEnv (node: Node): ControlEnv {
  const { cfg, logs, metrics, random, client } = node
  return {
    vm: cfg.vm,
    folder: join(cfg.dataFolder ?? '.', cfg.vm),
    times: cfg.times,
    logs,
    metrics,
    random,
    client,
    firstIncarnation: undefined,
    getAddress: vm => getSeedAddress(node, vm),
    listPeerAddresses: () => cfg.seeds.filter(seed => seed.vm !== cfg.vm).map(seed => seed.rpc)
  }
}

/** Returns the RPC address of the leader; empty if unknown. */
export function getLeaderAddress (node: Node): string {
  return node.leader === undefined ? '' : getSeedAddress(node, node.leader) ?? ''
}

export function hasControlRole (node: Node): boolean {
  return node.cfg.roles.includes('control')
}

export function hasEntryRole (node: Node): boolean {
  return node.cfg.roles.includes('entry')
}
