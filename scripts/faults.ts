/**
 * Runs the fault matrix, prints a row for each cell and writes docs/FAULTS.md.
 * Options: `--seeds N` runs each cell with N seeds, `--pairs` adds all pairs of faults.
 */
import { writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { parseArgs } from 'node:util'
import { faultKinds, pairCells, runCell, singleCells, steps } from '@lynxcourse/faults'
import type { Cell, CellResult } from '@lynxcourse/faults'

const page = fileURLToPath(new URL('../../docs/FAULTS.md', import.meta.url))

type Verdict = 'proved' | 'stands still' | 'FAILED' | 'did not strike'

interface Row {
  readonly cell: Cell
  readonly verdict: Verdict
  readonly note: string
}

function classifyResults (results: readonly CellResult[]): Row {
  const [first] = results
  if (first === undefined) throw new Error('the cell has no results')
  const failed = results.find(result => result.violations.length > 0)
  if (failed !== undefined) return { cell: first.cell, verdict: 'FAILED', note: `seed ${failed.seed}: ${failed.violations[0]}` }
  if (results.some(result => !result.wasInjected)) return { cell: first.cell, verdict: 'did not strike', note: '' }
  const isBlocked = results.some(result => result.lacksQuorum)
  return { cell: first.cell, verdict: isBlocked ? 'stands still' : 'proved', note: `${results.reduce((sum, result) => sum + result.requests, 0)} requests` }
}

function runAll (cells: readonly Cell[], seeds: number): Row[] {
  return cells.map(cell => {
    const row = classifyResults(Array.from({ length: seeds }, (_, index) => runCell(cell, index + 1)))
    process.stdout.write(`${row.verdict.padEnd(14)} ${cell.step.padEnd(10)} ${cell.faults.join(' + ')}  ${row.note}\n`)
    return row
  })
}

function formatTable (rows: readonly Row[]): string[] {
  const verdictAt = (fault: string, step: string): string => rows.find(row => row.cell.step === step && row.cell.faults[0] === fault)?.verdict ?? 'not run'
  return [
    `| fault | ${steps.join(' | ')} |`,
    `|---|${steps.map(() => '---').join('|')}|`,
    ...faultKinds.map(({ name }) => `| ${name} | ${steps.map(step => verdictAt(name, step)).join(' | ')} |`)
  ]
}

function countVerdicts (rows: readonly Row[], verdict: Verdict): number {
  return rows.filter(row => row.verdict === verdict).length
}

function formatSummary (title: string, rows: readonly Row[]): string {
  return `${title}: ${rows.length} cells, ${countVerdicts(rows, 'proved')} proved, ${countVerdicts(rows, 'stands still')} stand still, ${countVerdicts(rows, 'did not strike')} did not strike, ${countVerdicts(rows, 'FAILED')} failed.`
}

const notProved = [
  'Several of these faults were also tried on real daemons: see docs/STATUS.md for which. The matrix itself runs the decision modules on an in-memory network, not the daemon\'s sockets and disk.',
  'The matrix models a backend server that honours deadlines and announces its sheds truly. A server that says it did not start and yet runs is not covered: nothing in this system could notice.',
  'A clock that steps or runs at another rate by more than the margins between lease and grant times is not covered.',
  'A majority of control disks lost at once ends the cluster: it stands still and does no harm; operators found a new one. Changes and claims of the old one are then lost.',
  'Byzantine control VMs are not covered.'
]

function writePage (singles: readonly Row[], pairs: readonly Row[], seeds: number): void {
  const failed = [...singles, ...pairs].filter(row => row.verdict === 'FAILED')
  const lines = [
    '# Fault matrix',
    '',
    'Made by `npm run faults`; do not edit. Each cell runs the decision modules (agreement, claims, grants, leases,',
    'drains, shifts, the once-only flow) on a small in-memory network under steady load, strikes the fault within the',
    'step, lets it heal, and judges all promises throughout: one committed entry at an index, no version reverted, no',
    'request run twice, no `not-run` for one that ran, load within caps, no new work at a drained server, one final',
    'answer each, nobody acting on configuration that is out of force, and after healing everything works again.',
    '',
    `Seeds of each cell: ${seeds === 1 ? '1' : `1 to ${seeds}`}.`,
    '',
    '`stands still`: a majority of control disks was lost at once, so no quorum can form; every promise of safety held.',
    '',
    formatSummary('Single faults', singles),
    pairs.length === 0 ? 'Pairs of faults: not run this time (`npm run faults -- --pairs`).' : formatSummary('Pairs of faults', pairs),
    '',
    ...formatTable(singles),
    '',
    ...(failed.length === 0 ? [] : ['## Failed', '', ...failed.map(row => `- ${row.cell.step}, ${row.cell.faults.join(' + ')}: ${row.note}`), '']),
    '## Not proved, and why',
    '',
    ...notProved.map(text => `- ${text}`),
    ''
  ]
  writeFileSync(page, lines.join('\n'))
}

const { values } = parseArgs({ options: { seeds: { type: 'string', default: '1' }, pairs: { type: 'boolean', default: false } } })
const seeds = Number(values.seeds)
if (!Number.isInteger(seeds) || seeds < 1) {
  process.stderr.write(`faults: --seeds: '${values.seeds}' is not a positive integer\n`)
  process.exit(2)
}
const singles = runAll(singleCells(), seeds)
const pairs = values.pairs ? runAll(pairCells(), seeds) : []
writePage(singles, pairs, seeds)
process.stdout.write(`\n${formatSummary('Single faults', singles)}\n${pairs.length === 0 ? '' : formatSummary('Pairs of faults', pairs)}\n`)
process.exitCode = [...singles, ...pairs].some(row => row.verdict === 'FAILED') ? 1 : 0
