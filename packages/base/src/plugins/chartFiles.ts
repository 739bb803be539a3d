/** Reads charts from files. The only module of this package that touches the disk. */
import { readFileSync } from 'node:fs'
import { expandChart, parseChart } from '../core/chart.js'
import type { Chart } from '../core/chart.js'

const chartFolder = new URL('../../../charts/', import.meta.url)

/** Names of the charts that this project ships. */
export type ChartName = 'agreementRole' | 'attempt' | 'claim' | 'connection' | 'drain' | 'server' | 'shift' | 'vm'

/**
 * Reads, checks and expands one chart.
 *
 * @throws LynxError `badChart` naming the file and the place
 */
export function loadChart (name: ChartName): Chart {
  const file = new URL(`${name}.yaml`, chartFolder)
  return expandChart(parseChart(readFileSync(file, 'utf8'), `${name}.yaml`))
}
