/** Formats results as tables for the terminal. */
import { formatTable } from '@lynxcourse/cli'
import type { Row } from '@lynxcourse/cli'
import type { CallResult } from './callers.js'

/** Returns the value below which the given fraction (0 to 1) of the values lies; NaN without values. */
export function percentile (values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? NaN
}

/** Prints a table under a title. */
export function printTable (title: string, rows: readonly object[]): void {
  const first = rows[0]
  process.stdout.write(`\n${title}\n`)
  if (first === undefined) process.stdout.write('  none\n')
  else process.stdout.write(`${formatTable(rows as readonly Row[], Object.keys(first))}\n`)
}

/** Counts calls by kind, outcome and status. */
export function countOutcomes (results: readonly CallResult[]): object[] {
  const counts = new Map<string, number>()
  for (const { kind, outcome, status } of results) {
    const key = `${kind} ${outcome} ${status}`
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return [...counts].sort().map(([key, count]) => {
    const [kind, outcome, status] = key.split(' ')
    return { kind, outcome, status, count }
  })
}
