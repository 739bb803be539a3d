/**
 * The state of backend servers as observed by one entry VM: requests in flight, latency, failures and sheds. Loads that
 * servers announce or report are delayed and can be wrong, so the VM's own observations take precedence.
 */
import { hasTransition, nextState } from '@lynxcourse/base'
import type { Chart, Millis, ServerId, ServiceId } from '@lynxcourse/base'
import { getNotice, isClosedToRequests, pruneNotices } from '@lynxcourse/limits'
import type { ServerNotice, ServerNotices } from '@lynxcourse/limits'
import type { Backend } from '../types/view.js'

/** Time constants and thresholds of observation. */
export interface ObservationCfg {
  /** Duration of the slow start, in which the open slots of a fresh server grow to all of its slots. */
  readonly slowStartMs: Millis
  /** Number of consecutive failures that ejects a server. */
  readonly ejectAfter: number
  /** Duration of the first ejection; doubles with each further one, up to `maxEjectMs`. */
  readonly ejectMs: Millis
  readonly maxEjectMs: Millis
  /** Pause after a shed in which this VM sends the server no requests. */
  readonly shedPauseMs: Millis
  /** Half-life of the weight of a server's load report. */
  readonly reportHalfLifeMs: Millis
}

export const defaultObservation: ObservationCfg = {
  slowStartMs: 5000,
  ejectAfter: 3,
  ejectMs: 2000,
  maxEjectMs: 60_000,
  shedPauseMs: 50,
  reportHalfLifeMs: 500
}

/** A server as observed by this VM. */
export interface ObservedServer {
  backend: Backend
  /** State of the `server` chart. */
  state: string
  inFlight: number
  /** Smoothed service time. */
  latencyMs: number
  failuresInRow: number
  /** Number of ejections since the server last answered in the state `serving`. */
  ejections: number
  /** End of the present ejection. */
  ejectedUntil: Millis
  /** End of the short pause after a shed, for which the server did not ask. */
  pausedUntil: Millis
  /** Start of the last slow start. */
  freshSince: Millis
  /** Requests in flight from all VMs, as last reported by the server. */
  reportedLoad: number
  reportedAt: Millis
  /** What the server has said about itself. */
  notice: ServerNotice
}

export interface Backends {
  readonly cfg: ObservationCfg
  readonly chart: Chart
  byId: Map<ServerId, ObservedServer>
  byService: Map<ServiceId, ObservedServer[]>
  /** What servers have said about themselves. */
  readonly notices: ServerNotices
}

const latencySmoothing = 0.1
const initialLatencyMs = 10

export function createBackends (cfg: ObservationCfg, chart: Chart): Backends {
  return { cfg, chart, byId: new Map(), byService: new Map(), notices: new Map() }
}

/** Replaces the set of servers by that of the directory. Servers that are still listed keep their observations. */
export function setBackends (backends: Backends, list: readonly Backend[], now: Millis): void {
  const listed = new Set(list.map(backend => backend.id))
  for (const [id, observed] of backends.byId) {
    if (listed.has(id)) continue
    applyServerEvent(backends, observed, 'expired')
    if (observed.inFlight === 0) backends.byId.delete(id)
  }
  for (const backend of list) updateBackend(backends, backend, now)
  pruneNotices(backends.notices, now)
  backends.byService = groupByService(backends)
}

function updateBackend (backends: Backends, backend: Backend, now: Millis): void {
  const notice = getNotice(backends.notices, backend.id, backend.incarnation, now)
  let observed = backends.byId.get(backend.id)
  if (observed === undefined) {
    observed = createObserved(backends.chart.initial, backend, notice, now)
    backends.byId.set(backend.id, observed)
  }
  observed.backend = backend
  observed.notice = notice
  if (backend.leaving) {
    applyServerEvent(backends, observed, 'leaving')
  } else if (hasTransition(backends.chart, observed.state, 'returned')) {
    applyServerEvent(backends, observed, 'returned')
    observed.freshSince = now
  }
}

function createObserved (state: string, backend: Backend, notice: ServerNotice, now: Millis): ObservedServer {
  return {
    backend,
    state,
    inFlight: 0,
    latencyMs: initialLatencyMs,
    failuresInRow: 0,
    ejections: 0,
    ejectedUntil: 0,
    pausedUntil: 0,
    freshSince: now,
    reportedLoad: 0,
    reportedAt: -Infinity,
    notice
  }
}

function groupByService (backends: Backends): Map<ServiceId, ObservedServer[]> {
  const groups = new Map<ServiceId, ObservedServer[]>()
  for (const observed of backends.byId.values()) {
    const { service } = observed.backend
    const group = groups.get(service)
    if (group === undefined) groups.set(service, [observed])
    else group.push(observed)
  }
  return groups
}

function applyServerEvent (backends: Backends, observed: ObservedServer, event: string): void {
  if (hasTransition(backends.chart, observed.state, event)) observed.state = nextState(backends.chart, observed.state, event)
}

/** Ends a server's ejection or slow start when its time is over. */
export function refreshBackend (backends: Backends, observed: ObservedServer, now: Millis): void {
  if (observed.state === 'ejected' && now >= observed.ejectedUntil) {
    applyServerEvent(backends, observed, 'letBack')
    observed.freshSince = now
    observed.failuresInRow = 0
  }
  if (observed.state === 'fresh' && now - observed.freshSince >= backends.cfg.slowStartMs) {
    applyServerEvent(backends, observed, 'warmed')
  }
}

/** Returns whether a server takes part in routing; it may still want no requests for a time. */
export function isServing (observed: ObservedServer): boolean {
  return (observed.state === 'fresh' || observed.state === 'serving') && !observed.backend.starting && !observed.notice.isLeaving
}

/** Returns whether a server may receive a new request now. */
export function isUsable (observed: ObservedServer, now: Millis): boolean {
  return isServing(observed) && now >= observed.pausedUntil && !isClosedToRequests(observed.notice, now)
}

/** Returns the number of slots open now: all slots or, during the slow start, a growing number of at least one. */
export function countOpenSlots (cfg: ObservationCfg, observed: ObservedServer, now: Millis): number {
  const { slots } = observed.backend
  if (observed.state !== 'fresh') return slots
  const rampFraction = Math.min(1, (now - observed.freshSince) / cfg.slowStartMs)
  return Math.max(1, Math.ceil(slots * rampFraction))
}

/** Estimates a server's present load from its last report, discounted by the age of the report. */
export function estimateReportedLoad (cfg: ObservationCfg, observed: ObservedServer, now: Millis): number {
  const ageMs = now - observed.reportedAt
  return observed.reportedLoad * 2 ** (-ageMs / cfg.reportHalfLifeMs)
}

/** Records the load that a server reported. Invalid values are ignored. */
export function recordReportedLoad (observed: ObservedServer, load: number, now: Millis): void {
  if (!Number.isFinite(load) || load < 0 || load > observed.backend.slots * 1000) return
  observed.reportedLoad = load
  observed.reportedAt = now
}

/** Records the start of an attempt. */
export function recordAttemptStart (observed: ObservedServer): void {
  observed.inFlight += 1
}

/** Outcome of an attempt, in so far as it concerns the server's health. */
export type AttemptOutcome = 'answered' | 'shed' | 'failed' | 'cancelled'

/** Records the end of an attempt. */
export function recordAttemptEnd (backends: Backends, observed: ObservedServer, end: AttemptOutcome, tookMs: Millis, now: Millis): void {
  observed.inFlight = Math.max(0, observed.inFlight - 1)
  switch (end) {
    case 'answered':
      observed.latencyMs += (tookMs - observed.latencyMs) * latencySmoothing
      observed.failuresInRow = 0
      observed.ejections = observed.state === 'serving' ? 0 : observed.ejections
      break
    case 'shed':
      observed.pausedUntil = Math.max(observed.pausedUntil, now + backends.cfg.shedPauseMs)
      break
    case 'failed':
      recordFailure(backends, observed, now)
      break
    case 'cancelled': break
  }
}

/**
 * Records a failure and, after `ejectAfter` consecutive ones, ejects the server. Each further ejection lasts twice as
 * long. The server returns as a fresh one, with a slow start.
 */
function recordFailure (backends: Backends, observed: ObservedServer, now: Millis): void {
  const { cfg } = backends
  observed.failuresInRow += 1
  if (observed.failuresInRow < cfg.ejectAfter || !hasTransition(backends.chart, observed.state, 'ejected')) return
  applyServerEvent(backends, observed, 'ejected')
  observed.ejectedUntil = now + Math.min(cfg.maxEjectMs, cfg.ejectMs * 2 ** observed.ejections)
  observed.ejections += 1
}
