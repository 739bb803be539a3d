/**
 * The version of the state that a VM knew at a given time.
 *
 * A VM that was behind may first apply newer versions and only then read an operator's command that arrived before
 * them. If the command were based on the version known when it is read, it would count as newer than the changes just
 * applied. An evacuation could then start again after its end was confirmed.
 */
import type { Millis } from '@lynxcourse/base'

interface KnownVersion {
  readonly at: Millis
  readonly version: number
}

/** The versions that a VM has known, oldest first. */
export interface KnownVersions {
  entries: KnownVersion[]
}

/** How long versions are kept. The last one before this period is kept too, for commands that were unread for longer. */
const retentionMs: Millis = 10_000

export function createKnownVersions (): KnownVersions {
  return { entries: [] }
}

/** Records that a VM knows a version from `now` on. A version that is not above the last one changes nothing. */
export function recordKnownVersion (versions: KnownVersions, version: number, now: Millis): void {
  const last = versions.entries.at(-1)
  if (last !== undefined && version <= last.version) return
  versions.entries.push({ at: now, version })
  const firstKept = versions.entries.findIndex(({ at }) => now - at < retentionMs)
  if (firstKept > 1) versions.entries.splice(0, firstKept - 1)
}

/** Returns the last version recorded at or before a given time; 0 if there is none. */
export function getKnownVersionAt ({ entries }: KnownVersions, at: Millis): number {
  return entries.findLast(entry => entry.at <= at)?.version ?? 0
}
