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
import { presentTime } from './clock.js'

/** One whole poll phase of the event loop over all sockets. */
export interface Look {
  /** Data that had arrived by this time has been read, up to the amount that the loop reads of one socket per iteration. */
  readonly beganAt: Millis
  /** Time at which all callbacks of the poll phase had run. */
  readonly endedAt: Millis
}

/** The poll phases of one event loop. */
export interface Looks {
  /** The next poll phase, if it has been requested and has not begun. */
  next: Promise<Look> | undefined
  /** Number of connections accepted so far. */
  accepts: number
  /** Number of accepted connections when the accept queue was last found empty. */
  settledAccepts: number
  /** Resolves once the accept queue is empty, with the start time of the last iteration; undefined while none is draining it. */
  accepting: Promise<Millis> | undefined
}

/** Limit on the wait until the accept queue is empty. */
const maxAcceptDrainMs: Millis = 150

export function createLooks (): Looks {
  return { next: undefined, accepts: 0, settledAccepts: 0, accepting: undefined }
}

/** Waits until the loop has polled all sockets once more and the accept queue is empty, or the limit on that wait has passed. */
export async function nextLook (looks: Looks): Promise<Look> {
  looks.next ??= pollOnce(looks)
  return await looks.next
}

/** Wraps a timer's callback so that it runs after a poll phase: input that affects its decision may be unread. */
export function afterLook (looks: Looks, callback: () => void): () => Promise<void> {
  return async () => {
    await nextLook(looks)
    callback()
  }
}

async function pollOnce (looks: Looks): Promise<Look> {
  await checkPhase()
  // Requests from here on wait for the poll phase after this one.
  looks.next = undefined
  let beganAt = presentTime()
  await checkPhase()
  if (looks.accepts !== looks.settledAccepts) beganAt = await (looks.accepting ??= drainAcceptQueue(looks))
  return { beganAt, endedAt: presentTime() }
}

/** Lets the loop iterate without other work until the accept queue is empty: it accepts one connection per iteration. */
async function drainAcceptQueue (looks: Looks): Promise<Millis> {
  const deadline = presentTime() + maxAcceptDrainMs
  let acceptsBefore: number
  let iterationBeganAt: Millis
  do {
    acceptsBefore = looks.accepts
    iterationBeganAt = presentTime()
    await checkPhase()
  } while (looks.accepts !== acceptsBefore && presentTime() < deadline)
  looks.settledAccepts = looks.accepts
  looks.accepting = undefined
  return iterationBeganAt
}
