/** `npm run explain -- LOG...`: counts the causes of late, refused and lost requests from VMs' log lines. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { Command } from 'commander'
import { classifyDecision, causes } from './explain/causes.js'
import type { Cause, SeenServers } from './explain/causes.js'
import { readDecision } from './explain/readDecision.js'
import type { Decision } from './explain/readDecision.js'
import { countRetries, readRetryLine } from './explain/retries.js'
import type { RetryLine } from './explain/retries.js'
import { countByVersion } from './explain/versions.js'
import { percentile, printTable } from './support/tables.js'

const defaultSpanS = 2
const millisPerSecond = 1000

interface Arguments { readonly span: string }

const program = new Command('explain')
  .description('Counts the causes of late, refused and lost requests in log files, in total and over time.')
  .argument('<log...>', 'log files of entry VMs')
  .option('--span <seconds>', 'length of the time span of each row', String(defaultSpanS))

interface ReadLines { readonly decisions: Decision[], readonly retries: RetryLine[] }

async function readAll (files: readonly string[]): Promise<ReadLines> {
  const decisions: Decision[] = []
  const retries: RetryLine[] = []
  for (const file of files) {
    for await (const line of createInterface({ input: createReadStream(file) })) {
      const decision = readDecision(line)
      if (decision !== undefined) decisions.push(decision)
      const retryLine = readRetryLine(line)
      if (retryLine !== undefined) retries.push(retryLine)
    }
  }
  decisions.sort((a, b) => a.at - b.at)
  return { decisions, retries }
}

interface Row { readonly cause: Cause, readonly decision: Decision }

function explain (decisions: readonly Decision[]): Row[] {
  const holders: SeenServers = new Map()
  return decisions.flatMap(decision => {
    const cause = classifyDecision(holders, decision)
    return cause === undefined ? [] : [{ cause, decision }]
  })
}

function printCauses (rows: readonly Row[]): void {
  printTable('Causes', causes.flatMap(cause => {
    const matching = rows.filter(row => row.cause === cause)
    if (matching.length === 0) return []
    const durations = matching.map(row => row.decision.tookMs).filter(ms => !Number.isNaN(ms))
    const medianMs = durations.length === 0 ? '' : Math.round(percentile(durations, 0.5))
    return [{ cause, count: matching.length, percent: (matching.length / rows.length * 100).toFixed(1), medianMs }]
  }))
}

function printOverTime (rows: readonly Row[], spanMs: number): void {
  const presentCauses = causes.filter(cause => rows.some(row => row.cause === cause))
  const firstAt = rows[0]?.decision.at ?? 0
  const spans = new Map<number, Row[]>()
  for (const row of rows) {
    const span = Math.floor((row.decision.at - firstAt) / spanMs)
    const spanRows = spans.get(span)
    if (spanRows === undefined) spans.set(span, [row])
    else spanRows.push(row)
  }
  printTable('Over time', [...spans].sort(([a], [b]) => a - b).map(([span, spanRows]) => {
    const counts = presentCauses.map(cause => [cause, spanRows.filter(row => row.cause === cause).length] as const)
    return { second: span * spanMs / millisPerSecond, ...Object.fromEntries(counts) }
  }))
}

async function main (): Promise<void> {
  program.parse()
  const { decisions, retries } = await readAll(program.args)
  const rows = explain(decisions)
  if (rows.length === 0) program.error('error: the files contain no request decisions')
  const spanMs = Number(program.opts<Arguments>().span) * millisPerSecond
  if (!(spanMs > 0)) program.error('error: --span must be greater than 0')
  printCauses(rows)
  printOverTime(rows, spanMs)
  const versions = countByVersion(decisions)
  if (versions.length > 0) printTable('Sends by version', versions)
  if (retries.length > 0) printTable('Retries by service and VM', countRetries(retries))
}

await main()
