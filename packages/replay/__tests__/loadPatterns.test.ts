/** Demanding load patterns, replayed against the placement decisions. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { replayPattern, readPattern } from '@lynxcourse/replay'
import type { Figures } from '@lynxcourse/replay'
import { createSmallPattern } from './support/smallPattern.js'

const seeds = [1, 2, 3]
const patterns = join(dirname(fileURLToPath(import.meta.url)), '..', '..', '..', '..', 'scripts', 'replay', 'patterns')

function computeMean (runs: readonly Figures[], getValue: (run: Figures) => number): number {
  return runs.reduce((sum, run) => sum + getValue(run), 0) / runs.length
}

/*
 * Guards against a region plan that is based on the first demand seen alone. The south region has a tenth of the servers and a third of
 * the callers. At the minimum of its wave 71 slots are busy, at the peak 210 of 225. A plan made at the minimum moves three
 * quarters of the region's objects back to its own servers, where each object is cold once. At the first peak, half of the
 * requests at these servers then wait for 0.5 s or more: the region's callers earn 0.69 of their benefit, those of the other
 * regions 0.81 and 0.86, while seven of ten slots of the fleet are free.
 */
test('callers of a region with few servers earn about as much benefit as the others, from the first peak of their demand on', () => {
  const runs = seeds.map(seed => replayPattern(createSmallPattern({ seconds: 36 }), seed))
  const [north, south, west] = ['north', 'south', 'west'].map(region => computeMean(runs, run => run.byRegion[region] ?? 0)) as [number, number, number]
  assert.ok(south >= 0.9 * (north + west) / 2, `south ${south}, north ${north}, west ${west}`)
})

/*
 * Guards against objects that move between servers too often. If a server is published as full whenever all its slots are in use,
 * the VMs act on updates that are one to two seconds old while a request takes a third of a second, and weights move one of eight
 * objects per second. Each move costs four times the slot time of a warm request and fills the next server, which is then
 * published as full in turn. As many requests then find their object cold after a move as on its first use: 0.040 of all.
 */
test('objects stay at their servers: at most two requests find a moved object cold for every three first uses of an object', () => {
  const runs = [replayPattern({ ...readPattern(join(patterns, 'uneven-regions.yaml')), seconds: 24 }, 1)]
  const first = computeMean(runs, run => run.cold.first ?? 0)
  const moved = computeMean(runs, run => Object.entries(run.cold).filter(([cause]) => cause.startsWith('moved')).reduce((sum, [, part]) => sum + part, 0))
  assert.ok(moved <= first * 2 / 3, `moved ${moved}, first ${first}`)
})
