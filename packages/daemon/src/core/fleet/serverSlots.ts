/** Derives the slots and regions of a fleet's servers from the state. */
import type { FailureDomainId, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { listItems } from '@lynxcourse/state'
import type { Config } from '@lynxcourse/state'
import type { KnownServer, KnownServers, ServiceSlots } from '@lynxcourse/placement'

/**
 * Counts the slots of the serving servers by service and region. Regions without such servers are included with 0
 * slots.
 */
export function countOpenSlots (config: Config, regions: ReadonlyMap<FailureDomainId, RegionId>): ServiceSlots {
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

/** Lists the servers that have not ended, as the load board needs them. */
export function listKnownServers (config: Config, regions: ReadonlyMap<FailureDomainId, RegionId>): KnownServers {
  const servers = new Map<ServerId, KnownServer>()
  for (const { key, facts, state } of listItems(config, 'backend')) {
    if (state === 'gone') continue
    const isSettled = state === 'serving' && facts.coldMs === 0
    servers.set(key, { service: facts.service, region: regions.get(facts.failureDomain), slots: facts.slots, isSettled })
  }
  return servers
}
