/** Load patterns at their worst, replayed against the decisions that answer them. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { replayPattern, readPattern } from '@lynxcourse/replay'
import type { Figures } from '@lynxcourse/replay'
import { smallPattern } from './support/smallPattern.js'

const seeds = [1, 2, 3]
const patterns = join(dirname(fileURLToPath(import.meta.url)), '..', '..', '..', '..', 'scripts', 'replay', 'patterns')

function meanOf (runs: readonly Figures[], valueOf: (run: Figures) => number): number {
  return runs.reduce((sum, run) => sum + valueOf(run), 0) / runs.length
}

/*
 * A region with a tenth of the servers and a third of the callers was first seen at the bottom of its swing: 71 slots busy where its
 * height is 210 of 225. By that its plan brought home three quarters of its objects, each of them cold once, and at the first
 * height half of what its servers got waited for half a second and more. Its callers earned 0.69 of their benefit, the others 0.81
 * and 0.86, while seven slots of ten of the whole fleet were free.
 */
test('callers of a region with few servers are served about as well as the others, from the first height of their demand on', () => {
  const runs = seeds.map(seed => replayPattern(smallPattern({ seconds: 36 }), seed))
  const [north, south, west] = ['north', 'south', 'west'].map(region => meanOf(runs, run => run.byRegion[region] ?? 0)) as [number, number, number]
  assert.ok(south >= 0.9 * (north + west) / 2, `south ${south}, north ${north}, west ${west}`)
})

/*
 * As many requests found their object cold since it had moved as since nobody had asked for it yet, 0.040 of all: a server was named to all VMs as full when its
 * slots were taken, by word that was one to two seconds old where work takes a third of a second, and weights moved an object of eight in a second.
 * Each object that moved took four times its slot time once more, and filled the servers that it came to, which were named in turn.
 */
test('objects keep their servers: for three first touches at most two requests find their object cold since it moved', () => {
  const runs = [replayPattern({ ...readPattern(join(patterns, 'uneven-regions.yaml')), seconds: 24 }, 1)]
  const first = meanOf(runs, run => run.cold.first ?? 0)
  const moved = meanOf(runs, run => Object.entries(run.cold).filter(([cause]) => cause.startsWith('moved')).reduce((sum, [, part]) => sum + part, 0))
  assert.ok(moved <= first * 2 / 3, `moved ${moved}, first ${first}`)
})
