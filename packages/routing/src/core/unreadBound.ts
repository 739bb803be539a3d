/**
 * Since when a request can at most have lain unread at a VM whose event loop is busy.
 *
 * What can go wrong: a VM that is out of processor time gets to a request seconds after its bytes came. Counted from then, its
 * deadline lies seconds after the one that its caller and its route have. It shows as requests that are answered long past their
 * route's timeout by VMs whose own log lines show them in time. No system call tells when bytes came, but the loop's turns bound it:
 * what could be read when the loop last looked was read then, and while the loop sleeps nothing waits.
 */
import type { Millis } from '@lynxcourse/base'

/** The turns of one event loop; a turn is what follows one look at the sockets. */
export interface LoopTurns {
  /** Whether the present turn has been noted. */
  isOpen: boolean
  /** When the last noted turn ended. */
  endedAt: Millis
  /** Time that the loop had slept by then. */
  sleptMs: Millis
  /** When the present turn's look at the sockets returned, at the earliest. */
  beganAt: Millis
  /** Since when what is read in the present turn can have lain unread. */
  unreadSince: Millis
  /** The same for connections that are accepted in this turn: their first bytes are read in the next one. */
  acceptedSince: Millis
}

export function createLoopTurns (now: Millis): LoopTurns {
  return { isOpen: false, endedAt: now, sleptMs: 0, beganAt: now, unreadSince: now, acceptedSince: now }
}

/**
 * Notes that a turn is under way.
 *
 * @param sleptMs time that the loop has slept since it started
 */
export function beginTurn (turns: LoopTurns, sleptMs: Millis): void {
  if (turns.isOpen) return
  turns.isOpen = true
  const lastBeganAt = turns.beganAt
  const slept = sleptMs - turns.sleptMs
  turns.beganAt = turns.endedAt + slept
  turns.acceptedSince = turns.unreadSince
  // A loop that slept had nothing to read until it woke.
  turns.unreadSince = slept > 0 ? turns.beganAt : lastBeganAt
  if (slept > 0) turns.acceptedSince = turns.beganAt
}

/** Notes that the turn has ended. */
export function endTurn (turns: LoopTurns, sleptMs: Millis, now: Millis): void {
  turns.isOpen = false
  turns.endedAt = now
  turns.sleptMs = sleptMs
}

/**
 * Since when a request that is read in the present turn can have lain unread.
 *
 * @param isFirst whether it is the first one of its connection
 */
export function unreadSince (turns: LoopTurns, isFirst: boolean): Millis {
  return isFirst ? turns.acceptedSince : turns.unreadSince
}
