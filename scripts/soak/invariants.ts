/** The invariants of a soak run, checked against its history. */
import { checkAbandoned } from './abandonedChecks.js'
import { bounds, isFaultFree, isVmFaultFree, probePath } from './history.js'
import type { Attempt, Confirmed, InjectedFault, SoakHistory, Run } from './history.js'
import { checkServerLimits } from './limitChecks.js'
import { checkNotices } from './noticeChecks.js'
import { checkAttemptLimit, checkCrashes, checkRetryBudgets, checkTimeLeft } from './sendChecks.js'
import { checkTeams } from './teamKeys.js'

/** Returns all violations, one line each; the text before the colon names the invariant. */
export function findViolations (history: SoakHistory): string[] {
  return [
    ...history.recordedViolations,
    ...[...history.attempts.values()].flatMap(attempt => checkAnswer(attempt)),
    ...checkRuns(history),
    ...history.confirmed.flatMap(confirmed => checkConfirmation(history, confirmed)),
    ...checkReads(history),
    ...checkTimeouts(history),
    ...checkAbandoned(history),
    ...checkAttemptLimit(history),
    ...checkTimeLeft(history),
    ...checkRetryBudgets(history),
    ...checkCrashes(history),
    ...checkServerLimits(history),
    ...checkNotices(history),
    ...checkTeams(history),
    ...checkPlannedStops(history)
  ]
}

function checkAnswer ({ id, entry, end }: Attempt): string[] {
  if (end?.type !== 'answer') return []
  if (end.status === 200 && !end.isWhole) return [`mixed: ${id} got a success from ${entry} whose body is not the complete answer to this request`]
  if (end.status === 404) return [`denied: ${id} got 404 from ${entry} on a route that always existed`]
  return []
}

/** Statuses that guarantee that the request did not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503])

function checkRuns (history: SoakHistory): string[] {
  const violations: string[] = []
  const counts = new Map<string, number>()
  for (const run of history.runs) {
    const attempt = history.attempts.get(run.id)
    counts.set(run.id, (counts.get(run.id) ?? 0) + 1)
    if (attempt === undefined) violations.push(`unasked: ${run.server} ran ${run.id}, which no caller sent`)
    else if (attempt.path !== run.path || (!attempt.isIdempotent && run.body !== run.id)) violations.push(`changed: ${run.server} ran ${run.id} as ${run.path} ${run.body}`)
  }
  for (const [id, count] of counts) {
    const attempt = history.attempts.get(id)
    if (attempt === undefined || attempt.isIdempotent) continue
    if (count > 1) violations.push(`twice: ${id} ran ${count} times`)
    if (attempt.end?.type === 'answer' && notRunStatuses.has(attempt.end.status)) violations.push(`refused: ${id} was answered ${attempt.end.status} and ran`)
  }
  return violations
}

/** Checks that no request starts at a drained server or in an evacuated failure domain after the bound, until a readmission. */
function checkConfirmation (history: SoakHistory, confirmed: Confirmed): string[] {
  const { type, subject, at } = confirmed
  if (type === 'readmit') return []
  if (type === 'change') return checkChange(history, confirmed)
  const from = at + (type === 'drain' ? bounds.drainMs : bounds.evacuateMs)
  const readmittedAt = history.confirmed.find(other => other.type === 'readmit' && other.subject === subject && other.sentAt > at)?.sentAt ?? Infinity
  const late = history.runs.filter(run => (type === 'drain' ? run.server : run.failureDomain) === subject && run.at > from && run.at < readmittedAt && wasFaultFree(history, run))
  return late.map(run => `${type}: ${run.server} ran ${run.id} ${Math.round(run.at - at)} ms after ${subject} was confirmed`)
}

function wasFaultFree (history: SoakHistory, run: Run): boolean {
  const attempt = history.attempts.get(run.id)
  return attempt !== undefined && isVmFaultFree(history, attempt.entry, attempt.sentAt) && isVmFaultFree(history, attempt.entry, run.at) &&
    isFaultFree(history, run.server, run.at, bounds.linkRecoveryMs)
}

/**
 * Returns whether the VM of a run was connected to a working group of control VMs. Its process may have been paused: a VM that was
 * still must not go on with what it knew.
 */
function wasConnected (history: SoakHistory, run: Run): boolean {
  const attempt = history.attempts.get(run.id)
  const isUndisturbed = (at: number): boolean => !history.disturbances.some(({ kind, subject, from, until }) =>
    (subject === 'core' || (subject === attempt?.entry && kind !== 'pause')) && from <= at && at <= until + bounds.vmRecoveryMs)
  return attempt !== undefined && isUndisturbed(attempt.sentAt) && isUndisturbed(run.at)
}

/** Checks that requests sent after the bound of a confirmed change follow it, until a newer change is sent. */
function checkChange (history: SoakHistory, confirmed: Confirmed): string[] {
  const later = history.confirmed.filter(other => other.type === 'change' && other.version > confirmed.version)
  const nextSentAt = Math.min(Infinity, ...later.map(other => other.sentAt))
  const violatingRuns = history.runs.filter(run => {
    const sentAt = history.attempts.get(run.id)?.sentAt ?? -Infinity
    const isChecked = run.path === probePath && sentAt > confirmed.at + bounds.changeMs && sentAt < nextSentAt && run.at < nextSentAt
    return isChecked && run.service !== confirmed.subject && wasConnected(history, run)
  })
  return violatingRuns.map(run => `change: ${run.id} ran at ${run.service} after version ${confirmed.version} moved it to ${confirmed.subject}`)
}

/** Checks that a read that began after a confirmation never returns an older version, whichever control VM answers. */
function checkReads (history: SoakHistory): string[] {
  const changes = history.confirmed.filter(({ type }) => type === 'change')
  return history.reads.flatMap(read => {
    const missed = changes.find(change => change.at < read.sentAt && change.version > read.version)
    return missed === undefined ? [] : [`read: version ${read.version} was returned after version ${missed.version} was confirmed`]
  })
}

/** Fewer timed-out requests are too small a sample. */
const minTimedOut = 8

/** Checks that of the requests that reached their route's timeout at fault-free VMs, at least half end soon after it. */
function checkTimeouts (history: SoakHistory): string[] {
  const getElapsedMs = ({ sentAt, endedAt }: Attempt): number => (endedAt ?? Infinity) - sentAt
  const reached = [...history.attempts.values()].filter(attempt => getElapsedMs(attempt) > bounds.timeoutMs &&
    isVmFaultFree(history, attempt.entry, attempt.sentAt) && isVmFaultFree(history, attempt.entry, attempt.sentAt + bounds.timeoutMs))
  const overdue = reached.filter(attempt => getElapsedMs(attempt) > bounds.timeoutMs + bounds.graceMs)
  if (reached.length < minTimedOut || overdue.length * 2 <= reached.length) return []
  return [`held: ${overdue.length} of ${reached.length} requests that reached their route's timeout had no answer ${bounds.graceMs} ms after it; the first is ${overdue[0]?.id ?? ''}`]
}

/** Checks that a planned stop cuts no request that a server ran, unless another fault affected the VM or the server. */
function checkPlannedStops (history: SoakHistory): string[] {
  const stops = history.disturbances.filter(({ kind }) => kind === 'term')
  return stops.flatMap(stop => {
    const cut = [...history.attempts.values()].filter(attempt => attempt.entry === stop.subject && attempt.end?.type === 'closed' &&
      (attempt.endedAt ?? 0) >= stop.from && (attempt.endedAt ?? 0) <= stop.until && isOnlyStopped(history, attempt, stop))
    return cut.map(attempt => `cut: ${attempt.id} ran, and its connection was closed during the planned stop of ${stop.subject}`)
  })
}

function isOnlyStopped (history: SoakHistory, attempt: Attempt, stop: InjectedFault): boolean {
  const run = history.runs.find(({ id }) => id === attempt.id)
  if (run === undefined) return false
  const from = attempt.sentAt - bounds.vmRecoveryMs
  const until = attempt.endedAt ?? Infinity
  return !history.disturbances.some(other => other !== stop && (other.subject === stop.subject || other.subject === run.server) && other.from <= until && other.until >= from)
}
