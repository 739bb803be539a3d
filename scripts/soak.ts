/**
 * Runs the fault soak: starts real daemons as separate processes, injects faults from outside and checks the system's
 * promises against what callers, servers and operators observe. Exits with code 1 if a promise was broken.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Command, InvalidArgumentError } from 'commander'
import { getErrorMessage } from '@lynxcourse/base'
import { planSoak } from './soak/faultPlan.js'
import type { AbandonedSummary } from './soak/abandonedChecks.js'
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

function parsePositiveInt (text: string): number {
  const value = Number(text)
  if (!Number.isInteger(value) || value < 1) throw new InvalidArgumentError('expected a whole number of at least 1')
  return value
}

const options = new Command('soak')
  .description('Injects random faults into real daemons; the same seed draws the same faults.')
  .option('--seed <n>', 'first seed', parsePositiveInt, 1)
  .option('--seeds <n>', 'number of seeds to run, one after the other', parsePositiveInt, 1)
  .option('--minutes <n>', 'run new seeds for this many minutes instead', parsePositiveInt)
  .option('--series <n>', 'number of fault series in one run, 13 s each', parsePositiveInt, 3)
  .option('--controls <n>', 'number of control VMs', parsePositiveInt, 5)
  .option('--entries <n>', 'number of entry VMs', parsePositiveInt, 6)
  .option('--servers <n>', 'number of backend servers', parsePositiveInt, 12)
  .option('--folder <folder>', 'folder for state and logs; default: a temporary folder, kept only for failed runs')
  .parse()
  .opts<Options>()

async function runSeed (seed: number): Promise<SoakResult> {
  const size = { controls: options.controls, entries: options.entries, servers: options.servers, domains: 6 }
  const folder = options.folder === undefined ? mkdtempSync(join(tmpdir(), `lynx-soak-${seed}-`)) : join(options.folder, `seed-${seed}`)
  const result = await runSoak(planSoak(seed, size, options.series), size, folder).catch((err: unknown): SoakResult => createFailedResult(seed, err))
  const formatPercent = (fraction: number): string => `${(fraction * 100).toFixed(1)} %`
  process.stdout.write(`seed ${seed}: ${result.violations.length === 0 ? 'kept' : 'BROKEN'}  ${result.steps} steps, ${result.requests} requests, served ${formatPercent(result.servedShare)}, after the last fault ${formatPercent(result.finalServedShare)}\n`)
  if (result.gone !== undefined) process.stdout.write(formatAbandoned(result.gone))
  if (result.longestStallMs !== undefined && result.longestStallMs > 0) process.stdout.write(`  the soak's own process was late by up to ${Math.round(result.longestStallMs)} ms\n`)
  for (const line of result.violations.slice(0, 20)) process.stdout.write(`  ${line}\n`)
  if (result.violations.length > 0) process.stdout.write(`  logs: ${folder}\n`)
  else if (options.folder === undefined) rmSync(folder, { recursive: true, force: true })
  return result
}

function formatAbandoned ({ left, unread, late, longRunning, stillRunning }: AbandonedSummary): string {
  return `  callers left ${left} requests, ${unread} of them unread by their VM: ${late.length} reached servers late, ${stillRunning.length} of ${longRunning} long requests kept running\n`
}

/** Returns the result of a run that did not finish. Such a run proves nothing, so it counts as a violation. */
function createFailedResult (seed: number, err: unknown): SoakResult {
  return { seed, violations: [`the run did not finish: ${getErrorMessage(err)}`], requests: 0, servedShare: 0, finalServedShare: 0, steps: 0, gone: undefined, longestStallMs: undefined }
}

async function main (): Promise<void> {
  const endAt = options.minutes === undefined ? undefined : Date.now() + options.minutes * 60_000
  const firstSeed = endAt === undefined ? options.seed : Date.now() % 1_000_000_000
  const results: SoakResult[] = []
  for (let offset = 0; endAt === undefined ? offset < options.seeds : Date.now() < endAt; offset++) results.push(await runSeed(firstSeed + offset))
  const failedSeeds = results.filter(result => result.violations.length > 0).map(result => result.seed)
  process.stdout.write(`${results.length} runs, ${failedSeeds.length} with a broken promise${failedSeeds.length === 0 ? '' : `: ${failedSeeds.join(' ')}`}\n`)
  process.exit(failedSeeds.length === 0 ? 0 : 1)
}

await main()
