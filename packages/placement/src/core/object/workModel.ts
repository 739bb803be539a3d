/** Learns from answers how long requests of a route run at a server, warm and cold. */
import type { Millis } from '@lynxcourse/base'

/** Learned times of one route at one service. */
export interface WorkTimes {
  coldMs: Millis
  warmMs: Millis
  /** Upper estimate for nearly all requests, including timed-out ones. A server is suspected when it takes longer. */
  longestMs: Millis
}

/** Work times by route and service. */
export type WorkModel = Map<string, WorkTimes>

/**
 * Before the first answers, as fractions of the latency objective: cold work takes nearly all of it, warm work less
 * than half.
 */
const initialColdRatio = 0.8
const initialWarmRatio = 0.35
/**
 * The same for the upper estimate. All objects are cold then, and a server that is suspected too early loses its
 * objects to others, where they are cold again.
 */
const initialLongestRatio = 1.6
const smoothing = 0.05
/** The warm time falls faster than it rises: unreported waits lengthen answers, and nothing shortens them. */
const warmRiseSmoothing = 0.02
/**
 * An answer that takes longer than this multiple of the expected time indicates a problem of the server, not longer
 * work.
 */
const maxOutlierRatio = 2.5
/**
 * The upper estimate moves by a third of the difference to a longer answer, and by a hundredth of that to a shorter
 * one. Ten longer answers in a thousand keep it up.
 */
const longestRiseSmoothing = 0.3
const longestFallSmoothing = 0.01

export function getWorkTimes (model: WorkModel, key: string, objectiveMs: Millis): WorkTimes {
  const known = model.get(key)
  if (known !== undefined) return known
  const times = { coldMs: objectiveMs * initialColdRatio, warmMs: objectiveMs * initialWarmRatio, longestMs: objectiveMs * initialLongestRatio }
  model.set(key, times)
  return times
}

/** Updates the times after an answer to a request that got a slot at once. */
export function recordWorkTime (times: WorkTimes, wasWarm: boolean, tookMs: Millis): void {
  const expected = wasWarm ? times.warmMs : times.coldMs
  if (tookMs > expected * maxOutlierRatio) return
  if (!wasWarm) updateLongest(times, tookMs)
  if (wasWarm) times.warmMs += (tookMs - expected) * (tookMs > expected ? warmRiseSmoothing : smoothing)
  else times.coldMs += (tookMs - expected) * smoothing
}

/**
 * Updates the upper estimate after work that timed out: it takes at least that long. If only answers counted, work that
 * barely fits into its route's timeout would look shorter than it is, and its servers would look failed.
 */
export function recordTimedOutWork (times: WorkTimes, tookMs: Millis): void {
  if (tookMs > times.longestMs) updateLongest(times, tookMs)
}

function updateLongest (times: WorkTimes, tookMs: Millis): void {
  const change = tookMs - times.longestMs
  times.longestMs += change * (change > 0 ? longestRiseSmoothing : longestFallSmoothing)
}
