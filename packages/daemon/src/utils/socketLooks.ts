/**
 * Waits for the event loop to look at its sockets before something is decided.
 *
 * What can go wrong: in one turn the loop reads a socket's data and not the end behind it, accepts one connection of all that wait, and
 * runs timers before it reads again. What is decided in that turn rests on less than the kernel has. It shows, where turns are long,
 * as work for callers that have left, as answers that count as missing, and as callers that wait unseen to be accepted.
 */
import { setImmediate as checkPhase } from 'node:timers/promises'
import type { Millis } from '@lynxcourse/base'
import { presentTime } from './clock.js'

/** One look of the event loop at all its sockets. */
export interface Look {
  /** What had come by then has been read, up to what the loop reads of one socket in a turn. */
  readonly beganAt: Millis
  /** When all that it found had been handled. */
  readonly endedAt: Millis
}

/** The looks of one event loop. */
export interface Looks {
  /** The look that is waited for and has not begun. */
  next: Promise<Look> | undefined
  /** Connections accepted so far, and how many of them there were when no further one waited. */
  accepts: number
  settledAccepts: number
  /** Ends once no connection waits to be accepted, with when its last turn began. */
  accepting: Promise<Millis> | undefined
}

/** Work waits for connections that are to be accepted for this long at most. */
const longestAcceptingMs: Millis = 150

/** No look yet. */
export function createLooks (): Looks {
  return { next: undefined, accepts: 0, settledAccepts: 0, accepting: undefined }
}

/** Waits until the loop has looked at all sockets once more, and no connection waits to be accepted. */
export async function nextLook (looks: Looks): Promise<Look> {
  looks.next ??= lookOnce(looks)
  return await looks.next
}

/** A timer's callback that acts after a look: what it would decide on may lie unread. */
export function afterLook (looks: Looks, act: () => void): () => Promise<void> {
  return async () => {
    await nextLook(looks)
    act()
  }
}

async function lookOnce (looks: Looks): Promise<Look> {
  await checkPhase()
  // Who asks from here on waits for the look after this one.
  looks.next = undefined
  let beganAt = presentTime()
  await checkPhase()
  if (looks.accepts !== looks.settledAccepts) beganAt = await (looks.accepting ??= acceptAll(looks))
  return { beganAt, endedAt: presentTime() }
}

/** The loop accepts one connection in each turn, so it goes on without work until none waits. */
async function acceptAll (looks: Looks): Promise<Millis> {
  const until = presentTime() + longestAcceptingMs
  let before: number
  let turnBeganAt: Millis
  do {
    before = looks.accepts
    turnBeganAt = presentTime()
    await checkPhase()
  } while (looks.accepts !== before && presentTime() < until)
  looks.settledAccepts = looks.accepts
  looks.accepting = undefined
  return turnBeganAt
}
