/** Computes the mean, minimum and maximum of each figure over the seeds of a replay. */
import type { Figures } from '@lynxcourse/replay'

type NumericFigure = { [Name in keyof Figures]: Figures[Name] extends number ? Name : never }[keyof Figures]

const numericFigures: readonly NumericFigure[] = ['benefit', 'worstTwoSeconds', 'worstRegion', 'served', 'nines', 'inTime', 'late', 'refused', 'failed', 'p50Ms', 'p99Ms', 'coldPart', 'farPart', 'openedPart', 'shedPart', 'limitUsedPart', 'limitWindowPart', 'pausedRequests']

/** Mean, minimum and maximum of one figure over all seeds. */
interface Spread {
  readonly figure: string
  readonly mean: string
  readonly least: string
  readonly most: string
}

/** Builds a row for each figure. The figures by route, by region and by cause of cold work come last. */
export function buildSpreadRows (runs: readonly Figures[]): Spread[] {
  const rows = numericFigures.map(name => computeSpread(name, runs.map(run => run[name])))
  for (const group of ['byRoute', 'byRegion', 'lost', 'cold'] as const) {
    const names = new Set(runs.flatMap(run => Object.keys(run[group])))
    for (const name of names) rows.push(computeSpread(`${group} ${name}`, runs.map(run => run[group][name] ?? 0)))
  }
  return rows
}

/** Computes the mean of each figure that is a single number. */
export function computeMeans (runs: readonly Figures[]): Record<NumericFigure, number> {
  return Object.fromEntries(numericFigures.map(name => [name, mean(runs.map(run => run[name]))])) as Record<NumericFigure, number>
}

function computeSpread (figure: string, values: readonly number[]): Spread {
  const [average, least, most] = [mean(values), Math.min(...values), Math.max(...values)].map(value => value.toFixed(3)) as [string, string, string]
  return { figure, mean: average, least, most }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}
