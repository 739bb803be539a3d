/** `npm run replay -- PATTERN`: replays a load pattern against the placement decisions of entry VMs, in virtual time. */
import { readdirSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Command, InvalidArgumentError } from 'commander'
import { isLynxError } from '@lynxcourse/base'
import { isMechanism, mechanisms } from '@lynxcourse/placement'
import type { Mechanism } from '@lynxcourse/placement'
import { replayPattern, readPattern } from '@lynxcourse/replay'
import type { Figures, Pattern } from '@lynxcourse/replay'
import { plotSeconds } from './replay/plot.js'
import { computeMeans, buildSpreadRows } from './replay/spread.js'
import { printTable } from './support/tables.js'

/** Exit code for invalid arguments or files; the operators' command line uses the same code. */
const exitBadInput = 2
const defaultSeeds = 5

interface Options {
  readonly seeds: number
  readonly without: ReadonlySet<Mechanism>
  readonly json?: true
  readonly svg?: string
}

function parseCount (text: string): number {
  const count = Number(text)
  if (!Number.isInteger(count) || count < 1) throw new InvalidArgumentError('is not a positive integer.')
  return count
}

function parseMechanisms (text: string): Set<Mechanism> {
  return new Set(text.split(',').map(name => {
    if (!isMechanism(name)) throw new InvalidArgumentError(`'${name}' is not one of ${Object.keys(mechanisms).join(', ')}.`)
    return name
  }))
}

const patternsFolder = join(dirname(fileURLToPath(import.meta.url)), '..', 'replay', 'patterns')

const program = new Command('replay')
  .description(`Replays a load pattern: a file, or one of ${readdirSync(patternsFolder).map(file => file.replace('.yaml', '')).join(', ')}.`)
  .argument('<pattern>', 'name or file')
  .option('--seeds <count>', 'number of runs, each with its own seed', parseCount, defaultSeeds)
  .option('--without <names>', 'mechanisms to turn off, separated by commas', parseMechanisms, new Set<Mechanism>())
  .option('--json', 'print the figures of each run as JSON')
  .option('--svg <file>', 'write a plot of the benefit over time')
  .exitOverride(err => process.exit(err.exitCode === 0 ? 0 : exitBadInput))

function playSeeds (pattern: Pattern, { seeds, without }: Options): Figures[] {
  return Array.from({ length: seeds }, (_, index) => {
    const figures = replayPattern(pattern, index + 1, without)
    process.stderr.write(`seed ${index + 1} of ${seeds}: benefit ${figures.benefit.toFixed(3)}\n`)
    return figures
  })
}

function main (): void {
  program.parse()
  const options = program.opts<Options>()
  const [name = ''] = program.args
  const pattern = readPattern(name.includes('/') || name.endsWith('.yaml') ? name : join(patternsFolder, `${name}.yaml`))
  const runs = playSeeds(pattern, options)
  if (options.svg !== undefined) writeFileSync(options.svg, plotSeconds(pattern.name, runs.map(run => run.bySecond)))
  if (options.json === true) process.stdout.write(`${JSON.stringify({ pattern: pattern.name, without: [...options.without], mean: computeMeans(runs), runs })}\n`)
  else printTable(`${pattern.name}: ${pattern.about}`, buildSpreadRows(runs))
}

try {
  main()
} catch (err) {
  if (!isLynxError(err)) throw err
  process.stderr.write(`${err.message}\n`)
  process.exitCode = exitBadInput
}
