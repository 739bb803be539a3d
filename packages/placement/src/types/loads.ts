/** What VMs of a fleet tell each other of the load. */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'

/** What one entry VM has seen since its last report. */
export interface LoadReport {
  /** Requests ahead at each server, by its last answer. */
  readonly servers: ReadonlyArray<readonly [ServerId, number]>
  /** Slots that this VM's callers need where objects are warm, by service. */
  readonly busy: ReadonlyArray<readonly [ServiceId, number]>
  /** Servers that left a request without an answer, and answered none after it. */
  readonly failed: readonly ServerId[]
}

/** Slots that callers need, by the service and the region of the entry VMs. */
export type SlotDemand = ReadonlyArray<readonly [ServiceId, RegionId, number]>

/** What a control VM hands on to the leader: the reports that it took since the last exchange. */
export interface LoadDigest {
  readonly servers: ReadonlyArray<readonly [ServerId, number]>
  readonly busy: SlotDemand
  /** Servers with the number of entry VMs that they left without an answer. */
  readonly failed: ReadonlyArray<readonly [ServerId, number]>
}

/** One service's plan as VMs are told of it. */
export interface PlanUpdate {
  readonly service: ServiceId
  /** Whether it follows demand that was measured; until then it follows the slots alone. */
  readonly isMeasured: boolean
  /** Requests running and waiting for each open slot of the service. */
  readonly fill: number
  /** Slots that the requests of all callers need now; a VM tells its own part of the slots by it. */
  readonly busy: number
  /** Most slots that each region's callers needed of late, so that the next leader need not measure it anew. */
  readonly demand: ReadonlyArray<readonly [RegionId, number]>
  readonly shares: ReadonlyArray<readonly [RegionId, ReadonlyArray<readonly [RegionId, number]>]>
}

/** What every VM is told. */
export interface LoadUpdate {
  /** Nearly full servers with the smoothed number of requests ahead there. */
  readonly full: ReadonlyArray<readonly [ServerId, number]>
  readonly plans: readonly PlanUpdate[]
  /** Servers that answer nobody now. */
  readonly silent: readonly ServerId[]
  /** Left out for a VM that holds this version of them. */
  readonly weights?: WeightUpdate
}

/** Weights of servers in hashing; those not named have 1. */
export interface WeightUpdate {
  /** Time at which the leader told them: two leaders never give one version to different weights. */
  readonly version: Millis
  readonly servers: ReadonlyArray<readonly [ServerId, number]>
}

/** Slots of one service's open servers by region. */
export type ServiceSlots = ReadonlyMap<ServiceId, ReadonlyMap<RegionId, number>>

/** What the board knows of a server. */
export interface KnownServer {
  readonly service: ServiceId
  readonly region: RegionId | undefined
  readonly slots: number
  /** Whether it takes work like its neighbours: neither leaving nor cold. */
  readonly isSettled: boolean
}

export type KnownServers = ReadonlyMap<ServerId, KnownServer>

/** A report counts until the next one; longer than the longest time between two watches. */
export const loadReportTtlMs: Millis = 3000
