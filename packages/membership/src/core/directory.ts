/**
 * The directory of VMs and backend servers that each VM keeps. Records have three sources: this VM receives them
 * directly, from VMs below it in the sync tree, or from its parent. Direct records and records from below expire when
 * they are not refreshed; records from the parent stay until the parent reports that they are gone.
 */
import { hasTransition, nextState } from '@lynxcourse/base'
import type { Chart, Millis, VmId } from '@lynxcourse/base'
import type { DirectoryRecord, ServerRecord, VmRecord } from '../types/records.js'
import { hasDifferentContent, isNewer, isTombstone } from '../types/records.js'
import type { MembershipTimes } from '../types/sync.js'

/** Maximum number of records; further new records are rejected, so that memory stays bounded. */
export const maxRecords = 100_000

/** Source of a record: received directly by this VM, reported by a VM below it in the sync tree, or sent by its parent. */
export type RecordSource = 'direct' | 'below' | 'parent'

/** A record with the state that its expiry and distribution depend on. */
export interface StoredRecord {
  record: DirectoryRecord
  source: RecordSource
  lastSeenAt: Millis
  /** Sequence number of the last change to this record in this directory. */
  changeSeq: number
}

export interface Directory {
  readonly self: VmId
  readonly epoch: string
  readonly times: MembershipTimes
  readonly vmChart: Chart
  /** In the order of the last change, so that deltas need no sorting. */
  records: Map<string, StoredRecord>
  seq: number
  /** Requests with a lower `seq` get all records, because the changes don't contain records deleted since then. */
  minDeltaSeq: number
}

export function createDirectory (self: VmId, epoch: string, times: MembershipTimes, vmChart: Chart): Directory {
  return { self, epoch, times, vmChart, records: new Map(), seq: 0, minDeltaSeq: 0 }
}

export function getRecordKey (record: DirectoryRecord): string {
  return `${record.kind} ${record.key}`
}

/**
 * Stores a record if it is new or newer than the stored one.
 *
 * @returns whether anything but the sequence number changed
 */
export function putRecord (directory: Directory, record: DirectoryRecord, source: RecordSource, now: Millis): boolean {
  const key = getRecordKey(record)
  const stored = directory.records.get(key)
  if (stored === undefined) {
    if (directory.records.size >= maxRecords) return false
    recordChange(directory, key, { record, source, lastSeenAt: now, changeSeq: 0 })
    return true
  }
  if (!isNewer(record, stored.record)) return false
  const changed = hasDifferentContent(record, stored.record)
  stored.record = record
  stored.source = source
  stored.lastSeenAt = now
  if (changed) recordChange(directory, key, stored)
  return changed
}

function recordChange (directory: Directory, key: string, stored: StoredRecord): void {
  directory.seq += 1
  stored.changeSeq = directory.seq
  directory.records.delete(key)
  directory.records.set(key, stored)
}

/**
 * Marks records that were not refreshed in time as suspected, lost or gone, and deletes old tombstones.
 *
 * @returns the records that changed
 */
export function expireRecords (directory: Directory, now: Millis): DirectoryRecord[] {
  const changed: DirectoryRecord[] = []
  for (const [key, stored] of [...directory.records]) {
    const silentMs = now - stored.lastSeenAt
    if (isTombstone(stored.record)) {
      if (silentMs > directory.times.tombstoneMs) purgeTombstone(directory, key, stored)
      continue
    }
    if (stored.source === 'parent' || stored.record.key === directory.self) continue
    const expired = expireRecord(directory, stored, silentMs)
    if (expired === undefined) continue
    stored.record = expired
    if (isTombstone(expired)) stored.lastSeenAt = now
    recordChange(directory, key, stored)
    changed.push(expired)
  }
  return changed
}

function expireRecord (directory: Directory, stored: StoredRecord, silentMs: Millis): DirectoryRecord | undefined {
  return stored.record.kind === 'vm'
    ? expireVm(directory, stored.record, stored.source, silentMs)
    : expireServer(directory, stored.record, stored.source, silentMs)
}

function expireVm (directory: Directory, record: VmRecord, source: RecordSource, silentMs: Millis): VmRecord | undefined {
  const { times, vmChart } = directory
  const extraMs = source === 'below' ? times.relayGraceMs : 0
  if (silentMs > times.lostMs + extraMs && hasTransition(vmChart, record.state, 'timedOut')) {
    return { ...record, state: nextState(vmChart, record.state, 'timedOut') }
  }
  if (silentMs > times.suspectMs + extraMs && hasTransition(vmChart, record.state, 'missed')) {
    return { ...record, state: nextState(vmChart, record.state, 'missed') }
  }
  return undefined
}

function expireServer (directory: Directory, record: ServerRecord, source: RecordSource, silentMs: Millis): ServerRecord | undefined {
  const { announceMs, relayGraceMs } = directory.times
  const lifetimeMs = source === 'below' ? announceMs + relayGraceMs : announceMs
  return silentMs > lifetimeMs ? { ...record, state: 'gone' } : undefined
}

function purgeTombstone (directory: Directory, key: string, stored: StoredRecord): void {
  directory.records.delete(key)
  directory.minDeltaSeq = Math.max(directory.minDeltaSeq, stored.changeSeq)
}

/** Returns the records changed after `seq`; undefined if the requester needs the full list instead. */
export function changesSince (directory: Directory, seq: number): DirectoryRecord[] | undefined {
  if (seq < directory.minDeltaSeq || seq > directory.seq) return undefined
  const changes: DirectoryRecord[] = []
  if (seq === directory.seq) return changes
  for (const stored of directory.records.values()) {
    if (stored.changeSeq > seq) changes.push(stored.record)
  }
  return changes
}

/** Returns all records except tombstones. */
export function listLiveRecords (directory: Directory): DirectoryRecord[] {
  const live: DirectoryRecord[] = []
  for (const stored of directory.records.values()) {
    if (!isTombstone(stored.record)) live.push(stored.record)
  }
  return live
}

/** Deletes records from the parent that are missing from its full list. */
export function removeUnlistedRecords (directory: Directory, records: readonly DirectoryRecord[]): void {
  const listedKeys = new Set(records.map(getRecordKey))
  for (const [key, stored] of [...directory.records]) {
    if (stored.source !== 'parent' || listedKeys.has(key)) continue
    directory.records.delete(key)
    directory.seq += 1
    directory.minDeltaSeq = directory.seq
  }
}

/** Returns the record of a VM. */
export function findVm (directory: Directory, vm: VmId): VmRecord | undefined {
  const record = directory.records.get(`vm ${vm}`)?.record
  return record?.kind === 'vm' ? record : undefined
}

/** Returns the record of a backend server. */
export function findServer (directory: Directory, server: string): ServerRecord | undefined {
  const record = directory.records.get(`server ${server}`)?.record
  return record?.kind === 'server' ? record : undefined
}

/** Returns all VMs, including suspected and lost ones. */
export function listVms (directory: Directory): VmRecord[] {
  return [...directory.records.values()].map(stored => stored.record).filter((record): record is VmRecord => record.kind === 'vm')
}

/** Returns all backend servers, including those that are gone. */
export function listServers (directory: Directory): ServerRecord[] {
  return [...directory.records.values()].map(stored => stored.record).filter((record): record is ServerRecord => record.kind === 'server')
}
