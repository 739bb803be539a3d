/** What the directory knows of VMs of this system and of backend servers. */
import type { FailureDomainId, Incarnation, RegionId, ServerId, ServiceId, VmId } from '@lynxcourse/base'

/** `IP:port`. */
export type Address = string

export type VmRole = 'entry' | 'control'

/** A VM of this system. */
export interface VmRecord {
  readonly kind: 'vm'
  readonly key: VmId
  /** Grows with each start of the process. */
  readonly incarnation: number
  /** Grows with each report within one incarnation. */
  readonly seq: number
  /** By the `vm` chart. */
  readonly state: string
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly roles: readonly VmRole[]
  /** Where callers and backend servers reach it. */
  readonly http: Address
  /** Where other VMs reach it. */
  readonly rpc: Address
  readonly life: Incarnation
}

/** State that a backend server announces of itself; `gone` is set by who misses it. */
export type ServerState = 'starting' | 'serving' | 'leaving' | 'gone'

/** A backend server. */
export interface ServerRecord {
  readonly kind: 'server'
  readonly key: ServerId
  readonly incarnation: number
  readonly seq: number
  readonly state: ServerState
  readonly service: ServiceId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly address: Address
  readonly slots: number
  readonly maxConnections: number
}

export type DirectoryRecord = VmRecord | ServerRecord

/**
 * Whether `a` is newer than `b`: by incarnation, then by number, and at equal numbers a judgement
 * that the record is lost goes before the record itself.
 */
export function isNewer (a: DirectoryRecord, b: DirectoryRecord): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation
  if (a.seq !== b.seq) return a.seq > b.seq
  return rankOf(a) > rankOf(b)
}

function rankOf (record: DirectoryRecord): number {
  switch (record.state) {
    case 'suspected': return 1
    case 'lost':
    case 'left':
    case 'gone': return 2
    default: return 0
  }
}

/** Whether the record says that its subject is out of use for good. */
export function isTombstone (record: DirectoryRecord): boolean {
  return rankOf(record) === 2
}

/** Whether two records differ in anything but their numbers. */
export function differs (a: DirectoryRecord, b: DirectoryRecord): boolean {
  return contentOf(a) !== contentOf(b)
}

function contentOf (record: DirectoryRecord): string {
  return record.kind === 'vm'
    ? `${record.incarnation} ${record.state} ${record.region} ${record.failureDomain} ${record.http} ${record.rpc} ${record.roles.join()}`
    : `${record.incarnation} ${record.state} ${record.service} ${record.region} ${record.failureDomain} ${record.address} ${record.slots} ${record.maxConnections}`
}
