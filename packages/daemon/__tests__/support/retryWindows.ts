/** Checks arrivals at servers against the retry budget of all VMs together. */
import type { IncomingMessage } from 'node:http'
import { getCurrentTime } from '@lynxcourse/daemon'
import type { FleetSettings } from '@lynxcourse/daemon'

type RetryBudgetCfg = FleetSettings['retryBudget']

/** One request that reached a server. */
export interface RequestArrival { readonly id: string, readonly at: number }

const idHeader = 'x-test-id'

/** Records the arrivals at servers. The caller names each request by the returned headers. */
export interface ArrivalRecorder {
  readonly arrivals: RequestArrival[]
  readonly record: (req: IncomingMessage) => void
  /** Returns the headers of the next request. */
  readonly nameRequest: () => Record<string, string>
}

export function createArrivalRecorder (): ArrivalRecorder {
  const arrivals: RequestArrival[] = []
  let sent = 0
  return {
    arrivals,
    record: req => { arrivals.push({ id: String(req.headers[idHeader]), at: getCurrentTime() }) },
    nameRequest: () => ({ [idHeader]: String(sent++) })
  }
}

/** Returns the first window with more arrivals beyond the first of their request than the budget allows; undefined if there is none. */
export function findExceededWindow (arrivals: readonly RequestArrival[], { ratio, windowMs, slack }: RetryBudgetCfg): string | undefined {
  const seen = new Set<string>()
  const marked = arrivals.map(({ id, at }) => {
    const isRepeat = seen.has(id)
    seen.add(id)
    return { at, isRepeat }
  })
  for (const { at: from } of marked) {
    const inWindow = marked.filter(({ at }) => at >= from && at < from + windowMs)
    const repeats = inWindow.filter(({ isRepeat }) => isRepeat).length
    const requests = inWindow.length - repeats
    if (repeats > ratio * requests + slack) return `${repeats} repeats for ${requests} requests`
  }
  return undefined
}
