/**
 * The register of requests that must not run twice.
 *
 * Two VMs may receive copies of the same request, because the caller resends it or the network delays a copy,
 * and only one of them may run it. The first claim in the log wins, and its id can't be claimed again, whatever
 * the outcome. A copy may also arrive after its record was dropped, so an id is refused once it is older than
 * the lifetime of the records. Both ages are computed from the log's time, which is the same on all replicas and
 * never goes back.
 */
import { getIssueTime, nextState } from '@lynxcourse/base'
import type { Chart, HolderId, Millis, RequestId } from '@lynxcourse/base'
import type { ClaimAnswer, ClaimCommand, ClaimOutcome, StoredAnswer, SettleAnswer, SettleCommand } from '../types/commands.js'

/** How long an id is valid after its issue, and therefore how long its record is kept. */
export const claimLifetimeMs = 600_000

/** How far the issue time of an id may be ahead of the log's time. */
export const maxClaimClockSkewMs = 30_000

/** Maximum number of records. Further claims are refused, because dropping a record could let a request run twice. */
export const maxClaimRecords = 200_000

const expiryBucketMs = 10_000

export interface ClaimRecord {
  readonly holder: HolderId
  readonly token: string
  state: string
  answer: StoredAnswer | undefined
}

export interface ClaimRegister {
  readonly chart: Chart
  records: Map<RequestId, ClaimRecord>
  /** Ids by the bucket of their expiry time, so that dropping expired records needs no scan of all records. */
  idsByExpiryBucket: Map<number, RequestId[]>
}

export function createClaimRegister (chart: Chart): ClaimRegister {
  return { chart, records: new Map(), idsByExpiryBucket: new Map() }
}

/** Records a claim, or returns the state and the stored answer of the claim that already has its id. */
export function applyClaim (claims: ClaimRegister, command: ClaimCommand, at: Millis): ClaimAnswer {
  dropExpiredRecords(claims, at)
  const record = claims.records.get(command.id)
  if (record !== undefined) {
    const isResend = record.holder === command.holder && record.token === command.token && record.state === 'claimed'
    if (isResend) return { result: 'granted' }
    return { result: 'taken', state: record.state, answer: record.answer }
  }
  const refusal = checkNewClaim(claims, command.id, at)
  if (refusal !== undefined) return refusal
  addRecord(claims, command, claims.chart.initial)
  return { result: 'granted' }
}

/** Records the outcome of a claim. Only the holder of the claim may do so, and the first outcome is final. */
export function applySettle (claims: ClaimRegister, command: SettleCommand, at: Millis): SettleAnswer {
  dropExpiredRecords(claims, at)
  const record = claims.records.get(command.id)
  if (record === undefined) return settleUnclaimedId(claims, command, at)
  const isHolder = record.holder === command.holder && record.token === command.token
  if (!isHolder) {
    // The request has provably not run, so every copy may report that.
    const isAlreadyNotRun = command.outcome === 'notRun' && record.state === 'notRun'
    return { state: record.state, accepted: isAlreadyNotRun }
  }
  if (record.state === claims.chart.initial) {
    record.state = nextState(claims.chart, record.state, getChartEvent(command.outcome))
    record.answer = command.answer
  }
  return { state: record.state, accepted: record.state === command.outcome }
}

/**
 * Records an id that was never claimed as not run, so that no VM can claim it any more. A VM that refuses a
 * request before claiming it may answer `not-run` only after this; otherwise a late copy could still run at another VM.
 */
function settleUnclaimedId (claims: ClaimRegister, command: SettleCommand, at: Millis): SettleAnswer {
  if (command.outcome !== 'notRun') return { state: 'absent', accepted: false }
  const refusal = checkNewClaim(claims, command.id, at)
  if (refusal !== undefined) {
    // Nobody can claim an expired id any more, but a copy may have run before its record expired: nothing proves
    // that the request has not run.
    return { state: 'absent', accepted: false }
  }
  addRecord(claims, command, 'notRun')
  return { state: 'notRun', accepted: true }
}

function getChartEvent (outcome: ClaimOutcome): string {
  switch (outcome) {
    case 'done': return 'answered'
    case 'notRun': return 'proved'
    case 'unknown': return 'lost'
  }
}

function checkNewClaim (claims: ClaimRegister, id: RequestId, at: Millis): ClaimAnswer | undefined {
  const age = at - getIssueTime(id)
  if (age >= claimLifetimeMs) {
    return { result: 'refused', code: 'badRequestId', detail: `issued ${age} ms ago, but valid for only ${claimLifetimeMs} ms` }
  }
  if (age < -maxClaimClockSkewMs) {
    return { result: 'refused', code: 'badRequestId', detail: `issued ${-age} ms in the future` }
  }
  if (claims.records.size >= maxClaimRecords) {
    return { result: 'refused', code: 'registerFull', detail: `it holds the maximum of ${maxClaimRecords} records` }
  }
  return undefined
}

function addRecord (claims: ClaimRegister, command: ClaimCommand | SettleCommand, state: string): void {
  claims.records.set(command.id, { holder: command.holder, token: command.token, state, answer: undefined })
  const bucket = getExpiryBucket(command.id)
  const ids = claims.idsByExpiryBucket.get(bucket)
  if (ids === undefined) claims.idsByExpiryBucket.set(bucket, [command.id])
  else ids.push(command.id)
}

function getExpiryBucket (id: RequestId): number {
  // Rounds up, so that a record is kept until its id is no longer valid.
  return Math.ceil((getIssueTime(id) + claimLifetimeMs) / expiryBucketMs)
}

/** Drops the records of ids that have expired and are refused because of their age. */
export function dropExpiredRecords (claims: ClaimRegister, at: Millis): void {
  const currentBucket = Math.floor(at / expiryBucketMs)
  for (const [bucket, ids] of claims.idsByExpiryBucket) {
    if (bucket >= currentBucket) continue
    for (const id of ids) claims.records.delete(id)
    claims.idsByExpiryBucket.delete(bucket)
  }
}

/** Rebuilds the register from the records of a snapshot. */
export function restoreClaimRegister (chart: Chart, records: ReadonlyArray<readonly [RequestId, ClaimRecord]>): ClaimRegister {
  const claims = createClaimRegister(chart)
  for (const [id, record] of records) {
    claims.records.set(id, record)
    const bucket = getExpiryBucket(id)
    claims.idsByExpiryBucket.set(bucket, [...claims.idsByExpiryBucket.get(bucket) ?? [], id])
  }
  return claims
}
