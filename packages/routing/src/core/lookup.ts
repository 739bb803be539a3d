/** Answers lookups: which entry VMs a caller may use, in order. */
import { rankByHash } from '@lynxcourse/base'
import type { RegionId, VmId } from '@lynxcourse/base'
import type { EntryVm } from '../types/view.js'
import { callerBucketCount } from './regionOrder.js'
import type { CandidateRegion } from './regionOrder.js'

/** Maximum number of entry VMs in one answer. */
export const maxLookupVms = 6

/** Entry VMs by region, with a cache of computed orders. */
export interface LookupIndex {
  readonly byRegion: ReadonlyMap<RegionId, readonly EntryVm[]>
  readonly orders: Map<string, readonly EntryVm[]>
}

/** Builds an index. Needs to be called again whenever the set of entry VMs changes, since an index caches its answers. */
export function buildLookupIndex (vms: readonly EntryVm[]): LookupIndex {
  const byRegion = new Map<RegionId, EntryVm[]>()
  for (const vm of vms) {
    const list = byRegion.get(vm.region) ?? []
    byRegion.set(vm.region, [...list, vm])
  }
  return { byRegion, orders: new Map() }
}

/**
 * Returns the entry VMs for a caller: those of the first region, then those of the other regions; suspected ones last.
 *
 * @param callerHash `blockHash` of the caller's address. All callers of a block get the same order, which keeps caches
 * warm, and the loss of a VM moves only the callers that used it.
 */
export function selectEntryVms (index: LookupIndex, candidates: readonly CandidateRegion[], callerHash: number): readonly EntryVm[] {
  const bucket = callerHash % callerBucketCount
  const key = `${bucket} ${candidates.map(candidate => candidate.region).join(' ')}`
  const cached = index.orders.get(key)
  if (cached !== undefined) return cached
  const order = orderVms(index, candidates, bucket)
  index.orders.set(key, order)
  return order
}

function orderVms (index: LookupIndex, candidates: readonly CandidateRegion[], bucket: number): readonly EntryVm[] {
  const listedRegions = new Set(candidates.map(candidate => candidate.region))
  const otherRegions = [...index.byRegion.keys()].filter(region => !listedRegions.has(region))
  const ordered: EntryVm[] = []
  for (const region of [...candidates.map(candidate => candidate.region), ...otherRegions]) {
    ordered.push(...rankVms(index.byRegion.get(region) ?? [], bucket))
  }
  const healthy = ordered.filter(vm => !vm.suspected)
  const suspected = ordered.filter(vm => vm.suspected)
  return [...healthy, ...suspected].slice(0, maxLookupVms)
}

function rankVms (vms: readonly EntryVm[], bucket: number): EntryVm[] {
  const byId = new Map<VmId, EntryVm>(vms.map(vm => [vm.vm, vm]))
  return rankByHash(`caller ${bucket}`, [...byId.keys()]).map(id => byId.get(id) as EntryVm)
}
