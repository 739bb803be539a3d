/** The items of the configuration, each with the version at which it last changed. */
import type { ChangeId, DrainId, Millis, ProfileName, RegionId, ServiceId, ShiftId } from '@lynxcourse/base'
import type { DrainTarget } from './commands.js'
import type { CrashingRequestItem } from './crashes.js'
import type { Profile } from './profile.js'
import type { RolloutItem, ServiceVersionItem } from './rollouts.js'
import type { BackendItem, EvacuationItem, RouteItem, RoutingItem, TeamItem, UpstreamItem } from './routes.js'

/** The change that set an item, its operator and the log's time at which it was applied. */
export interface Origin {
  readonly changeId: ChangeId
  readonly operator: string
  readonly at: Millis
}

export interface ProfileItem {
  readonly kind: 'profile'
  readonly key: ProfileName
  readonly profile: Profile
  /** Number of this profile's changes, starting at 1. */
  readonly itemVersion: number
  readonly retired: boolean
  readonly origin: Origin
}

export interface ServiceItem {
  readonly kind: 'service'
  readonly key: ServiceId
  readonly profile: ProfileName
  readonly origin: Origin
}

export interface DrainItem {
  readonly kind: 'drain'
  readonly key: DrainId
  readonly target: DrainTarget
  readonly at: Millis
  readonly state: string
  readonly origin: Origin
}

export interface ShiftItem {
  readonly kind: 'shift'
  readonly key: ShiftId
  readonly service: ServiceId
  readonly from: RegionId
  readonly to: RegionId
  readonly targetPercent: number
  readonly stepPercent: number
  readonly cap: number
  /** Percentage of the traffic moved so far. */
  readonly percent: number
  readonly state: string
  /** The log's time of the last step. */
  readonly steppedAt: Millis
  readonly origin: Origin
}

export type ConfigItem =
  | ProfileItem | ServiceItem | DrainItem | ShiftItem
  | RouteItem | UpstreamItem | TeamItem | RoutingItem | EvacuationItem | BackendItem
  | CrashingRequestItem | ServiceVersionItem | RolloutItem

/** An item with the configuration version at which it last changed. */
export interface VersionedItem {
  readonly version: number
  readonly item: ConfigItem
}

/** The items that bring a copy of the configuration from one version to a higher one. */
export interface ConfigDelta {
  /** Whether `items` holds all items; otherwise only those that changed since `from`. */
  readonly full: boolean
  readonly from: number
  readonly version: number
  readonly items: readonly VersionedItem[]
}
