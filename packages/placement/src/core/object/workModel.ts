/** How long requests of a route take at a server, warm and cold, learned from answers. */
import type { Millis } from '@lynxcourse/base'

/** Learned times of one route at one service. */
export interface WorkTimes {
  coldMs: Millis
  warmMs: Millis
  /** What nearly all of it takes at most, cut work included; servers are doubted by it. */
  longestMs: Millis
}

/** By route and service. */
export type WorkModel = Map<string, WorkTimes>

/** Before the first answers: cold work takes about the latency objective, warm work less than half. */
const firstColdPart = 0.8
const firstWarmPart = 0.35
/** Before the first answers, when all objects are cold: a server that is doubted for less sends its objects on to be cold elsewhere. */
const firstLongestPart = 1.6
const smoothing = 0.05
/** Warm work falls faster than it rises: waits that nobody told of lengthen answers, nothing shortens them. */
const warmRiseSmoothing = 0.02
/** Answers beyond this many times what is expected tell of the server, not of the work. */
const maxRatio = 2.5
/** The longest work is followed up by a third and down by a hundredth of each answer: ten longer ones of a thousand hold it up. */
const longestRiseSmoothing = 0.3
const longestFallSmoothing = 0.01

export function workOf (model: WorkModel, key: string, aimMs: Millis): WorkTimes {
  const known = model.get(key)
  if (known !== undefined) return known
  const times = { coldMs: aimMs * firstColdPart, warmMs: aimMs * firstWarmPart, longestMs: aimMs * firstLongestPart }
  model.set(key, times)
  return times
}

/** Learns from one answer that had a slot at once. */
export function learnWork (times: WorkTimes, wasWarm: boolean, tookMs: Millis): void {
  const expected = wasWarm ? times.warmMs : times.coldMs
  if (tookMs > expected * maxRatio) return
  if (!wasWarm) learnLongest(times, tookMs)
  if (wasWarm) times.warmMs += (tookMs - expected) * (tookMs > expected ? warmRiseSmoothing : smoothing)
  else times.coldMs += (tookMs - expected) * smoothing
}

/**
 * Learns from work that was cut after so long: it takes at least that. Learned from answers alone, work that hardly ends within
 * its route's timeout looks shorter than it is, and its servers look as if they had failed.
 */
export function learnCutWork (times: WorkTimes, tookMs: Millis): void {
  if (tookMs > times.longestMs) learnLongest(times, tookMs)
}

function learnLongest (times: WorkTimes, tookMs: Millis): void {
  const change = tookMs - times.longestMs
  times.longestMs += change * (change > 0 ? longestRiseSmoothing : longestFallSmoothing)
}
