/** Promises on how often requests are sent to servers, and with how much time. */
import { bounds, isCalm, isInTouch } from './ledger.js'
import type { Arrival, Ledger, Run } from './ledger.js'

/** A request runs at no more servers than its route allows; those that were disturbed meanwhile don't count. */
export function brokenTries (ledger: Ledger): string[] {
  const servers = new Map<string, Set<string>>()
  for (const { id, server, at } of ledger.runs) {
    if (!isCalm(ledger, server, at, bounds.contactMs)) continue
    servers.set(id, (servers.get(id) ?? new Set()).add(server))
  }
  return [...servers].flatMap(([id, at]) => at.size > bounds.maxAttempts ? [`tries: ${id} ran at ${[...at].join()}`] : [])
}

/** What a server is told of the time left ends no later than the route's timeout, counted from when the caller sent the request. */
export function brokenTimeLeft (ledger: Ledger): string[] {
  return ledger.runs.flatMap(run => {
    const attempt = ledger.attempts.get(run.id)
    if (attempt === undefined || !isCalmRun(ledger, run, attempt.entry, attempt.sentAt)) return []
    const endsAfterMs = run.leftMs === undefined ? Infinity : run.readAt + run.leftMs - attempt.sentAt
    return endsAfterMs > bounds.timeoutMs + bounds.graceMs ? [`time: ${run.server} was told ${run.leftMs ?? 'nothing'} of the time left of ${run.id}, ${Math.round(run.readAt - attempt.sentAt)} ms after it was sent`] : []
  })
}

function isCalmRun (ledger: Ledger, run: Run, entry: string, sentAt: number): boolean {
  return isInTouch(ledger, entry, sentAt) && isInTouch(ledger, entry, run.at) && isCalm(ledger, run.server, run.at, bounds.contactMs)
}

/** In any window, the arrivals of a service beyond the first of each request stay within the retry budget of all VMs together. */
export function brokenBudgets (ledger: Ledger): string[] {
  const services = [...new Set(ledger.arrivals.map(({ service }) => service))]
  return services.flatMap(service => brokenBudget(service, ledger.arrivals.filter(arrival => arrival.service === service)))
}

function brokenBudget (service: string, arrivals: readonly Arrival[]): string[] {
  const { ratio, windowMs, slack } = bounds.retryBudget
  const seen = new Set<string>()
  const marked = arrivals.map(({ id, at }) => {
    const isRepeat = seen.has(id)
    seen.add(id)
    return { at, isRepeat }
  })
  let from = 0
  let repeats = 0
  for (const [place, { at, isRepeat }] of marked.entries()) {
    if (isRepeat) repeats += 1
    for (; (marked[from]?.at ?? at) < at - windowMs; from++) if (marked[from]?.isRepeat === true) repeats -= 1
    const firsts = place + 1 - from - repeats
    if (repeats > ratio * firsts + slack) return [`budget: ${service} had ${repeats} repeats beside ${firsts} requests in ${windowMs} ms`]
  }
  return []
}
