/**
 * Since when a request can at most have lain unread at a VM whose event loop is busy.
 *
 * What can go wrong: a VM that is out of processor time gets to a request seconds after its bytes came. Counted from then, its
 * deadline lies seconds after the one that its caller and its route have. It shows as requests that are answered long past their
 * route's timeout by VMs whose own log lines show them in time. No system call tells when bytes came, but the loop's turns bound it:
 * what could be read when the loop last looked was read then, and while the loop sleeps nothing waits.
 */
import type { Millis } from '@lynxcourse/base'

/** The turns of one event loop. A turn is what follows one look at the sockets; those that read from callers or servers are noted. */
export interface LoopTurns {
  /** Whether the present turn has been noted. */
  isOpen: boolean
  /** When the last noted turn ended, or the last sample was taken. */
  markedAt: Millis
  /** Time that the loop had slept by then. */
  sleptMs: Millis
  /** When its next timer is due: a wait for sockets that lasts longer waits for the processor. */
  wakesBy: Millis
  /** What can be read at that mark has come since then. */
  readableSince: Millis
  /** When the present turn was noted: about when it began to read. */
  notedAt: Millis
  /** Whether the loop slept before the present turn. */
  hasSlept: boolean
  /** When the present turn's look at the sockets returned, at the earliest. */
  beganAt: Millis
  /** Since when what is read in the present turn can have lain unread. */
  unreadSince: Millis
  /** The same for the first bytes of a connection: it was accepted in the turn before, after it had waited for that. */
  acceptedSince: Millis
}

/** A loop that waits for less found something at once: it may have lain there. */
export const leastSleepMs: Millis = 1

/**
 * Time between two marks of a loop that is quiet, and the least time that counts as unread: what a loop works between two marks
 * can't be told from waiting. A fifth of the half second by which a final answer may come after its route's timeout.
 */
export const sampleMs: Millis = 100

export function createLoopTurns (sleptMs: Millis, now: Millis): LoopTurns {
  return { isOpen: false, markedAt: now, sleptMs, wakesBy: Infinity, readableSince: now, notedAt: now, hasSlept: true, beganAt: now, unreadSince: now, acceptedSince: now }
}

/**
 * Notes that a turn is under way.
 *
 * @param sleptMs time that the loop has slept since it started
 */
export function beginTurn (turns: LoopTurns, sleptMs: Millis, now: Millis): void {
  if (turns.isOpen) return
  turns.isOpen = true
  turns.notedAt = now
  const sinceMark = sleptMs - turns.sleptMs
  turns.beganAt = wokeAt(turns, sinceMark)
  const hasSlept = sinceMark >= leastSleepMs
  turns.hasSlept = hasSlept
  const foundNothing = hasSlept && !mayHaveGathered(turns)
  turns.acceptedSince = foundNothing ? turns.beganAt : turns.unreadSince
  turns.unreadSince = foundNothing ? turns.beganAt : turns.readableSince
}

/** Whether input can have gathered over a long turn: a process that has worked so long may wait for the processor next, not for input. */
function mayHaveGathered ({ markedAt, readableSince }: LoopTurns): boolean {
  return markedAt - readableSince >= sampleMs
}

/** Notes that the turn has ended. */
export function endTurn (turns: LoopTurns, sleptMs: Millis, now: Millis): void {
  turns.isOpen = false
  turns.readableSince = turns.beganAt
  mark(turns, sleptMs, now)
}

/** Marks a loop that had no noted turn for a while, so that what it works over a long time does not add up. */
export function sampleTurns (turns: LoopTurns, sleptMs: Millis, now: Millis): void {
  if (!turns.isOpen && now - turns.markedAt >= sampleMs) {
    const sinceMark = sleptMs - turns.sleptMs
    if (sinceMark >= leastSleepMs) {
      turns.readableSince = wokeAt(turns, sinceMark)
      turns.unreadSince = turns.readableSince
    }
    mark(turns, sleptMs, now)
  }
  turns.wakesBy = now + sampleMs
}

/** When the loop last had something to do, at the earliest: a process that waits for the processor seems to sleep on. */
function wokeAt ({ markedAt, wakesBy }: LoopTurns, sinceMark: Millis): Millis {
  return Math.min(markedAt + sinceMark, Math.max(markedAt, wakesBy))
}

function mark (turns: LoopTurns, sleptMs: Millis, now: Millis): void {
  turns.markedAt = now
  turns.sleptMs = sleptMs
}

/**
 * Since when a request that is read now can have lain unread; now, if that is too short a time to tell.
 *
 * @param isFirst whether it is the first one of its connection
 */
export function arrivedSince (turns: LoopTurns, isFirst: boolean, now: Millis): Millis {
  const since = isFirst ? turns.acceptedSince : turns.unreadSince
  return now - since < sampleMs ? now : since
}

/** When a connection was accepted, and since when it can have waited for that. */
export interface Accepted {
  readonly at: Millis
  readonly since: Millis
}

/** A request that is read this soon after its connection was accepted may have come with it. */
const withConnectionMs: Millis = 500

/**
 * Since when the first request of a connection can have lain unread.
 *
 * A loop that was behind when it accepted the connection reads the request a turn later, and may wait for its processor in between.
 */
export function firstArrivedSince (turns: LoopTurns, { at, since }: Accepted, now: Millis): Millis {
  const read = arrivedSince(turns, true, now)
  const mayHaveComeWithIt = since < at && now - at < withConnectionMs
  return mayHaveComeWithIt ? Math.min(read, since) : read
}
