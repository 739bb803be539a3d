/**
 * What an entry VM knows of the entry VMs of its fleet.
 *
 * A limit that holds over all VMs together can be divided among them without messages only if each VM divides it by all VMs that use
 * a share at the same time. A VM therefore uses no share before the others can have learned of it, nor while it can't
 * confirm its list. It then divides by at least as many VMs as use a share, whatever restarts and partitions there are.
 */
import type { Millis } from '@lynxcourse/base'
import { getElapsed } from '../../types/clockReading.js'
import type { ClockReading } from '../../types/clockReading.js'

/** The entry VMs that a control VM lists. */
export interface EntryList {
  readonly names: readonly string[]
  /** How long ago the list held all entry VMs that the leader had heard of; null if the control VM doesn't know. */
  readonly ageMs: Millis | null
}

/** The entry VMs that one entry VM has heard of. */
export interface FleetMembership {
  readonly self: string
  /** When each VM was last listed, by the steady clock. */
  readonly listedAt: Map<string, Millis>
  /** Time as of which the list was complete; undefined before the first complete list. */
  confirmedAt: ClockReading | undefined
  /** When a complete list first had this VM; starts again after a time in which the others may have forgotten it. */
  announcedAt: Millis | undefined
}

/** Time for which a VM that is no longer listed still counts: a control VM that has just started lists few of them. */
const forgetMs: Millis = 30_000

/** How long a VM uses its list without a confirmation. */
const maxListAgeMs: Millis = 5000

export function createFleetMembership (self: string): FleetMembership {
  return { self, listedAt: new Map(), confirmedAt: undefined, announcedAt: undefined }
}

/**
 * Records the list of a control VM.
 *
 * @param askedAt when this VM asked for the list: the reply may have waited unread since then
 */
export function recordEntryList (membership: FleetMembership, { names, ageMs }: EntryList, askedAt: ClockReading, now: Millis): void {
  const { self, listedAt } = membership
  for (const name of names) listedAt.set(name, now)
  for (const [name, at] of listedAt) if (now - at > forgetMs) listedAt.delete(name)
  if (ageMs === null || !names.includes(self)) return
  const previous = membership.confirmedAt
  if (previous === undefined || getElapsed(previous, askedAt) > forgetMs / 2) membership.announcedAt = now
  membership.confirmedAt = { steady: askedAt.steady - ageMs, wall: askedAt.wall - ageMs }
}

/** Returns whether this VM has had a complete list of the entry VMs since it started. */
export function hasCompleteList ({ confirmedAt }: FleetMembership): boolean {
  return confirmedAt !== undefined
}

/** Lists the entry VMs that count, this one included, in alphabetical order. */
export function listMembers ({ self, listedAt }: FleetMembership): string[] {
  return [...new Set([self, ...listedAt.keys()])].sort()
}

/**
 * Returns whether this VM may use its share of a limit over all VMs in any window: its list is confirmed, and in the whole of the last
 * window the others have counted it. A process that ran under the same name before used its share before that window.
 */
export function mayUseShare ({ confirmedAt, announcedAt }: FleetMembership, windowMs: Millis, now: ClockReading): boolean {
  if (confirmedAt === undefined || announcedAt === undefined) return false
  return getElapsed(confirmedAt, now) <= maxListAgeMs && now.steady - announcedAt >= windowMs + maxListAgeMs
}

/**
 * Returns whether the others have counted this VM for the whole of the last window. This suffices for shares that only control VMs refill: a VM that
 * is cut off keeps at most what it has.
 */
export function hasJoined ({ announcedAt }: FleetMembership, windowMs: Millis, now: Millis): boolean {
  return announcedAt !== undefined && now - announcedAt >= windowMs
}
