/** Creates the simulated callers of a run: several per entry VM, spread over all regions. */
import { createRandom } from '@lynxcourse/base'
import type { Caller, EntryVm } from './caller.js'
import { regions } from './soakSystem.js'
import type { SoakSystem } from './soakSystem.js'

const callersPerEntry = 3
/** Factor by which the number of callers grows when all are pinned to one VM. */
const pinnedFactor = 8

/**
 * Creates callers in proportion to the number of entry VMs; their names start with the prefix. If an address is given,
 * there are more of them, all pinned to that VM, and they close connections early more often.
 */
export function createCallers (system: SoakSystem, prefix: string, seed: number, pinnedAddress?: string): Caller[] {
  const entries = system.vms.flatMap(vm => vm.callers === undefined ? [] : [{ name: vm.name, proxy: vm.callers }])
  const places = new Map<string, EntryVm>(entries.map(({ name, proxy }) => [proxy.target, { vm: name, proxy }]))
  return Array.from({ length: entries.length * callersPerEntry * (pinnedAddress === undefined ? 1 : pinnedFactor) }, (_, index) => ({
    name: `${prefix}-${index}`,
    region: Object.keys(regions)[index % 3] ?? '',
    client: system.client,
    places,
    history: system.history,
    random: createRandom(seed * 1000 + index),
    isPinned: pinnedAddress !== undefined || index % 2 === 1,
    leavesOften: pinnedAddress !== undefined,
    pools: new Map(),
    sockets: new Set(),
    avoidedUntil: new Map(),
    knownEntries: [],
    lookupExpiresAt: 0,
    current: pinnedAddress,
    sent: 0
  }))
}
