/** Checks that requests end when their callers close the connection. */
import { bounds, isFaultFree, isVmFaultFree } from './history.js'
import type { Attempt, SoakHistory } from './history.js'

/** Maximum share of abandoned long requests that may keep running. */
const maxStillRunningShare = 0.25

/** An attempt whose caller closed the connection; `reachedAt` is the time from which the VM can know of the close. */
interface AbandonedRequest {
  readonly attempt: Attempt
  readonly reachedAt: number
}

/** Counts of the requests whose callers closed the connection, and descriptions of those that violate a bound. */
export interface AbandonedSummary {
  readonly left: number
  /** Requests that their callers closed because the VM had not read them within a second. */
  readonly unread: number
  /** Arrivals at servers too long after the close. */
  readonly late: readonly string[]
  /** Idempotent requests that would run beyond the bound, and descriptions of those that were still running then. */
  readonly longRunning: number
  readonly stillRunning: readonly string[]
}

/** Checks that a fault-free VM sends no request to a server after the caller closed, and cancels those in flight. */
export function checkAbandoned (history: SoakHistory): string[] {
  const { late, longRunning, stillRunning } = summarizeAbandoned(history)
  const joinFirst = (lines: readonly string[]): string => lines.slice(0, 3).join(', ')
  return [
    ...late.length > bounds.maxLateArrivals ? [`gone: ${late.length} requests reached servers late, the first are ${joinFirst(late)}`] : [],
    ...stillRunning.length > longRunning * maxStillRunningShare ? [`at work: servers were still processing ${stillRunning.length} of ${longRunning} long requests ${bounds.abandonedMs} ms after the close, the first are ${joinFirst(stillRunning)}`] : []
  ]
}

/** Summarizes abandoned requests; requests near a fault of their VM or server are not counted as violations. */
export function summarizeAbandoned (history: SoakHistory): AbandonedSummary {
  const abandoned = new Map([...history.attempts.values()].flatMap(attempt => toAbandonedEntry(history, attempt)))
  const longRunning = findLongRunning(history, abandoned)
  const stillRunning = [...longRunning].flatMap(([id, isStillRunning]) => isStillRunning ? [`${id} of ${abandoned.get(id)?.attempt.entry ?? ''}`] : [])
  const unread = [...abandoned.values()].filter(({ attempt: { end } }) => end?.type === 'left' && end.why === 'unread').length
  return { left: abandoned.size, unread, late: findLateArrivals(history, abandoned), longRunning: longRunning.size, stillRunning }
}

function toAbandonedEntry (history: SoakHistory, attempt: Attempt): Array<[string, AbandonedRequest]> {
  const { id, entry, endedAt, end } = attempt
  if (endedAt === undefined || (end?.type !== 'left' && end?.type !== 'timeout')) return []
  const currentFaults = history.disturbances.filter(({ subject, from, until }) => subject === entry && from <= endedAt && endedAt <= until)
  return [[id, { attempt, reachedAt: Math.max(endedAt, ...currentFaults.map(({ until }) => until)) }]]
}

function isChecked (history: SoakHistory, entry: string, server: string, at: number): boolean {
  return isVmFaultFree(history, entry, at) && isFaultFree(history, server, at, bounds.vmRecoveryMs)
}

function findLateArrivals (history: SoakHistory, abandoned: ReadonlyMap<string, AbandonedRequest>): string[] {
  return history.arrivals.flatMap(({ id, server, at }) => {
    const request = abandoned.get(id)
    if (request === undefined || at <= request.reachedAt + bounds.abandonedMs || !isChecked(history, request.attempt.entry, server, at)) return []
    return [`${id} from ${request.attempt.entry} at ${server} ${Math.round(at - request.reachedAt)} ms after the close`]
  })
}

/** Returns the abandoned requests that would run beyond the bound, each with whether a server still ran it then. */
function findLongRunning (history: SoakHistory, abandoned: ReadonlyMap<string, AbandonedRequest>): Map<string, boolean> {
  const longRunning = new Map<string, boolean>()
  for (const run of history.runs) {
    const request = abandoned.get(run.id)
    if (request?.attempt.isIdempotent !== true) continue
    const dueAt = request.reachedAt + bounds.abandonedMs
    if (run.at > dueAt || run.at + run.workMs <= dueAt || !isChecked(history, request.attempt.entry, run.server, dueAt)) continue
    const isStillRunning = Math.min(run.endedAt ?? Infinity, run.cutAt ?? Infinity) > dueAt
    longRunning.set(run.id, isStillRunning || longRunning.get(run.id) === true)
  }
  return longRunning
}
