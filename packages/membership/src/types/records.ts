/** Directory records of VMs and backend servers. */
import type { FailureDomainId, Incarnation, RegionId, ServerId, ServiceId, VmId } from '@lynxcourse/base'

/** `IP:port`. */
export type Address = string

export type VmRole = 'entry' | 'control'

/** A VM of this system. */
export interface VmRecord {
  readonly kind: 'vm'
  readonly key: VmId
  /** Increases with each start of the process. */
  readonly incarnation: number
  /** Increases with each report within one incarnation. */
  readonly seq: number
  /** A state of the `vm` chart. */
  readonly state: string
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly roles: readonly VmRole[]
  /** Where callers and backend servers reach the VM. */
  readonly http: Address
  /** Where other VMs reach the VM. */
  readonly rpc: Address
  readonly life: Incarnation
}

/** State of a backend server: self-reported, except `gone`, which a VM sets when the server's announcement expires. */
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
 * Whether `a` is newer than `b`: by incarnation, then by sequence number. With equal numbers, a record in state lost,
 * left or gone takes precedence over a suspected one, and both take precedence over all other states.
 */
export function isNewer (a: DirectoryRecord, b: DirectoryRecord): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation
  if (a.seq !== b.seq) return a.seq > b.seq
  return getStateRank(a) > getStateRank(b)
}

function getStateRank (record: DirectoryRecord): number {
  switch (record.state) {
    case 'suspected': return 1
    case 'lost':
    case 'left':
    case 'gone': return 2
    default: return 0
  }
}

/** Whether the record marks a VM or backend server as lost, left or gone. */
export function isTombstone (record: DirectoryRecord): boolean {
  return getStateRank(record) === 2
}

/** Whether two records differ in anything but their sequence numbers. */
export function hasDifferentContent (a: DirectoryRecord, b: DirectoryRecord): boolean {
  return serializeContent(a) !== serializeContent(b)
}

function serializeContent (record: DirectoryRecord): string {
  return record.kind === 'vm'
    ? `${record.incarnation} ${record.state} ${record.region} ${record.failureDomain} ${record.http} ${record.rpc} ${record.roles.join()}`
    : `${record.incarnation} ${record.state} ${record.service} ${record.region} ${record.failureDomain} ${record.address} ${record.slots} ${record.maxConnections}`
}
