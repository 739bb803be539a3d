/** The figures of a run. */
import { fitLine, round } from './measuring.js'
import type { Line } from './measuring.js'

/** One slope with its points. */
export interface Slope {
  readonly name: string
  readonly unit: string
  readonly per: string
  readonly points: ReadonlyArray<readonly [number, number]>
  readonly line: Line
}

/** All figures of one run; the page is made from these alone. */
export interface CapacityFigures {
  readonly date: string
  readonly machine: { readonly cores: number, readonly node: string }
  readonly quick: boolean
  readonly slopes: Slope[]
  readonly single: Record<string, number>
}

export function slope (figures: CapacityFigures, name: string, unit: string, per: string, points: ReadonlyArray<readonly [number, number]>): void {
  figures.slopes.push({ name, unit, per, points: points.map(([x, y]) => [x, round(y, 4)] as const), line: fitLine(points) })
}
