/** The promise that work ends when its caller has gone. */
import { bounds, isCalm, isInTouch } from './ledger.js'
import type { Attempt, Ledger } from './ledger.js'

/** Of the work that would have gone on, the share that may. */
const mostAtWork = 0.25

/** An attempt whose caller closed the connection, and when that can have reached the VM. */
interface Left {
  readonly attempt: Attempt
  readonly reachedAt: number
}

/** What became of the requests whose callers left; lines name the requests. */
export interface GoneSeen {
  readonly left: number
  /** Those of them that their VM had not read after a second. */
  readonly unread: number
  /** Arrivals at servers that were too late. */
  readonly late: readonly string[]
  /** Idempotent requests whose work would have lasted beyond the bound, and those of them that were still worked on. */
  readonly lasting: number
  readonly atWork: readonly string[]
}

/** Once a VM in touch can know of its caller's close, it sends a request to no server and has work on it ended. */
export function brokenGone (ledger: Ledger): string[] {
  const { late, lasting, atWork } = seeGone(ledger)
  const named = (lines: readonly string[]): string => lines.slice(0, 3).join(', ')
  return [
    ...late.length > bounds.goneFew ? [`gone: ${late.length} requests reached servers late, the first ${named(late)}`] : [],
    ...atWork.length > lasting * mostAtWork ? [`at work: servers worked on ${atWork.length} of ${lasting} long requests ${bounds.goneMs} ms after the close, the first ${named(atWork)}`] : []
  ]
}

/** Counts where VMs were in touch and the links to the servers calm. */
export function seeGone (ledger: Ledger): GoneSeen {
  const left = new Map([...ledger.attempts.values()].flatMap(attempt => leftOf(ledger, attempt)))
  const lasting = lastingWork(ledger, left)
  const atWork = [...lasting].flatMap(([id, isAtWork]) => isAtWork ? [`${id} of ${left.get(id)?.attempt.entry ?? ''}`] : [])
  const unread = [...left.values()].filter(({ attempt: { end } }) => end?.type === 'left' && end.why === 'unread').length
  return { left: left.size, unread, late: lateArrivals(ledger, left), lasting: lasting.size, atWork }
}

function leftOf (ledger: Ledger, attempt: Attempt): Array<[string, Left]> {
  const { id, entry, endedAt, end } = attempt
  if (endedAt === undefined || (end?.type !== 'left' && end?.type !== 'timeout')) return []
  const around = ledger.disturbances.filter(({ subject, from, until }) => subject === entry && from <= endedAt && endedAt <= until)
  return [[id, { attempt, reachedAt: Math.max(endedAt, ...around.map(({ until }) => until)) }]]
}

function counts (ledger: Ledger, entry: string, server: string, at: number): boolean {
  return isInTouch(ledger, entry, at) && isCalm(ledger, server, at, bounds.contactMs)
}

function lateArrivals (ledger: Ledger, left: ReadonlyMap<string, Left>): string[] {
  return ledger.arrivals.flatMap(({ id, server, at }) => {
    const gone = left.get(id)
    if (gone === undefined || at <= gone.reachedAt + bounds.goneMs || !counts(ledger, gone.attempt.entry, server, at)) return []
    return [`${id} from ${gone.attempt.entry} at ${server} ${Math.round(at - gone.reachedAt)} ms after the close`]
  })
}

/** Requests whose work would have lasted beyond the bound, and whether a server was at work on them then. */
function lastingWork (ledger: Ledger, left: ReadonlyMap<string, Left>): Map<string, boolean> {
  const lasting = new Map<string, boolean>()
  for (const run of ledger.runs) {
    const gone = left.get(run.id)
    if (gone?.attempt.isIdempotent !== true) continue
    const dueAt = gone.reachedAt + bounds.goneMs
    if (run.at > dueAt || run.at + run.workMs <= dueAt || !counts(ledger, gone.attempt.entry, run.server, dueAt)) continue
    const isAtWork = Math.min(run.endedAt ?? Infinity, run.cutAt ?? Infinity) > dueAt
    lasting.set(run.id, isAtWork || lasting.get(run.id) === true)
  }
  return lasting
}
