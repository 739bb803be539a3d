/** Loads charts from files. The only module of this package that reads the file system. */
import { existsSync, readFileSync } from 'node:fs'
import { compileChart, parseChart } from '../core/chart.js'
import type { Chart } from '../core/chart.js'

/** The charts are in this package's folder, or next to the bundle that contains this module. */
const chartFolders = ['../../../charts/', './charts/'].map(path => new URL(path, import.meta.url))
const chartFolder = chartFolders.find(folder => existsSync(folder)) ?? chartFolders[0]

/** Names of the charts in the `charts` folder. */
export type ChartName = 'agreementRole' | 'answerStream' | 'attempt' | 'claim' | 'connection' | 'crashingRequest' | 'drain' | 'rollout' | 'server' | 'shift' | 'vm'

/**
 * Reads, checks and expands one chart.
 *
 * @throws LynxError `badChart` with the file and the path of the invalid value
 */
export function loadChart (name: ChartName): Chart {
  const file = new URL(`${name}.yaml`, chartFolder)
  return compileChart(parseChart(readFileSync(file, 'utf8'), `${name}.yaml`))
}
