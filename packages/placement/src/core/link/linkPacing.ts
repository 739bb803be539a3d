/**
 * Divides the link of a VM among large answers, and keeps a part of it free for small ones.
 *
 * An answer of 540 KB occupies a link of 5.8 Mbit/s for three quarters of a second. Written at once, it delays every small
 * answer behind it by that time. Large answers are therefore written in pieces at less than the rate of the link: a
 * small answer waits for one piece at most. Small answers are not paced.
 */
import type { Millis } from '@lynxcourse/base'
import { scarceLinkMbps } from '../entries/vmResources.js'

/** A large answer that shares the link with others. */
export interface PacedAnswer {
  /** Bytes that remain to be written; undefined if the server named no length. */
  remainingBytes: number | undefined
  /** Bytes that can be written now: received from the server, and the caller's connection takes them. */
  readyBytes: number
  /** Number of the last turn in which it was written. */
  lastTurn: number
}

/** The shared link. */
export interface LinkPacing {
  /** Rate of all large answers together; Infinity without pacing. */
  bytesPerMs: number
  tokens: number
  refilledAt: Millis
  turn: number
  readonly answers: Set<PacedAnswer>
}

/** A piece of an answer that may be written now. */
export interface PacingGrant<Answer extends PacedAnswer> {
  readonly answer: Answer
  readonly bytes: number
}

/**
 * Part of the link for large answers. Their bytes cross it twice, from the server and to the caller, and both count: paced by one
 * direction alone, 0.55 to 0.8 of a link in each, packets waited for hundreds of milliseconds where the directions share the link.
 */
const largeAnswerFraction = 0.9
const linkCrossings = 2
/** Largest piece. It occupies a link of 5.8 Mbit/s for 11 ms. */
const maxPieceBytes = 8192
/** Time for which unused bytes of the rate can be used later; a timer of a busy event loop is late by as much. */
const burstMs: Millis = 10
/**
 * One of this many pieces goes to the answer that has waited longest; the others go to the one with the fewest remaining
 * bytes. Without this, a steady stream of shorter answers would keep a long one waiting until its deadline.
 */
const turnsPerRotation = 4
const bytesPerMsAndMbps = 125

export function createLinkPacing (now: Millis): LinkPacing {
  return { bytesPerMs: Infinity, tokens: 0, refilledAt: now, turn: 0, answers: new Set() }
}

/** Returns the rate of large answers in bytes per millisecond; Infinity if the link is unknown or not scarce. */
export function computeLargeAnswerRate (linkMbps: number | undefined): number {
  return linkMbps === undefined || linkMbps >= scarceLinkMbps ? Infinity : linkMbps * bytesPerMsAndMbps * largeAnswerFraction / linkCrossings
}

/** Adds an answer of the given length; undefined if the length is unknown. */
export function addPacedAnswer ({ answers, turn }: LinkPacing, answer: PacedAnswer): void {
  answer.lastTurn = turn
  answers.add(answer)
}

/** Returns the next piece to write and counts it; undefined if there is none now. */
export function takePiece (pacing: LinkPacing, now: Millis): PacingGrant<PacedAnswer> | undefined {
  const answer = chooseAnswer(pacing)
  if (answer === undefined) return undefined
  refill(pacing, now)
  const bytes = Math.min(answer.readyBytes, maxPieceBytes)
  if (pacing.tokens < bytes) return undefined
  pacing.tokens -= bytes
  pacing.turn += 1
  answer.lastTurn = pacing.turn
  answer.readyBytes -= bytes
  if (answer.remainingBytes !== undefined) answer.remainingBytes -= bytes
  return { answer, bytes }
}

/** Returns the time until `takePiece` returns the next piece; undefined if no answer can be written. */
export function getPieceDelay (pacing: LinkPacing, now: Millis): Millis | undefined {
  const answer = chooseAnswer(pacing)
  if (answer === undefined) return undefined
  refill(pacing, now)
  return Math.max(0, (Math.min(answer.readyBytes, maxPieceBytes) - pacing.tokens) / pacing.bytesPerMs)
}

function refill (pacing: LinkPacing, now: Millis): void {
  const { bytesPerMs } = pacing
  const burstBytes = maxPieceBytes + bytesPerMs * burstMs
  pacing.tokens = bytesPerMs === Infinity ? Infinity : Math.min(burstBytes, pacing.tokens + Math.max(0, now - pacing.refilledAt) * bytesPerMs)
  pacing.refilledAt = Math.max(now, pacing.refilledAt)
}

/** Chooses the answer whose turn it is: mostly the one with the fewest remaining bytes. An unknown length counts as long. */
function chooseAnswer ({ answers, turn }: LinkPacing): PacedAnswer | undefined {
  const isRotation = turn % turnsPerRotation === 0
  let chosen: PacedAnswer | undefined
  for (const answer of answers) {
    if (answer.readyBytes > 0 && (chosen === undefined || isBefore(answer, chosen, isRotation))) chosen = answer
  }
  return chosen
}

function isBefore (answer: PacedAnswer, other: PacedAnswer, isRotation: boolean): boolean {
  const [remaining, otherRemaining] = [answer.remainingBytes ?? Infinity, other.remainingBytes ?? Infinity]
  return isRotation || remaining === otherRemaining ? answer.lastTurn < other.lastTurn : remaining < otherRemaining
}
