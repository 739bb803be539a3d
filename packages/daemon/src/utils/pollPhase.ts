/**
 * Waits for the event loop to poll its sockets before a decision is made.
 *
 * In one iteration the loop reads a socket's data but not the close behind it, accepts one of the connections in the accept
 * queue, and runs timers before it reads again. A decision in that iteration is based on less than the kernel has received.
 * If iterations are long, the symptoms are work for callers that have disconnected, answers that count as missing although
 * they have arrived, and callers that wait in the accept queue without being counted.
 */
import { setImmediate as checkPhase } from 'node:timers/promises'
import type { Millis } from '@lynxcourse/base'
import { getCurrentTime } from './clock.js'

/** One whole poll phase of the event loop over all sockets. */
export interface PollPhase {
  /** Data that had arrived by this time has been read, up to the amount that the loop reads of one socket per iteration. */
  readonly beganAt: Millis
  /** Time at which all callbacks of the poll phase had run. */
  readonly endedAt: Millis
}

/** The poll phases of one event loop. */
export interface PollTracker {
  /** The next poll phase, if it has been requested and has not begun. */
  next: Promise<PollPhase> | undefined
  /** Number of connections accepted so far. */
  acceptCount: number
  /** Number of accepted connections when the accept queue was last found empty. */
  drainedAcceptCount: number
  /** Resolves once the accept queue is empty, with the start time of the last iteration; undefined while none is draining it. */
  acceptQueueDrain: Promise<Millis> | undefined
}

/** Limit on the wait until the accept queue is empty. */
const maxAcceptDrainMs: Millis = 150

export function createPollTracker (): PollTracker {
  return { next: undefined, acceptCount: 0, drainedAcceptCount: 0, acceptQueueDrain: undefined }
}

/** Waits until the loop has polled all sockets once more and the accept queue is empty, or the limit on that wait has passed. */
export async function waitForPoll (polls: PollTracker): Promise<PollPhase> {
  polls.next ??= pollOnce(polls)
  return await polls.next
}

/** A timer's callback that runs after a poll phase. */
export interface PolledCallback {
  readonly run: () => Promise<void>
  /** Drops the callback with everything that it refers to, also while it waits for the poll phase. */
  readonly clear: () => void
}

/** Wraps a timer's callback so that it runs after a poll phase: input that affects its decision may be unread. */
export function afterPoll (polls: PollTracker, callback: () => void): PolledCallback {
  const held: { callback: (() => void) | undefined } = { callback }
  return {
    run: async () => {
      await waitForPoll(polls)
      held.callback?.()
    },
    clear: () => { held.callback = undefined }
  }
}

async function pollOnce (polls: PollTracker): Promise<PollPhase> {
  await checkPhase()
  // Requests from here on wait for the poll phase after this one.
  polls.next = undefined
  let beganAt = getCurrentTime()
  await checkPhase()
  if (polls.acceptCount !== polls.drainedAcceptCount) beganAt = await (polls.acceptQueueDrain ??= drainAcceptQueue(polls))
  return { beganAt, endedAt: getCurrentTime() }
}

/** Lets the loop iterate without other work until the accept queue is empty: it accepts one connection per iteration. */
async function drainAcceptQueue (polls: PollTracker): Promise<Millis> {
  const deadline = getCurrentTime() + maxAcceptDrainMs
  let countBefore: number
  let iterationBeganAt: Millis
  do {
    countBefore = polls.acceptCount
    iterationBeganAt = getCurrentTime()
    await checkPhase()
  } while (polls.acceptCount !== countBefore && getCurrentTime() < deadline)
  polls.drainedAcceptCount = polls.acceptCount
  polls.acceptQueueDrain = undefined
  return iterationBeganAt
}
