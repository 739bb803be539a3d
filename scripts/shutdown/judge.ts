/** Finds requests that planned stops and reloads of VMs lost, and stops that went wrong, in the records of a run. */
import { getExcuse, groupByConnection } from './excuses.js'
import type { ConnectionRecords, Excuse } from './excuses.js'
import { getStopDuration, listLifetimes } from './lifetimes.js'
import type { Lifetime } from './lifetimes.js'
import type { AnswerKind, CallerHabit, ObservedAnomaly, ObservedRequest, ObservedRun, RequestEnd, ShutdownBounds, ShutdownHistory } from './types.js'

/**
 * Kind of a loss:
 * - `cutAtExit`: the connection ended with the VM's process, before a complete answer
 * - `cutByClose`: the VM closed the connection while its process ran on
 * - `ownAnswer`: the VM answered in place of a server that was at work
 * - `refusedButRun`: a request that is not idempotent was answered as not run, and ran
 * - `twice`: a request that is not idempotent ran more than once
 * - `mixed`: a caller received an answer of another request, a success without a request, or bytes that are no answer
 * - `lateExit`: the process ran for longer than the grace period
 * - `badExit`: the process ended by a signal or with an exit code other than 0, or without a stop signal
 */
export type LossKind = 'cutAtExit' | 'cutByClose' | 'ownAnswer' | 'refusedButRun' | 'twice' | 'mixed' | 'lateExit' | 'badExit'

/** A loss; times are in milliseconds. */
export interface Loss {
  readonly kind: LossKind
  readonly vm: string
  /** The planned work; undefined if the loss does not depend on any. */
  readonly signal: 'terminate' | 'reload' | undefined
  /** Number of stop signals until the end of the request or process. */
  readonly stopSignals: number
  /** The request; undefined for a loss that concerns a process or a connection. */
  readonly request: LostRequest | undefined
  /** Time from the first signal to the end of the request or process; undefined without a signal. */
  readonly endedAfterMs: number | undefined
  readonly detail: string
}

/** The request of a loss. */
export interface LostRequest {
  readonly id: string
  readonly habit: CallerHabit
  readonly isIdempotent: boolean
  readonly limitMs: number
  /** Kind of the server's answer; undefined if no server was reached. */
  readonly answer: AnswerKind | undefined
  /** Time from the signal until the request was whole; negative if it was whole before. */
  readonly sentAfterMs: number | undefined
  /** Whether it was sent after the stopped process had exited, so that the next process took it. */
  readonly isAfterExit: boolean
  readonly durationMs: number
  readonly receivedBytes: number
  readonly runs: number
  /** Whether a server was still at work when the request ended. */
  readonly isServerWorking: boolean
}

/** Planned work at a VM, and the process that it concerns. */
export interface PlannedWork {
  readonly signal: 'terminate' | 'reload'
  readonly at: number
  readonly lifetime: Lifetime
}

/** A request that was sent whole and has ended. */
interface EndedRequest extends ObservedRequest {
  readonly sentAt: number
  readonly endedAt: number
  readonly end: RequestEnd
}

/** Planned work ends this long after the grace period. */
const afterGraceMs = 1000
/** Requests that are sent this long after the stop signal are excused if their servers take the whole grace period. */
const excusedSendMs = 3000
/** Fraction of the grace period after which a server that is still at work excuses a loss. */
const excusedWorkFraction = 5 / 6
/** The ends of a process and of its connections are observed with this difference at most, in addition to delays of links. */
const exitToleranceMs = 100
/** A server notices a closed connection this long before the caller has the VM's answer, at most. */
const closeToleranceMs = 100
/** Statuses that promise that a request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** Returns all losses, in the order of the requests, then of the anomalies and of the processes. */
export function findLosses (history: ShutdownHistory, bounds: ShutdownBounds): Loss[] {
  const lifetimes = listLifetimes(history.signals)
  const records = groupByConnection(history, groupRuns(history.runs))
  const losses: Loss[] = []
  for (const request of history.requests.values()) losses.push(...judgeRequest(request, records, lifetimes, bounds))
  losses.push(...history.anomalies.filter(isMixed).map(createMixedLoss))
  for (const lifetime of lifetimes) losses.push(...judgeExit(lifetime, history, bounds))
  return losses
}

/** Counts the broken requests around planned work that are no losses, by the reason. */
export function countExcused (history: ShutdownHistory, bounds: ShutdownBounds): Partial<Record<Excuse, number>> {
  const lifetimes = listLifetimes(history.signals)
  const records = groupByConnection(history, groupRuns(history.runs))
  const counts: Partial<Record<Excuse, number>> = {}
  for (const request of history.requests.values()) {
    const excuse = findPlannedWork(request, lifetimes, bounds) === undefined ? undefined : getExcuse(records, request)
    if (excuse !== undefined) counts[excuse] = (counts[excuse] ?? 0) + 1
  }
  return counts
}

function groupRuns (runs: readonly ObservedRun[]): Map<string, ObservedRun[]> {
  const groups = new Map<string, ObservedRun[]>()
  for (const run of runs) {
    const group = groups.get(run.id)
    if (group === undefined) groups.set(run.id, [run])
    else group.push(run)
  }
  return groups
}

function judgeRequest (request: ObservedRequest, records: ConnectionRecords, lifetimes: readonly Lifetime[], bounds: ShutdownBounds): Loss[] {
  const runs = records.runs.get(request.id) ?? []
  const work = findPlannedWork(request, lifetimes, bounds)
  const executed = runs.filter(run => !isRejection(run))
  const losses: Loss[] = []
  if (!request.isIdempotent && executed.length > 1) losses.push(createLoss('twice', request, runs, work))
  if (!request.isIdempotent && executed.length > 0 && isAnsweredAsNotRun(request)) losses.push(createLoss('refusedButRun', request, runs, work))
  if (isEnded(request) && work !== undefined && getExcuse(records, request) === undefined && !isExcused(request, runs, work, bounds)) losses.push(...judgeEnd(request, runs, work, bounds))
  return losses
}

/** Whether a server rejected a request without running it. */
function isRejection ({ kind, hasFailed }: ObservedRun): boolean {
  return kind === 'turnedAway' && hasFailed
}

function isAnsweredAsNotRun ({ end }: ObservedRequest): boolean {
  return end?.type === 'whole' && !end.isFromServer && notRunStatuses.has(end.status)
}

function isEnded (request: ObservedRequest): request is EndedRequest {
  return request.sentAt !== undefined && request.endedAt !== undefined && request.end !== undefined
}

/** Returns the planned work during which a request ended: a stop rather than a reload, and the latest stop. */
export function findPlannedWork ({ vm, sentAt, endedAt }: ObservedRequest, lifetimes: readonly Lifetime[], { graceMs, reloadMs }: ShutdownBounds): PlannedWork | undefined {
  if (sentAt === undefined || endedAt === undefined) return undefined
  const own = lifetimes.filter(lifetime => lifetime.vm === vm).reverse()
  for (const lifetime of own) {
    const [at] = lifetime.terminatedAt
    if (at !== undefined && endedAt >= at && endedAt <= at + graceMs + afterGraceMs) return { signal: 'terminate', at, lifetime }
  }
  for (const lifetime of own) {
    const at = lifetime.reloadedAt.findLast(reloadedAt => sentAt <= reloadedAt + reloadMs && endedAt >= reloadedAt)
    if (at !== undefined) return { signal: 'reload', at, lifetime }
  }
  return undefined
}

function isExcused (request: EndedRequest, runs: readonly ObservedRun[], work: PlannedWork, bounds: ShutdownBounds): boolean {
  return hasReachedLimit(request) || runs.at(-1)?.hasFailed === true || isServerTooSlow(request, runs, work, bounds)
}

function hasReachedLimit ({ startedAt, endedAt, limitMs, timeoutMs }: EndedRequest): boolean {
  return endedAt - startedAt >= Math.min(limitMs, timeoutMs ?? Infinity)
}

/** Whether the request lasted into the last part of the grace period, with a server at work, though it was sent early enough. */
function isServerTooSlow ({ sentAt, endedAt }: EndedRequest, runs: readonly ObservedRun[], { signal, at }: PlannedWork, { graceMs }: ShutdownBounds): boolean {
  if (signal !== 'terminate' || sentAt > at + excusedSendMs) return false
  const excusedFrom = at + graceMs * excusedWorkFraction
  return endedAt >= excusedFrom && runs.some(run => run.startedAt <= at + graceMs && (run.endedAt ?? Infinity) >= excusedFrom)
}

function judgeEnd (request: EndedRequest, runs: readonly ObservedRun[], work: PlannedWork, { lossSlackMs }: ShutdownBounds): Loss[] {
  const { end, sentAt, endedAt } = request
  if (end.type === 'whole') {
    const isReplaced = work.signal === 'terminate' && !end.isFromServer && isServerWorking(request, runs)
    return isReplaced ? [createLoss('ownAnswer', request, runs, work)] : []
  }
  if (end.type === 'abandoned') return []
  // Without a run, no process may have been there to read a request that was sent after the exit.
  const isLost = runs.length > 0 || (endedAt > sentAt + lossSlackMs && !isAfterExit(sentAt, work))
  return isLost ? [createLoss(isCutAtExit(request, work) ? 'cutAtExit' : 'cutByClose', request, runs, work)] : []
}

function isServerWorking ({ endedAt }: ObservedRequest, runs: readonly ObservedRun[]): boolean {
  if (endedAt === undefined) return false
  return runs.some(run => !run.hasFailed && run.startedAt < endedAt && isUnfinished(run, endedAt))
}

function isUnfinished (run: ObservedRun, at: number): boolean {
  return run.wasCutOff === true || run.endedAt === undefined || run.endedAt > at - closeToleranceMs
}

/** Whether a request was sent after the stopped process had exited. */
function isAfterExit (sentAt: number, { lifetime: { exitedAt } }: PlannedWork): boolean {
  return exitedAt !== undefined && sentAt > exitedAt
}

function isCutAtExit ({ sentAt, endedAt }: EndedRequest, work: PlannedWork): boolean {
  const { exitedAt } = work.lifetime
  return exitedAt !== undefined && endedAt >= exitedAt - exitToleranceMs && !isAfterExit(sentAt, work)
}

function createLoss (kind: LossKind, request: ObservedRequest, runs: readonly ObservedRun[], work: PlannedWork | undefined): Loss {
  const { id, habit, isIdempotent, limitMs, startedAt, endedAt, sentAt, end } = request
  const at = work?.at
  return {
    kind,
    vm: request.vm,
    signal: work?.signal,
    stopSignals: work?.lifetime.terminatedAt.filter(terminatedAt => terminatedAt <= (endedAt ?? Infinity)).length ?? 0,
    endedAfterMs: at === undefined || endedAt === undefined ? undefined : endedAt - at,
    detail: end === undefined ? 'no end' : describeEnd(end),
    request: {
      id,
      habit,
      isIdempotent,
      limitMs,
      answer: runs.at(-1)?.kind,
      sentAfterMs: at === undefined || sentAt === undefined ? undefined : sentAt - at,
      isAfterExit: sentAt !== undefined && work !== undefined && isAfterExit(sentAt, work),
      durationMs: (endedAt ?? startedAt) - startedAt,
      receivedBytes: end?.type === 'broken' ? end.receivedBytes : 0,
      runs: runs.length,
      isServerWorking: isServerWorking(request, runs)
    }
  }
}

function describeEnd (end: RequestEnd): string {
  if (end.type === 'whole') return `answered ${end.status}${end.text === undefined ? '' : ` ${end.text}`}`
  return end.type === 'broken' ? end.detail : end.type
}

/** A failure without a request is allowed: the caller may have closed its connection in the middle of a request. */
function isMixed ({ detail }: ObservedAnomaly): boolean {
  return detail !== 'bytes without a request' && !/^answer [45]\d\d without a request$/.test(detail)
}

function createMixedLoss ({ vm, connection, detail }: ObservedAnomaly): Loss {
  return { kind: 'mixed', vm, signal: undefined, stopSignals: 0, request: undefined, endedAfterMs: undefined, detail: `${connection}: ${detail}` }
}

function judgeExit (lifetime: Lifetime, history: ShutdownHistory, { graceMs }: ShutdownBounds): Loss[] {
  const { vm, startedAt, terminatedAt, code, exitedAt } = lifetime
  if (exitedAt === undefined) return []
  const durationMs = getStopDuration(lifetime)
  const kind = classifyExit(durationMs, code, graceMs)
  if (kind === undefined || (kind === 'badExit' && isBeforeStart(lifetime, history))) return []
  const detail = `exited with ${code} ${Math.round(exitedAt - startedAt)} ms after its start`
  return [{ kind, vm, signal: durationMs === undefined ? undefined : 'terminate', stopSignals: terminatedAt.length, request: undefined, endedAfterMs: durationMs, detail }]
}

/** Whether a stop signal ended a process to which no request was sent: the runtime had not run the program yet. */
function isBeforeStart ({ vm, startedAt, exitedAt, code }: Lifetime, { requests }: ShutdownHistory): boolean {
  const isSent = ({ vm: target, sentAt }: ObservedRequest): boolean => target === vm && sentAt !== undefined && sentAt >= startedAt && sentAt <= (exitedAt ?? Infinity)
  return code === 'SIGTERM' && ![...requests.values()].some(isSent)
}

function classifyExit (durationMs: number | undefined, code: Lifetime['code'], graceMs: number): LossKind | undefined {
  if (durationMs === undefined) return 'badExit'
  if (durationMs > graceMs) return 'lateExit'
  return code === 0 ? undefined : 'badExit'
}
