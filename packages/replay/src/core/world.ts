/** State of a replay, and its initial values. */
import { brandId, createRandom } from '@lynxcourse/base'
import type { FailureDomainId, Millis, Random, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { createTimeline } from '@lynxcourse/base/timeline'
import type { Timeline } from '@lynxcourse/base/timeline'
import { createServerNotice } from '@lynxcourse/limits'
import { createFleet, createFleetServer, createLoadBoard, createLoadObservations, groupServersByService } from '@lynxcourse/placement'
import type { EntryState, FleetServer, LoadBoard, LoadAggregate, LoadUpdate, Mechanism } from '@lynxcourse/placement'
import type { Route } from '@lynxcourse/state'
import type { Pattern } from '../types/pattern.js'
import { createBackend } from './backendModel.js'
import type { Backend } from './backendModel.js'
import { createScore } from './score.js'
import type { Score } from './score.js'

/** An entry VM of the model. */
export interface VmModel {
  readonly name: string
  readonly region: RegionId
  entry: EntryState
  /** Grows with each stop; requests of an earlier life fail. */
  life: number
  isUp: boolean
  /** When the processor has finished the work that is queued now. */
  busyUntil: Millis
  /** Last use of each idle connection, by server. */
  readonly idle: Map<ServerId, Millis[]>
}

export interface World {
  readonly pattern: Pattern
  /** Mechanisms of placement that are turned off. */
  readonly disabledMechanisms: ReadonlySet<Mechanism>
  readonly timeline: Timeline
  readonly random: Random
  readonly routes: ReadonlyMap<string, Route>
  readonly backends: ReadonlyMap<ServerId, Backend>
  readonly vms: VmModel[]
  readonly vmNames: readonly string[]
  readonly board: LoadBoard
  /** Load reports of entry VMs, aggregated by the control VM of each region. */
  readonly reportsByRegion: Map<RegionId, LoadAggregate>
  /** Load update that control VMs send to entry VMs. */
  publishedUpdate: LoadUpdate
  isControlCut: boolean
  /** Factor on the request rate of all callers. */
  burst: number
  /** Fraction of a region's callers that sends from another region, by home region. */
  readonly movedCallers: Map<string, { readonly to: string, readonly share: number }>
  /** Objects that some server has handled at least once. */
  readonly handled: Set<string>
  readonly score: Score
}

const emptyUpdate: LoadUpdate = { full: [], plans: [], silent: [] }

export function createWorld (pattern: Pattern, seed: number, disabledMechanisms: ReadonlySet<Mechanism>): World {
  const random = createRandom(seed)
  const vmList = listVms(pattern)
  const backends = new Map(createBackends(pattern).map(backend => [backend.id, backend]))
  const world: World = {
    pattern,
    disabledMechanisms,
    timeline: createTimeline(),
    random,
    routes: new Map(Object.keys(pattern.routes).map(name => [name, createRoute(pattern, name)])),
    backends,
    vms: [],
    vmNames: vmList.map(({ name }) => name),
    board: createLoadBoard(),
    reportsByRegion: new Map(),
    publishedUpdate: emptyUpdate,
    isControlCut: false,
    burst: 1,
    movedCallers: new Map(),
    handled: new Set(),
    score: createScore()
  }
  for (const { name, region } of vmList) {
    world.vms.push({ name, region, entry: createEntryState(world, name, region), life: 0, isUp: true, busyUntil: 0, idle: new Map() })
  }
  return world
}

function createBackends (pattern: Pattern): Backend[] {
  const backends: Backend[] = []
  for (const [service, { servers, slots, queue, warmObjects }] of Object.entries(pattern.services)) {
    for (const [region, { failureDomains }] of Object.entries(pattern.regions)) {
      for (let domain = 0; domain < failureDomains; domain++) {
        for (let index = 0; index < (servers[region] ?? 0); index++) {
          const failureDomain = `${region}-${domain}`
          const id = brandId<ServerId>(`${service}-${failureDomain}-${index}`)
          backends.push(createBackend({ id, service: brandId<ServiceId>(service), region: brandId<RegionId>(region), failureDomain, slots, queue, warmObjects }))
        }
      }
    }
  }
  return backends
}

function listVms (pattern: Pattern): Array<Pick<VmModel, 'name' | 'region'>> {
  return Object.entries(pattern.regions).flatMap(([region, { failureDomains, entryVms }]) =>
    Array.from({ length: failureDomains * entryVms }, (_, index) => ({ name: `vm-${region}-${index}`, region: brandId<RegionId>(region) })))
}

function createRoute ({ routes }: Pattern, name: string): Route {
  const { service, isIdempotent, timeoutMs, aimMs, rank } = routes[name] as Pattern['routes'][string]
  return {
    name,
    host: 'callers.example',
    pathPrefix: `/${name}/`,
    isIdempotent,
    timeoutMs,
    aimMs,
    rank,
    service: brandId<ServiceId>(service),
    split: [],
    maxAttempts: 2,
    isSticky: true,
    homes: [],
    annotations: {}
  }
}

/** Creates the state of an entry VM after its start: it knows all servers and has observed none of them. */
export function createEntryState (world: World, name: string, region: RegionId): EntryState {
  const fleet = createFleet({ self: name, region, random: world.random, disabledMechanisms: world.disabledMechanisms }, world.vmNames)
  for (const backend of world.backends.values()) fleet.byId.set(backend.id, toFleetServer(backend))
  groupServersByService(fleet)
  for (const other of Object.keys(world.pattern.regions)) fleet.roundTripTimes.set(brandId<RegionId>(other), 2 * getOneWayDelay(world, region, other))
  return { fleet, load: createLoadObservations(world.timeline.now), retries: new Map(), waitingForCapacity: new Map() }
}

function toFleetServer (backend: Backend): FleetServer {
  const { id, service, region, slots, isUp, isLeaving } = backend
  const failureDomain = brandId<FailureDomainId>(backend.failureDomain)
  return createFleetServer({ id, service, address: id, failureDomain, region, bornAt: 0, slots, isClosed: !isUp || isLeaving }, -Infinity, createServerNotice())
}

/** Returns the one-way network delay between hosts of two regions. */
export function getOneWayDelay ({ pattern: { delays } }: World, a: string, b: string): Millis {
  return a === b ? delays.inRegion : delays.betweenRegions
}
