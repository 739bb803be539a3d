/**
 * Whether a control VM has heard of enough entry VMs to name them to callers.
 *
 * What can go wrong: all VMs start at one moment, and entry VMs become ready one after the other over a second or two. Callers that are
 * told of the first ones all go there, and stay for as long as their look-up's answer lasts and their connections do. It shows
 * as one VM at the limit of its processor, with many times the connections of the others, while those have time. A
 * caller that gets no answer meanwhile asks again, or goes on with the VMs that it knew before, which are ready as soon.
 */
import type { Millis } from '@lynxcourse/base'

/** Entry VMs as they come in after a control VM's start. */
export interface EntryGathering {
  /** When the first ready one was heard; undefined before. */
  firstAt: Millis | undefined
  /** When one was last heard to be ready that was not known to be. */
  grownAt: Millis
}

/** They are all there once none has come for this long, the time between two exchanges of what control VMs heard. */
const settledMs: Millis = 400
/** From then on callers get an answer in any case. */
const longestMs: Millis = 1500

export function createEntryGathering (): EntryGathering {
  return { firstAt: undefined, grownAt: -Infinity }
}

/** Notes that an entry VM is ready that was not known to be. */
export function noteReadyEntry (gathering: EntryGathering, now: Millis): void {
  gathering.firstAt = Math.min(gathering.firstAt ?? now, now)
  gathering.grownAt = Math.max(gathering.grownAt, now)
}

/** Whether more are expected soon, so that callers should not be told of these alone. */
export function isGathering ({ firstAt, grownAt }: EntryGathering, now: Millis): boolean {
  return firstAt !== undefined && now - firstAt < longestMs && now - grownAt < settledMs
}
