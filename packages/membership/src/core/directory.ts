/**
 * The directory of VMs and backend servers that one VM holds. Records come from three sides: heard
 * by this VM itself, from VMs below it in the tree, and from its parent. It loses records only that
 * it or VMs below it hear; what came from the parent stays until the parent says that it is gone.
 */
import { hasTransition, nextState } from '@lynxcourse/base'
import type { Chart, Millis, VmId } from '@lynxcourse/base'
import type { DirectoryRecord, ServerRecord, VmRecord } from '../types/records.js'
import { differs, isNewer, isTombstone } from '../types/records.js'
import type { MembershipTimes } from '../types/sync.js'

/** Most records held; announcements over it are refused, so that memory stays bounded. */
export const maxRecords = 100_000

/** Which side a record came from. */
export type RecordSource = 'direct' | 'below' | 'parent'

export interface HeldRecord {
  record: DirectoryRecord
  source: RecordSource
  heardAt: Millis
  /** Number of this directory's change that last touched the record. */
  changeSeq: number
}

export interface Directory {
  readonly self: VmId
  readonly epoch: string
  readonly times: MembershipTimes
  readonly vmChart: Chart
  /** Insertion order is change order, so that deltas need no sort. */
  records: Map<string, HeldRecord>
  seq: number
  /** Requests that stand below this number need all records: tombstones are gone by now. */
  purgedBelow: number
}

export function createDirectory (self: VmId, epoch: string, times: MembershipTimes, vmChart: Chart): Directory {
  return { self, epoch, times, vmChart, records: new Map(), seq: 0, purgedBelow: 0 }
}

export function keyOf (record: DirectoryRecord): string {
  return `${record.kind} ${record.key}`
}

/**
 * Takes a record over if it is newer than the held one.
 *
 * @returns whether anything but its numbers changed
 */
export function putRecord (directory: Directory, record: DirectoryRecord, source: RecordSource, now: Millis): boolean {
  const key = keyOf(record)
  const held = directory.records.get(key)
  if (held === undefined) {
    if (directory.records.size >= maxRecords) return false
    touch(directory, key, { record, source, heardAt: now, changeSeq: 0 })
    return true
  }
  if (!isNewer(record, held.record)) return false
  const changed = differs(record, held.record)
  held.record = record
  held.source = source
  held.heardAt = now
  if (changed) touch(directory, key, held)
  return changed
}

function touch (directory: Directory, key: string, held: HeldRecord): void {
  directory.seq += 1
  held.changeSeq = directory.seq
  directory.records.delete(key)
  directory.records.set(key, held)
}

/** Marks what was not heard in time as suspected, lost or gone, and drops old tombstones. */
export function expireRecords (directory: Directory, now: Millis): DirectoryRecord[] {
  const changed: DirectoryRecord[] = []
  for (const [key, held] of [...directory.records]) {
    const quietMs = now - held.heardAt
    if (isTombstone(held.record)) {
      if (quietMs > directory.times.tombstoneMs) purge(directory, key, held)
      continue
    }
    if (held.source === 'parent' || held.record.key === directory.self) continue
    const judged = judge(directory, held, quietMs)
    if (judged === undefined) continue
    held.record = judged
    if (isTombstone(judged)) held.heardAt = now
    touch(directory, key, held)
    changed.push(judged)
  }
  return changed
}

function judge (directory: Directory, held: HeldRecord, quietMs: Millis): DirectoryRecord | undefined {
  return held.record.kind === 'vm'
    ? judgeVm(directory, held.record, held.source, quietMs)
    : judgeServer(directory, held.record, held.source, quietMs)
}

function judgeVm (directory: Directory, record: VmRecord, source: RecordSource, quietMs: Millis): VmRecord | undefined {
  const { times, vmChart } = directory
  const extraMs = source === 'below' ? times.relayedMs : 0
  if (quietMs > times.lostMs + extraMs && hasTransition(vmChart, record.state, 'timedOut')) {
    return { ...record, state: nextState(vmChart, record.state, 'timedOut') }
  }
  if (quietMs > times.suspectMs + extraMs && hasTransition(vmChart, record.state, 'missed')) {
    return { ...record, state: nextState(vmChart, record.state, 'missed') }
  }
  return undefined
}

function judgeServer (directory: Directory, record: ServerRecord, source: RecordSource, quietMs: Millis): ServerRecord | undefined {
  const { announceMs, relayedMs } = directory.times
  const lifetimeMs = source === 'below' ? announceMs + relayedMs : announceMs
  return quietMs > lifetimeMs ? { ...record, state: 'gone' } : undefined
}

function purge (directory: Directory, key: string, held: HeldRecord): void {
  directory.records.delete(key)
  directory.purgedBelow = Math.max(directory.purgedBelow, held.changeSeq)
}

/** What a VM that stands at `seq` of this directory lacks; undefined asks for all of it. */
export function changesSince (directory: Directory, seq: number): DirectoryRecord[] | undefined {
  if (seq < directory.purgedBelow || seq > directory.seq) return undefined
  const changes: DirectoryRecord[] = []
  if (seq === directory.seq) return changes
  for (const held of directory.records.values()) {
    if (held.changeSeq > seq) changes.push(held.record)
  }
  return changes
}

/** All records, tombstones left out. */
export function liveRecords (directory: Directory): DirectoryRecord[] {
  const live: DirectoryRecord[] = []
  for (const held of directory.records.values()) {
    if (!isTombstone(held.record)) live.push(held.record)
  }
  return live
}

/** Drops what came from the parent and is not in its full list. */
export function keepOnly (directory: Directory, records: readonly DirectoryRecord[]): void {
  const named = new Set(records.map(keyOf))
  for (const [key, held] of [...directory.records]) {
    if (held.source !== 'parent' || named.has(key)) continue
    directory.records.delete(key)
    directory.seq += 1
    directory.purgedBelow = directory.seq
  }
}

/** The record of a VM. */
export function findVm (directory: Directory, vm: VmId): VmRecord | undefined {
  const record = directory.records.get(`vm ${vm}`)?.record
  return record?.kind === 'vm' ? record : undefined
}

/** The record of a backend server. */
export function findServer (directory: Directory, server: string): ServerRecord | undefined {
  const record = directory.records.get(`server ${server}`)?.record
  return record?.kind === 'server' ? record : undefined
}

/** All VMs, also suspected and lost ones. */
export function listVms (directory: Directory): VmRecord[] {
  return [...directory.records.values()].map(held => held.record).filter((record): record is VmRecord => record.kind === 'vm')
}

/** All backend servers, also those gone. */
export function listServers (directory: Directory): ServerRecord[] {
  return [...directory.records.values()].map(held => held.record).filter((record): record is ServerRecord => record.kind === 'server')
}
