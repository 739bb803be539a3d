/** Answers look-ups: which entry VMs a caller may use, in order. */
import { rankByHash } from '@lynxcourse/base'
import type { RegionId, VmId } from '@lynxcourse/base'
import type { EntryVm } from '../types/view.js'
import { callerBucketCount } from './regionOrder.js'
import type { CandidateRegion } from './regionOrder.js'

/** Most entry VMs in one answer. */
export const maxLookupVms = 6

/** Entry VMs by region, with the orders worked out so far. */
export interface LookupIndex {
  readonly byRegion: ReadonlyMap<RegionId, readonly EntryVm[]>
  readonly orders: Map<string, readonly EntryVm[]>
}

/** Makes an index; a new one is made whenever the set of entry VMs changes. */
export function buildLookupIndex (vms: readonly EntryVm[]): LookupIndex {
  const byRegion = new Map<RegionId, EntryVm[]>()
  for (const vm of vms) {
    const list = byRegion.get(vm.region) ?? []
    byRegion.set(vm.region, [...list, vm])
  }
  return { byRegion, orders: new Map() }
}

/**
 * Entry VMs for a caller: those of its first region, then of the others; suspected ones last.
 *
 * @param callerHash `blockHash` of the caller's address: callers of one block get one order, so that
 * caches stay warm, and the loss of a VM moves only the callers that it had
 */
export function selectEntryVms (index: LookupIndex, places: readonly CandidateRegion[], callerHash: number): readonly EntryVm[] {
  const bucket = callerHash % callerBucketCount
  const key = `${bucket} ${places.map(place => place.region).join(' ')}`
  const known = index.orders.get(key)
  if (known !== undefined) return known
  const order = orderVms(index, places, bucket)
  index.orders.set(key, order)
  return order
}

function orderVms (index: LookupIndex, places: readonly CandidateRegion[], bucket: number): readonly EntryVm[] {
  const named = new Set(places.map(place => place.region))
  const others = [...index.byRegion.keys()].filter(region => !named.has(region))
  const ordered: EntryVm[] = []
  for (const region of [...places.map(place => place.region), ...others]) {
    ordered.push(...orderWithin(index.byRegion.get(region) ?? [], bucket))
  }
  const heard = ordered.filter(vm => !vm.suspected)
  const suspected = ordered.filter(vm => vm.suspected)
  return [...heard, ...suspected].slice(0, maxLookupVms)
}

function orderWithin (vms: readonly EntryVm[], bucket: number): EntryVm[] {
  const byId = new Map<VmId, EntryVm>(vms.map(vm => [vm.vm, vm]))
  return rankByHash(`caller ${bucket}`, [...byId.keys()]).map(id => byId.get(id) as EntryVm)
}
