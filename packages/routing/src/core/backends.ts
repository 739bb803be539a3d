/**
 * What one entry VM knows of backend servers by its own observation: work in flight, latency,
 * failures, sheds. Announced and reported figures lag and mislead, so they come second.
 */
import { hasTransition, nextState } from '@lynxcourse/base'
import type { Chart, Millis, ServerId, ServiceId } from '@lynxcourse/base'
import type { Backend } from '../types/view.js'

/** Time constants and thresholds of observation. */
export interface ObservationCfg {
  /** A fresh server's share of its slots grows to all of them over this. */
  readonly slowStartMs: Millis
  /** So many failures in a row set a server aside. */
  readonly ejectAfter: number
  /** First time aside; doubles with each repetition up to `maxEjectMs`. */
  readonly ejectMs: Millis
  readonly maxEjectMs: Millis
  /** A server that shed gets nothing from this VM for this long, if it named no time itself. */
  readonly shedPauseMs: Millis
  /** A server's own report of load halves in weight with each of these. */
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

/** A server as this VM uses it. */
export interface ObservedServer {
  backend: Backend
  /** By the `server` chart. */
  state: string
  inFlight: number
  /** Smoothed service time. */
  latencyMs: number
  failuresInRow: number
  ejections: number
  /** When the present state ends, for states that end by time. */
  until: Millis
  pausedUntil: Millis
  freshSince: Millis
  /** In-flight work that the server last reported, from everyone. */
  reportedLoad: number
  reportedAt: Millis
}

export interface Backends {
  readonly cfg: ObservationCfg
  readonly chart: Chart
  byId: Map<ServerId, ObservedServer>
  byService: Map<ServiceId, ObservedServer[]>
}

const smoothing = 0.1
const startLatencyMs = 10

export function createBackends (cfg: ObservationCfg, chart: Chart): Backends {
  return { cfg, chart, byId: new Map(), byService: new Map() }
}

/** Brings the set of servers up to the directory's. Observations of those that stay are kept. */
export function setBackends (backends: Backends, list: readonly Backend[], now: Millis): void {
  const named = new Set(list.map(backend => backend.id))
  for (const [id, observed] of backends.byId) {
    if (named.has(id)) continue
    takeServerEvent(backends, observed, 'expired')
    if (observed.inFlight === 0) backends.byId.delete(id)
  }
  for (const backend of list) updateBackend(backends, backend, now)
  backends.byService = groupByService(backends)
}

function updateBackend (backends: Backends, backend: Backend, now: Millis): void {
  let observed = backends.byId.get(backend.id)
  if (observed === undefined) {
    observed = freshObserved(backends.chart.initial, backend, now)
    backends.byId.set(backend.id, observed)
  }
  observed.backend = backend
  if (backend.leaving) {
    takeServerEvent(backends, observed, 'leaving')
  } else if (hasTransition(backends.chart, observed.state, 'returned')) {
    takeServerEvent(backends, observed, 'returned')
    observed.freshSince = now
  }
}

function freshObserved (state: string, backend: Backend, now: Millis): ObservedServer {
  return {
    backend,
    state,
    inFlight: 0,
    latencyMs: startLatencyMs,
    failuresInRow: 0,
    ejections: 0,
    until: 0,
    pausedUntil: 0,
    freshSince: now,
    reportedLoad: 0,
    reportedAt: -Infinity
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

function takeServerEvent (backends: Backends, observed: ObservedServer, event: string): void {
  if (hasTransition(backends.chart, observed.state, event)) observed.state = nextState(backends.chart, observed.state, event)
}

/** Moves servers whose time in a state is over. */
export function refreshBackend (backends: Backends, observed: ObservedServer, now: Millis): void {
  if (observed.state === 'ejected' && now >= observed.until) {
    takeServerEvent(backends, observed, 'letBack')
    observed.freshSince = now
    observed.failuresInRow = 0
  }
  if (observed.state === 'fresh' && now - observed.freshSince >= backends.cfg.slowStartMs) {
    takeServerEvent(backends, observed, 'warmed')
  }
}

/** Whether a server takes part; it may be left alone for a moment all the same. */
export function isServing (observed: ObservedServer): boolean {
  return (observed.state === 'fresh' || observed.state === 'serving') && !observed.backend.starting
}

/** Whether a server may get new work now. */
export function isUsable (observed: ObservedServer, now: Millis): boolean {
  return isServing(observed) && now >= observed.pausedUntil
}

/** Slots that may be used now: all, or a growing share of at least one while fresh. */
export function countOpenSlots (cfg: ObservationCfg, observed: ObservedServer, now: Millis): number {
  const { slots } = observed.backend
  if (observed.state !== 'fresh') return slots
  const warmth = Math.min(1, (now - observed.freshSince) / cfg.slowStartMs)
  return Math.max(1, Math.ceil(slots * warmth))
}

/** Load that others put on a server, by its own report, discounted by the report's age. */
export function reportedWeight (cfg: ObservationCfg, observed: ObservedServer, now: Millis): number {
  const age = now - observed.reportedAt
  return observed.reportedLoad * 2 ** (-age / cfg.reportHalfLifeMs)
}

/** Notes a server's report of its load. Values that make no sense are dropped. */
export function recordReportedLoad (observed: ObservedServer, load: number, now: Millis): void {
  if (!Number.isFinite(load) || load < 0 || load > observed.backend.slots * 1000) return
  observed.reportedLoad = load
  observed.reportedAt = now
}

/** Notes that an attempt began. */
export function recordAttemptStart (observed: ObservedServer): void {
  observed.inFlight += 1
}

/** How an attempt ended, as far as it tells of the server. */
export type AttemptOutcome = 'answered' | 'shed' | 'failed' | 'cancelled'

/** Notes that an attempt ended. */
export function recordAttemptEnd (backends: Backends, observed: ObservedServer, end: AttemptOutcome, tookMs: Millis, now: Millis): void {
  observed.inFlight = Math.max(0, observed.inFlight - 1)
  switch (end) {
    case 'answered':
      observed.latencyMs += (tookMs - observed.latencyMs) * smoothing
      observed.failuresInRow = 0
      observed.ejections = observed.state === 'serving' ? 0 : observed.ejections
      break
    case 'shed':
      observed.pausedUntil = Math.max(observed.pausedUntil, now + backends.cfg.shedPauseMs)
      break
    case 'failed':
      noteFailure(backends, observed, now)
      break
    case 'cancelled': break
  }
}

/** A server that keeps failing is set aside for a time that doubles, and let back as a fresh one. */
function noteFailure (backends: Backends, observed: ObservedServer, now: Millis): void {
  const { cfg } = backends
  observed.failuresInRow += 1
  if (observed.failuresInRow < cfg.ejectAfter || !hasTransition(backends.chart, observed.state, 'ejected')) return
  takeServerEvent(backends, observed, 'ejected')
  observed.until = now + Math.min(cfg.maxEjectMs, cfg.ejectMs * 2 ** observed.ejections)
  observed.ejections += 1
}
