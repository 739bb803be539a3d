/** What VMs of a fleet tell each other of the load. */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'

/** What one entry VM has seen since its last report. */
export interface LoadReport {
  /** Requests ahead at each server, by its last answer. */
  readonly servers: ReadonlyArray<readonly [ServerId, number]>
  /** Slots that this VM's requests kept busy, by service. */
  readonly busy: ReadonlyArray<readonly [ServiceId, number]>
}

/** Busy slots by the service and the region of the entry VMs. */
export type BusySlots = ReadonlyArray<readonly [ServiceId, RegionId, number]>

/** What a control VM hands on to the leader: the reports that it took since the last exchange. */
export interface LoadDigest {
  readonly servers: ReadonlyArray<readonly [ServerId, number]>
  readonly busy: BusySlots
}

/** One service's plan as VMs are told of it. */
export interface PlanNews {
  readonly service: ServiceId
  /** Whether it follows demand that was measured; until then it follows the slots alone. */
  readonly isMeasured: boolean
  /** Requests running and waiting for each open slot of the service. */
  readonly fill: number
  readonly shares: ReadonlyArray<readonly [RegionId, ReadonlyArray<readonly [RegionId, number]>]>
}

/** What every VM is told. */
export interface LoadNews {
  /** Nearly full servers with the smoothed number of requests ahead there. */
  readonly full: ReadonlyArray<readonly [ServerId, number]>
  readonly plans: readonly PlanNews[]
}

/** Slots of one service's open servers by region. */
export type ServiceSlots = ReadonlyMap<ServiceId, ReadonlyMap<RegionId, number>>

/** Service and slots of each server, by its id. */
export type ServerPlaces = ReadonlyMap<ServerId, { readonly service: ServiceId, readonly slots: number }>

/** A report counts until the next one; longer than the longest time between two watches. */
export const busyForMs: Millis = 3000
