/** Resources with a cap, their names and what of a cap may be granted. */
import type { RegionId, ResourceId, ShiftId } from '@lynxcourse/base'
import { listActiveShifts, listItems } from './config.js'
import type { Config } from './config.js'
import type { Profile } from '../types/profile.js'

/** The cap on requests in flight to a region, under one profile. */
export function createRegionResourceId (profile: Profile, region: RegionId): ResourceId {
  return `region:${profile.name}:${region}` as ResourceId
}

/** The cap on requests in flight over a link between regions, under one profile. */
export function createLinkResourceId (profile: Profile, from: RegionId, to: RegionId): ResourceId {
  return `link:${profile.name}:${from}>${to}` as ResourceId
}

/** The cap on requests in flight that a shift moved. */
export function createShiftResourceId (shift: ShiftId): ResourceId {
  return `shift:${shift}` as ResourceId
}

/** Every capped resource of the configuration with its cap. */
export function listCaps (config: Config): Map<ResourceId, number> {
  const caps = new Map<ResourceId, number>()
  for (const { profile, retired } of listItems(config, 'profile')) {
    if (retired) continue
    for (const [region, cap] of Object.entries(profile.regionCaps)) {
      caps.set(createRegionResourceId(profile, region as RegionId), cap)
    }
    for (const [link, cap] of Object.entries(profile.linkCaps)) {
      caps.set(`link:${profile.name}:${link}` as ResourceId, cap)
    }
  }
  for (const shift of listActiveShifts(config)) caps.set(createShiftResourceId(shift.key), shift.cap)
  return caps
}

/** The cap of one resource; nothing may be granted of one that the configuration does not name. */
export function capOf (config: Config, resource: ResourceId): number {
  return listCaps(config).get(resource) ?? 0
}
