/**
 * The register of requests that must not run twice.
 *
 * What can go wrong: two VMs get the same request (a caller's resend, a late copy) and both run it;
 * or a record is dropped and a still later copy runs. So the first claim in the log wins and stays
 * spent whatever its end, and an id is refused once it is older than records are kept: both are
 * judged by the log's own time, which all copies share and which never goes back.
 */
import { getIssueTime, nextState } from '@lynxcourse/base'
import type { Chart, HolderId, Millis, RequestId } from '@lynxcourse/base'
import type { ClaimAnswer, ClaimCommand, ClaimOutcome, StoredAnswer, SettleAnswer, SettleCommand } from '../types/commands.js'

/** How long an id is good for after its issue, and so how long its record is kept. */
export const claimLifetimeMs = 600_000

/** How far ahead of the log's time an id may have been issued. */
export const claimSkewMs = 30_000

/** Most records; over it new claims are refused, since dropping one could let a request run twice. */
export const maxClaims = 200_000

const bucketMs = 10_000

export interface ClaimRecord {
  readonly holder: HolderId
  readonly token: string
  state: string
  answer: StoredAnswer | undefined
}

export interface Claims {
  readonly chart: Chart
  records: Map<RequestId, ClaimRecord>
  /** Ids by the time at which they lapse, so that dropping them costs no scan. */
  buckets: Map<number, RequestId[]>
}

export function createClaims (chart: Chart): Claims {
  return { chart, records: new Map(), buckets: new Map() }
}

/** Records a claim, or says who came first. */
export function claim (claims: Claims, command: ClaimCommand, at: Millis): ClaimAnswer {
  dropLapsed(claims, at)
  const record = claims.records.get(command.id)
  if (record !== undefined) {
    const isResend = record.holder === command.holder && record.token === command.token && record.state === 'claimed'
    if (isResend) return { result: 'granted' }
    return { result: 'taken', state: record.state, answer: record.answer }
  }
  const refusal = refusalOf(claims, command.id, at)
  if (refusal !== undefined) return refusal
  addRecord(claims, command, claims.chart.initial)
  return { result: 'granted' }
}

/** Ends a claim; only its holder may. The first end stays. */
export function settle (claims: Claims, command: SettleCommand, at: Millis): SettleAnswer {
  dropLapsed(claims, at)
  const record = claims.records.get(command.id)
  if (record === undefined) return settleUnclaimed(claims, command, at)
  const isHolder = record.holder === command.holder && record.token === command.token
  if (!isHolder) {
    // Another copy was refused for good, so this one may be told the same.
    const agrees = command.outcome === 'notRun' && record.state === 'notRun'
    return { state: record.state, accepted: agrees }
  }
  if (record.state === claims.chart.initial) {
    record.state = nextState(claims.chart, record.state, eventOf(command.outcome))
    record.answer = command.answer
  }
  return { state: record.state, accepted: record.state === command.outcome }
}

/**
 * Spends an id that was never claimed. A VM that refuses a request before claiming it may say
 * `not-run` only after this, or a late copy at another VM could still run.
 */
function settleUnclaimed (claims: Claims, command: SettleCommand, at: Millis): SettleAnswer {
  if (command.outcome !== 'notRun') return { state: 'absent', accepted: false }
  const refusal = refusalOf(claims, command.id, at)
  if (refusal !== undefined) {
    // Too old an id can't be claimed by anyone any more, yet a copy may have run before its record
    // lapsed: nothing proves that it did not.
    return { state: 'absent', accepted: false }
  }
  addRecord(claims, command, 'notRun')
  return { state: 'notRun', accepted: true }
}

function eventOf (outcome: ClaimOutcome): string {
  switch (outcome) {
    case 'done': return 'answered'
    case 'notRun': return 'proved'
    case 'unknown': return 'lost'
  }
}

function refusalOf (claims: Claims, id: RequestId, at: Millis): ClaimAnswer | undefined {
  const age = at - getIssueTime(id)
  if (age >= claimLifetimeMs) {
    return { result: 'refused', code: 'badRequestId', detail: `issued ${age} ms ago, good for ${claimLifetimeMs} ms` }
  }
  if (age < -claimSkewMs) {
    return { result: 'refused', code: 'badRequestId', detail: `issued ${-age} ms in the future` }
  }
  if (claims.records.size >= maxClaims) {
    return { result: 'refused', code: 'registerFull', detail: `${maxClaims} records` }
  }
  return undefined
}

function addRecord (claims: Claims, command: ClaimCommand | SettleCommand, state: string): void {
  claims.records.set(command.id, { holder: command.holder, token: command.token, state, answer: undefined })
  const bucket = bucketOf(command.id)
  const ids = claims.buckets.get(bucket)
  if (ids === undefined) claims.buckets.set(bucket, [command.id])
  else ids.push(command.id)
}

function bucketOf (id: RequestId): number {
  // Rounded up, so that a record outlives the last moment at which its id is still good.
  return Math.ceil((getIssueTime(id) + claimLifetimeMs) / bucketMs)
}

/** Drops records whose ids are refused by now anyway. */
export function dropLapsed (claims: Claims, at: Millis): void {
  const current = Math.floor(at / bucketMs)
  for (const [bucket, ids] of claims.buckets) {
    if (bucket >= current) continue
    for (const id of ids) claims.records.delete(id)
    claims.buckets.delete(bucket)
  }
}

/** Rebuilds the register from a snapshot's records. */
export function restoreClaims (chart: Chart, records: ReadonlyArray<readonly [RequestId, ClaimRecord]>): Claims {
  const claims = createClaims(chart)
  for (const [id, record] of records) {
    claims.records.set(id, record)
    const bucket = bucketOf(id)
    claims.buckets.set(bucket, [...claims.buckets.get(bucket) ?? [], id])
  }
  return claims
}
