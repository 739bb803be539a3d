/**
 * Demonstrates a small Tidewise system on loopback, with daemons as separate processes, fake backend servers
 * and callers. Publishes and changes a profile, drains a server and a failure domain, kills the leader,
 * prints the results of the calls, and exits with code 1 if a guarantee was broken.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { planServers, fetchFleetReport, startFleet, tidewiseServices } from './support/fakeFleet.js'
import type { FakeFleet } from './support/fakeFleet.js'
import { findLeaderName, publishProfile, startSystem, stopSystem } from './support/system.js'
import type { SmallSystem } from './support/system.js'
import { runCliOrThrow, sleep, kill } from './support/processes.js'
import { startTraffic } from './support/traffic.js'
import type { Traffic } from './support/traffic.js'
import { countOutcomes, percentile, printTable } from './support/tables.js'

const profile = {
  name: 'desk',
  places: ['kochi', 'chennai', 'mumbai'],
  regionCaps: { kochi: 90, chennai: 90, mumbai: 90 },
  linkCaps: { 'kochi>chennai': 40 },
  shiftCap: 20,
  deadlineMs: 2000,
  lookupTtlS: 2
}

/** Time after the start of a drain within which the drained servers must stop receiving new requests. */
const drainLimitMs = 3000

interface Timings {
  readonly changes: Array<{ what: string, inForceMs: number }>
  readonly drains: Array<{ what: string, newWorkMs: number, drainedMs: number }>
}

async function measureMs (work: () => Promise<unknown>): Promise<number> {
  const startedAt = Date.now()
  await work()
  return Date.now() - startedAt
}

function parseInForceMs (stderr: string): number {
  return Number(/in force everywhere after (\d+) ms/.exec(stderr)?.[1] ?? NaN)
}

async function publish (system: SmallSystem, what: string, fields: object, timings: Timings): Promise<void> {
  const { stderr } = await publishProfile(system, { ...profile, ...fields })
  timings.changes.push({ what, inForceMs: parseInForceMs(stderr) })
}

/** Drains a server or a failure domain and measures how long its servers still received new requests. */
async function drain (system: SmallSystem, fleet: FakeFleet, kind: string, name: string, timings: Timings): Promise<string> {
  const id = `demo-${name}`
  const startedAt = Date.now()
  await runCliOrThrow(system.rpc, ['drain', 'start', kind, name, '--id', id])
  const drainedMs = await measureMs(async () => await runCliOrThrow(system.rpc, ['drain', 'watch', id]))
  const drainedServers = new Set(fleet.plans.filter(plan => kind === 'server' ? plan.server === name : plan.failureDomain === name).map(plan => plan.server))
  const report = await fetchFleetReport(fleet)
  const lastStartAt = Math.max(...report.servers.filter(server => drainedServers.has(server.server)).map(server => server.lastStartAt))
  timings.drains.push({ what: `${kind} ${name}`, newWorkMs: Math.max(0, lastStartAt - startedAt), drainedMs })
  return id
}

async function killLeader (system: SmallSystem): Promise<string> {
  const leader = await findLeaderName(system.rpc)
  const victim = system.daemons.find(daemon => daemon.plan.vm === leader)
  if (victim === undefined) throw new Error('no leader found')
  await kill(victim.child)
  return victim.plan.vm
}

async function runScenario (system: SmallSystem, fleet: FakeFleet, traffic: Traffic, timings: Timings): Promise<string> {
  await sleep(3000)
  await publish(system, 'change profile (cap lowered)', { regionCaps: { kochi: 60, chennai: 90, mumbai: 90 } }, timings)
  await drain(system, fleet, 'server', 'offers-1', timings)
  const domainDrain = await drain(system, fleet, 'domain', 'kochi-b', timings)
  await runCliOrThrow(system.rpc, ['drain', 'cancel', domainDrain, '--wait'])
  const killedVm = await killLeader(system)
  await sleep(4000)
  await publish(system, 'change profile after the leader died', { queueLimit: 300 }, timings)
  await sleep(1000)
  await traffic.stop()
  return killedVm
}

function reportResults (traffic: Traffic, runsById: ReadonlyArray<readonly [string, number]>, timings: Timings, killedVm: string): string[] {
  const { results } = traffic
  const runs = new Map(runsById)
  const ranTwice = [...runs.values()].filter(count => count > 1).length
  const falseNotRun = results.filter(result => result.outcome === 'not-run' && result.id !== undefined && runs.has(result.id)).length
  const cut = results.filter(result => result.outcome === 'cut' && result.vm !== killedVm).length
  const wrong = results.filter(result => result.isWrongAnswer).length
  printTable('Requests', countOutcomes(results))
  const rows = (['read', 'once'] as const).flatMap(kind => ['offers', 'ledger'].map(service => {
    const times = results.filter(result => result.kind === kind && result.service === service && result.outcome === 'done').map(result => result.tookMs)
    return { service, kind, answered: times.length, p50ms: percentile(times, 0.5).toFixed(1), p99ms: percentile(times, 0.99).toFixed(1) }
  }))
  printTable('Latency of answers', rows)
  printTable('Changes', timings.changes)
  printTable('Drains', timings.drains)
  printTable('Promises', [
    { promise: 'requests run twice', found: ranTwice, allowed: 0 },
    { promise: 'not-run that ran', found: falseNotRun, allowed: 0 },
    { promise: 'answers cut (but for the killed VM)', found: cut, allowed: 0 },
    { promise: 'answers of another request', found: wrong, allowed: 0 }
  ])
  const broken: string[] = []
  if (ranTwice > 0) broken.push('a request ran twice')
  if (falseNotRun > 0) broken.push('not-run was reported for a request that ran')
  if (cut > 0) broken.push('an answer was cut')
  if (wrong > 0) broken.push('a caller got another request\'s answer')
  for (const change of timings.changes) if (!(change.inForceMs < 8000)) broken.push(`${change.what}: not in force within 8 s`)
  for (const timing of timings.drains) if (timing.newWorkMs > drainLimitMs) broken.push(`drain of ${timing.what}: new work after ${timing.newWorkMs} ms`)
  return broken
}

async function main (): Promise<number> {
  const folder = mkdtempSync(join(tmpdir(), 'lynxcourse-demo-'))
  const timings: Timings = { changes: [], drains: [] }
  const system = await startSystem(8, folder)
  try {
    process.stdout.write(`8 daemons run, 3 of them control (${folder})\n`)
    await using fleet = await startFleet(planServers(tidewiseServices), system.http)
    await publish(system, 'publish profile', {}, timings)
    for (const service of ['offers', 'ledger']) await runCliOrThrow(system.rpc, ['service', 'pick', service, 'desk', '--wait'])
    process.stdout.write('profile in force; callers start\n')
    const traffic = startTraffic(system.http, { readsPerSecond: 300, oncePerSecond: 60 })
    const killedVm = await runScenario(system, fleet, traffic, timings)
    const { runsById } = await fetchFleetReport(fleet)
    const broken = reportResults(traffic, runsById, timings, killedVm)
    process.stdout.write(broken.length === 0 ? '\nall promises held\n' : `\nBROKEN: ${broken.join('; ')}\n`)
    return broken.length === 0 ? 0 : 1
  } finally {
    await stopSystem(system)
    if (process.env['LYNXCOURSE_KEEP'] === undefined) rmSync(folder, { recursive: true, force: true })
  }
}

process.exitCode = await main()
