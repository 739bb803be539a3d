/**
 * The demo: a small Tidewise system on loopback, as separate processes, with stand-in backend servers
 * and callers. Publishes and changes a profile, drains a server and a failure domain, kills the leading
 * VM, prints what callers saw, and exits with 1 if a promise was broken.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { planServers, reportFleet, startFleet, tidewiseServices } from './support/fakeFleet.js'
import type { FakeFleet } from './support/fakeFleet.js'
import { leadingVm, publishProfile, startSystem, stopSystem } from './support/system.js'
import type { SmallSystem } from './support/system.js'
import { mustCli, sleep, kill } from './support/processes.js'
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

/** New work at a drained server must end within this, in milliseconds. */
const drainLimitMs = 3000

interface Timings {
  readonly changes: Array<{ what: string, inForceMs: number }>
  readonly drains: Array<{ what: string, newWorkMs: number, drainedMs: number }>
}

async function timed (work: () => Promise<unknown>): Promise<number> {
  const startedAt = Date.now()
  await work()
  return Date.now() - startedAt
}

function inForceMs (stderr: string): number {
  return Number(/in force everywhere after (\d+) ms/.exec(stderr)?.[1] ?? NaN)
}

async function publish (system: SmallSystem, what: string, fields: object, timings: Timings): Promise<void> {
  const { stderr } = await publishProfile(system, { ...profile, ...fields })
  timings.changes.push({ what, inForceMs: inForceMs(stderr) })
}

/** Drains something and measures until when its servers were given new work. */
async function drain (system: SmallSystem, fleet: FakeFleet, kind: string, name: string, timings: Timings): Promise<string> {
  const id = `demo-${name}`
  const startedAt = Date.now()
  await mustCli(system.rpc, ['drain', 'start', kind, name, '--id', id])
  const drainedMs = await timed(async () => await mustCli(system.rpc, ['drain', 'watch', id]))
  const covered = new Set(fleet.plans.filter(plan => kind === 'server' ? plan.server === name : plan.failureDomain === name).map(plan => plan.server))
  const report = await reportFleet(fleet)
  const last = Math.max(...report.servers.filter(server => covered.has(server.server)).map(server => server.lastStartAt))
  timings.drains.push({ what: `${kind} ${name}`, newWorkMs: Math.max(0, last - startedAt), drainedMs })
  return id
}

async function killLeader (system: SmallSystem): Promise<string> {
  const leader = await leadingVm(system.rpc)
  const victim = system.daemons.find(daemon => daemon.plan.vm === leader)
  if (victim === undefined) throw new Error('no leader found')
  await kill(victim.child)
  return victim.plan.vm
}

async function runStory (system: SmallSystem, fleet: FakeFleet, traffic: Traffic, timings: Timings): Promise<string> {
  await sleep(3000)
  await publish(system, 'change profile (cap lowered)', { regionCaps: { kochi: 60, chennai: 90, mumbai: 90 } }, timings)
  await drain(system, fleet, 'server', 'offers-1', timings)
  const domainDrain = await drain(system, fleet, 'domain', 'kochi-b', timings)
  await mustCli(system.rpc, ['drain', 'cancel', domainDrain, '--wait'])
  const killed = await killLeader(system)
  await sleep(4000)
  await publish(system, 'change profile after the leader died', { queueLimit: 300 }, timings)
  await sleep(1000)
  await traffic.stop()
  return killed
}

function report (traffic: Traffic, runsById: ReadonlyArray<readonly [string, number]>, timings: Timings, killed: string): string[] {
  const { results } = traffic
  const runs = new Map(runsById)
  const twice = [...runs.values()].filter(count => count > 1).length
  const falseNotRun = results.filter(result => result.outcome === 'not-run' && result.id !== undefined && runs.has(result.id)).length
  const cut = results.filter(result => result.outcome === 'cut' && result.vm !== killed).length
  const wrong = results.filter(result => result.wrongAnswer).length
  printTable('Requests', countOutcomes(results))
  const rows = (['read', 'once'] as const).flatMap(kind => ['offers', 'ledger'].map(service => {
    const times = results.filter(result => result.kind === kind && result.service === service && result.outcome === 'done').map(result => result.tookMs)
    return { service, kind, answered: times.length, p50ms: percentile(times, 0.5).toFixed(1), p99ms: percentile(times, 0.99).toFixed(1) }
  }))
  printTable('Latency of answers', rows)
  printTable('Changes', timings.changes)
  printTable('Drains', timings.drains)
  printTable('Promises', [
    { promise: 'requests run twice', found: twice, allowed: 0 },
    { promise: 'not-run that ran', found: falseNotRun, allowed: 0 },
    { promise: 'answers cut (but for the killed VM)', found: cut, allowed: 0 },
    { promise: 'answers of another request', found: wrong, allowed: 0 }
  ])
  const broken: string[] = []
  if (twice > 0) broken.push('a request ran twice')
  if (falseNotRun > 0) broken.push('not-run was said of a request that ran')
  if (cut > 0) broken.push('an answer was cut')
  if (wrong > 0) broken.push('a caller got another request\'s answer')
  for (const change of timings.changes) if (!(change.inForceMs < 8000)) broken.push(`${change.what}: not in force within 8 s`)
  for (const done of timings.drains) if (done.newWorkMs > drainLimitMs) broken.push(`drain of ${done.what}: new work after ${done.newWorkMs} ms`)
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
    for (const service of ['offers', 'ledger']) await mustCli(system.rpc, ['service', 'pick', service, 'desk', '--wait'])
    process.stdout.write('profile in force; callers start\n')
    const traffic = startTraffic(system.http, { readsPerSecond: 300, oncePerSecond: 60 })
    const killed = await runStory(system, fleet, traffic, timings)
    const { runsById } = await reportFleet(fleet)
    const broken = report(traffic, runsById, timings, killed)
    process.stdout.write(broken.length === 0 ? '\nall promises held\n' : `\nBROKEN: ${broken.join('; ')}\n`)
    return broken.length === 0 ? 0 : 1
  } finally {
    await stopSystem(system)
    if (process.env['LYNXCOURSE_KEEP'] === undefined) rmSync(folder, { recursive: true, force: true })
  }
}

process.exitCode = await main()
