/** Routing's view of the rest of the system. */
import type { FailureDomainId, RegionId, ServerId, ServiceId, ShiftId, VmId } from '@lynxcourse/base'

/** An entry VM that a lookup may return to callers. */
export interface EntryVm {
  readonly vm: VmId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** `IP:port`. */
  readonly http: string
  /** No recent heartbeat; lookups list the VM last. */
  readonly suspected: boolean
}

/** A backend server that has announced itself. */
export interface Backend {
  readonly id: ServerId
  readonly service: ServiceId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly address: string
  /** Start of the server's process. */
  readonly incarnation: number
  readonly slots: number
  readonly maxConnections: number
  /** Takes no new requests, as announced by the server or because of an operator's drain. */
  readonly leaving: boolean
  /** Announced by the server as not ready yet. */
  readonly starting: boolean
}

/** A shift in progress that moves a percentage of a service's callers from one region to another. */
export interface ActiveShift {
  readonly id: ShiftId
  readonly service: ServiceId
  readonly from: RegionId
  readonly to: RegionId
  readonly percent: number
}

/** One-way latencies between regions in milliseconds, keyed by `from>to`. */
export type RegionLatencies = ReadonlyMap<string, number>

/** Latency between two regions that have none configured, in milliseconds. */
export const defaultLatencyMs = 50

/** Returns the one-way latency between two regions, in milliseconds. */
export function getLatencyMs (latencies: RegionLatencies, from: RegionId, to: RegionId): number {
  if (from === to) return 0
  return latencies.get(`${from}>${to}`) ?? latencies.get(`${to}>${from}`) ?? defaultLatencyMs
}
