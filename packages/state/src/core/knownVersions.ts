/**
 * Which version of the state a VM knew at a time.
 *
 * What can go wrong: a VM was behind and catches up, then reads an order that has lain unread since before. Dated by what the VM
 * knows as it reads, the old order counts as newer than those that it has just heard of. It shows as an evacuation that comes back
 * after its end was confirmed.
 */
import type { Millis } from '@lynxcourse/base'

interface Known {
  readonly at: Millis
  readonly version: number
}

/** The versions that one VM has known, oldest first. */
export interface KnownVersions {
  known: Known[]
}

/** Versions are remembered for this long; an order that lay unread for longer is dated by the last one before. */
const keptMs: Millis = 10_000

export function createKnownVersions (): KnownVersions {
  return { known: [] }
}

/** Notes that a VM knows a version from `now` on. */
export function recordKnownVersion (versions: KnownVersions, version: number, now: Millis): void {
  const last = versions.known.at(-1)
  if (last !== undefined && version <= last.version) return
  versions.known.push({ at: now, version })
  const firstKept = versions.known.findIndex(({ at }) => now - at < keptMs)
  if (firstKept > 1) versions.known.splice(0, firstKept - 1)
}

/** The version that was known at a time; 0 where that is not remembered. */
export function getKnownVersionAt ({ known }: KnownVersions, at: Millis): number {
  return known.findLast(entry => entry.at <= at)?.version ?? 0
}
