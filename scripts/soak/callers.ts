/** Makes a soak's callers: some for each entry VM, from all regions. */
import { createRandom } from '@lynxcourse/base'
import type { Caller, EntryPlace } from './caller.js'
import { regions } from './soakWorld.js'
import type { SoakWorld } from './soakWorld.js'

const callersPerEntry = 3
/** Callers that keep to one VM are so many more. */
const crowd = 8

/** Makes callers for all entry VMs, under names that begin alike; if an address is given, more of them, which keep to its VM and leave sooner. */
export function makeCallers (world: SoakWorld, prefix: string, seed: number, keepTo?: string): Caller[] {
  const entries = world.vms.flatMap(vm => vm.callers === undefined ? [] : [{ name: vm.name, proxy: vm.callers }])
  const places = new Map<string, EntryPlace>(entries.map(({ name, proxy }) => [proxy.target, { vm: name, proxy }]))
  return Array.from({ length: entries.length * callersPerEntry * (keepTo === undefined ? 1 : crowd) }, (_, place) => ({
    name: `${prefix}-${place}`,
    region: Object.keys(regions)[place % 3] ?? '',
    client: world.client,
    places,
    ledger: world.ledger,
    random: createRandom(seed * 1000 + place),
    isFaithful: keepTo !== undefined || place % 2 === 1,
    isImpatient: keepTo !== undefined,
    pools: new Map(),
    sockets: new Set(),
    avoided: new Map(),
    known: [],
    knownUntil: 0,
    current: keepTo,
    sent: 0
  }))
}
