/** Makes a soak's callers: some for each entry VM, from all regions. */
import { makeRandom } from '@lynxcourse/base'
import type { Caller, EntryPlace } from './caller.js'
import { regions } from './soakWorld.js'
import type { SoakWorld } from './soakWorld.js'

const callersPerEntry = 3

/** Makes callers for all entry VMs, under names that begin alike. */
export function makeCallers (world: SoakWorld, prefix: string, seed: number): Caller[] {
  const entries = world.vms.filter(vm => vm.callers !== undefined)
  const places = new Map<string, EntryPlace>(entries.map(vm => [vm.settings.listen.callers ?? '', { vm: vm.name, reachedAt: vm.callers?.address ?? '' }]))
  return Array.from({ length: entries.length * callersPerEntry }, (_, place) => ({
    name: `${prefix}-${place}`,
    region: Object.keys(regions)[place % 3] ?? '',
    client: world.client,
    places,
    ledger: world.ledger,
    random: makeRandom(seed * 1000 + place),
    isFaithful: place % 2 === 1,
    pools: new Map(),
    avoided: new Map(),
    known: [],
    knownUntil: 0,
    current: undefined,
    sent: 0
  }))
}
