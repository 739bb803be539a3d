/**
 * Runs the shutdown rig: stops and reloads real daemons under traffic and checks, by what callers and servers see, that
 * no request is lost. Exits with code 1 if one was lost.
 */
import { fork } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Command, InvalidArgumentError } from 'commander'
import { getErrorMessage } from '@lynxcourse/base'
import { formatLoss, summarize } from './shutdown/lossTable.js'
import { allHabits, planShutdown } from './shutdown/plan.js'
import { runShutdown } from './shutdown/run.js'
import type { ShutdownResult } from './shutdown/run.js'
import type { CallerHabit } from './shutdown/types.js'

interface Options {
  readonly seed: number
  readonly seeds: number
  readonly jobs: number
  readonly entries?: number
  readonly rounds?: number
  readonly habits?: readonly CallerHabit[]
  readonly starve?: boolean
  readonly folder?: string
  readonly lines: number
}

function parseCount (text: string): number {
  const value = Number(text)
  if (!Number.isInteger(value) || value < 0) throw new InvalidArgumentError('expected a whole number')
  return value
}

function parsePositiveCount (text: string): number {
  const value = parseCount(text)
  if (value < 1) throw new InvalidArgumentError('expected a whole number of at least 1')
  return value
}

function parseHabits (text: string): CallerHabit[] {
  return text.split(',').map(name => {
    const habit = allHabits.find(known => known === name)
    if (habit === undefined) throw new InvalidArgumentError(`expected some of ${allHabits.join()}`)
    return habit
  })
}

const options = new Command('shutdown')
  .description('Stops and reloads real daemons under traffic; the same seed draws the same signals.')
  .option('--seed <n>', 'first seed', parsePositiveCount, 1)
  .option('--seeds <n>', 'number of seeds', parsePositiveCount, 1)
  .option('--jobs <n>', 'number of seeds to run at the same time', parsePositiveCount, 1)
  .option('--entries <n>', 'number of entry VMs; drawn by default', parsePositiveCount)
  .option('--rounds <n>', 'number of rounds of stops, 9 s each', parsePositiveCount)
  .option('--habits <names>', `habits of the callers, separated by commas; default: ${allHabits.join()}`, parseHabits)
  .option('--starve', 'pause VMs for short times before some stops')
  .option('--folder <folder>', 'folder for state and logs; default: a temporary folder, kept only for failed runs')
  .option('--lines <n>', 'number of losses to print for each seed', parseCount, 20)
  .parse()
  .opts<Options>()

/** Outcome of one seed; `error` is set if the run did not finish. */
interface Outcome {
  readonly seed: number
  readonly result: ShutdownResult | undefined
  readonly error: string | undefined
}

async function runSeed (seed: number): Promise<Outcome> {
  const folder = options.folder === undefined ? mkdtempSync(join(tmpdir(), `lynx-shutdown-${seed}-`)) : join(options.folder, `seed-${seed}`)
  const outcome = await runPlan(seed, folder)
  process.stdout.write(formatOutcome(outcome, folder))
  if (isKept(outcome) && options.folder === undefined) rmSync(folder, { recursive: true, force: true })
  return outcome
}

async function runPlan (seed: number, folder: string): Promise<Outcome> {
  const plan = planShutdown(seed, { entries: options.entries, rounds: options.rounds, habits: options.habits, starves: options.starve })
  try {
    return { seed, result: await runShutdown(plan, folder), error: undefined }
  } catch (err) {
    return { seed, result: undefined, error: getErrorMessage(err) }
  }
}

/** Whether no request was lost. A run that did not finish proves nothing, so it counts as failed. */
function isKept ({ result }: Outcome): boolean {
  return result !== undefined && result.losses.length === 0
}

function formatOutcome (outcome: Outcome, folder: string): string {
  const { seed, result, error } = outcome
  if (result === undefined) return `seed ${seed}: the run did not finish: ${error}; logs: ${folder}\n`
  const { requests, served, ends, losses, stops, openAtStop, longestStopMs, longestStallMs, excused, otherBroken } = result
  const head = `seed ${seed}: ${isKept(outcome) ? 'kept' : 'BROKEN'}  ${requests} requests, ${served} served, ${losses.length} lost, ${stops} stops with ${openAtStop.toFixed(0)} open requests each, longest ${Math.round(longestStopMs)} ms`
  const lines = [
    `ends: ${formatRecord(ends)}`,
    `cut off beside planned work, no loss: ${formatRecord(excused)}`,
    `cut off without planned work: ${formatRecord(otherBroken)}`,
    ...(longestStallMs > 0 ? [`the rig's own process was late by up to ${Math.round(longestStallMs)} ms`] : []),
    ...formatCounts(summarize(losses)),
    ...losses.slice(0, options.lines).map(formatLoss),
    ...(isKept(outcome) ? [] : [`logs: ${folder}`])
  ]
  return [head, ...lines.map(line => `  ${line}`), ''].join('\n')
}

function formatRecord (counts: Readonly<Partial<Record<string, number>>>): string {
  return Object.entries(counts).map(([name, count]) => `${count} ${name}`).join(', ')
}

function formatCounts (counts: ReadonlyMap<string, number>): string[] {
  return [...counts].map(([key, count]) => `${String(count).padStart(5)}  ${key}`)
}

/** Runs a seed in a process of its own, whose output is printed when it has ended. */
async function forkSeed (seed: number): Promise<Outcome> {
  const args = process.argv.slice(2).filter((_, index, all) => !isSeedOption(all[index]) && !isSeedOption(all[index - 1]))
  const child = fork(fileURLToPath(import.meta.url), [...args, '--seed', String(seed)], { stdio: ['ignore', 'pipe', 'inherit', 'ipc'] })
  let outcome: Outcome = { seed, result: undefined, error: 'the process ended early' }
  const output: Buffer[] = []
  child.on('message', message => { outcome = message as Outcome })
  child.stdout?.on('data', (chunk: Buffer) => output.push(chunk))
  await new Promise<void>(resolve => child.once('close', () => resolve()))
  process.stdout.write(Buffer.concat(output))
  return outcome
}

function isSeedOption (text: string | undefined): boolean {
  return text !== undefined && ['--seed', '--seeds', '--jobs'].includes(text)
}

async function runSeeds (): Promise<Outcome[]> {
  const seeds = Array.from({ length: options.seeds }, (_, offset) => options.seed + offset)
  const outcomes: Outcome[] = []
  const runNext = async (): Promise<void> => {
    for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) outcomes.push(options.jobs > 1 ? await forkSeed(seed) : await runSeed(seed))
  }
  await Promise.all(Array.from({ length: options.jobs }, runNext))
  return outcomes
}

async function main (): Promise<void> {
  const outcomes = await runSeeds()
  const failed = outcomes.filter(outcome => !isKept(outcome)).map(({ seed }) => seed)
  if (process.send !== undefined) process.send(outcomes[0])
  else printTotals(outcomes, failed)
  process.exitCode = failed.length === 0 ? 0 : 1
  process.disconnect?.()
}

function printTotals (outcomes: readonly Outcome[], failed: readonly number[]): void {
  const losses = outcomes.flatMap(({ result }) => result?.losses ?? [])
  for (const line of formatCounts(summarize(losses))) process.stdout.write(`${line}\n`)
  process.stdout.write(`${outcomes.length} runs, ${failed.length} with losses${failed.length === 0 ? '' : `: ${failed.join(' ')}`}\n`)
}

await main()
