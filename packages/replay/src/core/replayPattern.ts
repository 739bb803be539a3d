/** Plays a pattern to its end. */
import type { Millis } from '@lynxcourse/base'
import { runUntil } from '@lynxcourse/base/timeline'
import type { Mechanism } from '@lynxcourse/placement'
import type { Pattern } from '../types/pattern.js'
import { startCallers } from './callerModel.js'
import { planDisturbances } from './disturbances.js'
import { startExchanges } from './loadExchange.js'
import { figuresOf } from './score.js'
import type { Figures } from './score.js'
import { createWorld } from './world.js'

/** Time in which the last requests end. */
const drainMs: Millis = 15_000

/**
 * Plays a pattern.
 *
 * @param seed equal seeds give equal figures
 * @param without mechanisms that are left out
 */
export function replayPattern (pattern: Pattern, seed: number, without: ReadonlySet<Mechanism> = new Set()): Figures {
  const world = createWorld(pattern, seed, without)
  startExchanges(world)
  planDisturbances(world)
  startCallers(world)
  runUntil(world.timeline, pattern.seconds * 1000 + drainMs)
  return figuresOf(world.score)
}
