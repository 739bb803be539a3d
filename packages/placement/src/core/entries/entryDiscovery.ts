/**
 * Decides whether a control VM knows enough entry VMs to return them to callers.
 *
 * When all VMs start together, entry VMs become ready one after the other over one or two seconds. Callers that receive
 * only the first of them all connect there, and stay until their lookup expires and their connections close. The
 * symptom is one VM with a saturated processor and many times the connections of the others, which are idle. A caller
 * that gets no answer meanwhile asks again, or uses the VMs that it knew before, which are ready as soon.
 */
import type { Millis } from '@lynxcourse/base'

/** The discovery of entry VMs after a control VM's start. */
export interface EntryDiscovery {
  /** Time at which the first ready VM was seen; undefined before. */
  firstSeenAt: Millis | undefined
  /** Time at which a VM was last seen to be ready that was not known to be ready. */
  lastNewAt: Millis
}

/** Time without a new VM after which discovery is complete: the interval between two exchanges among control VMs. */
const quietPeriodMs: Millis = 400
/** Time after the first ready VM from which callers get an answer in any case. */
const maxDelayMs: Millis = 1500

export function createEntryDiscovery (): EntryDiscovery {
  return { firstSeenAt: undefined, lastNewAt: -Infinity }
}

/** Records that an entry VM is ready that was not known to be ready. */
export function recordReadyEntry (discovery: EntryDiscovery, now: Millis): void {
  discovery.firstSeenAt = Math.min(discovery.firstSeenAt ?? now, now)
  discovery.lastNewAt = Math.max(discovery.lastNewAt, now)
}

/** Returns whether more entry VMs are expected soon, so that callers should not receive the known ones alone. */
export function isDiscovering ({ firstSeenAt, lastNewAt }: EntryDiscovery, now: Millis): boolean {
  return firstSeenAt !== undefined && now - firstSeenAt < maxDelayMs && now - lastNewAt < quietPeriodMs
}
