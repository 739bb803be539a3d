/** The promises that a soak is held against. */
import { brokenGone } from './goneChecks.js'
import { bounds, isCalm, isInTouch, probePath } from './ledger.js'
import type { Attempt, Confirmed, Disturbance, Ledger, Run } from './ledger.js'
import { brokenBudgets, brokenTimeLeft, brokenTries } from './sendChecks.js'

/** Every broken promise, one line each. */
export function findBroken (ledger: Ledger): string[] {
  return [
    ...ledger.notes,
    ...[...ledger.attempts.values()].flatMap(attempt => brokenAnswer(attempt)),
    ...brokenRuns(ledger),
    ...ledger.confirmed.flatMap(confirmed => brokenConfirmation(ledger, confirmed)),
    ...brokenReads(ledger),
    ...brokenTimeouts(ledger),
    ...brokenGone(ledger),
    ...brokenTries(ledger),
    ...brokenTimeLeft(ledger),
    ...brokenBudgets(ledger),
    ...brokenStops(ledger)
  ]
}

function brokenAnswer ({ id, entry, end }: Attempt): string[] {
  if (end?.type !== 'answer') return []
  if (end.status === 200 && !end.isWhole) return [`mixed: ${id} got a success at ${entry} that is not its own whole answer`]
  if (end.status === 404) return [`denied: ${id} got 404 at ${entry} on a route that was always there`]
  return []
}

/** Statuses that say that the request did not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503])

function brokenRuns (ledger: Ledger): string[] {
  const broken: string[] = []
  const counts = new Map<string, number>()
  for (const run of ledger.runs) {
    const attempt = ledger.attempts.get(run.id)
    counts.set(run.id, (counts.get(run.id) ?? 0) + 1)
    if (attempt === undefined) broken.push(`unasked: ${run.server} ran ${run.id}, which nobody sent`)
    else if (attempt.path !== run.path || (!attempt.isIdempotent && run.body !== run.id)) broken.push(`changed: ${run.server} ran ${run.id} as ${run.path} ${run.body}`)
  }
  for (const [id, count] of counts) {
    const attempt = ledger.attempts.get(id)
    if (attempt === undefined || attempt.isIdempotent) continue
    if (count > 1) broken.push(`twice: ${id} ran ${count} times`)
    if (attempt.end?.type === 'answer' && notRunStatuses.has(attempt.end.status)) broken.push(`refused: ${id} was answered ${attempt.end.status} and ran`)
  }
  return broken
}

/** A drain or an evacuation: no work later than its bound, until it is taken back. */
function brokenConfirmation (ledger: Ledger, confirmed: Confirmed): string[] {
  const { type, subject, at } = confirmed
  if (type === 'readmit') return []
  if (type === 'change') return brokenChange(ledger, confirmed)
  const from = at + (type === 'drain' ? bounds.drainMs : bounds.evacuateMs)
  const takenBack = ledger.confirmed.find(other => other.type === 'readmit' && other.subject === subject && other.sentAt > at)?.sentAt ?? Infinity
  const late = ledger.runs.filter(run => (type === 'drain' ? run.server : run.failureDomain) === subject && run.at > from && run.at < takenBack && wasInTouch(ledger, run))
  return late.map(run => `${type}: ${run.server} ran ${run.id} ${Math.round(run.at - at)} ms after ${subject} was confirmed`)
}

function wasInTouch (ledger: Ledger, run: Run): boolean {
  const attempt = ledger.attempts.get(run.id)
  return attempt !== undefined && isInTouch(ledger, attempt.entry, attempt.sentAt) && isInTouch(ledger, attempt.entry, run.at) &&
    isCalm(ledger, run.server, run.at, bounds.linkMs)
}

/** A change: requests sent later than its bound follow it, or a change sent after it. */
function brokenChange (ledger: Ledger, confirmed: Confirmed): string[] {
  const later = ledger.confirmed.filter(other => other.type === 'change' && other.version > confirmed.version)
  const nextSentAt = Math.min(Infinity, ...later.map(other => other.sentAt))
  const broken = ledger.runs.filter(run => {
    const sentAt = ledger.attempts.get(run.id)?.sentAt ?? -Infinity
    const isJudged = run.path === probePath && sentAt > confirmed.at + bounds.changeMs && sentAt < nextSentAt && run.at < nextSentAt
    return isJudged && run.service !== confirmed.subject && wasInTouch(ledger, run)
  })
  return broken.map(run => `change: ${run.id} ran at ${run.service} after version ${confirmed.version} moved it to ${confirmed.subject}`)
}

/** A read that began after a confirmation never shows an older version, whoever answers it. */
function brokenReads (ledger: Ledger): string[] {
  const changes = ledger.confirmed.filter(({ type }) => type === 'change')
  return ledger.reads.flatMap(read => {
    const missed = changes.find(change => change.at < read.sentAt && change.version > read.version)
    return missed === undefined ? [] : [`read: version ${read.version} was shown after ${missed.version} was confirmed`]
  })
}

/** Fewer requests that reach their timeout tell of chance. */
const leastTimedOut = 8

/** Of the requests that reached their route's timeout at VMs in touch, half and more have their final answer soon after it. */
function brokenTimeouts (ledger: Ledger): string[] {
  const timeIn = ({ sentAt, endedAt }: Attempt): number => (endedAt ?? Infinity) - sentAt
  const reached = [...ledger.attempts.values()].filter(attempt => timeIn(attempt) > bounds.timeoutMs &&
    isInTouch(ledger, attempt.entry, attempt.sentAt) && isInTouch(ledger, attempt.entry, attempt.sentAt + bounds.timeoutMs))
  const held = reached.filter(attempt => timeIn(attempt) > bounds.timeoutMs + bounds.graceMs)
  if (reached.length < leastTimedOut || held.length * 2 <= reached.length) return []
  return [`held: ${held.length} of ${reached.length} requests that reached their route's timeout had no answer ${bounds.graceMs} ms later, the first ${held[0]?.id ?? ''}`]
}

/** A planned stop cuts nothing that a server has answered or works on, where nothing else disturbed the VM or the server. */
function brokenStops (ledger: Ledger): string[] {
  const stops = ledger.disturbances.filter(({ kind }) => kind === 'term')
  return stops.flatMap(stop => {
    const cut = [...ledger.attempts.values()].filter(attempt => attempt.entry === stop.subject && attempt.end?.type === 'closed' &&
      (attempt.endedAt ?? 0) >= stop.from && (attempt.endedAt ?? 0) <= stop.until && isOnlyStopped(ledger, attempt, stop))
    return cut.map(attempt => `cut: ${attempt.id} ran and its connection was closed while ${stop.subject} stopped as planned`)
  })
}

function isOnlyStopped (ledger: Ledger, attempt: Attempt, stop: Disturbance): boolean {
  const run = ledger.runs.find(({ id }) => id === attempt.id)
  if (run === undefined) return false
  const from = attempt.sentAt - bounds.contactMs
  const until = attempt.endedAt ?? Infinity
  return !ledger.disturbances.some(other => other !== stop && (other.subject === stop.subject || other.subject === run.server) && other.from <= until && other.until >= from)
}
