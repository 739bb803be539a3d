/**
 * One backend server as one entry VM judges it: work ahead of a new request, how slow it is against
 * its peers, whether it can be trusted now, and what it may get while it is cold.
 */
import { hashText } from '@lynxcourse/base'
import type { FailureDomainId, Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'

/** What the directory says of a server. */
export interface ServerFacts {
  readonly id: ServerId
  readonly service: ServiceId
  readonly address: string
  readonly failureDomain: FailureDomainId
  readonly region: RegionId
  /** When it started, in Unix milliseconds; 0 where it did not say. */
  readonly bornAt: Millis
  readonly slots: number
  /** Takes no new work: it leaves, fell silent, or its failure domain is evacuated. */
  readonly isClosed: boolean
}

/** A request that a server works on for this VM. */
export interface Running {
  readonly startedAt: Millis
  readonly expectedMs: Millis
  /** What it takes where its object is cold. */
  readonly longestMs: Millis
}

export interface FleetServer {
  facts: ServerFacts
  /** Hash of its id, for rendezvous hashing. */
  readonly hash: number
  /** Its weight in rendezvous hashing, as all VMs were told it. */
  weight: number
  readonly running: Set<Running>
  /** Requests running and waiting by the server's last report, of all VMs together. */
  reportedQueueDepth: number
  reportedAt: Millis
  /** When it last answered this VM anything. */
  lastAnsweredAt: Millis
  /** Since when it owes this VM an answer and has given none; undefined where it owes none. */
  owesSince: Millis | undefined
  /** Requests that this VM sent since that report. */
  sentSince: number
  /** Smoothed requests ahead as all VMs together saw it, where it is nearly full. */
  sharedQueueDepth: number
  sharedAt: Millis
  /** Smoothed ratio of the time it took to the time that was expected of it. */
  slowness: number
  consecutiveFailures: number
  /** Gets no work before this, for failures (outlier detection). */
  ejectedUntil: Millis
  /** Gets no work before this, since it answers no VM. */
  silentUntil: Millis
  /** Gets no work before this, since it had no room. */
  pausedUntil: Millis
  coldUntil: Millis
  /** Requests that this VM may send it now while it is cold. */
  coldTokens: number
  coldTokensAt: Millis
}

/** Smoothing of the slowness; a server five times slower shows after about four answers. */
const slownessSmoothing = 0.25
/** Bounds of the slowness, so that one freak answer can't shut a server out for good. */
const minSlowness = 0.5
const maxSlowness = 20
/** First time without work after failures; doubles with each further one. */
const firstEjectionMs = 400
const maxEjectionMs = 5000
/** Failures in a row before a server is ejected: one failure may be the connection's. */
const failuresToEject = 2
/**
 * A request that runs for this many times what was expected, and this much more, marks a stall where no other answer came since,
 * and only if it also ran for longer than cold work takes: objects turn cold when they move, and a server that was shut out for
 * cold work sent its other objects on to be cold elsewhere.
 */
const stallFactor = 3
const stallSlackMs = 250
const coldStallFactor = 1.3
/** With other answers since, only so many times the longest work marks one. */
const answeringStallFactor = 3
/** How long a server that had no room is left alone; about the time in which one slot comes free. */
const fullPauseMs = 40
/** A report's weight halves in this time; about two answers of a busy server apart. */
const reportHalfLifeMs = 400
/** What all VMs together saw holds until the next word of it, a second later, or a lost one. */
const sharedForMs = 2500
/** Slowness drifts back to 1 with this half-life, so that a recovered server is tried again. */
const slownessHalfLifeMs = 4000

export function createFleetServer (facts: ServerFacts, coldUntil: Millis): FleetServer {
  return {
    facts,
    hash: hashText(facts.id),
    weight: 1,
    running: new Set(),
    reportedQueueDepth: 0,
    reportedAt: -Infinity,
    lastAnsweredAt: -Infinity,
    owesSince: undefined,
    sentSince: 0,
    sharedQueueDepth: 0,
    sharedAt: -Infinity,
    slowness: 1,
    consecutiveFailures: 0,
    ejectedUntil: -Infinity,
    silentUntil: -Infinity,
    pausedUntil: -Infinity,
    coldUntil,
    coldTokens: 1,
    coldTokensAt: -Infinity
  }
}

/**
 * Requests that stand before a new one. What the last report counted is worked off, but other VMs go on
 * sending as they did: so the report holds for a while, and this VM's own requests come on top.
 */
export function estimateQueueDepth (server: FleetServer, now: Millis): number {
  const age = now - server.reportedAt
  if (!Number.isFinite(age)) return server.running.size
  return Math.max(server.running.size, server.reportedQueueDepth * 2 ** (-age / reportHalfLifeMs) + server.sentSince)
}

/** The same with what all VMs together saw: good for the choice among servers, too old to refuse a request by. */
export function sharedAheadOf (server: FleetServer, now: Millis): number {
  const shared = now - server.sharedAt < sharedForMs ? server.sharedQueueDepth : 0
  return Math.max(estimateQueueDepth(server, now), shared)
}

/** Takes what all VMs together saw of a server's load. */
export function noteShared (server: FleetServer, ahead: number, now: Millis): void {
  server.sharedQueueDepth = ahead
  server.sharedAt = now
}

/** Takes the word that a server answers no VM, or that it does again. */
export function noteSharedSilence (server: FleetServer, isSilent: boolean, now: Millis): void {
  server.silentUntil = isSilent ? now + sharedForMs : -Infinity
}

/** Whether nothing speaks against a server but, perhaps, that it has no room for a moment. */
export function isTrusted (server: FleetServer, now: Millis): boolean {
  return !server.facts.isClosed && now >= server.ejectedUntil && now >= server.silentUntil && !isStalled(server, now)
}

/** Whether a server has room, as far as its last words tell. */
export function hasRoom (server: FleetServer, now: Millis): boolean {
  return now >= server.pausedUntil
}

/** Whether one of this VM's requests runs for far longer there than it should. */
export function isStalled (server: FleetServer, now: Millis): boolean {
  for (const running of server.running) {
    if (now - running.startedAt > stallAfter(server, running)) return true
  }
  return false
}

function stallAfter (server: FleetServer, { startedAt, expectedMs, longestMs }: Running): Millis {
  if (server.lastAnsweredAt > startedAt) return longestMs * answeringStallFactor + stallSlackMs
  return patienceFor(expectedMs, longestMs) + stallSlackMs
}

/** How long one request may take before its server is doubted. */
export function patienceFor (expectedMs: Millis, longestMs: Millis): Millis {
  return Math.max(expectedMs * stallFactor, longestMs * coldStallFactor)
}

/** Slowness as it counts now. */
export function slownessOf (server: FleetServer, now: Millis): number {
  const age = now - server.reportedAt
  if (!Number.isFinite(age)) return server.slowness
  return 1 + (server.slowness - 1) * 2 ** (-age / slownessHalfLifeMs)
}

/** Counts a request in. */
export function noteStart (server: FleetServer, expectedMs: Millis, longestMs: Millis, now: Millis): Running {
  const running = { startedAt: now, expectedMs, longestMs }
  server.running.add(running)
  server.owesSince ??= now
  server.sentSince += 1
  return running
}

/** Counts a request out. */
export function noteStop (server: FleetServer, running: Running): void {
  server.running.delete(running)
}

/** Notes that a server answered, whatever it said. */
export function noteAnswered (server: FleetServer, now: Millis): void {
  server.lastAnsweredAt = now
  // The request that was answered still counts as running here.
  server.owesSince = server.running.size > 1 ? now : undefined
}

/** For how long a server has owed this VM an answer without giving any, requests that were given up included. */
export function owedFor (server: FleetServer, now: Millis): Millis {
  return server.owesSince === undefined ? 0 : now - server.owesSince
}

/** Takes a server's own report of its load. */
export function noteReport (server: FleetServer, ahead: number, now: Millis): void {
  server.reportedQueueDepth = ahead
  server.reportedAt = now
  server.sentSince = 0
}

/** Notes a good answer and how its time compares with what was expected. */
export function noteGood (server: FleetServer, ratio: number, now: Millis): void {
  server.consecutiveFailures = 0
  server.ejectedUntil = -Infinity
  server.silentUntil = -Infinity
  const bounded = Math.min(maxSlowness, Math.max(minSlowness, ratio))
  const present = slownessOf(server, now)
  server.slowness = present + (bounded - present) * slownessSmoothing
}

/** Notes that a server failed; after some in a row it is left alone for a time that doubles. */
export function noteBad (server: FleetServer, isCertain: boolean, now: Millis): void {
  server.consecutiveFailures += isCertain ? failuresToEject : 1
  const over = server.consecutiveFailures - failuresToEject
  if (over < 0) return
  server.ejectedUntil = now + Math.min(maxEjectionMs, firstEjectionMs * 2 ** Math.min(over, 8))
}

/** Notes that a server had no room. */
export function noteFull (server: FleetServer, now: Millis): void {
  server.pausedUntil = Math.max(server.pausedUntil, now + fullPauseMs)
}
