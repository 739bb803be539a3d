/**
 * Polls the `/load` endpoints of backend servers. Their answers can be late or wrong, so they only complement this VM's
 * own observations: a failed poll counts as one failure among others, a reported load as one report.
 */
import { request } from 'undici'
import type { Millis } from '@lynxcourse/base'
import { isClosedToRequests } from '@lynxcourse/limits'
import { recordAttemptEnd, recordReportedLoad, recordAttemptStart } from '@lynxcourse/routing'
import type { ObservedServer } from '@lynxcourse/routing'
import { getCurrentTime } from '../../utils/clock.js'
import { repeat } from '../node/timers.js'
import { refreshRoutingState } from './entry.js'
import type { EntryState } from './entry.js'

const pollIntervalMs = 2000
const pollTimeoutMs = 1000

/** A server is polled only if its last load report is older than this. */
const maxReportAgeMs = 2000

/** Maximum number of concurrent polls. */
const maxConcurrentPolls = 16

/** Starts polling the servers in this VM's region. */
export function startLoadPolling (entry: EntryState): AsyncDisposable {
  return repeat(pollIntervalMs, async () => await pollAll(entry), () => undefined)
}

async function pollAll (entry: EntryState): Promise<void> {
  const now = getCurrentTime()
  refreshRoutingState(entry, now)
  const serversToPoll = [...entry.router.backends.byId.values()].filter(observed => needsLoadPoll(entry, observed, now))
  for (let first = 0; first < serversToPoll.length; first += maxConcurrentPolls) {
    await Promise.all(serversToPoll.slice(first, first + maxConcurrentPolls).map(async observed => await pollOne(entry, observed)))
  }
}

function needsLoadPoll (entry: EntryState, observed: ObservedServer, now: Millis): boolean {
  const isLocal = observed.backend.region === entry.node.cfg.region
  return isLocal && observed.state !== 'gone' && !isClosedToRequests(observed.notice, now) && now - observed.reportedAt > maxReportAgeMs
}

async function pollOne (entry: EntryState, observed: ObservedServer): Promise<void> {
  try {
    const res = await request(`http://${observed.backend.address}/load`, { signal: AbortSignal.timeout(pollTimeoutMs) })
    const report = await res.body.json() as { inFlight?: unknown }
    if (typeof report.inFlight === 'number') recordReportedLoad(observed, report.inFlight, getCurrentTime())
  } catch {
    const now = getCurrentTime()
    recordAttemptStart(observed)
    recordAttemptEnd(entry.router.backends, observed, 'failed', 0, now)
  }
}
