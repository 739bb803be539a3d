/** Checks how often requests are sent to servers, and with which remaining time. */
import { bounds, crashPath, isFaultFree, isVmFaultFree } from './history.js'
import type { Arrival, SoakHistory, Run } from './history.js'

/** Checks that a request runs at no more servers than its route allows; servers with a recent fault don't count. */
export function checkAttemptLimit (history: SoakHistory): string[] {
  const servers = new Map<string, Set<string>>()
  for (const { id, server, at } of history.runs) {
    if (!isFaultFree(history, server, at, bounds.vmRecoveryMs)) continue
    servers.set(id, (servers.get(id) ?? new Set()).add(server))
  }
  return [...servers].flatMap(([id, at]) => at.size > bounds.maxAttempts ? [`tries: ${id} ran at ${[...at].join()}`] : [])
}

/** Checks that the remaining time sent to a server ends within the route's timeout, counted from the caller's send time. */
export function checkTimeLeft (history: SoakHistory): string[] {
  return history.runs.flatMap(run => {
    const attempt = history.attempts.get(run.id)
    if (attempt === undefined || !isRunFaultFree(history, run, attempt.entry, attempt.sentAt)) return []
    const endsAfterMs = run.leftMs === undefined ? Infinity : run.readAt + run.leftMs - attempt.sentAt
    return endsAfterMs > bounds.timeoutMs + bounds.graceMs ? [`time: ${run.server} received ${run.leftMs ?? 'nothing'} as the remaining time of ${run.id}, ${Math.round(run.readAt - attempt.sentAt)} ms after it was sent`] : []
  })
}

function isRunFaultFree (history: SoakHistory, run: Run, entry: string, sentAt: number): boolean {
  return isVmFaultFree(history, entry, sentAt) && isVmFaultFree(history, entry, run.at) && isFaultFree(history, run.server, run.at, bounds.vmRecoveryMs)
}

/** Checks that repeated arrivals of a service's requests stay within the retry budget of all VMs together in any window. */
export function checkRetryBudgets (history: SoakHistory): string[] {
  const services = [...new Set(history.arrivals.map(({ service }) => service))]
  return services.flatMap(service => checkRetryBudget(service, history.arrivals.filter(arrival => arrival.service === service)))
}

function checkRetryBudget (service: string, arrivals: readonly Arrival[]): string[] {
  const { ratio, windowMs, slack } = bounds.retryBudget
  const seen = new Set<string>()
  const markedArrivals = arrivals.map(({ id, at }) => {
    const isRepeat = seen.has(id)
    seen.add(id)
    return { at, isRepeat }
  })
  let from = 0
  let repeats = 0
  for (const [place, { at, isRepeat }] of markedArrivals.entries()) {
    if (isRepeat) repeats += 1
    for (; (markedArrivals[from]?.at ?? at) < at - windowMs; from++) if (markedArrivals[from]?.isRepeat === true) repeats -= 1
    const firstArrivals = place + 1 - from - repeats
    if (repeats > ratio * firstArrivals + slack) return [`budget: ${service} had ${repeats} repeated and ${firstArrivals} first arrivals in ${windowMs} ms`]
  }
  return []
}

/** Checks that VMs without a recent fault stop sending a request under which several servers have ended. */
export function checkCrashes (history: SoakHistory): string[] {
  const runsByKey = new Map<string, Run[]>()
  for (const run of history.runs) {
    if (run.path !== crashPath) continue
    // Requests with different keys are different requests: the key is a part of what a server gets to process.
    const key = history.attempts.get(run.id)?.sentKey.key ?? ''
    runsByKey.set(key, [...runsByKey.get(key) ?? [], run])
  }
  return [...runsByKey.values()].flatMap(runs => checkCrashesOfRequest(history, runs))
}

function checkCrashesOfRequest (history: SoakHistory, runs: readonly Run[]): string[] {
  const lastTolerated = runs[bounds.toleratedCrashes - 1]
  if (lastTolerated === undefined) return []
  const late = runs.filter(({ id, at }) => at > lastTolerated.at + bounds.vmRecoveryMs && isVmFaultFree(history, history.attempts.get(id)?.entry ?? '', at))
  return late.length > bounds.maxLateCrashes ? [`crash: ${late.length} more servers ended under ${crashPath} after ${bounds.toleratedCrashes} had, the first by ${late[0]?.id ?? ''}; ${runs.length} in all`] : []
}
