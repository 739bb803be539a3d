/** Reads charts from files. The only module of this package that touches the disk. */
import { existsSync, readFileSync } from 'node:fs'
import { expandChart, parseChart } from '../core/chart.js'
import type { Chart } from '../core/chart.js'

/** The charts lie in this package's folder, or beside a bundle that holds this module. */
const chartFolders = ['../../../charts/', './charts/'].map(path => new URL(path, import.meta.url))
const chartFolder = chartFolders.find(folder => existsSync(folder)) ?? chartFolders[0]

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
