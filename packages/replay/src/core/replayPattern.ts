/** Replays a load pattern from start to end. */
import type { Millis } from '@lynxcourse/base'
import { runUntil } from '@lynxcourse/base/timeline'
import type { Mechanism } from '@lynxcourse/placement'
import type { Pattern } from '../types/pattern.js'
import { startCallers } from './callerModel.js'
import { scheduleDisturbances } from './disturbances.js'
import { startLoadExchange } from './loadExchange.js'
import { computeFigures } from './score.js'
import type { Figures } from './score.js'
import { createWorld } from './world.js'

/** Time that is replayed after the last new request, so that requests in flight complete. */
const drainTimeMs: Millis = 15_000

/**
 * Replays a pattern and returns its figures.
 *
 * @param seed seed of the random source; equal seeds give equal figures
 * @param disabledMechanisms mechanisms of placement that are turned off
 */
export function replayPattern (pattern: Pattern, seed: number, disabledMechanisms: ReadonlySet<Mechanism> = new Set()): Figures {
  const world = createWorld(pattern, seed, disabledMechanisms)
  startLoadExchange(world)
  scheduleDisturbances(world)
  startCallers(world)
  runUntil(world.timeline, pattern.seconds * 1000 + drainTimeMs)
  return computeFigures(world.score, [...world.backends.values()].map(({ pauseUse }) => pauseUse))
}
