/** The figures of one run of the capacity benchmark. */
import { fitLine, round } from './measure.js'
import type { Line } from './measure.js'

/** A measured slope: the points and the line fitted to them. */
export interface Slope {
  readonly name: string
  readonly unit: string
  readonly per: string
  readonly points: ReadonlyArray<readonly [number, number]>
  readonly line: Line
}

/** All figures of one run; the page is generated from these alone. */
export interface CapacityFigures {
  readonly date: string
  readonly machine: { readonly cores: number, readonly node: string }
  readonly quick: boolean
  readonly slopes: Slope[]
  readonly single: Record<string, number>
}

/** Fits a line to the points and adds it to the figures. */
export function recordSlope (figures: CapacityFigures, name: string, unit: string, per: string, points: ReadonlyArray<readonly [number, number]>): void {
  figures.slopes.push({ name, unit, per, points: points.map(([x, y]) => [x, round(y, 4)] as const), line: fitLine(points) })
}
