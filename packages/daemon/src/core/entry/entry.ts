/** State of the entry role: the inputs of routing, kept up to date with the directory and the configuration. */
import { loadChart } from '@lynxcourse/base'
import type { Chart, Millis, RegionId, ServiceId, VmId } from '@lynxcourse/base'
import { isTombstone, listServers, listVms } from '@lynxcourse/membership'
import type { ServerRecord, VmRecord } from '@lynxcourse/membership'
import {
  buildBlockTable, buildLookupIndex, createRouter, defaultObservation, createServerPolicy, setBackends
} from '@lynxcourse/routing'
import type { ActiveShift, Backend, BlockTable, CallerBlock, EntryVm, LookupIndex, RetryBudget, Router } from '@lynxcourse/routing'
import { listActiveDrains, listActiveShifts, listCaps, findServiceProfile } from '@lynxcourse/state'
import type { DrainItem, Profile } from '@lynxcourse/state'
import { startLoopMonitor } from '../../utils/loopMonitor.js'
import type { LoopMonitor } from '../../utils/loopMonitor.js'
import { createRateLimit } from '../../utils/rateLimit.js'
import type { RateLimit } from '../../utils/rateLimit.js'
import type { DrainRemaining, RegionLoad, ReportSource } from '../node/reporting.js'
import type { Node } from '../node/node.js'
import { createCrashWatch, refreshRestrictions } from '../crashes/crashWatch.js'
import type { CrashWatch } from '../crashes/crashWatch.js'
import { createConnectionPool } from './connectionPool.js'
import type { ConnectionPool } from './connectionPool.js'
import type { ClaimClient } from './claimClient.js'
import type { LookupAnswer } from './lookupAnswer.js'
import { ServiceCrashChannel } from './serviceCrashChannel.js'
import type { ServiceQueue } from './serviceQueue.js'

/** Identifies a request in progress at this VM. */
export interface OpenRequest {
  readonly id: number
}

/** State of a VM in the entry role. */
export interface EntryState extends ReportSource {
  readonly node: Node
  readonly router: Router
  readonly callerBlockTable: BlockTable
  readonly pool: ConnectionPool
  readonly loop: LoopMonitor
  readonly attemptChart: Chart
  readonly claiming: ClaimClient
  readonly crashes: CrashWatch
  lookupIndex: LookupIndex
  /** Lookup answers by service and region, one for each bucket of callers; cleared by `refreshRoutingState`. */
  lookupCache: Map<ServiceId, Map<RegionId | undefined, LookupAnswer[]>>
  /** Cache of the profiles by service; cleared by `refreshRoutingState`. */
  profiles: Map<ServiceId, Profile>
  /** Regions that are being drained. */
  drained: ReadonlySet<RegionId>
  shifts: readonly ActiveShift[]
  /** Resources with a cap. */
  cappedResources: ReadonlySet<string>
  queues: Map<ServiceId, ServiceQueue>
  retryBudgets: Map<ServiceId, RetryBudget>
  /** Number of requests in progress. */
  open: number
  /** Source of queue order numbers and claim tokens. */
  nextSequence: number
  /**
   * Lookups answered since the last update of the metrics; updating a labelled counter for each lookup costs too
   * much.
   */
  uncountedLookups: number
  readonly announcementRateLimit: RateLimit
  /** Whether the directory or the configuration changed since the last `refreshRoutingState`. */
  needsRefresh: boolean
}

/** Creates the state of the entry role and marks it for a refresh on each change of the node. */
export function createEntryState (node: Node, callerBlocks: readonly CallerBlock[], claiming: ClaimClient): EntryState {
  const { times } = node.cfg
  const latencies = new Map(Object.entries(node.cfg.topology.latenciesMs))
  const router = createRouter({
    self: node.cfg.vm,
    region: node.cfg.region,
    policy: createServerPolicy(node.cfg.serverPolicy),
    observation: { ...defaultObservation, slowStartMs: times.slowStartMs },
    chart: loadChart('server'),
    random: node.random,
    latencies
  })
  const loop = startLoopMonitor()
  const entry: EntryState = {
    node,
    router,
    callerBlockTable: buildBlockTable(callerBlocks),
    pool: createConnectionPool({ staleMs: times.staleConnectionMs, silentMs: times.silentConnectionMs }, loadChart('connection'), times.connectTimeoutMs, loop.polls, node.guard.limits.serverConnections),
    loop,
    attemptChart: loadChart('attempt'),
    claiming,
    crashes: createCrashWatch(node.logs, node.metrics, new ServiceCrashChannel(node), times.connectTimeoutMs),
    lookupIndex: buildLookupIndex([]),
    lookupCache: new Map(),
    profiles: new Map(),
    drained: new Set(),
    shifts: [],
    cappedResources: new Set(),
    queues: new Map(),
    retryBudgets: new Map(),
    open: 0,
    nextSequence: 1,
    uncountedLookups: 0,
    announcementRateLimit: createRateLimit(node.cfg.limits.announcementsPerSecond),
    needsRefresh: true,
    remaining: () => countRemainingByDrain(entry),
    loads: () => sumLoadsByRegion(entry)
  }
  node.changeListeners.push(() => { entry.needsRefresh = true })
  return entry
}

/**
 * Updates the inputs of routing if the directory or the configuration changed. Needs to be called before every routing
 * decision.
 */
export function refreshRoutingState (entry: EntryState, now: Millis): void {
  if (!entry.needsRefresh) return
  entry.needsRefresh = false
  const { node } = entry
  refreshRestrictions(entry.crashes, node.config)
  const drains = listActiveDrains(node.config)
  const regions = drains.filter(drain => drain.target.kind === 'region')
  entry.drained = new Set(regions.map(drain => drain.target.name as RegionId))
  entry.shifts = listActiveShifts(node.config).map(shift => ({ id: shift.key, service: shift.service, from: shift.from, to: shift.to, percent: shift.percent }))
  entry.cappedResources = new Set(listCaps(node.config).keys())
  const vms = listVms(node.directory).filter(vm => isOpenToCallers(vm, drains))
  entry.lookupIndex = buildLookupIndex(vms.map(toEntryVm))
  entry.lookupCache = new Map()
  entry.profiles = new Map()
  for (const [service, queue] of entry.queues) queue.queue.limit = findServiceProfile(node.config, service)?.queueLimit ?? 0
  entry.router.peers = groupPeersByRegion(vms)
  setBackends(entry.router.backends, listServers(node.directory).filter(server => !isTombstone(server)).map(server => toBackend(server, drains)), now)
  node.metrics.records.set({ kind: 'vm' }, vms.length)
  node.metrics.records.set({ kind: 'server' }, entry.router.backends.byId.size)
}

/** Returns the profile of a service, or undefined if no profile serves it. */
export function getProfile (entry: EntryState, service: ServiceId): Profile | undefined {
  const cached = entry.profiles.get(service)
  if (cached !== undefined) return cached
  const profile = findServiceProfile(entry.node.config, service)
  if (profile !== undefined) entry.profiles.set(service, profile)
  return profile
}

function isOpenToCallers (vm: VmRecord, drains: readonly DrainItem[]): boolean {
  if (!vm.roles.includes('entry') || isTombstone(vm)) return false
  return !drains.some(drain => coversVm(drain, vm))
}

function coversVm (drain: DrainItem, vm: VmRecord): boolean {
  const { kind, name } = drain.target
  if (kind === 'vm') return vm.key === name
  if (kind === 'failureDomain') return vm.failureDomain === name
  return kind === 'region' && vm.region === name
}

function coversBackend (drain: DrainItem, backend: Backend | ServerRecord, serverId: string): boolean {
  const { kind, name } = drain.target
  if (kind === 'server') return serverId === name
  if (kind === 'failureDomain') return backend.failureDomain === name
  return kind === 'region' && backend.region === name
}

function toEntryVm (vm: VmRecord): EntryVm {
  return { vm: vm.key, region: vm.region, failureDomain: vm.failureDomain, http: vm.http, suspected: vm.state === 'suspected' }
}

function toBackend (server: ServerRecord, drains: readonly DrainItem[]): Backend {
  return {
    id: server.key,
    service: server.service,
    region: server.region,
    failureDomain: server.failureDomain,
    address: server.address,
    incarnation: server.incarnation,
    slots: server.slots,
    maxConnections: server.maxConnections,
    leaving: server.state === 'leaving' || drains.some(drain => coversBackend(drain, server, server.key)),
    starting: server.state === 'starting'
  }
}

function groupPeersByRegion (vms: readonly VmRecord[]): Map<RegionId, readonly VmId[]> {
  const peers = new Map<RegionId, VmId[]>()
  for (const vm of vms) peers.set(vm.region, [...peers.get(vm.region) ?? [], vm.key].sort())
  return peers
}

function countRemainingByDrain (entry: EntryState): DrainRemaining[] {
  return listActiveDrains(entry.node.config).map(drain => {
    let count = coversVm(drain, entry.node.self) ? entry.open : 0
    if (count === 0) {
      for (const observed of entry.router.backends.byId.values()) {
        if (coversBackend(drain, observed.backend, observed.backend.id)) count += observed.inFlight
      }
    }
    return { drain: drain.key, count }
  })
}

function sumLoadsByRegion (entry: EntryState): RegionLoad[] {
  const loads = new Map<string, RegionLoad>()
  for (const { backend, inFlight } of entry.router.backends.byId.values()) {
    const key = `${backend.service} ${backend.region}`
    const sum = (loads.get(key)?.inFlight ?? 0) + inFlight
    loads.set(key, { service: backend.service, region: backend.region, inFlight: sum })
  }
  return [...loads.values()]
}
