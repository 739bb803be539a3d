/** Names of the capped resources and the caps that the configuration sets for them. */
import type { RegionId, ResourceId, ShiftId } from '@lynxcourse/base'
import { listActiveShifts, listItems } from './config.js'
import type { Config } from './config.js'
import type { Profile } from '../types/profile.js'

/** Returns the id of the cap on requests in flight to a region, under one profile. */
export function createRegionResourceId (profile: Profile, region: RegionId): ResourceId {
  return `region:${profile.name}:${region}` as ResourceId
}

/** Returns the id of the cap on requests in flight from one region to another, under one profile. */
export function createLinkResourceId (profile: Profile, from: RegionId, to: RegionId): ResourceId {
  return `link:${profile.name}:${from}>${to}` as ResourceId
}

/** Returns the id of the cap on requests in flight that a shift has moved. */
export function createShiftResourceId (shift: ShiftId): ResourceId {
  return `shift:${shift}` as ResourceId
}

/** Returns the cap of every capped resource in the configuration. */
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

/** Returns the cap of one resource; 0 for a resource without a cap in the configuration, so that nothing is granted. */
export function getCap (config: Config, resource: ResourceId): number {
  return listCaps(config).get(resource) ?? 0
}
