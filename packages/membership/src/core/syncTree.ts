/**
 * The sync tree that distributes the configuration and the directory. Control VMs sync with the leader, all other VMs
 * with a control VM, in their own region if there is one. Each VM has a single parent, so its traffic depends on the
 * number of changes and not on the number of VMs.
 */
import { rankByHash } from '@lynxcourse/base'
import type { Millis, RegionId, VmId } from '@lynxcourse/base'
import type { DirectoryRecord, VmRecord } from '../types/records.js'
import type { SyncAnswer, SyncRequest } from '../types/sync.js'
import { changesSince, removeUnlistedRecords, getRecordKey, listLiveRecords, putRecord } from './directory.js'
import type { Directory } from './directory.js'

/** A VM that may become the parent of this VM. */
export interface ParentCandidate {
  readonly vm: VmId
  readonly region: RegionId
}

interface SentRecord {
  readonly record: DirectoryRecord
  readonly at: Millis
}

/** State of this VM's synchronization with its parent. */
export interface Uplink {
  parent: VmId | undefined
  epoch: string
  seq: number
  sent: Map<string, SentRecord>
  /** Parents that failed or had no valid lease, and until when they are skipped. */
  avoidUntil: Map<VmId, Millis>
}

export function createUplink (): Uplink {
  return { parent: undefined, epoch: '', seq: 0, sent: new Map(), avoidUntil: new Map() }
}

/** Chooses the parent for the next sync and resets the uplink if the parent changes; undefined if no candidate is usable. */
export function chooseParent (
  uplink: Uplink, self: ParentCandidate, candidates: readonly ParentCandidate[], now: Millis
): VmId | undefined {
  const usable = candidates.filter(candidate => (uplink.avoidUntil.get(candidate.vm) ?? 0) <= now)
  const localCandidates = usable.filter(candidate => candidate.region === self.region)
  const chosen = rankByHash(self.vm, (localCandidates.length > 0 ? localCandidates : usable).map(candidate => candidate.vm))[0]
  if (chosen !== uplink.parent) resetUplink(uplink, chosen)
  return chosen
}

function resetUplink (uplink: Uplink, parent: VmId | undefined): void {
  uplink.parent = parent
  uplink.epoch = ''
  uplink.seq = 0
  uplink.sent = new Map()
}

/** Skips a parent that failed or has no valid lease, until the given time. */
export function avoidParent (uplink: Uplink, parent: VmId, untilMs: Millis): void {
  uplink.avoidUntil.set(parent, untilMs)
}

/** Builds the next request to the parent, with all records that are new, have changed state or are due for a refresh. */
export function buildSyncRequest (
  uplink: Uplink, directory: Directory, self: VmRecord, configVersion: number, now: Millis
): SyncRequest {
  const vouched: DirectoryRecord[] = []
  for (const [key, stored] of directory.records) {
    if (stored.source === 'parent' || stored.record.key === self.key) continue
    const sent = uplink.sent.get(key)
    const isDue = sent === undefined || sent.record.state !== stored.record.state ||
      (sent.record !== stored.record && now - sent.at >= directory.times.refreshMs)
    if (isDue) vouched.push(stored.record)
  }
  return { self, epoch: uplink.epoch, seq: uplink.seq, vouched, configVersion }
}

/** Stores the records of a request from a VM below and answers with the changes that this VM lacks. */
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
    records: changes ?? listLiveRecords(directory),
    confirmedAgeMs,
    leader
  }
}

/** Applies the parent's answer to the directory and the uplink. */
export function applySyncAnswer (uplink: Uplink, directory: Directory, request: SyncRequest, answer: SyncAnswer, now: Millis): void {
  for (const record of request.vouched) uplink.sent.set(getRecordKey(record), { record, at: now })
  for (const key of uplink.sent.keys()) {
    if (!directory.records.has(key)) uplink.sent.delete(key)
  }
  for (const record of answer.records) {
    if (record.key !== directory.self) putRecord(directory, record, 'parent', now)
  }
  if (answer.full) removeUnlistedRecords(directory, answer.records)
  uplink.epoch = answer.epoch
  uplink.seq = answer.seq
}
