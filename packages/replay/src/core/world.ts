/** State of a replay. */
import { brandId, createRandom } from '@lynxcourse/base'
import type { FailureDomainId, Millis, Random, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { createTimeline } from '@lynxcourse/base/timeline'
import type { Timeline } from '@lynxcourse/base/timeline'
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
  /** Grows with each start; what began before does not go on. */
  life: number
  isUp: boolean
  /** Until when its processor has work. */
  busyUntil: Millis
  /** Idle connections by server: when each was used last. */
  readonly idle: Map<ServerId, Millis[]>
}

export interface World {
  readonly pattern: Pattern
  /** Mechanisms that are left out. */
  readonly without: ReadonlySet<Mechanism>
  readonly timeline: Timeline
  readonly random: Random
  readonly routes: ReadonlyMap<string, Route>
  readonly backends: ReadonlyMap<ServerId, Backend>
  readonly vms: VmModel[]
  readonly vmNames: readonly string[]
  readonly board: LoadBoard
  /** Reports of entry VMs by region, as a control VM there takes them. */
  readonly intakes: Map<RegionId, LoadAggregate>
  /** What control VMs tell entry VMs. */
  told: LoadUpdate
  isControlCut: boolean
  /** How many times more callers send. */
  burst: number
  /** Parts of a region's callers that are in another one. */
  readonly moved: Map<string, { readonly to: string, readonly share: number }>
  /** Objects that some server has handled. */
  readonly handled: Set<string>
  readonly score: Score
}

const noNews: LoadUpdate = { full: [], plans: [], silent: [] }

export function createWorld (pattern: Pattern, seed: number, without: ReadonlySet<Mechanism>): World {
  const random = createRandom(seed)
  const places = vmPlaces(pattern)
  const backends = new Map(makeBackends(pattern).map(backend => [backend.id, backend]))
  const world: World = {
    pattern,
    without,
    timeline: createTimeline(),
    random,
    routes: new Map(Object.keys(pattern.routes).map(name => [name, routeOf(pattern, name)])),
    backends,
    vms: [],
    vmNames: places.map(({ name }) => name),
    board: createLoadBoard(),
    intakes: new Map(),
    told: noNews,
    isControlCut: false,
    burst: 1,
    moved: new Map(),
    handled: new Set(),
    score: createScore()
  }
  for (const { name, region } of places) {
    world.vms.push({ name, region, entry: createEntry(world, name, region), life: 0, isUp: true, busyUntil: 0, idle: new Map() })
  }
  return world
}

function makeBackends (pattern: Pattern): Backend[] {
  const made: Backend[] = []
  for (const [service, { servers, slots, queue, warmObjects }] of Object.entries(pattern.services)) {
    for (const [region, { failureDomains }] of Object.entries(pattern.regions)) {
      for (let domain = 0; domain < failureDomains; domain++) {
        for (let place = 0; place < (servers[region] ?? 0); place++) {
          const failureDomain = `${region}-${domain}`
          const id = brandId<ServerId>(`${service}-${failureDomain}-${place}`)
          made.push(createBackend({ id, service: brandId<ServiceId>(service), region: brandId<RegionId>(region), failureDomain, slots, queue, warmObjects }))
        }
      }
    }
  }
  return made
}

function vmPlaces (pattern: Pattern): Array<Pick<VmModel, 'name' | 'region'>> {
  return Object.entries(pattern.regions).flatMap(([region, { failureDomains, entryVms }]) =>
    Array.from({ length: failureDomains * entryVms }, (_, place) => ({ name: `vm-${region}-${place}`, region: brandId<RegionId>(region) })))
}

function routeOf ({ routes }: Pattern, name: string): Route {
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

/** What an entry VM decides by after a start: all servers, and nothing learned. */
export function createEntry (world: World, name: string, region: RegionId): EntryState {
  const fleet = createFleet({ self: name, region, random: world.random, disabledMechanisms: world.without }, world.vmNames)
  for (const backend of world.backends.values()) fleet.byId.set(backend.id, fleetServerOf(backend))
  groupServersByService(fleet)
  for (const other of Object.keys(world.pattern.regions)) fleet.roundTripTimes.set(brandId<RegionId>(other), 2 * delayBetween(world, region, other))
  return { fleet, load: createLoadObservations(world.timeline.now), retries: new Map(), waitingForCapacity: new Map() }
}

function fleetServerOf (backend: Backend): FleetServer {
  const { id, service, region, slots, isUp, isLeaving } = backend
  const failureDomain = brandId<FailureDomainId>(backend.failureDomain)
  return createFleetServer({ id, service, address: id, failureDomain, region, bornAt: 0, slots, isClosed: !isUp || isLeaving }, -Infinity)
}

/** One-way delay between VMs or servers of two regions. */
export function delayBetween ({ pattern: { delays } }: World, a: string, b: string): Millis {
  return a === b ? delays.inRegion : delays.betweenRegions
}
