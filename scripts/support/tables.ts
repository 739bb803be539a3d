/** Tables of results for the terminal. */
import { formatTable } from '@lynxcourse/cli'
import type { Row } from '@lynxcourse/cli'
import type { CallResult } from './callers.js'

/** The value below which a share of the values lies; NaN without values. */
export function percentile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN
}

/** Prints a table under a title. */
export function printTable (title: string, rows: readonly object[]): void {
  const first = rows[0]
  process.stdout.write(`\n${title}\n`)
  if (first === undefined) process.stdout.write('  none\n')
  else process.stdout.write(`${formatTable(rows as readonly Row[], Object.keys(first))}\n`)
}

/** Calls by kind and outcome. */
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
