/**
 * Polls backend servers' own `/health` and `/load`. They lag or mislead, so they only add to what this
 * VM sees itself: a failed poll counts as one failure among others, a reported load as one report.
 */
import { request } from 'undici'
import type { Millis } from '@lynxcourse/base'
import { recordAttemptEnd, recordReportedLoad, recordAttemptStart } from '@lynxcourse/routing'
import type { ObservedServer } from '@lynxcourse/routing'
import { getCurrentTime } from '../../utils/clock.js'
import { repeat } from '../node/timers.js'
import { refreshRoutingState } from './entry.js'
import type { EntryState } from './entry.js'

const pollEveryMs = 2000
const pollTimeoutMs = 1000

/** A report younger than this makes a poll needless. */
const freshReportMs = 2000

/** Most polls at once. */
const maxPolls = 16

/** Starts to poll the servers of this VM's own region. */
export function startLoadPolling (entry: EntryState): AsyncDisposable {
  return repeat(pollEveryMs, async () => await pollAll(entry), () => undefined)
}

async function pollAll (entry: EntryState): Promise<void> {
  const now = getCurrentTime()
  refreshRoutingState(entry, now)
  const due = [...entry.router.backends.byId.values()].filter(observed => isDue(entry, observed, now))
  for (let first = 0; first < due.length; first += maxPolls) {
    await Promise.all(due.slice(first, first + maxPolls).map(async observed => await pollOne(entry, observed)))
  }
}

function isDue (entry: EntryState, observed: ObservedServer, now: Millis): boolean {
  const isNear = observed.backend.region === entry.node.cfg.region
  return isNear && observed.state !== 'gone' && now - observed.reportedAt > freshReportMs
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
