/** The state of one backend server as one entry VM sees it: queue depth, slowdown, health, and request tokens while it is cold. */
import { hashText } from '@lynxcourse/base'
import type { FailureDomainId, Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import type { ServerNotice } from '@lynxcourse/limits'
import type { SoftwareVersion } from '@lynxcourse/state'
import type { VmRanking } from '../../types/vmRanking.js'

/** A server's record in the directory. */
export interface ServerFacts {
  readonly id: ServerId
  readonly service: ServiceId
  readonly address: string
  readonly failureDomain: FailureDomainId
  readonly region: RegionId
  /** Start time in Unix milliseconds; 0 if the server did not report one. */
  readonly bornAt: Millis
  readonly slots: number
  /** Whether the server takes no new work: it is leaving or unresponsive, or its failure domain is being evacuated. */
  readonly isClosed: boolean
  /** Version of the server's software; undefined if this fleet doesn't tell versions apart. */
  readonly software?: SoftwareVersion | undefined
}

/** Which requests a server gets by its software version; `unused` servers get none. */
export type VersionRole = 'baseline' | 'target' | 'unused'

/** A request of this VM that is in flight at a server. */
export interface RunningRequest {
  readonly startedAt: Millis
  readonly expectedMs: Millis
  /** Expected time if the request's object is cold at the server. */
  readonly maxExpectedMs: Millis
}

/** A backend server with this VM's observations of its load and health. */
export interface FleetServer {
  facts: ServerFacts
  /** Assigned when the state of the fleet changes; `baseline` for all servers if versions are not told apart. */
  role: VersionRole
  /** Hash of the server ID, for rendezvous hashing. */
  readonly hash: number
  /** Weight in rendezvous hashing, which the leader publishes to all VMs. */
  weight: number
  readonly running: Set<RunningRequest>
  /** Queue depth in the server's last load report: its running and waiting requests from all VMs. */
  reportedQueueDepth: number
  reportedAt: Millis
  /** When the server last answered any request of this VM. */
  lastAnsweredAt: Millis
  /** Time since which requests of this VM have been unanswered; undefined if no answer is outstanding. */
  unansweredSince: Millis | undefined
  /** Requests that this VM sent since the last load report. */
  sentSinceReport: number
  /** Smoothed queue depth over the reports of all VMs; 0 unless the server is nearly full. */
  sharedQueueDepth: number
  sharedReportAt: Millis
  /** Smoothed ratio of observed to expected response time. */
  slowdown: number
  consecutiveFailures: number
  /** End of the outlier ejection that follows consecutive failures. */
  ejectedUntil: Millis
  /** End of the exclusion of a server that answers no VM. */
  unresponsiveUntil: Millis
  /** End of the pause after the server rejected a request because it was full. */
  fullUntil: Millis
  /** End of the warm-up. */
  coldUntil: Millis
  /** Token bucket of the requests that this VM may send while the server is cold. */
  coldTokens: number
  coldTokensAt: Millis
  /** What the server has said about itself. */
  readonly notice: ServerNotice
  /** Smoothed number of this VM's requests per second for the server, including those that its limit sends elsewhere. */
  demandPerSecond: number
  demandUpdatedAt: Millis
  /** The ranking of the entry VMs for this server, kept while their list is the same; undefined before it was needed. */
  vmRanking: VmRanking | undefined
}

/** Smoothing factor of the slowdown; a server that becomes five times slower is recognized after about four answers. */
const slowdownSmoothing = 0.25
/** Bounds of a slowdown sample, so that one outlier can't exclude a server permanently. */
const minSlowdown = 0.5
const maxSlowdown = 20
/** Duration of the first ejection; it doubles with each further failure. */
const firstEjectionMs = 400
const maxEjectionMs = 5000
/** Consecutive failures before a server is ejected: a single failure may come from its connection. */
const failuresToEject = 2
/**
 * A server that has answered nothing since a request started is stalled once the request has taken `stallSlackMs` more than
 * `stallFactor` times its expected time and `maxExpectedStallFactor` times its longest expected time. The longest expected time
 * counts because objects turn cold when they move: excluding a server for cold work would move its other objects to servers
 * where they are cold.
 */
const stallFactor = 3
const stallSlackMs = 250
const maxExpectedStallFactor = 1.3
/** Factor of the longest expected time after which a request marks a stall although the server answered others since. */
const responsiveStallFactor = 3
/** Pause after a server was full: about the time until one of its slots becomes free. */
const fullBackoffMs = 40
/** Half-life of a load report: about the time between two answers of a busy server. */
const reportHalfLifeMs = 400
/** How long shared load data is valid: updates come once a second, and one of them may be lost. */
const sharedReportTtlMs = 2500
/** Half-life with which the slowdown returns to 1, so that a recovered server is tried again. */
const slowdownHalfLifeMs = 4000

/** Creates a server without observations that is cold until `coldUntil`. */
export function createFleetServer (facts: ServerFacts, coldUntil: Millis, notice: ServerNotice): FleetServer {
  return {
    facts,
    role: 'baseline',
    hash: hashText(facts.id),
    weight: 1,
    running: new Set(),
    reportedQueueDepth: 0,
    reportedAt: -Infinity,
    lastAnsweredAt: -Infinity,
    unansweredSince: undefined,
    sentSinceReport: 0,
    sharedQueueDepth: 0,
    sharedReportAt: -Infinity,
    slowdown: 1,
    consecutiveFailures: 0,
    ejectedUntil: -Infinity,
    unresponsiveUntil: -Infinity,
    fullUntil: -Infinity,
    coldUntil,
    coldTokens: 1,
    coldTokensAt: -Infinity,
    notice,
    demandPerSecond: 0,
    demandUpdatedAt: -Infinity,
    vmRanking: undefined
  }
}

/**
 * Estimates the queue depth that a new request would meet. The reported requests complete over time, but other VMs continue to
 * send at their rates: the last report therefore decays slowly, and this VM's requests since the report are added to it.
 */
export function estimateQueueDepth (server: FleetServer, now: Millis): number {
  const age = now - server.reportedAt
  if (!Number.isFinite(age)) return server.running.size
  return Math.max(server.running.size, server.reportedQueueDepth * 2 ** (-age / reportHalfLifeMs) + server.sentSinceReport)
}

/**
 * Estimates the queue depth from the reports of all VMs too. The result is good enough to choose among servers, but too old
 * to refuse a request by.
 */
export function estimateSharedQueueDepth (server: FleetServer, now: Millis): number {
  const sharedDepth = now - server.sharedReportAt < sharedReportTtlMs ? server.sharedQueueDepth : 0
  return Math.max(estimateQueueDepth(server, now), sharedDepth)
}

/** Records the queue depth that all VMs together observed. */
export function recordSharedQueueDepth (server: FleetServer, queueDepth: number, now: Millis): void {
  server.sharedQueueDepth = queueDepth
  server.sharedReportAt = now
}

/** Records whether the leader lists the server as answering no VM. */
export function recordSharedResponsiveness (server: FleetServer, isUnresponsive: boolean, now: Millis): void {
  server.unresponsiveUntil = isUnresponsive ? now + sharedReportTtlMs : -Infinity
}

/** Returns whether a server takes new work, by its announcements, its version, the operators' orders and its answers. */
export function takesNewWork ({ facts, role, notice }: FleetServer): boolean {
  return !facts.isClosed && role !== 'unused' && !notice.isLeaving
}

/** Returns whether a server takes new work, is not ejected, responsive and not stalled. It may be full at the moment. */
export function isHealthy (server: FleetServer, now: Millis): boolean {
  return takesNewWork(server) && now >= server.ejectedUntil && now >= server.unresponsiveUntil && !isStalled(server, now)
}

/** Returns whether a server may have capacity: it has not rejected a request as full within `fullBackoffMs`. */
export function hasCapacity (server: FleetServer, now: Millis): boolean {
  return now >= server.fullUntil
}

/** Returns whether one of this VM's requests has exceeded the stall timeout at the server. */
export function isStalled (server: FleetServer, now: Millis): boolean {
  for (const running of server.running) {
    if (now - running.startedAt > computeStallTimeout(server, running)) return true
  }
  return false
}

function computeStallTimeout (server: FleetServer, { startedAt, expectedMs, maxExpectedMs }: RunningRequest): Millis {
  if (server.lastAnsweredAt > startedAt) return maxExpectedMs * responsiveStallFactor + stallSlackMs
  return computeResponseTimeout(expectedMs, maxExpectedMs) + stallSlackMs
}

/** Returns the time after which a request without an answer suggests a fault of its server. */
export function computeResponseTimeout (expectedMs: Millis, maxExpectedMs: Millis): Millis {
  return Math.max(expectedMs * stallFactor, maxExpectedMs * maxExpectedStallFactor)
}

/** Returns the slowdown, decayed towards 1 since the last load report. */
export function getSlowdown (server: FleetServer, now: Millis): number {
  const age = now - server.reportedAt
  if (!Number.isFinite(age)) return server.slowdown
  return 1 + (server.slowdown - 1) * 2 ** (-age / slowdownHalfLifeMs)
}

/** Records that a request was sent to the server. */
export function recordRequestStart (server: FleetServer, expectedMs: Millis, maxExpectedMs: Millis, now: Millis): RunningRequest {
  const running = { startedAt: now, expectedMs, maxExpectedMs }
  server.running.add(running)
  server.unansweredSince ??= now
  server.sentSinceReport += 1
  return running
}

/** Records that a request ended, with or without an answer. */
export function recordRequestEnd (server: FleetServer, running: RunningRequest): void {
  server.running.delete(running)
}

/** Records that the server answered a request, whatever the status. */
export function recordAnswer (server: FleetServer, now: Millis): void {
  server.lastAnsweredAt = now
  // The answered request is still in `running` here.
  server.unansweredSince = server.running.size > 1 ? now : undefined
}

/** Returns how long this VM's requests have been unanswered, including abandoned ones; 0 if no answer is outstanding. */
export function getUnansweredMs (server: FleetServer, now: Millis): Millis {
  return server.unansweredSince === undefined ? 0 : now - server.unansweredSince
}

/** Records the queue depth that the server reported itself. */
export function recordLoadReport (server: FleetServer, queueDepth: number, now: Millis): void {
  server.reportedQueueDepth = queueDepth
  server.reportedAt = now
  server.sentSinceReport = 0
}

/** Records a successful answer and its ratio of observed to expected time. */
export function recordSuccess (server: FleetServer, ratio: number, now: Millis): void {
  server.consecutiveFailures = 0
  server.ejectedUntil = -Infinity
  server.unresponsiveUntil = -Infinity
  const bounded = Math.min(maxSlowdown, Math.max(minSlowdown, ratio))
  const current = getSlowdown(server, now)
  server.slowdown = current + (bounded - current) * slowdownSmoothing
}

/**
 * Records a failure. Consecutive failures eject the server for a time that doubles with each of them.
 *
 * @param isCertain whether the failure alone is enough to eject the server
 */
export function recordFailure (server: FleetServer, isCertain: boolean, now: Millis): void {
  server.consecutiveFailures += isCertain ? failuresToEject : 1
  const excessFailures = server.consecutiveFailures - failuresToEject
  if (excessFailures < 0) return
  server.ejectedUntil = now + Math.min(maxEjectionMs, firstEjectionMs * 2 ** Math.min(excessFailures, 8))
}

/** Records that the server rejected a request because it was full. */
export function recordServerFull (server: FleetServer, now: Millis): void {
  server.fullUntil = Math.max(server.fullUntil, now + fullBackoffMs)
}
