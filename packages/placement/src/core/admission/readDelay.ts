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
export interface LoopIterations {
  /** Whether the current iteration has been recorded. */
  isIterationRecorded: boolean
  /** Time of the last checkpoint: the end of the last recorded iteration, or the last sample. */
  checkpointAt: Millis
  /** Total idle time of the loop at the last checkpoint. */
  idleMs: Millis
  /** Time at which the loop's next timer is due. A longer wait for sockets is a wait for the processor. */
  nextTimerAt: Millis
  /** Earliest arrival of input that was unread at the last checkpoint. */
  pendingSince: Millis
  /** Time at which the current iteration was recorded: about the time at which reading began. */
  recordedAt: Millis
  /** Whether the loop was idle before the current iteration. */
  wasIdle: boolean
  /** Earliest time at which the poll phase of the current iteration can have returned. */
  polledAt: Millis
  /** Earliest arrival of input that is read in the current iteration. */
  earliestArrivalAt: Millis
  /**
   * Earliest arrival of the first bytes of a connection. The connection was accepted in the iteration before, after it
   * had waited for that.
   */
  earliestFirstArrivalAt: Millis
}

/** A shorter idle time means that the poll phase found input at once, which may have waited. */
export const minIdleMs: Millis = 1

/**
 * Time between two checkpoints of a quiet loop, and the shortest time that counts as a read delay: between two
 * checkpoints, work can't be distinguished from waiting. It is a fifth of the 500 ms within which a final answer may
 * follow its route's timeout.
 */
export const sampleIntervalMs: Millis = 100

export function createLoopIterations (idleMs: Millis, now: Millis): LoopIterations {
  return { isIterationRecorded: false, checkpointAt: now, idleMs, nextTimerAt: Infinity, pendingSince: now, recordedAt: now, wasIdle: true, polledAt: now, earliestArrivalAt: now, earliestFirstArrivalAt: now }
}

/**
 * Records the start of an iteration that reads from callers or servers.
 *
 * @param idleMs total idle time of the loop since it started
 */
export function beginIteration (iterations: LoopIterations, idleMs: Millis, now: Millis): void {
  if (iterations.isIterationRecorded) return
  iterations.isIterationRecorded = true
  iterations.recordedAt = now
  const idleSinceCheckpointMs = idleMs - iterations.idleMs
  iterations.polledAt = estimateWakeTime(iterations, idleSinceCheckpointMs)
  const wasIdle = idleSinceCheckpointMs >= minIdleMs
  iterations.wasIdle = wasIdle
  const hadNoPendingInput = wasIdle && !mayHavePendingInput(iterations)
  iterations.earliestFirstArrivalAt = hadNoPendingInput ? iterations.polledAt : iterations.earliestArrivalAt
  iterations.earliestArrivalAt = hadNoPendingInput ? iterations.polledAt : iterations.pendingSince
}

/**
 * Returns whether input may have arrived unread during a long iteration: after that much work, the process may have
 * waited for the processor instead of input.
 */
function mayHavePendingInput ({ checkpointAt, pendingSince }: LoopIterations): boolean {
  return checkpointAt - pendingSince >= sampleIntervalMs
}

/** Records the end of the iteration. */
export function endIteration (iterations: LoopIterations, idleMs: Millis, now: Millis): void {
  iterations.isIterationRecorded = false
  iterations.pendingSince = iterations.polledAt
  setCheckpoint(iterations, idleMs, now)
}

/**
 * Sets a checkpoint for a loop without a recorded iteration for a while, so that its work does not add up over a long
 * time.
 */
export function sampleLoop (iterations: LoopIterations, idleMs: Millis, now: Millis): void {
  if (!iterations.isIterationRecorded && now - iterations.checkpointAt >= sampleIntervalMs) {
    const idleSinceCheckpointMs = idleMs - iterations.idleMs
    if (idleSinceCheckpointMs >= minIdleMs) {
      iterations.pendingSince = estimateWakeTime(iterations, idleSinceCheckpointMs)
      iterations.earliestArrivalAt = iterations.pendingSince
    }
    setCheckpoint(iterations, idleMs, now)
  }
  iterations.nextTimerAt = now + sampleIntervalMs
}

/** Returns the earliest time at which the loop had something to do: a process that waits for the processor looks idle. */
function estimateWakeTime ({ checkpointAt, nextTimerAt }: LoopIterations, idleSinceCheckpointMs: Millis): Millis {
  return Math.min(checkpointAt + idleSinceCheckpointMs, Math.max(checkpointAt, nextTimerAt))
}

function setCheckpoint (iterations: LoopIterations, idleMs: Millis, now: Millis): void {
  iterations.checkpointAt = now
  iterations.idleMs = idleMs
}

/**
 * Returns the earliest time at which a request that is read now can have arrived; `now` if the difference is too short
 * to be measured.
 *
 * @param isFirst whether it is the first request of its connection
 */
export function getEarliestArrival (iterations: LoopIterations, isFirst: boolean, now: Millis): Millis {
  const earliest = isFirst ? iterations.earliestFirstArrivalAt : iterations.earliestArrivalAt
  return now - earliest < sampleIntervalMs ? now : earliest
}

/** The time at which a connection was accepted, and the earliest time at which it can have arrived. */
export interface AcceptedConnection {
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
export function getEarliestFirstArrival (iterations: LoopIterations, { at, since }: AcceptedConnection, now: Millis): Millis {
  const earliest = getEarliestArrival(iterations, true, now)
  const mayHaveArrivedTogether = since < at && now - at < maxFirstRequestDelayMs
  return mayHaveArrivedTogether ? Math.min(earliest, since) : earliest
}

/** A request that may have arrived earlier is given up at most this long after its deadline. */
const maxGiveUpDelayMs: Millis = 200

/**
 * Returns when to give up a request at a server: its whole time after it was read. Counted from its earliest arrival, the VM would end
 * an answer that its caller still waits for. Later work is bounded by the deadline, which counts from the earliest arrival.
 *
 * @param deadline end of its whole time after its earliest arrival
 */
export function getGiveUpTime (deadline: Millis, arrivedAt: Millis, readAt: Millis): Millis {
  return deadline + Math.min(readAt - arrivedAt, maxGiveUpDelayMs)
}
