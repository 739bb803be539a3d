/** How long requests of a route take at a server, warm and cold, learned from answers. */
import type { Millis } from '@lynxcourse/base'

/** Learned times of one route at one service. */
export interface WorkTimes {
  coldMs: Millis
  warmMs: Millis
}

/** By route and service. */
export type WorkModel = Map<string, WorkTimes>

/** Before the first answers: cold work takes about the latency objective, warm work less than half. */
const firstColdPart = 0.8
const firstWarmPart = 0.35
const smoothing = 0.05
/** Warm work falls faster than it rises: waits that nobody told of lengthen answers, nothing shortens them. */
const warmRiseSmoothing = 0.02
/** Answers beyond this many times what is expected tell of the server, not of the work. */
const maxRatio = 2.5

export function workOf (model: WorkModel, key: string, aimMs: Millis): WorkTimes {
  const known = model.get(key)
  if (known !== undefined) return known
  const times = { coldMs: aimMs * firstColdPart, warmMs: aimMs * firstWarmPart }
  model.set(key, times)
  return times
}

/** Learns from one answer that had a slot at once. */
export function learnWork (times: WorkTimes, wasWarm: boolean, tookMs: Millis): void {
  const expected = wasWarm ? times.warmMs : times.coldMs
  if (tookMs > expected * maxRatio) return
  if (wasWarm) times.warmMs += (tookMs - expected) * (tookMs > expected ? warmRiseSmoothing : smoothing)
  else times.coldMs += (tookMs - expected) * smoothing
}
