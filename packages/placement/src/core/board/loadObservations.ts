/** The load that one entry VM observed since its last report to a control VM. */
import type { Millis, ServerId, ServiceId } from '@lynxcourse/base'
import type { RolloutReport } from '@lynxcourse/rollouts'
import type { LimitDemand, LoadReport } from '../../types/loads.js'

export interface LoadObservations {
  readonly ahead: Map<ServerId, number>
  /** Slot time that the requests which arrived since then need if their objects are warm. */
  readonly demandMs: Map<ServiceId, Millis>
  readonly failed: Set<ServerId>
  /** Limits that servers named, or that have ended (null). */
  readonly limits: Map<ServerId, number | null>
  /** Smoothed number of slots that this VM's callers need. */
  readonly demand: Map<ServiceId, number>
  startedAt: Millis
}

/** A shorter interval depends on chance; its observations are left to the next report. */
const minSpanMs: Millis = 400

/** Smoothing of this VM's demand per report; there is about one report per second. */
const demandSmoothing = 0.3

export function createLoadObservations (now: Millis): LoadObservations {
  return { ahead: new Map(), demandMs: new Map(), failed: new Set(), limits: new Map(), demand: new Map(), startedAt: now }
}

/** Records the queue depth that a server reported in an answer. */
export function recordQueueDepth (observations: LoadObservations, server: ServerId, ahead: number): void {
  observations.ahead.set(server, ahead)
  observations.failed.delete(server)
}

/** Records that a server left a request without an answer. */
export function recordFailedServer (observations: LoadObservations, server: ServerId): void {
  observations.ahead.delete(server)
  observations.failed.add(server)
}

/** Records the limit that an answer named; null if the answer showed that the limit has ended. */
export function recordLimit ({ limits }: LoadObservations, server: ServerId, perSecond: number | null): void {
  limits.set(server, perSecond)
}

/**
 * Records that a request arrived, whatever its outcome, with the slot time that it needs if its object is warm.
 *
 * If demand were measured by the slot time of answers, it would fall where requests are rejected and rise where objects
 * are cold. The region plan would then move objects back to the servers that are overloaded, and away from servers that
 * are cold only because objects had moved. The symptom is a plan that oscillates while callers send evenly.
 */
export function recordDemand (observations: LoadObservations, service: ServiceId, warmMs: Millis): void {
  observations.demandMs.set(service, (observations.demandMs.get(service) ?? 0) + warmMs)
}

/**
 * Returns the report and starts the next interval; undefined if too little time has passed.
 *
 * @param limitDemand requests per second of this VM for servers with limits
 * @param rollouts reports of running rollouts
 */
export function flushLoadReport (observations: LoadObservations, now: Millis, limitDemand: LimitDemand = [], rollouts: readonly RolloutReport[] = []): LoadReport | undefined {
  const spanMs = now - observations.startedAt
  if (spanMs < minSpanMs) return undefined
  const report: LoadReport = {
    servers: [...observations.ahead],
    busy: [...observations.demandMs].map(([service, demandMs]) => [service, Math.round(demandMs / spanMs * 100) / 100]),
    failed: [...observations.failed],
    ...(observations.limits.size === 0 ? {} : { limits: [...observations.limits] }),
    ...(limitDemand.length === 0 ? {} : { limitDemand }),
    ...(rollouts.length === 0 ? {} : { rollouts })
  }
  for (const [service, slots] of report.busy) {
    const previous = observations.demand.get(service) ?? slots
    observations.demand.set(service, previous + (slots - previous) * demandSmoothing)
  }
  observations.failed.clear()
  observations.limits.clear()
  observations.ahead.clear()
  observations.demandMs.clear()
  observations.startedAt = now
  return report
}
