/** Random source with a seed, so that a run can be repeated; by `pure-rand`. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'

/** Draws a number in [0, 1). */
export type Random = () => number

const steps = 0x7fffffff

/**
 * Makes a random source.
 *
 * @param seed any integer; equal seeds give equal sequences
 */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed | 0)
  return () => uniformInt(generator, 0, steps - 1) / steps
}
