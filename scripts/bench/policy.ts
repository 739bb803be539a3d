/** `npm run bench -- policy`: compares the alternatives for each policy in one run, with real daemons. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { policyNames } from '@lynxcourse/routing'
import type { PolicyName } from '@lynxcourse/routing'
import type { SettingsInput } from '@lynxcourse/daemon'
import { planServers, fetchFleetReport, startFleet } from '../support/fakeFleet.js'
import type { FakeFleet, FakeServiceSize } from '../support/fakeFleet.js'
import type { CallResult } from '../support/callers.js'
import { runCliOrThrow, sleep } from '../support/processes.js'
import { publishProfile, startSystem, stopSystem } from '../support/system.js'
import type { SmallSystem } from '../support/system.js'
import { percentile, printTable } from '../support/tables.js'
import { startTraffic } from '../support/traffic.js'
import { benchClaimPlacement } from './claimPlacement.js'
import { getCpuSeconds, readMetric, round } from './measure.js'

/** A user's service with its real slots and slower servers, so that one machine can carry the load. */
interface UserSize extends FakeServiceSize { readonly user: string }

const users: readonly UserSize[] = [
  { user: 'Tidewise', service: 'offers', count: 20, slots: 3, connections: 330, serviceMs: 120 },
  { user: 'Viteri', service: 'conching', count: 30, slots: 6, connections: 400, serviceMs: 360 }
]

const vmCount = 8
const loads = [0.5, 0.8, 0.95, 1.2]
const deadlineMs = 2000
const warmUpMs = 1500

/** Starts a system with fake servers and a profile, runs `work` on it and stops it. */
async function withSystem (size: FakeServiceSize, extra: Partial<SettingsInput>, profile: object, work: (system: SmallSystem, fleet: FakeFleet) => Promise<void>): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'lynxcourse-policy-'))
  const system = await startSystem(vmCount, folder, { log: { level: 'warn' }, ...extra })
  try {
    await using fleet = await startFleet(planServers([size]), system.http)
    await publishProfile(system, { name: 'p', places: ['kochi', 'chennai', 'mumbai'], lookupTtlS: 2, ...profile })
    await runCliOrThrow(system.rpc, ['service', 'pick', size.service, 'p', '--wait'])
    await sleep(2000)
    await work(system, fleet)
  } finally {
    await stopSystem(system)
    rmSync(folder, { recursive: true, force: true })
  }
}

interface Totals { readonly cpu: number, readonly messages: number, readonly shed: number, readonly served: number }

async function readTotals (system: SmallSystem, fleet: FakeFleet): Promise<Totals> {
  const cpu = system.daemons.reduce((sum, daemon) => sum + getCpuSeconds(daemon.child.pid ?? 0), 0)
  let messages = 0
  for (const plan of system.plans) messages += await readMetric(plan, 'lynxcourse_rpc_total', 'side="in"')
  const { servers } = await fetchFleetReport(fleet)
  return { cpu, messages, shed: servers.reduce((sum, server) => sum + server.shed, 0), served: servers.reduce((sum, server) => sum + server.served, 0) }
}

interface LoadWindow { readonly results: CallResult[], readonly before: Totals, readonly after: Totals, readonly seconds: number }

async function runLoad (system: SmallSystem, fleet: FakeFleet, service: string, perSecond: number, seconds: number): Promise<LoadWindow> {
  const traffic = startTraffic(system.http, { readsPerSecond: perSecond, oncePerSecond: 0, services: [service], deadlineMs })
  await sleep(warmUpMs)
  const before = await readTotals(system, fleet)
  const from = Date.now()
  await sleep(seconds * 1000)
  const after = await readTotals(system, fleet)
  const to = Date.now()
  await traffic.stop()
  const results = traffic.results.filter(result => result.at >= from && result.at < to)
  return { results, before, after, seconds: (to - from) / 1000 }
}

/** Compares the server policies at several loads, for the services of both users. */
async function benchChoice (seconds: number): Promise<void> {
  for (const size of users) {
    const slots = size.count * size.slots
    const capacity = slots / size.serviceMs * 1000
    const rows: object[] = []
    for (const policy of policyNames) {
      await withSystem(size, { serverPolicy: policy as PolicyName, times: { slowStartMs: 1 } }, { queueLimit: 200 }, async (system, fleet) => {
        for (const load of loads) {
          const { results, before, after, seconds: elapsedSeconds } = await runLoad(system, fleet, size.service, capacity * load, seconds)
          const done = results.filter(result => result.outcome === 'done')
          const times = done.map(result => result.tookMs)
          rows.push({
            policy,
            load: `${load * 100}%`,
            answered: `${round(100 * done.length / results.length)}%`,
            p50ms: round(percentile(times, 0.5)),
            p99ms: round(percentile(times, 0.99)),
            shedPer1000: round(1000 * (after.shed - before.shed) / results.length),
            slotsIdle: `${Math.max(0, round(100 * (1 - (after.served - before.served) * size.serviceMs / 1000 / elapsedSeconds / slots)))}%`,
            rpcPerSecond: Math.round((after.messages - before.messages) / elapsedSeconds),
            cpuMicrosPerRequest: Math.round((after.cpu - before.cpu) / results.length * 1e6)
          })
        }
      })
    }
    printTable(`Choice of server, ${size.user}: ${size.count} servers of ${size.slots} slots, ${vmCount} VMs, deadline ${deadlineMs} ms, 100 % = ${Math.round(capacity)}/s`, rows)
  }
}

/** Measures goodput, the latency of refusals and the fairness between VMs, at full and at twice the capacity. */
async function benchOverload (seconds: number): Promise<void> {
  const rows: object[] = []
  for (const size of users) {
    const capacity = size.count * size.slots / size.serviceMs * 1000
    await withSystem(size, { times: { slowStartMs: 1 } }, { queueLimit: 200 }, async (system, fleet) => {
      for (const factor of [1, 2]) {
        const { results, seconds: elapsedSeconds } = await runLoad(system, fleet, size.service, capacity * factor, seconds)
        const done = results.filter(result => result.outcome === 'done')
        const refused = results.filter(result => result.outcome !== 'done')
        const shares = system.plans.map(plan => {
          const own = results.filter(result => result.vm === plan.vm)
          return own.length === 0 ? NaN : own.filter(result => result.outcome === 'done').length / own.length
        }).filter(share => !Number.isNaN(share))
        rows.push({
          user: size.user,
          load: `${factor}x`,
          goodput: `${round(100 * done.length / elapsedSeconds / capacity)}% of capacity`,
          refused: refused.length,
          refusedWithin50ms: refused.length === 0 ? '-' : `${round(100 * refused.filter(result => result.tookMs <= 50).length / refused.length)}%`,
          refusedP99ms: round(percentile(refused.map(result => result.tookMs), 0.99)),
          answeredP99ms: round(percentile(done.map(result => result.tookMs), 0.99)),
          leastServedVm: `${round(100 * Math.min(...shares))}%`,
          mostServedVm: `${round(100 * Math.max(...shares))}%`
        })
      }
    })
  }
  printTable('Overload', rows)
}

interface ShiftRow { readonly state: string, readonly percent: number, readonly destinationBusy: number, readonly destinationSlots: number }

/** Shifts half of Kochi's callers under each step rule, at a load that leaves the destination little spare capacity. */
async function benchShift (load: number, limitSeconds: number): Promise<void> {
  const [size] = users
  if (size === undefined) return
  const capacity = size.count * size.slots / size.serviceMs * 1000
  const rows: object[] = []
  for (const stepRule of ['fixed', 'headroom'] as const) {
    await withSystem(size, { stepRule, times: { slowStartMs: 1 } }, { lookupTtlS: 1 }, async (system, fleet) => {
      const traffic = startTraffic(system.http, { readsPerSecond: capacity * load, oncePerSecond: 0, services: [size.service], deadlineMs })
      await sleep(3000)
      const startedAt = Date.now()
      await runCliOrThrow(system.rpc, ['shift', 'start', size.service, 'kochi', 'chennai', '--percent', '50', '--step', '15', '--cap', '40', '--id', 'm'])
      const loads: number[] = []
      let last: ShiftRow | undefined
      while (Date.now() - startedAt < limitSeconds * 1000 && last?.state !== 'complete') {
        await sleep(250)
        last = (JSON.parse((await runCliOrThrow(system.rpc, ['shift', 'list'])).stdout) as Array<ShiftRow & { busy: number, slots: number }>).map(row => ({ ...row, destinationBusy: row.busy, destinationSlots: row.slots }))[0]
        loads.push((last?.destinationBusy ?? 0) / Math.max(1, last?.destinationSlots ?? 1))
      }
      const tookMs = Date.now() - startedAt
      await traffic.stop()
      const after = traffic.results.filter(result => result.at >= startedAt)
      rows.push({
        stepRule,
        state: last?.state,
        percent: last?.percent,
        seconds: round(tookMs / 1000),
        destinationAtTheEnd: `${round(100 * loads.slice(-8).reduce((sum, one) => sum + one, 0) / Math.min(8, loads.length))}%`,
        highestReading: `${round(100 * Math.max(...loads))}%`,
        answered: `${round(100 * after.filter(result => result.outcome === 'done').length / after.length)}%`,
        p99ms: round(percentile(after.filter(result => result.outcome === 'done').map(result => result.tookMs), 0.99)),
        peakAtOneServer: Math.max(...(await fetchFleetReport(fleet)).servers.map(server => server.peak))
      })
    })
  }
  printTable(`Shift of 50 % of Kochi's callers to Chennai, steps of 15 % at most, load ${load * 100} %`, rows)
}

/** Runs all policy benchmarks, or the one named by `only`. */
export async function benchPolicy (only: string | undefined, quick: boolean): Promise<void> {
  const seconds = quick ? 3 : 6
  if (only === undefined || only === 'claims') await benchClaimPlacement(quick)
  if (only === undefined || only === 'overload') await benchOverload(seconds)
  if (only === undefined || only === 'shift') for (const load of [0.4, 0.65]) await benchShift(load, quick ? 20 : 30)
  if (only === undefined || only === 'choice') await benchChoice(seconds)
}
