/** Slots of a fleet's servers, by the copy of the state. */
import type { FailureDomainId, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { listItems } from '@lynxcourse/state'
import type { Config } from '@lynxcourse/state'
import type { ServerPlaces, ServiceSlots } from '../../types/loads.js'

/** Slots of the servers that take work, by service and region; a region without any counts with none. */
export function openSlots (config: Config, regions: ReadonlyMap<FailureDomainId, RegionId>): ServiceSlots {
  const evacuated = new Set<string>(listItems(config, 'evacuation').filter(item => item.isActive).map(item => item.key))
  const slots = new Map<ServiceId, Map<RegionId, number>>()
  for (const { facts, state } of listItems(config, 'backend')) {
    if (state !== 'serving' || evacuated.has(facts.failureDomain)) continue
    const byRegion = slots.get(facts.service) ?? new Map<RegionId, number>([...regions.values()].map(region => [region, 0]))
    const region = regions.get(facts.failureDomain)
    if (region !== undefined) byRegion.set(region, (byRegion.get(region) ?? 0) + facts.slots)
    slots.set(facts.service, byRegion)
  }
  return slots
}

/** Service and slots of each server that may come back. */
export function serverPlaces (config: Config): ServerPlaces {
  const places = new Map<ServerId, { service: ServiceId, slots: number }>()
  for (const { key, facts, state } of listItems(config, 'backend')) {
    if (state !== 'gone') places.set(key, { service: facts.service, slots: facts.slots })
  }
  return places
}
