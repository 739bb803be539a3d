/**
 * The tree that spreads configuration and directory: control VMs ask the leader, all others ask a
 * control VM, of their own region if it has one. A VM has one parent, so what it sends and gets
 * depends on what changes and not on how many VMs there are.
 */
import { rankByHash } from '@lynxcourse/base'
import type { Millis, RegionId, VmId } from '@lynxcourse/base'
import type { DirectoryRecord, VmRecord } from '../types/records.js'
import type { SyncAnswer, SyncRequest } from '../types/sync.js'
import { changesSince, keepOnly, keyOf, liveRecords, putRecord } from './directory.js'
import type { Directory } from './directory.js'

/** A VM that may be asked. */
export interface ParentCandidate {
  readonly vm: VmId
  readonly region: RegionId
}

interface SentRecord {
  readonly record: DirectoryRecord
  readonly at: Millis
}

/** What this VM knows of its standing with its parent. */
export interface Uplink {
  parent: VmId | undefined
  epoch: string
  seq: number
  sent: Map<string, SentRecord>
  /** Parents that failed, and until when they are passed over. */
  avoidUntil: Map<VmId, Millis>
}

export function createUplink (): Uplink {
  return { parent: undefined, epoch: '', seq: 0, sent: new Map(), avoidUntil: new Map() }
}

/** The parent to ask now; undefined when no candidate is left. */
export function chooseParent (
  uplink: Uplink, self: ParentCandidate, candidates: readonly ParentCandidate[], now: Millis
): VmId | undefined {
  const usable = candidates.filter(candidate => (uplink.avoidUntil.get(candidate.vm) ?? 0) <= now)
  const near = usable.filter(candidate => candidate.region === self.region)
  const chosen = rankByHash(self.vm, (near.length > 0 ? near : usable).map(candidate => candidate.vm))[0]
  if (chosen !== uplink.parent) resetUplink(uplink, chosen)
  return chosen
}

function resetUplink (uplink: Uplink, parent: VmId | undefined): void {
  uplink.parent = parent
  uplink.epoch = ''
  uplink.seq = 0
  uplink.sent = new Map()
}

/** Passes over a parent that failed or is not current itself. */
export function avoidParent (uplink: Uplink, parent: VmId, untilMs: Millis): void {
  uplink.avoidUntil.set(parent, untilMs)
}

/** Builds the next request to the parent. */
export function buildSyncRequest (
  uplink: Uplink, directory: Directory, self: VmRecord, configVersion: number, now: Millis
): SyncRequest {
  const vouched: DirectoryRecord[] = []
  for (const [key, held] of directory.records) {
    if (held.source === 'parent' || held.record.key === self.key) continue
    const sent = uplink.sent.get(key)
    const isDue = sent === undefined || sent.record.state !== held.record.state ||
      (sent.record !== held.record && now - sent.at >= directory.times.refreshMs)
    if (isDue) vouched.push(held.record)
  }
  return { self, epoch: uplink.epoch, seq: uplink.seq, vouched, configVersion }
}

/** Answers a request from a VM below. */
export function answerSyncRequest (
  directory: Directory, request: SyncRequest, confirmedAgeMs: Millis | undefined, leader: string, now: Millis
): SyncAnswer {
  putRecord(directory, request.self, 'direct', now)
  for (const record of request.vouched) putRecord(directory, record, 'below', now)
  const changes = request.epoch === directory.epoch ? changesSince(directory, request.seq) : undefined
  return {
    epoch: directory.epoch,
    seq: directory.seq,
    full: changes === undefined,
    records: changes ?? liveRecords(directory),
    confirmedAgeMs,
    leader
  }
}

/** Takes the parent's answer over. */
export function applySyncAnswer (uplink: Uplink, directory: Directory, request: SyncRequest, answer: SyncAnswer, now: Millis): void {
  for (const record of request.vouched) uplink.sent.set(keyOf(record), { record, at: now })
  for (const key of uplink.sent.keys()) {
    if (!directory.records.has(key)) uplink.sent.delete(key)
  }
  for (const record of answer.records) {
    if (record.key !== directory.self) putRecord(directory, record, 'parent', now)
  }
  if (answer.full) keepOnly(directory, answer.records)
  uplink.epoch = answer.epoch
  uplink.seq = answer.seq
}
