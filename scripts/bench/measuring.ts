/** Helpers that benches share: child processes, processor time and memory, straight lines. */
import type { ChildProcess } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { request } from 'undici'
import { forkScript } from '../support/processes.js'
import type { VmPlan } from '../support/topology.js'
import type { LoadOrder, LoadResult } from './loadClient.js'

/** Clock ticks a second in /proc; fixed on Linux. */
const ticksPerSecond = 100

/** Sends an order to a child and waits for its answer. */
export async function askChild<Answer> (child: ChildProcess, order: object): Promise<Answer> {
  const answer = new Promise<Answer>((resolve, reject) => {
    child.once('message', (message: Answer & { error?: string }) => message.error === undefined ? resolve(message) : reject(new Error(message.error)))
  })
  child.send(order)
  return await answer
}

/** Runs load clients, each a process, and adds up what they got. */
export async function runLoad (order: LoadOrder, processes: number): Promise<LoadResult> {
  const children = Array.from({ length: processes }, () => forkScript('../bench/loadClient.js', []))
  const share = { ...order, connections: Math.max(1, Math.floor(order.connections / processes)) }
  const results = await Promise.all(children.map(async child => await askChild<LoadResult>(child, share)))
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

/** Processor time that a process has used, in seconds. */
export function cpuSeconds (pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond
}

/** Resident memory of a process in MB. */
export function residentMb (pid: number): number {
  const line = readFileSync(`/proc/${pid}/status`, 'utf8').split('\n').find(text => text.startsWith('VmRSS'))
  return Number(/(\d+)/.exec(line ?? '')?.[1] ?? NaN) / 1024
}

/** A metric of a daemon, summed over labels that match. */
export async function metric (plan: Pick<VmPlan, 'metrics'>, name: string, label = ''): Promise<number> {
  const res = await request(`http://${plan.metrics}/metrics`)
  const lines = (await res.body.text()).split('\n').filter(line => line.startsWith(name) && line.includes(label) && !line.startsWith('#'))
  return lines.reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0)
}

/** A straight line through points by least squares. */
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

/** Rounds to so many significant digits. */
export function round (value: number, digits = 3): number {
  return Number(value.toPrecision(digits))
}
