/**
 * Runs the fault soak: the real daemons as processes of their own, with faults from outside, and the
 * promises checked by what callers, servers and operators see. Exit code 1 if one was broken.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Command, InvalidArgumentError } from 'commander'
import { getErrorMessage } from '@lynxcourse/base'
import { planSoak } from './soak/faultPlan.js'
import type { GoneSeen } from './soak/goneChecks.js'
import { runSoak } from './soak/soakRun.js'
import type { SoakResult } from './soak/soakRun.js'

interface Options {
  readonly seeds: number
  readonly seed: number
  readonly minutes?: number
  readonly series: number
  readonly controls: number
  readonly entries: number
  readonly servers: number
  readonly folder?: string
}

function whole (text: string): number {
  const value = Number(text)
  if (!Number.isInteger(value) || value < 1) throw new InvalidArgumentError('expected a whole number from 1')
  return value
}

const options = new Command('soak')
  .description('Plays random faults against real daemons; equal seeds draw equal faults.')
  .option('--seed <n>', 'first seed', whole, 1)
  .option('--seeds <n>', 'seeds to play, one after the other', whole, 1)
  .option('--minutes <n>', 'play fresh seeds for so long instead', whole)
  .option('--series <n>', 'series of faults in one run, 13 s each', whole, 3)
  .option('--controls <n>', 'control VMs', whole, 5)
  .option('--entries <n>', 'entry VMs', whole, 6)
  .option('--servers <n>', 'backend servers', whole, 12)
  .option('--folder <folder>', 'where state and logs stay; default: a temporary folder, kept for runs that fail')
  .parse()
  .opts<Options>()

async function play (seed: number): Promise<SoakResult> {
  const size = { controls: options.controls, entries: options.entries, servers: options.servers, domains: 6 }
  const folder = options.folder === undefined ? mkdtempSync(join(tmpdir(), `lynx-soak-${seed}-`)) : join(options.folder, `seed-${seed}`)
  const result = await runSoak(planSoak(seed, size, options.series), size, folder).catch((err: unknown): SoakResult => notPlayed(seed, err))
  const share = (part: number): string => `${(part * 100).toFixed(1)} %`
  process.stdout.write(`seed ${seed}: ${result.broken.length === 0 ? 'kept' : 'BROKEN'}  ${result.steps} steps, ${result.requests} requests, served ${share(result.servedShare)}, after the last fault ${share(result.lastShare)}\n`)
  if (result.gone !== undefined) process.stdout.write(goneLine(result.gone))
  for (const line of result.broken.slice(0, 20)) process.stdout.write(`  ${line}\n`)
  if (result.broken.length > 0) process.stdout.write(`  logs: ${folder}\n`)
  else if (options.folder === undefined) rmSync(folder, { recursive: true, force: true })
  return result
}

function goneLine ({ left, unread, late, lasting, atWork }: GoneSeen): string {
  return `  callers left ${left} requests, ${unread} of them unread: ${late.length} came late, ${atWork.length} of ${lasting} long ones were worked on\n`
}

/** A run that could not be played to its end proves nothing, so it counts as one that broke a promise. */
function notPlayed (seed: number, err: unknown): SoakResult {
  return { seed, broken: [`not played to its end: ${getErrorMessage(err)}`], requests: 0, servedShare: 0, lastShare: 0, steps: 0, gone: undefined }
}

async function main (): Promise<void> {
  const until = options.minutes === undefined ? undefined : Date.now() + options.minutes * 60_000
  const first = until === undefined ? options.seed : Date.now() % 1_000_000_000
  const results: SoakResult[] = []
  for (let place = 0; until === undefined ? place < options.seeds : Date.now() < until; place++) results.push(await play(first + place))
  const failed = results.filter(result => result.broken.length > 0).map(result => result.seed)
  process.stdout.write(`${results.length} runs, ${failed.length} with a broken promise${failed.length === 0 ? '' : `: ${failed.join(' ')}`}\n`)
  process.exit(failed.length === 0 ? 0 : 1)
}

await main()
