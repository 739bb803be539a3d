/** What routing sees of the rest of the system. */
import type { FailureDomainId, RegionId, ServerId, ServiceId, ShiftId, VmId } from '@lynxcourse/base'

/** An entry VM that callers may be sent to. */
export interface EntryVm {
  readonly vm: VmId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** `IP:port`. */
  readonly http: string
  /** Not heard of late; named last. */
  readonly suspected: boolean
}

/** A backend server that has announced itself. */
export interface Backend {
  readonly id: ServerId
  readonly service: ServiceId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly address: string
  readonly slots: number
  readonly maxConnections: number
  /** By the server's own word or by an operator's drain: no new work. */
  readonly leaving: boolean
  /** Not ready yet, by its own word. */
  readonly starting: boolean
}

/** A shift that moves a share of a service's callers. */
export interface ActiveShift {
  readonly id: ShiftId
  readonly service: ServiceId
  readonly from: RegionId
  readonly to: RegionId
  readonly percent: number
}

/** One-way latencies between regions, in milliseconds, by `from>to`. */
export type RegionLatencies = ReadonlyMap<string, number>

/** Latency assumed where none is set, in milliseconds. */
export const defaultLatencyMs = 50

/** One-way latency between two regions. */
export function latencyBetween (latencies: RegionLatencies, from: RegionId, to: RegionId): number {
  if (from === to) return 0
  return latencies.get(`${from}>${to}`) ?? latencies.get(`${to}>${from}`) ?? defaultLatencyMs
}
