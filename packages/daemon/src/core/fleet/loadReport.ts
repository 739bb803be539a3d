/** What one entry VM has seen of the load since its last report to a control VM. */
import type { Millis, ServerId, ServiceId } from '@lynxcourse/base'
import type { LoadReport } from '../../types/loads.js'

export interface LoadNotes {
  readonly ahead: Map<ServerId, number>
  /** Time that requests which ended since then took of servers' slots. */
  readonly busyMs: Map<ServiceId, Millis>
  readonly failed: Set<ServerId>
  since: Millis
}

/** A shorter span tells of chance: it is left to the next report. */
const leastSpanMs: Millis = 400

export function createLoadNotes (now: Millis): LoadNotes {
  return { ahead: new Map(), busyMs: new Map(), failed: new Set(), since: now }
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

/** Notes that a request took a slot of a service for a time. */
export function noteBusy (notes: LoadNotes, service: ServiceId, tookMs: Millis): void {
  notes.busyMs.set(service, (notes.busyMs.get(service) ?? 0) + tookMs)
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
  notes.failed.clear()
  notes.ahead.clear()
  notes.busyMs.clear()
  notes.since = now
  return report
}
