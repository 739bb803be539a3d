/** Seeded random source for reproducible runs, based on `pure-rand`. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'

/** Draws a number in [0, 1). */
export type Random = () => number

const resolution = 0x7fffffff

/**
 * Creates a random source.
 *
 * @param seed any integer; equal seeds give equal sequences
 */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed | 0)
  return () => uniformInt(generator, 0, resolution - 1) / resolution
}
