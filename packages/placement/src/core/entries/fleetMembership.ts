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
import { reducedShareMs } from '../../types/loads.js'

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
  /** Time as of which the leader gave this VM its shares of limits; undefined before it first did. */
  sharesGivenAt: ClockReading | undefined
}

/** Time for which a VM that is no longer listed still counts: a control VM that has just started lists few of them. */
const forgetMs: Millis = 30_000

/** How long a VM uses its list, and shares that the leader gave it, without a confirmation. */
export const maxListAgeMs: Millis = 5000

export function createFleetMembership (self: string): FleetMembership {
  return { self, listedAt: new Map(), confirmedAt: undefined, announcedAt: undefined, sharesGivenAt: undefined }
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

/**
 * Records that a control VM passed on the shares that the leader gives to this VM.
 *
 * @param ageMs how long ago the control VM got them from the leader; null if it doesn't know
 * @param askedAt when this VM asked
 */
export function recordGivenShares (membership: FleetMembership, ageMs: Millis | null, askedAt: ClockReading): void {
  membership.sharesGivenAt = ageMs === null ? undefined : { steady: askedAt.steady - ageMs, wall: askedAt.wall - ageMs }
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
 *
 * @param windowMs undefined for a share that the leader gave: it counts this VM already
 */
export function mayUseShare ({ confirmedAt, announcedAt, sharesGivenAt }: FleetMembership, windowMs: Millis | undefined, now: ClockReading): boolean {
  if (windowMs === undefined) return isWithin(sharesGivenAt, maxListAgeMs, now)
  if (announcedAt === undefined || !isWithin(confirmedAt, maxListAgeMs, now)) return false
  return now.steady - announcedAt >= windowMs + maxListAgeMs
}

/** Returns whether this VM was in touch with the leader recently enough to use a reduced part of the shares that the leader gave it. */
export function mayUseReducedShare ({ sharesGivenAt }: FleetMembership, now: ClockReading): boolean {
  return isWithin(sharesGivenAt, reducedShareMs, now)
}

function isWithin (from: ClockReading | undefined, maxMs: Millis, now: ClockReading): boolean {
  return from !== undefined && getElapsed(from, now) <= maxMs
}

/**
 * Returns whether the others have counted this VM for the whole of the last window. This suffices for shares that only control VMs refill: a VM that
 * is cut off keeps at most what it has.
 */
export function hasJoined ({ announcedAt }: FleetMembership, windowMs: Millis, now: Millis): boolean {
  return announcedAt !== undefined && now - announcedAt >= windowMs
}
