/**
 * `npm run bench -- capacity`: measures the slopes from which docs/CAPACITY.md is computed, on one
 * machine with real control daemons and many entry daemons in a few processes.
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { cpus, tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { startSystem, stopSystem } from '../support/system.js'
import { printTable } from '../support/tables.js'
import { round } from './measure.js'
import { measureLookups } from './path.js'
import { writeCapacityPage } from './capacityPage.js'
import type { CapacityFigures } from './capacityFigures.js'
import { measureBlocks, measureDirectory, measureStateMachine } from './capacityModules.js'
import { measureClaims, measureMembers, measureProcesses } from './capacitySystem.js'

const figuresFile = fileURLToPath(new URL('../../../docs/capacity.json', import.meta.url))

/** Runs the benchmark. A full run also writes the figures to docs/capacity.json and generates the page from them. */
export async function benchCapacity (quick: boolean): Promise<void> {
  const figures: CapacityFigures = { date: new Date().toISOString().slice(0, 10), machine: { cores: cpus().length, node: process.version }, quick, slopes: [], single: {} }
  measureBlocks(figures, quick)
  measureDirectory(figures, quick)
  measureStateMachine(figures, quick)
  Object.assign(figures.single, measureLookups())
  const folder = mkdtempSync(join(tmpdir(), 'lynxcourse-capacity-'))
  const system = await startSystem(3, folder, { log: { level: 'error' } }, true)
  try {
    await measureMembers(figures, system, quick)
    await measureClaims(figures, system, quick)
    await measureProcesses(figures, system)
  } finally {
    await stopSystem(system)
    rmSync(folder, { recursive: true, force: true })
  }
  printTable('Slopes', figures.slopes.map(({ name, per, unit, line, points }) => ({ name, slope: `${round(line.slope)} ${unit} per ${per}`, r2: round(line.r2), points: points.map(([x, y]) => `${x}:${y}`).join(' ') })))
  printTable('Single figures', Object.entries(figures.single).map(([name, value]) => ({ name, value })))
  if (quick) return
  writeFileSync(figuresFile, `${JSON.stringify(figures, undefined, 2)}\n`)
  writeCapacityPage(figures)
}

/** Generates the page again from the figures of the last full run. */
export function regeneratePage (): void {
  writeCapacityPage(JSON.parse(readFileSync(figuresFile, 'utf8')) as CapacityFigures)
}
