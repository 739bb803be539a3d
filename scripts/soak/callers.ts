/** Creates the simulated callers of a run: several per entry VM, spread over all regions. */
import { createRandom } from '@lynxcourse/base'
import { regions } from '../support/fleetProcesses.js'
import type { Caller, EntryVm } from './caller.js'
import type { SoakSystem } from './soakSystem.js'

const callersPerEntry = 3
/** Factor by which the number of callers grows when all are pinned to one VM. */
const pinnedFactor = 8

/**
 * Creates callers in proportion to the number of entry VMs; their names start with the prefix. If an address is given,
 * there are more of them, all pinned to that VM, and they close connections early more often.
 */
export function createCallers (system: SoakSystem, prefix: string, seed: number, pinnedAddress?: string): Caller[] {
  const places = mapEntries(system)
  const count = places.size * callersPerEntry * (pinnedAddress === undefined ? 1 : pinnedFactor)
  return Array.from({ length: count }, (_, index) => createCaller(system, places, `${prefix}-${index}`, seed * 1000 + index, {
    region: Object.keys(regions)[index % 3] ?? '',
    isPinned: pinnedAddress !== undefined || index % 2 === 1,
    leavesOften: pinnedAddress !== undefined,
    current: pinnedAddress
  }))
}

/** Creates a caller that requests a single path, at any entry VM. */
export function createPathCaller (system: SoakSystem, name: string, seed: number, path: string): Caller {
  return createCaller(system, mapEntries(system), name, seed, { region: Object.keys(regions)[0] ?? '', path })
}

function mapEntries (system: SoakSystem): Map<string, EntryVm> {
  return new Map(system.vms.flatMap(({ name, callers: proxy }) => proxy === undefined ? [] : [[proxy.target, { vm: name, proxy }]]))
}

function createCaller (system: SoakSystem, places: ReadonlyMap<string, EntryVm>, name: string, seed: number, traits: Pick<Caller, 'region'> & Partial<Caller>): Caller {
  return {
    name,
    index: seed,
    getVersion: () => system.operator.version,
    client: system.client,
    places,
    history: system.history,
    random: createRandom(seed),
    isPinned: false,
    path: undefined,
    leavesOften: false,
    pools: new Map(),
    sockets: new Set(),
    avoidedUntil: new Map(),
    knownEntries: [],
    lookupExpiresAt: 0,
    current: undefined,
    sent: 0,
    ...traits
  }
}
