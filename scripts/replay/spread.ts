/** Mean and spread of figures over the seeds of a replay. */
import type { Figures } from '@lynxcourse/replay'

type NumberName = { [Name in keyof Figures]: Figures[Name] extends number ? Name : never }[keyof Figures]

const numberNames: readonly NumberName[] = ['benefit', 'worstTwoSeconds', 'inTime', 'late', 'refused', 'failed', 'p50Ms', 'p99Ms', 'coldPart', 'farPart', 'openedPart', 'shedPart']

/** One figure over all seeds. */
interface Spread {
  readonly figure: string
  readonly mean: string
  readonly least: string
  readonly most: string
}

/** A row for each figure, those by route, region and cause of cold work after the others. */
export function spreadRows (runs: readonly Figures[]): Spread[] {
  const rows = numberNames.map(name => spreadOf(name, runs.map(run => run[name])))
  for (const group of ['byRoute', 'byRegion', 'cold'] as const) {
    const names = new Set(runs.flatMap(run => Object.keys(run[group])))
    for (const name of names) rows.push(spreadOf(`${group} ${name}`, runs.map(run => run[group][name] ?? 0)))
  }
  return rows
}

/** The mean of each single figure. */
export function meanOf (runs: readonly Figures[]): Record<NumberName, number> {
  return Object.fromEntries(numberNames.map(name => [name, mean(runs.map(run => run[name]))])) as Record<NumberName, number>
}

function spreadOf (figure: string, values: readonly number[]): Spread {
  const [average, least, most] = [mean(values), Math.min(...values), Math.max(...values)].map(value => value.toFixed(3)) as [string, string, string]
  return { figure, mean: average, least, most }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}
