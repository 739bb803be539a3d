/** Derives the slots and regions of a fleet's servers from the state. */
import type { FailureDomainId, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { findItem, isRunningRollout, listItems } from '@lynxcourse/state'
import type { BackendAnnouncement, Config } from '@lynxcourse/state'
import type { KnownServer, KnownServers, ServiceSlots } from '@lynxcourse/placement'

/** The regions of a fleet, and whether it tells the software versions of servers apart. */
export interface FleetLayout {
  readonly regions: ReadonlyMap<FailureDomainId, RegionId>
  readonly hasVersions: boolean
}

/**
 * Whether a server is of the version that most requests of its service go to. Slots of other servers are not counted: they would
 * draw objects to regions whose servers get few requests or none.
 */
function hasMainVersion (config: Config, { hasVersions }: FleetLayout, { service, software }: BackendAnnouncement): boolean {
  if (!hasVersions) return true
  const rollout = findItem(config, 'rollout', service)
  const inForce = findItem(config, 'serviceVersion', service)?.version
  if (rollout === undefined || !isRunningRollout(rollout)) return inForce === undefined || software === inForce
  const { state, baseline, target, percent } = rollout
  return software === (state === 'draining' || percent > mainPercent ? target : baseline)
}

/** Share of the objects above which a rollout's target version gets most of them. */
const mainPercent = 50

/**
 * Counts the slots of the serving servers by service and region. Regions without such servers are included with 0
 * slots.
 */
export function countOpenSlots (config: Config, layout: FleetLayout): ServiceSlots {
  const { regions } = layout
  const evacuated = new Set<string>(listItems(config, 'evacuation').filter(item => item.isActive).map(item => item.key))
  const slots = new Map<ServiceId, Map<RegionId, number>>()
  for (const { facts, state } of listItems(config, 'backend')) {
    if (state !== 'serving' || evacuated.has(facts.failureDomain) || !hasMainVersion(config, layout, facts)) continue
    const byRegion = slots.get(facts.service) ?? new Map<RegionId, number>([...regions.values()].map(region => [region, 0]))
    const region = regions.get(facts.failureDomain)
    if (region !== undefined) byRegion.set(region, (byRegion.get(region) ?? 0) + facts.slots)
    slots.set(facts.service, byRegion)
  }
  return slots
}

/** Lists the servers that have not ended, as the load board needs them. */
export function listKnownServers (config: Config, layout: FleetLayout): KnownServers {
  const servers = new Map<ServerId, KnownServer>()
  for (const { key, facts, state } of listItems(config, 'backend')) {
    if (state === 'gone') continue
    const isSettled = state === 'serving' && facts.coldMs === 0 && hasMainVersion(config, layout, facts)
    servers.set(key, { service: facts.service, region: layout.regions.get(facts.failureDomain), slots: facts.slots, isSettled })
  }
  return servers
}
