/** Draws how a backend server answers a request, reproducibly by the request's id. */
import { createRandom, hashText } from '@lynxcourse/base'
import type { Random } from '@lynxcourse/base'
import type { AnswerKind, CallerHabit } from './types.js'

/** Relative frequencies of the ways to answer. */
export type AnswerWeights = Readonly<Record<AnswerKind, number>>

/** How a request is answered. */
export interface AnswerPlan {
  readonly kind: AnswerKind
  /** Time in milliseconds before the answer's head. */
  readonly delayMs: number
  /** Time in milliseconds between the head and the body, or between two chunks. */
  readonly pauseMs: number
  readonly bodyBytes: number
}

/** What a plan depends on apart from the request's id. */
export interface AnswerBasis {
  readonly seed: number
  readonly weights: AnswerWeights
  /** Time limit of the request in milliseconds. */
  readonly limitMs: number
  /** Habit of the caller; undefined if it is unknown. */
  readonly habit: CallerHabit | undefined
  /** Whether a server has received the request before. */
  readonly isSecondTry: boolean
}

export const defaultWeights: AnswerWeights = { prompt: 40, late: 20, lastMoment: 8, chunked: 10, large: 6, headFirst: 10, turnedAway: 4, reset: 2 }

const lateShare = { min: 0.2, max: 0.9 }
const lastMomentMs = { min: 60, max: 150 }
const smallBytes = { min: 200, max: 3000 }
const largeBytes = { min: 200_000, max: 600_000 }
/** Longer than the interval between the requests of a busy pipeline. */
const busyDelayMs = { min: 250, max: 400 }
const promptDelayMs = 5

/** Draws the plan of a request. */
export function planAnswer (id: string, basis: AnswerBasis): AnswerPlan {
  const random = createRandom(hashText(`${basis.seed} ${id}`))
  const drawn = drawKind(basis.weights, random)
  const fails = drawn === 'turnedAway' || drawn === 'reset'
  const kind = fails && basis.isSecondTry ? 'prompt' : drawn
  const delayMs = drawDelay(kind, basis.limitMs, random)
  const busyMs = drawBetween(busyDelayMs, random)
  return {
    kind,
    delayMs: basis.habit === 'busyPipeline' ? Math.max(delayMs, busyMs) : delayMs,
    pauseMs: drawPause(kind, basis.limitMs, random),
    bodyBytes: Math.floor(drawBetween(kind === 'large' ? largeBytes : smallBytes, random))
  }
}

function drawKind (weights: AnswerWeights, random: Random): AnswerKind {
  const entries = Object.entries(weights) as Array<[AnswerKind, number]>
  let left = random() * entries.reduce((sum, [, weight]) => sum + weight, 0)
  for (const [kind, weight] of entries) {
    left -= weight
    if (left < 0) return kind
  }
  return 'prompt'
}

function drawDelay (kind: AnswerKind, limitMs: number, random: Random): number {
  if (kind === 'late') return limitMs * drawBetween(lateShare, random)
  if (kind === 'lastMoment') return Math.max(0, limitMs - drawBetween(lastMomentMs, random))
  if (kind === 'reset') return limitMs * drawBetween({ min: 0, max: 0.3 }, random)
  return promptDelayMs * random()
}

/** Draws a pause with which the answer is complete within the limit. */
function drawPause (kind: AnswerKind, limitMs: number, random: Random): number {
  if (kind === 'headFirst') return limitMs * drawBetween({ min: 0.1, max: 0.6 }, random)
  if (kind === 'chunked') return limitMs * drawBetween({ min: 0.01, max: 0.1 }, random)
  return 0
}

function drawBetween ({ min, max }: { readonly min: number, readonly max: number }, random: Random): number {
  return min + random() * (max - min)
}
