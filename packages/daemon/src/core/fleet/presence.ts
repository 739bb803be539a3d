/** Tracks which entry VMs and backend servers were seen recently. Kept in memory and exchanged through the leader. */
import type { Millis, ServerId } from '@lynxcourse/base'
import { createEntryDiscovery, recordReadyEntry } from '@lynxcourse/placement'
import type { EntryDiscovery, EntryPresence, KnownEntry, LoadDigest, LoadUpdate } from '@lynxcourse/placement'
import type { ControlEndpoint } from './fleetNode.js'

/** What one control VM knows of the presence of other VMs and of servers. */
export interface Presence {
  /** Entry VMs by name. */
  readonly entries: Map<string, KnownEntry>
  /** Presence that entry VMs reported to this VM directly and that the leader has not received yet, by name. */
  readonly unreported: Map<string, EntryPresence>
  /** Discovery of entry VMs since this VM started. */
  readonly discovery: EntryDiscovery
  /** Control VMs by RPC address. */
  readonly controls: Map<string, { readonly place: ControlEndpoint, readonly lastSeenAt: Millis }>
  /** Backend servers that announced themselves since the last exchange. */
  readonly heard: Set<ServerId>
  /** At the leader: the time at which a control VM last reported each server. */
  readonly serverLastSeenAt: Map<ServerId, Millis>
  /** Time of the last exchange with the leader, or as the leader. */
  lastExchangeAt: Millis
  /** Time as of which `entries` held all entry VMs that the leader had heard of; -Infinity before the first time. */
  entriesConfirmedAt: Millis
  /** Time as of which the load update came from a leader that a majority had confirmed; -Infinity before the first one. */
  newsConfirmedAt: Millis
  /** Time since which this VM leads; undefined while it doesn't. */
  leadingSince: Millis | undefined
}

/** An entry VM in an exchange. Messages contain ages instead of times, since clocks differ between VMs. */
export interface AgedEntry {
  readonly presence: EntryPresence
  readonly ageMs: Millis
}

/** Report of a control VM to the leader. */
export interface PresenceReport {
  readonly from: ControlEndpoint
  readonly entries: readonly AgedEntry[]
  readonly heard: readonly ServerId[]
  readonly load: LoadDigest
  /** Version of the servers' weights that the control VM has. */
  readonly weights: number
}

/** The leader's reply to a report. */
export interface PresenceReply extends PresenceSummary {
  /** How long ago the entries were all entry VMs that the leader had heard of; null if it may not know all of them yet. */
  readonly entriesAgeMs: Millis | null
  readonly news: LoadUpdate
  /** How long ago a majority confirmed the leader that published `news`; null if it is unknown. */
  readonly newsAgeMs: Millis | null
}

/** The entry VMs and control VMs that the leader knows. */
export interface PresenceSummary {
  readonly entries: readonly AgedEntry[]
  readonly controls: readonly ControlEndpoint[]
}

/** Time after which an entry VM that was not seen again is forgotten. */
const entryTtlMs = 5000
/** Time after which a control VM that sent no report is forgotten. */
const controlTtlMs = 6000

export function createPresence (): Presence {
  return {
    entries: new Map(),
    unreported: new Map(),
    discovery: createEntryDiscovery(),
    controls: new Map(),
    heard: new Set(),
    serverLastSeenAt: new Map(),
    lastExchangeAt: -Infinity,
    entriesConfirmedAt: -Infinity,
    newsConfirmedAt: -Infinity,
    leadingSince: undefined
  }
}

/**
 * Records the presence of an entry VM, unless a newer one is known.
 *
 * @returns whether the entry VM is new, or its address or readiness changed
 */
export function recordEntry (presence: Presence, entry: EntryPresence, lastSeenAt: Millis): boolean {
  const known = presence.entries.get(entry.name)
  if (known !== undefined && known.lastSeenAt >= lastSeenAt) return false
  presence.entries.set(entry.name, { presence: entry, lastSeenAt })
  if (entry.isReady && known?.presence.isReady !== true) recordReadyEntry(presence.discovery, lastSeenAt)
  return known === undefined || known.presence.isReady !== entry.isReady || known.presence.address !== entry.address
}

/** Records the presence of an entry VM that sent a watch to this VM; returns the same as `recordEntry`. */
export function recordWatchingEntry (presence: Presence, entry: EntryPresence, now: Millis): boolean {
  const isChanged = recordEntry(presence, entry, now)
  presence.unreported.set(entry.name, entry)
  return isChanged
}

/**
 * Lists the entry VMs for the next report to the leader: those that sent a watch to this VM and whose presence the
 * leader has not received yet. If reports contained all known entry VMs, the leader would receive each of them from
 * each control VM, and would mostly get back what it sent itself.
 */
export function listUnreportedEntries (presence: Presence, now: Millis): AgedEntry[] {
  return listRecentEntries(presence, now).filter(({ presence: { name } }) => presence.unreported.has(name))
}

/**
 * Records that the leader received a report. An entry VM that sent a newer presence in the meantime stays in the next
 * report.
 */
export function recordReported ({ unreported }: Presence, entries: readonly AgedEntry[]): void {
  for (const { presence: entry } of entries) {
    if (unreported.get(entry.name) === entry) unreported.delete(entry.name)
  }
}

/** Lists the recently seen entry VMs with the ages of their presence. */
export function listRecentEntries (presence: Presence, now: Millis): AgedEntry[] {
  const recent = [...presence.entries.values()].filter(entry => now - entry.lastSeenAt < entryTtlMs)
  return recent.map(entry => ({ presence: entry.presence, ageMs: Math.max(0, now - entry.lastSeenAt) }))
}

/**
 * Returns the time as of which the leader has heard of all entry VMs that are in touch with control VMs.
 *
 * @param quorumConfirmedAt when a majority of the control VMs last confirmed the leader
 * @param learnMs time that a new leader needs to hear of all entry VMs
 */
export function getLeaderEntriesConfirmedAt ({ leadingSince }: Presence, quorumConfirmedAt: Millis, learnMs: Millis): Millis {
  return leadingSince !== undefined && quorumConfirmedAt - leadingSince >= learnMs ? quorumConfirmedAt : -Infinity
}

/** Forgets entry VMs and control VMs that were not seen recently. */
export function prunePresence (presence: Presence, now: Millis): void {
  for (const [name, entry] of presence.entries) {
    if (now - entry.lastSeenAt <= entryTtlMs) continue
    presence.entries.delete(name)
    presence.unreported.delete(name)
  }
  for (const [rpc, control] of presence.controls) {
    if (now - control.lastSeenAt > controlTtlMs) presence.controls.delete(rpc)
  }
}

/** Applies a report at the leader; returns the reply. */
export function applyPresenceReport (presence: Presence, report: PresenceReport, now: Millis): PresenceSummary {
  presence.controls.set(report.from.rpc, { place: report.from, lastSeenAt: now })
  for (const { presence: entry, ageMs } of report.entries) recordEntry(presence, entry, now - ageMs)
  for (const id of report.heard) presence.serverLastSeenAt.set(id, now)
  // A response proves that a server is alive, as an announcement does. Otherwise servers that announce themselves to
  // control VMs without a connection to the leader would all be marked as lost at once while they serve requests.
  for (const [id] of report.load.servers) presence.serverLastSeenAt.set(id, now)
  return { entries: listRecentEntries(presence, now), controls: [...presence.controls.values()].map(control => control.place) }
}

/**
 * Number of exchanges with the leader that may fail before this VM rejects announcements. At 400 ms between exchanges
 * that is 2 s, so that a rejected server can announce itself elsewhere before it has been silent for `missMs` and
 * counts as lost.
 */
const maxMissedExchanges = 5

/** Whether a recent exchange shows that the leader receives what this VM reports. */
export function hasRecentExchange (presence: Presence, presenceMs: Millis, now: Millis): boolean {
  return now - presence.lastExchangeAt < maxMissedExchanges * presenceMs
}

/**
 * Finds the present servers that were not seen for longer than `missMs`. The time of a server that was never seen
 * starts with this call.
 */
export function findMissedServers (presence: Presence, present: readonly ServerId[], missMs: Millis, now: Millis): ServerId[] {
  const presentIds = new Set(present)
  for (const id of presence.serverLastSeenAt.keys()) {
    if (!presentIds.has(id)) presence.serverLastSeenAt.delete(id)
  }
  const missed: ServerId[] = []
  for (const id of present) {
    const lastSeenAt = presence.serverLastSeenAt.get(id)
    if (lastSeenAt === undefined) presence.serverLastSeenAt.set(id, now)
    else if (now - lastSeenAt > missMs) missed.push(id)
  }
  return missed
}
