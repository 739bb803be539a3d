/** What callers got of a replay. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { Millis } from '@lynxcourse/base'
import type { ColdCause } from './coldCauses.js'

/** How one caller's request ended. */
export interface CallerEnd {
  readonly route: string
  readonly region: string
  readonly startedAt: Millis
  readonly outcome: 'inTime' | 'late' | 'refused' | 'failed'
  /** From the caller's first attempt to its end. */
  readonly tookMs: Millis
  readonly owed: number
  readonly earned: number
}

interface Sums { owed: number, earned: number }

/** Counted while a replay runs. */
export interface Score {
  readonly total: Sums
  readonly byRoute: Map<string, Sums>
  readonly byRegion: Map<string, Sums>
  readonly bySecond: Map<number, Sums>
  readonly outcomes: Record<CallerEnd['outcome'], number>
  readonly took: Histogram
  sends: number
  /** Sends that found their object cold, by cause. */
  readonly cold: Map<ColdCause, number>
  /** Sends that left the region of their VM. */
  farSends: number
  opened: number
  shed: number
}

export function createScore (): Score {
  return {
    total: { owed: 0, earned: 0 },
    byRoute: new Map(),
    byRegion: new Map(),
    bySecond: new Map(),
    outcomes: { inTime: 0, late: 0, refused: 0, failed: 0 },
    took: build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3 }),
    sends: 0,
    cold: new Map(),
    farSends: 0,
    opened: 0,
    shed: 0,
  }
}

/** Counts one request. */
export function noteEnd (score: Score, end: CallerEnd): void {
  score.outcomes[end.outcome] += 1
  score.took.recordValue(Math.max(1, Math.round(end.tookMs)))
  const second = Math.floor(end.startedAt / 1000)
  for (const sums of [score.total, sumsOf(score.byRoute, end.route), sumsOf(score.byRegion, end.region), sumsOf(score.bySecond, second)]) {
    sums.owed += end.owed
    sums.earned += end.earned
  }
}

function sumsOf<Key> (table: Map<Key, Sums>, key: Key): Sums {
  const held = table.get(key)
  if (held !== undefined) return held
  const made = { owed: 0, earned: 0 }
  table.set(key, made)
  return made
}

/** Figures of one replay. */
export interface Figures {
  /** Benefit earned, in parts of what was owed. */
  readonly benefit: number
  readonly byRoute: Readonly<Record<string, number>>
  readonly byRegion: Readonly<Record<string, number>>
  readonly bySecond: readonly number[]
  /** The least benefit of two seconds in a row. */
  readonly worstTwoSeconds: number
  readonly p50Ms: Millis
  readonly p99Ms: Millis
  readonly inTime: number
  readonly late: number
  readonly refused: number
  readonly failed: number
  /** Sends that found their object cold, by cause, in parts of all sends. */
  readonly cold: Readonly<Record<string, number>>
  readonly coldPart: number
  readonly farPart: number
  readonly openedPart: number
  readonly shedPart: number
}

export function figuresOf (score: Score): Figures {
  const { outcomes, took, sends } = score
  const ended = Object.values(outcomes).reduce((sum, value) => sum + value, 0)
  const ofEnded = (value: number): number => value / Math.max(1, ended)
  const ofSends = (value: number): number => value / Math.max(1, sends)
  const seconds = [...score.bySecond].sort(([a], [b]) => a - b).map(([, sums]) => sums)
  return {
    benefit: partOf(score.total),
    byRoute: partsOf(score.byRoute),
    byRegion: partsOf(score.byRegion),
    bySecond: seconds.map(partOf),
    worstTwoSeconds: worstPair(seconds),
    p50Ms: took.getValueAtPercentile(50),
    p99Ms: took.getValueAtPercentile(99),
    inTime: ofEnded(outcomes.inTime),
    late: ofEnded(outcomes.late),
    refused: ofEnded(outcomes.refused),
    failed: ofEnded(outcomes.failed),
    cold: Object.fromEntries([...score.cold].map(([cause, count]) => [cause, ofSends(count)])),
    coldPart: ofSends([...score.cold.values()].reduce((sum, count) => sum + count, 0)),
    farPart: ofSends(score.farSends),
    openedPart: ofSends(score.opened),
    shedPart: ofSends(score.shed)
  }
}

function partOf ({ owed, earned }: Sums): number {
  return owed === 0 ? 1 : earned / owed
}

function partsOf (table: ReadonlyMap<string, Sums>): Record<string, number> {
  return Object.fromEntries([...table].map(([key, sums]) => [key, partOf(sums)]))
}

function worstPair (seconds: readonly Sums[]): number {
  let worst = 1
  for (let second = 0; second + 1 < seconds.length; second++) {
    const [a, b] = [seconds[second] as Sums, seconds[second + 1] as Sums]
    worst = Math.min(worst, partOf({ owed: a.owed + b.owed, earned: a.earned + b.earned }))
  }
  return worst
}
