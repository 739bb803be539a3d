/** Which entry VMs and backend servers were heard of late: kept in memory, exchanged through the leader. */
import type { Millis, ServerId } from '@lynxcourse/base'
import { createEntryDiscovery, recordReadyEntry } from '@lynxcourse/placement'
import type { EntryDiscovery, EntryPresence, KnownEntry, LoadDigest, LoadUpdate } from '@lynxcourse/placement'
import type { ControlPlace } from './fleetNode.js'

/** What one control VM holds. */
export interface Presence {
  /** Entry VMs by name. */
  readonly entries: Map<string, KnownEntry>
  /** What entry VMs told this VM themselves, by name, until the leader has it. */
  readonly watching: Map<string, EntryPresence>
  /** Whether enough of them were heard since this VM started. */
  readonly gathering: EntryDiscovery
  /** Control VMs by RPC address. */
  readonly controls: Map<string, { readonly place: ControlPlace, readonly heardAt: Millis }>
  /** Backend servers heard since the last exchange. */
  readonly heard: Set<ServerId>
  /** At the leader: when each server was last heard by any control VM. */
  readonly heardAt: Map<ServerId, Millis>
  /** When this VM last exchanged with the leader, or led itself: until then what it hears counts. */
  exchangedAt: Millis
  /** Since when this VM leads; undefined while it does not. */
  leadingSince: Millis | undefined
}

/** An entry VM in an exchange; times travel as ages, since clocks differ. */
export interface AgedEntry {
  readonly presence: EntryPresence
  readonly ageMs: Millis
}

/** What a control VM tells the leader. */
export interface PresenceReport {
  readonly from: ControlPlace
  readonly entries: readonly AgedEntry[]
  readonly heard: readonly ServerId[]
  readonly load: LoadDigest
  /** Version of the servers' weights that it holds. */
  readonly weights: number
}

/** What the leader tells back. */
export interface PresenceReply extends PresenceNews {
  readonly news: LoadUpdate
}

/** The part of it that tells who is there. */
export interface PresenceNews {
  readonly entries: readonly AgedEntry[]
  readonly controls: readonly ControlPlace[]
}

/** Older news of an entry VM is not passed on. */
const maxAgeMs = 5000
/** A control VM not heard for this long is no longer named. */
const controlStaleMs = 6000

export function createPresence (): Presence {
  return {
    entries: new Map(),
    watching: new Map(),
    gathering: createEntryDiscovery(),
    controls: new Map(),
    heard: new Set(),
    heardAt: new Map(),
    exchangedAt: -Infinity,
    leadingSince: undefined
  }
}

/** Notes an entry VM; older news never replaces newer. */
export function noteEntry (presence: Presence, entry: EntryPresence, heardAt: Millis): boolean {
  const held = presence.entries.get(entry.name)
  if (held !== undefined && held.lastSeenAt >= heardAt) return false
  presence.entries.set(entry.name, { presence: entry, lastSeenAt: heardAt })
  if (entry.isReady && held?.presence.isReady !== true) recordReadyEntry(presence.gathering, heardAt)
  return held === undefined || held.presence.isReady !== entry.isReady || held.presence.address !== entry.address
}

/** Notes an entry VM that told this VM itself. */
export function noteWatching (presence: Presence, entry: EntryPresence, now: Millis): boolean {
  const isNews = noteEntry(presence, entry, now)
  presence.watching.set(entry.name, entry)
  return isNews
}

/**
 * What this VM tells the leader of entry VMs: those that told it themselves since the leader was last told. Told of all that it knows, the
 * leader would hear of each entry VM from each control VM, most of them by its own word.
 */
export function reportedEntries (presence: Presence, now: Millis): AgedEntry[] {
  return agedEntries(presence, now).filter(({ presence: { name } }) => presence.watching.has(name))
}

/** Notes that the leader has a report; an entry VM that told this VM anything since is told again. */
export function noteReported ({ watching }: Presence, entries: readonly AgedEntry[]): void {
  for (const { presence: entry } of entries) {
    if (watching.get(entry.name) === entry) watching.delete(entry.name)
  }
}

/** Entry VMs with the age of the news. */
export function agedEntries (presence: Presence, now: Millis): AgedEntry[] {
  const fresh = [...presence.entries.values()].filter(entry => now - entry.lastSeenAt < maxAgeMs)
  return fresh.map(entry => ({ presence: entry.presence, ageMs: Math.max(0, now - entry.lastSeenAt) }))
}

/** Drops what is too old to matter. */
export function prunePresence (presence: Presence, now: Millis): void {
  for (const [name, entry] of presence.entries) {
    if (now - entry.lastSeenAt <= maxAgeMs) continue
    presence.entries.delete(name)
    presence.watching.delete(name)
  }
  for (const [rpc, control] of presence.controls) {
    if (now - control.heardAt > controlStaleMs) presence.controls.delete(rpc)
  }
}

/** Takes a report at the leader. */
export function takePresenceReport (presence: Presence, report: PresenceReport, now: Millis): PresenceNews {
  presence.controls.set(report.from.rpc, { place: report.from, heardAt: now })
  for (const { presence: entry, ageMs } of report.entries) noteEntry(presence, entry, now - ageMs)
  for (const id of report.heard) presence.heardAt.set(id, now)
  // An answer shows that a server lives as well as an announcement does: servers whose announcements went to VMs that were cut off
  // from the leader all counted as lost at once, 21 of 40, while they served.
  for (const [id] of report.load.servers) presence.heardAt.set(id, now)
  return { entries: agedEntries(presence, now), controls: [...presence.controls.values()].map(control => control.place) }
}

/**
 * Exchanges with the leader that may be missed before what this VM hears counts as lost: two seconds, so that a server that is turned
 * away then is heard elsewhere before the 4.5 s after which it counts as lost.
 */
const missedExchanges = 5

/** Whether what this VM hears reaches the leader, as far as its last exchanges tell. */
export function isInTouch (presence: Presence, presenceMs: Millis, now: Millis): boolean {
  return now - presence.exchangedAt < missedExchanges * presenceMs
}

/** Servers that count as present and were not heard for too long. */
export function missedServers (presence: Presence, present: readonly ServerId[], missMs: Millis, now: Millis): ServerId[] {
  const known = new Set(present)
  for (const id of presence.heardAt.keys()) {
    if (!known.has(id)) presence.heardAt.delete(id)
  }
  const missed: ServerId[] = []
  for (const id of present) {
    const heardAt = presence.heardAt.get(id)
    if (heardAt === undefined) presence.heardAt.set(id, now)
    else if (now - heardAt > missMs) missed.push(id)
  }
  return missed
}
