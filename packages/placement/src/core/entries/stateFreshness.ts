/**
 * How old an entry VM's copy of the state may be when the VM decides by it.
 *
 * A change that is confirmed must be in force everywhere within a fixed time. Nothing bounds how late a copy is: the event loop of
 * the VM or of its control VM may be blocked, and a link may be full. A VM therefore decides only by a copy that had all changes
 * a short time ago, and otherwise asks the control VMs first. A VM that reaches none of them is cut off and goes on with its copy.
 */
import type { Millis } from '@lynxcourse/base'
import { getElapsed } from '../../types/clockReading.js'
import type { ClockReading } from '../../types/clockReading.js'

/** What an entry VM knows of the age of its copy of the state. */
export interface StateFreshness {
  /** Time as of which the copy had all confirmed changes; undefined before the first state. */
  confirmedAt: ClockReading | undefined
  /** When this VM last asked all control VMs and reached none with the current state; undefined if the last question had another result. */
  cutOffAt: ClockReading | undefined
}

/** The answer of a control VM to the question whether a copy is current. */
export interface StateConfirmation {
  /** When this VM asked. */
  readonly askedAt: ClockReading
  /** How long the control VM held the question until it answered. */
  readonly heldMs: Millis
  /** How long before its answer the control VM's state had all confirmed changes. */
  readonly ageMs: Millis
}

/**
 * What became of the question to one control VM: `confirmed` if it has the current state, `behind` if it answered that it doesn't,
 * `unreachable` if no connection could be opened, `unanswered` if one could, but no answer came in time.
 */
export type ControlContact = 'confirmed' | 'behind' | 'unreachable' | 'unanswered'

/** How long a VM counts as cut off without asking again: its event loop may have been blocked while it was connected again. */
const maxCutOffAgeMs: Millis = 3500

export function createStateFreshness (): StateFreshness {
  return { confirmedAt: undefined, cutOffAt: undefined }
}

/**
 * Records that the copy has all changes of a control VM's state.
 *
 * The answer may have waited unread at this VM, so its age counts from the question, with the time that the control VM held it.
 */
export function recordConfirmation (freshness: StateFreshness, { askedAt, heldMs, ageMs }: StateConfirmation): void {
  freshness.cutOffAt = undefined
  const confirmedAt = { steady: askedAt.steady + heldMs - ageMs, wall: askedAt.wall + heldMs - ageMs }
  const known = freshness.confirmedAt
  if (known === undefined || confirmedAt.steady > known.steady) freshness.confirmedAt = confirmedAt
}

/**
 * Records what became of the questions to all control VMs that this VM knows, none of which confirmed the state.
 *
 * @param askedAt when this VM asked the first of them
 */
export function recordContacts (freshness: StateFreshness, contacts: readonly ControlContact[], askedAt: ClockReading): void {
  const isReached = contacts.some(contact => contact === 'confirmed' || contact === 'unanswered')
  freshness.cutOffAt = isReached ? undefined : askedAt
}

/** Whether the VM has a state at all. */
export function hasState ({ confirmedAt }: StateFreshness): boolean {
  return confirmedAt !== undefined
}

/** Returns the time since the copy was last known to have all confirmed changes; Infinity before the first state. */
export function getCopyAge ({ confirmedAt }: StateFreshness, now: ClockReading): Millis {
  return confirmedAt === undefined ? Infinity : getElapsed(confirmedAt, now)
}

/** Returns whether the VM reached no control VM with the current state a short time ago, and may go on with its copy. */
export function isCutOff ({ cutOffAt }: StateFreshness, now: ClockReading): boolean {
  return cutOffAt !== undefined && getElapsed(cutOffAt, now) <= maxCutOffAgeMs
}

/** Returns whether the VM may decide by its copy; otherwise it has to ask the control VMs first. */
export function mayDecide (freshness: StateFreshness, maxAgeMs: Millis, now: ClockReading): boolean {
  return hasState(freshness) && (getCopyAge(freshness, now) <= maxAgeMs || isCutOff(freshness, now))
}
