/** Load data that the VMs of a fleet exchange. */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import type { RolloutReport, RolloutReportsByVm } from '@lynxcourse/rollouts'

/** Requests per second that servers take from all VMs together; null for a limit that has ended. */
export type ServerLimits = ReadonlyArray<readonly [ServerId, number | null]>

/** Requests per second of one entry VM for servers with limits. */
export type LimitDemand = ReadonlyArray<readonly [ServerId, number]>

/** Requests per second for servers with limits, by entry VM. */
export type LimitDemandByVm = ReadonlyArray<readonly [ServerId, string, number]>

/** What one entry VM observed since its last report. */
export interface LoadReport {
  /** Queue depth of each server, as of its last answer. */
  readonly servers: ReadonlyArray<readonly [ServerId, number]>
  /** Slots that the requests of this VM's callers need if their objects are warm, by service. */
  readonly busy: ReadonlyArray<readonly [ServiceId, number]>
  /** Servers that left a request unanswered and have answered none since. */
  readonly failed: readonly ServerId[]
  /** Limits that servers named since then, or that have ended; omitted if there are none. */
  readonly limits?: ServerLimits
  /** Requests per second that this VM has for servers with limits; omitted if there are none. */
  readonly limitDemand?: LimitDemand
  /** Reports of running rollouts; omitted if there are none. */
  readonly rollouts?: readonly RolloutReport[]
}

/** Slots that callers need, by service and region of the entry VMs. */
export type SlotDemand = ReadonlyArray<readonly [ServiceId, RegionId, number]>

/** Reports that a control VM received since the last exchange, aggregated for the leader. */
export interface LoadDigest {
  readonly servers: ReadonlyArray<readonly [ServerId, number]>
  readonly busy: SlotDemand
  /** Servers with the number of entry VMs whose requests they left unanswered. */
  readonly failed: ReadonlyArray<readonly [ServerId, number]>
  /** Limits of servers; omitted if there are none. */
  readonly limits?: ServerLimits
  /** Requests per second of single entry VMs for servers with limits; omitted if there are none. */
  readonly limitDemand?: LimitDemandByVm
  /** Reports of running rollouts by entry VM; omitted if there are none. */
  readonly rollouts?: RolloutReportsByVm
}

/** The region plan of one service, as the leader publishes it. */
export interface PlanUpdate {
  readonly service: ServiceId
  /** Whether the plan follows measured demand; until demand is known, it follows the slots alone. */
  readonly isMeasured: boolean
  /** Utilization: running and waiting requests per open slot of the service. */
  readonly fill: number
  /** Slots that the requests of all callers need now; a VM computes its own share of the slots from this value. */
  readonly busy: number
  /** Recent maximum of the slots that each region's callers needed, so that a new leader can continue from it. */
  readonly demand: ReadonlyArray<readonly [RegionId, number]>
  /** For each region of callers, the fraction of its objects that each region serves. */
  readonly shares: ReadonlyArray<readonly [RegionId, ReadonlyArray<readonly [RegionId, number]>]>
}

/** Load data that the leader publishes to all VMs. */
export interface LoadUpdate {
  /** Nearly full servers with their smoothed queue depth. */
  readonly full: ReadonlyArray<readonly [ServerId, number]>
  readonly plans: readonly PlanUpdate[]
  /** Servers that answer no VM now. */
  readonly silent: readonly ServerId[]
  /** Limits that servers name, and limits that ended recently; omitted if there are none. */
  readonly limits?: readonly LimitUpdate[]
  /** Omitted for a VM that already has this version of the weights. */
  readonly weights?: WeightUpdate
}

/** The limit of one server on the requests of all VMs together. */
export interface LimitUpdate {
  readonly server: ServerId
  /** Null if the limit has ended. */
  readonly perSecond: number | null
  /** Fractions of the limit that entry VMs may use, by name; other VMs may use none of it. */
  readonly shares: ReadonlyArray<readonly [string, number]>
}

/** Weights of servers in rendezvous hashing; servers that are not listed have weight 1. */
export interface WeightUpdate {
  /** Time at which the leader published the weights, so that two leaders never use one version for different weights. */
  readonly version: Millis
  readonly servers: ReadonlyArray<readonly [ServerId, number]>
}

/** Slots of the open servers, by service and region. */
export type ServiceSlots = ReadonlyMap<ServiceId, ReadonlyMap<RegionId, number>>

/** A server as the load board knows it. */
export interface KnownServer {
  readonly service: ServiceId
  readonly region: RegionId | undefined
  readonly slots: number
  /** Whether the server takes a normal share of the work: it is neither leaving nor cold. */
  readonly isSettled: boolean
}

/** The servers that the load board knows. */
export type KnownServers = ReadonlyMap<ServerId, KnownServer>

/** Part of its fractions of limits that a VM still uses once they are not confirmed any more; the leader keeps it free for the VM. */
export const reducedPart = 0.5

/** How long after the last confirmation a VM uses the reduced part. */
export const reducedShareMs: Millis = 60_000

/** How long a load report is valid: longer than the maximum interval between two watch calls. */
export const loadReportTtlMs: Millis = 3000
