/**
 * Measures what a change of many routes costs the deployed program on loopback: processor time and longest stall of an entry and a
 * control VM, and the time until the change is in force. Requires `npm run bundle`.
 */
import { printTable } from '../support/tables.js'
import { sleep } from '../support/processes.js'
import { changeRoutes, findLeader, getProcessorMs, listVms, readDeployedFlags, startMeasuredFleet, startStandIns, waitUntilInForce, watchStalls } from './processorFleet.js'
import type { FleetPlan, MeasuredFleet, MeasuredVm } from './processorFleet.js'

const settleMs = 4000
/** Time after a change in which its cost is measured. */
const measuredMs = 2000
const routeCounts = [1, 350, 1400, 5600]

type ChangeKind = 'add' | 'remove'

/** What one change cost. */
interface ChangeCost {
  readonly kind: ChangeKind
  readonly routes: number
  readonly confirmedMs: number
  /** From the confirmation until the last entry VM routed by the change. */
  readonly inForceMs: number
  /** Processor time and longest time that a VM took to answer: of the leader, the other control VMs and the entry VMs. */
  readonly costs: ReadonlyArray<{ readonly role: string, readonly processorMs: number, readonly stallMs: number }>
}

export async function benchChanges (isQuick: boolean, profileFolder: string | undefined): Promise<void> {
  const plan: FleetPlan = { controls: 3, entries: 4, servers: 130, watchers: 20, runtimeFlags: readDeployedFlags(), profileFolder }
  await using fleet = await startMeasuredFleet(plan)
  await startStandIns(fleet)
  await sleep(settleMs)
  const changes: ChangeCost[] = []
  let version = 1
  for (const routes of isQuick ? routeCounts.slice(0, 3) : routeCounts) {
    const names = Array.from({ length: routes }, (_, index) => `extra-${version}-${index}`)
    for (const kind of ['add', 'remove'] as const) {
      const idle = await measureCosts(fleet, async () => await sleep(measuredMs))
      changes.push(await measureChange(fleet, version, kind, names, idle))
      version += 1
      await sleep(settleMs)
    }
  }
  const round = (value: number): string => value.toFixed(0)
  printTable('Cost of a change', changes.map(({ kind, routes, confirmedMs, inForceMs, costs }) => ({
    change: `${kind} ${routes}`,
    'confirmed after, ms': round(confirmedMs),
    'in force after, ms': round(inForceMs),
    ...Object.fromEntries(costs.flatMap(({ role, processorMs, stallMs }) => [[`${role}, processor ms`, round(processorMs)], [`${role}, longest stall, ms`, round(stallMs)]]))
  })))
}

async function measureChange (fleet: MeasuredFleet, baseVersion: number, kind: ChangeKind, names: readonly string[], idle: ChangeCost['costs']): Promise<ChangeCost> {
  let confirmedMs = 0
  let inForceMs = 0
  const costs = await measureCosts(fleet, async () => {
    const startedAt = performance.now()
    confirmedMs = await changeRoutes(fleet, baseVersion, kind, names)
    const confirmedAt = performance.now()
    await Promise.all(listVms(fleet, 'entry').map(async vm => await waitUntilInForce(vm, kind, names.at(-1) ?? '')))
    inForceMs = performance.now() - confirmedAt
    await sleep(measuredMs - (performance.now() - startedAt))
  })
  const isMore = (cost: ChangeCost['costs'][number], index: number): ChangeCost['costs'][number] => ({ ...cost, processorMs: cost.processorMs - (idle[index]?.processorMs ?? 0) })
  return { kind, routes: names.length, confirmedMs, inForceMs, costs: costs.map(isMore) }
}

/** Returns the mean processor time and the longest stall of each role's VMs during some work. */
async function measureCosts (fleet: MeasuredFleet, work: () => Promise<void>): Promise<ChangeCost['costs']> {
  const leader = findLeader(fleet)
  const groups: ReadonlyArray<readonly [string, readonly MeasuredVm[]]> = [
    ['leader', leader === undefined ? [] : [leader]],
    ['other control VM', listVms(fleet, 'control').filter(vm => vm !== leader)],
    ['entry VM', listVms(fleet, 'entry')]
  ]
  const getTime = ({ child }: MeasuredVm): number => getProcessorMs(child.pid ?? 0)
  const before = new Map(fleet.vms.map(vm => [vm, getTime(vm)]))
  const stalls = new Map(fleet.vms.map(vm => [vm, watchStalls(vm)]))
  await work()
  for (const stall of stalls.values()) stall[Symbol.dispose]()
  return groups.map(([role, vms]) => ({
    role,
    processorMs: vms.reduce((sum, vm) => sum + getTime(vm) - (before.get(vm) ?? 0), 0) / vms.length,
    stallMs: Math.max(...vms.map(vm => stalls.get(vm)?.longestMs() ?? 0))
  }))
}
