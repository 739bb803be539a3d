/** What the parts of one daemon share. */
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
import { openLogs } from '../../utils/logging.js'
import type { Logs } from '../../utils/logging.js'
import { createMetrics } from '../../utils/metrics.js'
import type { Metrics } from '../../utils/metrics.js'
import { createRpcClient } from '../rpc/rpcClient.js'
import type { RpcClient } from '../rpc/rpcClient.js'
import type { ControlEnv } from '../control/hostState.js'
import type { TlsFiles } from '../../plugins/tlsFiles.js'

/** State of one daemon; its parts take it first. */
export interface Node {
  readonly cfg: Settings
  readonly logs: Logs
  readonly metrics: Metrics
  readonly random: Random
  /** This life of the process, as the holder of claims and grants. */
  readonly holder: HolderId
  readonly client: RpcClient
  readonly directory: Directory
  readonly uplink: Uplink
  readonly configLease: ConfigLease
  readonly limits: HolderLimits
  /** The configuration in force at this VM. */
  readonly config: Config
  /** This VM's own record; replaced with each report. */
  self: VmRecord
  /** The VM that leads, as far as this one knows. */
  leader: VmId | undefined
  /** Called when the directory or the configuration changed. */
  readonly changeListeners: Array<() => void>
}

/** What a node needs besides its settings; tests give their own. */
export interface NodeDeps {
  readonly logs?: Logs
  readonly tls?: TlsFiles
  readonly seed?: number
}

const maxSeed = 2 ** 31 - 1

/** Makes the shared state of a daemon that starts now. */
export function createNode (cfg: Settings, deps: NodeDeps, now: Millis): Node {
  const life = brandId<Incarnation>(Math.floor(now).toString(36))
  const random = createRandom(deps.seed ?? randomInt(maxSeed))
  const metrics = createMetrics()
  const localAddress = cfg.listen.rpc.slice(0, cfg.listen.rpc.lastIndexOf(':'))
  return {
    cfg,
    logs: deps.logs ?? openLogs(cfg.log),
    metrics,
    random,
    holder: createHolderId(cfg.vm, life),
    client: createRpcClient({ timeoutMs: cfg.times.rpcTimeoutMs, localAddress, tls: () => deps.tls?.current, metrics }),
    directory: createDirectory(cfg.vm, `${cfg.vm}/${life}`, membershipTimes(cfg), loadChart('vm')),
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

function membershipTimes (cfg: Settings): MembershipTimes {
  const { syncMs, suspectMs, lostMs, announceMs, leaseMs } = cfg.times
  return { ...defaultMembershipTimes, syncMs, suspectMs, lostMs, announceMs, leaseMs }
}

/** Tells all parts that what they derive from directory and configuration is outdated. */
export function notifyChange (node: Node): void {
  for (const listener of node.changeListeners) listener()
}

/** RPC address of a control VM by its id. */
export function seedAddress (node: Node, vm: VmId): string | undefined {
  return node.cfg.seeds.find(seed => seed.vm === vm)?.rpc
}

/** What the host of this VM's copy of the log needs. */
export function controlEnv (node: Node): ControlEnv {
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
    getAddress: vm => seedAddress(node, vm),
    listPeerAddresses: () => cfg.seeds.filter(seed => seed.vm !== cfg.vm).map(seed => seed.rpc)
  }
}

/** Where the leader takes RPC; empty if unknown. */
export function getLeaderAddress (node: Node): string {
  return node.leader === undefined ? '' : seedAddress(node, node.leader) ?? ''
}

export function isControl (node: Node): boolean {
  return node.cfg.roles.includes('control')
}

export function isEntry (node: Node): boolean {
  return node.cfg.roles.includes('entry')
}
