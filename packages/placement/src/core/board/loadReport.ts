/** What one entry VM has seen of the load since its last report to a control VM. */
import type { Millis, ServerId, ServiceId } from '@lynxcourse/base'
import type { LoadReport } from '../../types/loads.js'

export interface LoadNotes {
  readonly ahead: Map<ServerId, number>
  /** Slot time that the requests which came since then need where their objects are warm. */
  readonly busyMs: Map<ServiceId, Millis>
  readonly failed: Set<ServerId>
  /** Slots that this VM's callers need, smoothed over some reports. */
  readonly demand: Map<ServiceId, number>
  since: Millis
}

/** A shorter span tells of chance: it is left to the next report. */
const leastSpanMs: Millis = 400

/** Smoothing of this VM's demand by its reports, about one a second. */
const demandSmoothing = 0.3

export function createLoadNotes (now: Millis): LoadNotes {
  return { ahead: new Map(), busyMs: new Map(), failed: new Set(), demand: new Map(), since: now }
}

/** Notes what a server's answer said of the requests there. */
export function noteAhead (notes: LoadNotes, server: ServerId, ahead: number): void {
  notes.ahead.set(server, ahead)
  notes.failed.delete(server)
}

/** Notes that a server left a request without an answer. */
export function noteFailedServer (notes: LoadNotes, server: ServerId): void {
  notes.ahead.delete(server)
  notes.failed.add(server)
}

/**
 * Notes that a request came, whatever becomes of it, with the slot time that it needs where its object is warm.
 *
 * What can go wrong: measured by the slot time of answers, demand falls where requests are refused and rises where objects are
 * cold. The region plan then brings objects back to just those servers that are too full, and takes them away from those that
 * are cold only since objects had moved. It shows as a plan that swings while callers send evenly.
 */
export function noteDemand (notes: LoadNotes, service: ServiceId, warmMs: Millis): void {
  notes.busyMs.set(service, (notes.busyMs.get(service) ?? 0) + warmMs)
}

/** Takes the report and begins the next one; undefined where too little time has passed. */
export function takeLoadReport (notes: LoadNotes, now: Millis): LoadReport | undefined {
  const spanMs = now - notes.since
  if (spanMs < leastSpanMs) return undefined
  const report: LoadReport = {
    servers: [...notes.ahead],
    busy: [...notes.busyMs].map(([service, busyMs]) => [service, Math.round(busyMs / spanMs * 100) / 100]),
    failed: [...notes.failed]
  }
  for (const [service, slots] of report.busy) {
    const held = notes.demand.get(service) ?? slots
    notes.demand.set(service, held + (slots - held) * demandSmoothing)
  }
  notes.failed.clear()
  notes.ahead.clear()
  notes.busyMs.clear()
  notes.since = now
  return report
}
