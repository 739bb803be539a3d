/** The promise that work ends when its caller has gone. */
import { bounds, isFaultFree, isVmFaultFree } from './history.js'
import type { Attempt, SoakHistory } from './history.js'

/** Of the work that would have gone on, the share that may. */
const maxStillRunningShare = 0.25

/** An attempt whose caller closed the connection, and when that can have reached the VM. */
interface AbandonedRequest {
  readonly attempt: Attempt
  readonly reachedAt: number
}

/** What became of the requests whose callers left; lines name the requests. */
export interface AbandonedSummary {
  readonly left: number
  /** Those of them that their VM had not read after a second. */
  readonly unread: number
  /** Arrivals at servers that were too late. */
  readonly late: readonly string[]
  /** Idempotent requests whose work would have lasted beyond the bound, and those of them that were still worked on. */
  readonly longRunning: number
  readonly stillRunning: readonly string[]
}

/** Once a VM in touch can know of its caller's close, it sends a request to no server and has work on it ended. */
export function checkAbandoned (history: SoakHistory): string[] {
  const { late, longRunning, stillRunning } = summarizeAbandoned(history)
  const joinFirst = (lines: readonly string[]): string => lines.slice(0, 3).join(', ')
  return [
    ...late.length > bounds.maxLateArrivals ? [`gone: ${late.length} requests reached servers late, the first ${joinFirst(late)}`] : [],
    ...stillRunning.length > longRunning * maxStillRunningShare ? [`at work: servers worked on ${stillRunning.length} of ${longRunning} long requests ${bounds.abandonedMs} ms after the close, the first ${joinFirst(stillRunning)}`] : []
  ]
}

/** Counts where VMs were in touch and the links to the servers calm. */
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

/** Requests whose work would have lasted beyond the bound, and whether a server was at work on them then. */
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
