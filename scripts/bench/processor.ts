/**
 * Measures the processor time of the deployed program on loopback: per start, per idle second of each role, per announcement,
 * per request and per state change. Requires `npm run bundle`.
 */
import { printTable } from '../support/tables.js'
import { sleep } from '../support/processes.js'
import { announce, findLeader, getProcessorMs, listVms, readDeployedFlags, sendLoad, startMeasuredFleet, startStandIns } from './processorFleet.js'
import type { FleetPlan, MeasuredFleet, MeasuredVm } from './processorFleet.js'

const settleMs = 4000
/** Requests per second at each entry VM: about what one of 56 entry VMs gets. */
const requestsPerSecond = 24
const objectCount = 2000
const changeIntervalMs = 300

/** Processor time in milliseconds: of the leader, the mean other control VM and the mean entry VM. */
interface RoleTimes { readonly leader: number, readonly control: number, readonly entry: number }

export async function benchProcessor (isQuick: boolean, profileFolder: string | undefined): Promise<void> {
  const plan: FleetPlan = { controls: 3, entries: 4, servers: 130, watchers: 52, runtimeFlags: readDeployedFlags(), profileFolder }
  const seconds = isQuick ? 5 : 15
  await using fleet = await startMeasuredFleet(plan)
  const start = measureSince(fleet, new Map())
  await sleep(settleMs)
  const idle = await measureDuring(fleet, async () => await sleep(seconds * 1000))
  await startStandIns(fleet)
  let coldSent = 0
  const cold = await measureDuring(fleet, async () => { coldSent = (await sendLoad(fleet, requestsPerSecond, settleMs / 1000, objectCount)).sent })
  await sleep(settleMs)
  const announcing = await measureDuring(fleet, async () => await sleep(seconds * 1000))
  let served = 0
  let sent = 0
  await sendLoad(fleet, requestsPerSecond, 2, objectCount)
  const loaded = await measureDuring(fleet, async () => {
    const load = await sendLoad(fleet, requestsPerSecond, seconds, objectCount)
    served = load.served
    sent = load.sent
  })
  const changes = Math.floor(seconds * 1000 / changeIntervalMs)
  const changing = await measureDuring(fleet, async () => await changeServers(fleet, changes))
  const perSecond = (times: RoleTimes): RoleTimes => scale(times, 1 / seconds)
  const rows: Array<readonly [string, RoleTimes]> = [
    ['start, ms', start],
    ['idle without servers, ms/s', perSecond(idle)],
    ['request while the servers start, all included, ms', scale(cold, 1 / (coldSent / plan.entries))],
    [`idle with ${plan.servers} servers, ms/s`, perSecond(announcing)],
    [`with ${requestsPerSecond} requests/s at each entry VM, ms/s`, perSecond(loaded)],
    ['request without the idle part, ms', scale(subtract(loaded, announcing), 1 / (sent / plan.entries))],
    ['request with the idle part, ms', scale(loaded, 1 / (sent / plan.entries))],
    ['state change without the idle part, ms', scale(subtract(changing, scale(announcing, changes * changeIntervalMs / 1000 / seconds)), 1 / changes)]
  ]
  const round = (value: number): string => value.toFixed(2)
  printTable('Processor time', rows.map(([what, { leader, control, entry }]) => ({ what, leader: round(leader), 'other control VM': round(control), 'entry VM': round(entry) })))
  process.stdout.write(`${served} of ${sent} requests were served.\n`)
}

/** Lets one server after the other drain and return. */
async function changeServers (fleet: MeasuredFleet, changes: number): Promise<void> {
  for (let change = 0; change < changes; change++) {
    const index = change >> 1
    const server = fleet.servers[index]
    if (server !== undefined) server.isDraining = change % 2 === 0
    await announce(fleet, index)
    await sleep(changeIntervalMs)
  }
}

async function measureDuring (fleet: MeasuredFleet, run: () => Promise<void>): Promise<RoleTimes> {
  const before = new Map(fleet.vms.map(vm => [vm, getProcessorMs(vm.child.pid ?? 0)]))
  await run()
  return measureSince(fleet, before)
}

function measureSince (fleet: MeasuredFleet, before: ReadonlyMap<MeasuredVm, number>): RoleTimes {
  const leader = findLeader(fleet)
  const mean = (vms: readonly MeasuredVm[]): number => vms.reduce((sum, vm) => sum + getProcessorMs(vm.child.pid ?? 0) - (before.get(vm) ?? 0), 0) / vms.length
  return { leader: leader === undefined ? NaN : mean([leader]), control: mean(listVms(fleet, 'control').filter(vm => vm !== leader)), entry: mean(listVms(fleet, 'entry')) }
}

function scale ({ leader, control, entry }: RoleTimes, factor: number): RoleTimes {
  return { leader: leader * factor, control: control * factor, entry: entry * factor }
}

function subtract (times: RoleTimes, other: RoleTimes): RoleTimes {
  return { leader: times.leader - other.leader, control: times.control - other.control, entry: times.entry - other.entry }
}
