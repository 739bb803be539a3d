/** Makes a soak's callers: some for each entry VM, from all regions. */
import { createRandom } from '@lynxcourse/base'
import type { Caller, EntryVm } from './caller.js'
import { regions } from './soakSystem.js'
import type { SoakSystem } from './soakSystem.js'

const callersPerEntry = 3
/** Callers that keep to one VM are so many more. */
const pinnedFactor = 8

/** Makes callers for all entry VMs, under names that begin alike; if an address is given, more of them, which keep to its VM and leave sooner. */
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
