/** Helpers that the benchmarks share: child processes, processor time, memory, metrics and line fits. */
import type { ChildProcess } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { request } from 'undici'
import { forkScript } from '../support/processes.js'
import type { VmPlan } from '../support/topology.js'
import type { LoadCommand, LoadResult } from './loadClient.js'

/** Clock ticks per second in `/proc/PID/stat`; constant on Linux. */
const ticksPerSecond = 100

/** Sends a command to a child process and waits for its reply. */
export async function sendCommand<Reply> (child: ChildProcess, command: object): Promise<Reply> {
  const reply = new Promise<Reply>((resolve, reject) => {
    child.once('message', (message: Reply & { error?: string }) => message.error === undefined ? resolve(message) : reject(new Error(message.error)))
  })
  child.send(command)
  return await reply
}

/** Runs load clients in separate processes and combines their results: the mean of the medians, the maximum of the p99. */
export async function runLoad (command: LoadCommand, processes: number): Promise<LoadResult> {
  const children = Array.from({ length: processes }, () => forkScript('../bench/loadClient.js', []))
  const commandPerProcess = { ...command, connections: Math.max(1, Math.floor(command.connections / processes)) }
  const results = await Promise.all(children.map(async child => await sendCommand<LoadResult>(child, commandPerProcess)))
  for (const child of children) child.kill()
  const sum = (pick: (result: LoadResult) => number): number => results.reduce((total, result) => total + pick(result), 0)
  return {
    answers: sum(result => result.answers),
    errors: sum(result => result.errors),
    seconds: sum(result => result.seconds) / results.length,
    p50: sum(result => result.p50) / results.length,
    p99: Math.max(...results.map(result => result.p99))
  }
}

/** Returns the processor time that a process has used, in seconds. */
export function getCpuSeconds (pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond
}

/** Returns the resident memory of a process in MB. */
export function getResidentMb (pid: number): number {
  const line = readFileSync(`/proc/${pid}/status`, 'utf8').split('\n').find(text => text.startsWith('VmRSS'))
  return Number(/(\d+)/.exec(line ?? '')?.[1] ?? NaN) / 1024
}

/** Reads a metric of a daemon, summed over all series whose line contains `label`. */
export async function readMetric (plan: Pick<VmPlan, 'metrics'>, name: string, label = ''): Promise<number> {
  const res = await request(`http://${plan.metrics}/metrics`)
  const lines = (await res.body.text()).split('\n').filter(line => line.startsWith(name) && line.includes(label) && !line.startsWith('#'))
  return lines.reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0)
}

/** A straight line fitted to points by least squares. */
export interface Line {
  readonly slope: number
  readonly intercept: number
  /** Coefficient of determination: 1 when the points lie on the line. */
  readonly r2: number
}

export function fitLine (points: ReadonlyArray<readonly [number, number]>): Line {
  const n = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / n
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n
  const sxx = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const sxy = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const syy = points.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0)
  const slope = sxx === 0 ? 0 : sxy / sxx
  const r2 = sxx === 0 || syy === 0 ? 1 : sxy ** 2 / (sxx * syy)
  return { slope, intercept: meanY - slope * meanX, r2 }
}

/** Rounds a value to `digits` significant digits. */
export function round (value: number, digits = 3): number {
  return Number(value.toPrecision(digits))
}
