/**
 * Waits for the event loop to look at its sockets before something is decided.
 *
 * What can go wrong: in one turn the loop reads a socket's data and not the end behind it, accepts one connection of all that wait, and
 * runs timers before it reads again. What is decided in that turn rests on less than the kernel has. It shows, where turns are long,
 * as work for callers that have left, as answers that count as missing, and as callers that wait unseen to be accepted.
 */
import { setImmediate as checkPhase } from 'node:timers/promises'
import type { Millis } from '@lynxcourse/base'
import { getCurrentTime } from './clock.js'

/** One look of the event loop at all its sockets. */
export interface PollPhase {
  /** What had come by then has been read, up to what the loop reads of one socket in a turn. */
  readonly beganAt: Millis
  /** When all that it found had been handled. */
  readonly endedAt: Millis
}

/** The looks of one event loop. */
export interface PollTracker {
  /** The look that is waited for and has not begun. */
  next: Promise<PollPhase> | undefined
  /** Connections accepted so far, and how many of them there were when no further one waited. */
  acceptCount: number
  drainedAcceptCount: number
  /** Ends once no connection waits to be accepted, with when its last turn began. */
  acceptQueueDrain: Promise<Millis> | undefined
}

/** Work waits for connections that are to be accepted for this long at most. */
const longestAcceptingMs: Millis = 150

/** No look yet. */
export function createPollTracker (): PollTracker {
  return { next: undefined, acceptCount: 0, drainedAcceptCount: 0, acceptQueueDrain: undefined }
}

/** Waits until the loop has looked at all sockets once more, and no connection waits to be accepted. */
export async function waitForPoll (polls: PollTracker): Promise<PollPhase> {
  polls.next ??= lookOnce(polls)
  return await polls.next
}

/** A timer's callback that acts after a look: what it would decide on may lie unread. */
export function afterPoll (polls: PollTracker, act: () => void): () => Promise<void> {
  return async () => {
    await waitForPoll(polls)
    act()
  }
}

async function lookOnce (looks: PollTracker): Promise<PollPhase> {
  await checkPhase()
  // Who asks from here on waits for the look after this one.
  looks.next = undefined
  let beganAt = getCurrentTime()
  await checkPhase()
  if (looks.acceptCount !== looks.drainedAcceptCount) beganAt = await (looks.acceptQueueDrain ??= acceptAll(looks))
  return { beganAt, endedAt: getCurrentTime() }
}

/** The loop accepts one connection in each turn, so it goes on without work until none waits. */
async function acceptAll (looks: PollTracker): Promise<Millis> {
  const until = getCurrentTime() + longestAcceptingMs
  let before: number
  let turnBeganAt: Millis
  do {
    before = looks.acceptCount
    turnBeganAt = getCurrentTime()
    await checkPhase()
  } while (looks.acceptCount !== before && getCurrentTime() < until)
  looks.drainedAcceptCount = looks.acceptCount
  looks.acceptQueueDrain = undefined
  return turnBeganAt
}
