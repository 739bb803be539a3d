/** The promises that a soak is held against. */
import { checkAbandoned } from './abandonedChecks.js'
import { bounds, isFaultFree, isVmFaultFree, probePath } from './history.js'
import type { Attempt, Confirmed, InjectedFault, SoakHistory, Run } from './history.js'
import { checkRetryBudgets, checkTimeLeft, checkAttemptLimit } from './sendChecks.js'

/** Every broken promise, one line each. */
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
    ...checkPlannedStops(history)
  ]
}

function checkAnswer ({ id, entry, end }: Attempt): string[] {
  if (end?.type !== 'answer') return []
  if (end.status === 200 && !end.isWhole) return [`mixed: ${id} got a success at ${entry} that is not its own whole answer`]
  if (end.status === 404) return [`denied: ${id} got 404 at ${entry} on a route that was always there`]
  return []
}

/** Statuses that say that the request did not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503])

function checkRuns (history: SoakHistory): string[] {
  const violations: string[] = []
  const counts = new Map<string, number>()
  for (const run of history.runs) {
    const attempt = history.attempts.get(run.id)
    counts.set(run.id, (counts.get(run.id) ?? 0) + 1)
    if (attempt === undefined) violations.push(`unasked: ${run.server} ran ${run.id}, which nobody sent`)
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

/** A drain or an evacuation: no work later than its bound, until it is taken back. */
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

/** A change: requests sent later than its bound follow it, or a change sent after it. */
function checkChange (history: SoakHistory, confirmed: Confirmed): string[] {
  const later = history.confirmed.filter(other => other.type === 'change' && other.version > confirmed.version)
  const nextSentAt = Math.min(Infinity, ...later.map(other => other.sentAt))
  const violatingRuns = history.runs.filter(run => {
    const sentAt = history.attempts.get(run.id)?.sentAt ?? -Infinity
    const isChecked = run.path === probePath && sentAt > confirmed.at + bounds.changeMs && sentAt < nextSentAt && run.at < nextSentAt
    return isChecked && run.service !== confirmed.subject && wasFaultFree(history, run)
  })
  return violatingRuns.map(run => `change: ${run.id} ran at ${run.service} after version ${confirmed.version} moved it to ${confirmed.subject}`)
}

/** A read that began after a confirmation never shows an older version, whoever answers it. */
function checkReads (history: SoakHistory): string[] {
  const changes = history.confirmed.filter(({ type }) => type === 'change')
  return history.reads.flatMap(read => {
    const missed = changes.find(change => change.at < read.sentAt && change.version > read.version)
    return missed === undefined ? [] : [`read: version ${read.version} was shown after ${missed.version} was confirmed`]
  })
}

/** Fewer requests that reach their timeout tell of chance. */
const minTimedOut = 8

/** Of the requests that reached their route's timeout at VMs in touch, half and more have their final answer soon after it. */
function checkTimeouts (history: SoakHistory): string[] {
  const getElapsedMs = ({ sentAt, endedAt }: Attempt): number => (endedAt ?? Infinity) - sentAt
  const reached = [...history.attempts.values()].filter(attempt => getElapsedMs(attempt) > bounds.timeoutMs &&
    isVmFaultFree(history, attempt.entry, attempt.sentAt) && isVmFaultFree(history, attempt.entry, attempt.sentAt + bounds.timeoutMs))
  const overdue = reached.filter(attempt => getElapsedMs(attempt) > bounds.timeoutMs + bounds.graceMs)
  if (reached.length < minTimedOut || overdue.length * 2 <= reached.length) return []
  return [`held: ${overdue.length} of ${reached.length} requests that reached their route's timeout had no answer ${bounds.graceMs} ms later, the first ${overdue[0]?.id ?? ''}`]
}

/** A planned stop cuts nothing that a server has answered or works on, where nothing else disturbed the VM or the server. */
function checkPlannedStops (history: SoakHistory): string[] {
  const stops = history.disturbances.filter(({ kind }) => kind === 'term')
  return stops.flatMap(stop => {
    const cut = [...history.attempts.values()].filter(attempt => attempt.entry === stop.subject && attempt.end?.type === 'closed' &&
      (attempt.endedAt ?? 0) >= stop.from && (attempt.endedAt ?? 0) <= stop.until && isOnlyStopped(history, attempt, stop))
    return cut.map(attempt => `cut: ${attempt.id} ran and its connection was closed while ${stop.subject} stopped as planned`)
  })
}

function isOnlyStopped (history: SoakHistory, attempt: Attempt, stop: InjectedFault): boolean {
  const run = history.runs.find(({ id }) => id === attempt.id)
  if (run === undefined) return false
  const from = attempt.sentAt - bounds.vmRecoveryMs
  const until = attempt.endedAt ?? Infinity
  return !history.disturbances.some(other => other !== stop && (other.subject === stop.subject || other.subject === run.server) && other.from <= until && other.until >= from)
}
