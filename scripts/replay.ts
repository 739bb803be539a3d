/** `npm run replay -- PATTERN`: plays a load pattern against the decisions of entry VMs, in virtual time. */
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
import { meanOf, spreadRows } from './replay/spread.js'
import { printTable } from './support/tables.js'

/** Wrong arguments or files, as the operators' command line has it. */
const exitBadInput = 2
const defaultSeeds = 5

interface Options {
  readonly seeds: number
  readonly without: ReadonlySet<Mechanism>
  readonly json?: true
  readonly svg?: string
}

function readCount (text: string): number {
  const count = Number(text)
  if (!Number.isInteger(count) || count < 1) throw new InvalidArgumentError('is not a count.')
  return count
}

function readMechanisms (text: string): Set<Mechanism> {
  return new Set(text.split(',').map(name => {
    if (!isMechanism(name)) throw new InvalidArgumentError(`'${name}' is none of ${Object.keys(mechanisms).join(', ')}.`)
    return name
  }))
}

const patterns = join(dirname(fileURLToPath(import.meta.url)), '..', 'replay', 'patterns')

const program = new Command('replay')
  .description(`Plays a load pattern: a file, or one of ${readdirSync(patterns).map(file => file.replace('.yaml', '')).join(', ')}.`)
  .argument('<pattern>', 'name or file')
  .option('--seeds <count>', 'runs, each with a seed of its own', readCount, defaultSeeds)
  .option('--without <names>', 'mechanisms to leave out, with commas between them', readMechanisms, new Set<Mechanism>())
  .option('--json', 'print the figures of each run as JSON')
  .option('--svg <file>', 'draw the benefit over time')
  .exitOverride(err => process.exit(err.exitCode === 0 ? 0 : exitBadInput))

function play (pattern: Pattern, { seeds, without }: Options): Figures[] {
  return Array.from({ length: seeds }, (_, place) => {
    const figures = replayPattern(pattern, place + 1, without)
    process.stderr.write(`seed ${place + 1} of ${seeds}: benefit ${figures.benefit.toFixed(3)}\n`)
    return figures
  })
}

function main (): void {
  program.parse()
  const options = program.opts<Options>()
  const [name = ''] = program.args
  const pattern = readPattern(name.includes('/') || name.endsWith('.yaml') ? name : join(patterns, `${name}.yaml`))
  const runs = play(pattern, options)
  if (options.svg !== undefined) writeFileSync(options.svg, plotSeconds(pattern.name, runs.map(run => run.bySecond)))
  if (options.json === true) process.stdout.write(`${JSON.stringify({ pattern: pattern.name, without: [...options.without], mean: meanOf(runs), runs })}\n`)
  else printTable(`${pattern.name}: ${pattern.about}`, spreadRows(runs))
}

try {
  main()
} catch (err) {
  if (!isLynxError(err)) throw err
  process.stderr.write(`${err.message}\n`)
  process.exitCode = exitBadInput
}
