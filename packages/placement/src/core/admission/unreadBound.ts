/**
 * Estimates the longest time that a request can have waited unread at a VM whose event loop is busy.
 *
 * A VM that is short of processor time reads a request seconds after its bytes arrived. If the deadline is computed
 * from the time of reading, it lies seconds after the deadline of the caller and the route. The symptom is requests
 * that are answered long after their route's timeout, by VMs whose own log lines show them in time. No system call
 * returns the arrival time of bytes, but the iterations of the loop bound it: a poll phase reads everything that is
 * readable at that time, and no input waits while the loop is idle.
 */
import type { Millis } from '@lynxcourse/base'

/**
 * The iterations of one event loop. An iteration is what follows one poll of the sockets. Iterations that read from
 * callers or servers are recorded.
 */
export interface LoopTurns {
  /** Whether the current iteration has been recorded. */
  isOpen: boolean
  /** Time of the last checkpoint: the end of the last recorded iteration, or the last sample. */
  markedAt: Millis
  /** Total idle time of the loop at the last checkpoint. */
  sleptMs: Millis
  /** Time at which the loop's next timer is due. A longer wait for sockets is a wait for the processor. */
  nextTimerAt: Millis
  /** Earliest arrival of input that was unread at the last checkpoint. */
  pendingSince: Millis
  /** Time at which the current iteration was recorded: about the time at which reading began. */
  notedAt: Millis
  /** Whether the loop was idle before the current iteration. */
  hasSlept: boolean
  /** Earliest time at which the poll phase of the current iteration can have returned. */
  polledAt: Millis
  /** Earliest arrival of input that is read in the current iteration. */
  unreadSince: Millis
  /**
   * Earliest arrival of the first bytes of a connection. The connection was accepted in the iteration before, after it
   * had waited for that.
   */
  acceptedSince: Millis
}

/** A shorter idle time means that the poll phase found input at once, which may have waited. */
export const leastSleepMs: Millis = 1

/**
 * Time between two checkpoints of a quiet loop, and the shortest time that counts as a read delay: between two
 * checkpoints, work can't be distinguished from waiting. It is a fifth of the 500 ms within which a final answer may
 * follow its route's timeout.
 */
export const sampleMs: Millis = 100

export function createLoopTurns (sleptMs: Millis, now: Millis): LoopTurns {
  return { isOpen: false, markedAt: now, sleptMs, nextTimerAt: Infinity, pendingSince: now, notedAt: now, hasSlept: true, polledAt: now, unreadSince: now, acceptedSince: now }
}

/**
 * Records the start of an iteration that reads from callers or servers.
 *
 * @param sleptMs total idle time of the loop since it started
 */
export function beginTurn (iterations: LoopTurns, sleptMs: Millis, now: Millis): void {
  if (iterations.isOpen) return
  iterations.isOpen = true
  iterations.notedAt = now
  const idleSinceCheckpointMs = sleptMs - iterations.sleptMs
  iterations.polledAt = estimateWakeTime(iterations, idleSinceCheckpointMs)
  const hasSlept = idleSinceCheckpointMs >= leastSleepMs
  iterations.hasSlept = hasSlept
  const hadNoPendingInput = hasSlept && !mayHavePendingInput(iterations)
  iterations.acceptedSince = hadNoPendingInput ? iterations.polledAt : iterations.unreadSince
  iterations.unreadSince = hadNoPendingInput ? iterations.polledAt : iterations.pendingSince
}

/**
 * Returns whether input may have arrived unread during a long iteration: after that much work, the process may have
 * waited for the processor instead of input.
 */
function mayHavePendingInput ({ markedAt, pendingSince }: LoopTurns): boolean {
  return markedAt - pendingSince >= sampleMs
}

/** Records the end of the iteration. */
export function endTurn (iterations: LoopTurns, sleptMs: Millis, now: Millis): void {
  iterations.isOpen = false
  iterations.pendingSince = iterations.polledAt
  setCheckpoint(iterations, sleptMs, now)
}

/**
 * Sets a checkpoint for a loop without a recorded iteration for a while, so that its work does not add up over a long
 * time.
 */
export function sampleTurns (iterations: LoopTurns, sleptMs: Millis, now: Millis): void {
  if (!iterations.isOpen && now - iterations.markedAt >= sampleMs) {
    const idleSinceCheckpointMs = sleptMs - iterations.sleptMs
    if (idleSinceCheckpointMs >= leastSleepMs) {
      iterations.pendingSince = estimateWakeTime(iterations, idleSinceCheckpointMs)
      iterations.unreadSince = iterations.pendingSince
    }
    setCheckpoint(iterations, sleptMs, now)
  }
  iterations.nextTimerAt = now + sampleMs
}

/** Returns the earliest time at which the loop had something to do: a process that waits for the processor looks idle. */
function estimateWakeTime ({ markedAt, nextTimerAt }: LoopTurns, idleSinceCheckpointMs: Millis): Millis {
  return Math.min(markedAt + idleSinceCheckpointMs, Math.max(markedAt, nextTimerAt))
}

function setCheckpoint (iterations: LoopTurns, sleptMs: Millis, now: Millis): void {
  iterations.markedAt = now
  iterations.sleptMs = sleptMs
}

/**
 * Returns the earliest time at which a request that is read now can have arrived; `now` if the difference is too short
 * to be measured.
 *
 * @param isFirst whether it is the first request of its connection
 */
export function arrivedSince (iterations: LoopTurns, isFirst: boolean, now: Millis): Millis {
  const earliest = isFirst ? iterations.acceptedSince : iterations.unreadSince
  return now - earliest < sampleMs ? now : earliest
}

/** The time at which a connection was accepted, and the earliest time at which it can have arrived. */
export interface Accepted {
  readonly at: Millis
  readonly since: Millis
}

/**
 * A request that is read within this time after its connection was accepted may have arrived together with the
 * connection.
 */
const maxFirstRequestDelayMs: Millis = 500

/**
 * Returns the earliest time at which the first request of a connection can have arrived.
 *
 * A loop that was behind when it accepted the connection reads the request one iteration later, and may wait for the
 * processor in between.
 */
export function firstArrivedSince (iterations: LoopTurns, { at, since }: Accepted, now: Millis): Millis {
  const earliest = arrivedSince(iterations, true, now)
  const mayHaveArrivedTogether = since < at && now - at < maxFirstRequestDelayMs
  return mayHaveArrivedTogether ? Math.min(earliest, since) : earliest
}
