/**
 * Measures how a control VM that lost its disk becomes whole again, after numbers of changes on numbers of routes: the time until its copy is a
 * voter, and the peak memory, the longest stall and the processor time of the control VMs meanwhile. Requires `npm run bundle`.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { getErrorMessage } from '@lynxcourse/base'
import { sleep, waitUntil } from '../support/processes.js'
import { printTable } from '../support/tables.js'
import { createUpsert, findLeader, getProcessorMs, listVms, readDeployedFlags, restartWithEmptyDisk, sendChange, startMeasuredFleet, watchStalls } from './processorFleet.js'
import type { FleetPlan, MeasuredFleet, MeasuredVm } from './processorFleet.js'

const routeCounts = [360, 1400, 5600]
const changeCounts = [100, 500, 2000]
/** Each change replaces this share of the routes. */
const changedShare = 0.1
const idleMs = 3000
const wholeTimeoutMs = 60_000
const conflictStatus = 412
const unavailableStatus = 503

/** What it cost a control VM until the copy was whole. */
interface VmCost {
  readonly peakMb: number
  readonly stallMs: number
  /** Beyond the processor time of an idle VM; that of the new copy includes its start. */
  readonly processorMs: number
}

interface CopyCost {
  readonly wholeMs: number
  readonly leader: VmCost
  readonly copy: VmCost
  readonly other: VmCost
}

export async function benchCopies (isQuick: boolean): Promise<void> {
  const rows: object[] = []
  for (const routes of isQuick ? routeCounts.slice(0, 2) : routeCounts) {
    for (const changes of isQuick ? changeCounts.slice(0, 1) : changeCounts) {
      const row = await measureCell(routes, changes).catch((err: unknown) => ({ routes, changes, failed: getErrorMessage(err) }))
      process.stdout.write(`${JSON.stringify(row)}\n`)
      rows.push(row)
    }
  }
  printTable('Control VMs that lost their disks', rows)
}

async function measureCell (routes: number, changes: number): Promise<object> {
  const plan: FleetPlan = { controls: 3, entries: 0, servers: 0, watchers: 0, runtimeFlags: readDeployedFlags(), profileFolder: undefined }
  await using fleet = await startMeasuredFleet(plan)
  const startedAt = performance.now()
  await applyChanges(fleet, routes, changes)
  const changedMs = performance.now() - startedAt
  const { wholeMs, leader, copy, other } = await measureCopy(fleet)
  const describe = (name: string, cost: VmCost): object => Object.fromEntries(
    [[`${name}, peak MB`, cost.peakMb.toFixed(0)], [`${name}, stall ms`, cost.stallMs.toFixed(0)], [`${name}, processor ms`, cost.processorMs.toFixed(0)]])
  return { routes, changes, 'changes took, s': (changedMs / 1000).toFixed(0), 'whole after, ms': wholeMs.toFixed(0), ...describe('leader', leader), ...describe('new copy', copy), ...describe('other', other) }
}

/** Adds the routes, and then replaces a share of them by each change. */
async function applyChanges (fleet: MeasuredFleet, routeCount: number, changeCount: number): Promise<void> {
  const names = Array.from({ length: routeCount }, (_, index) => `extra-${index}`)
  const changedCount = Math.ceil(routeCount * changedShare)
  await changeUntilConfirmed(fleet, 1, createUpsert(names, 1))
  for (let change = 0; change < changeCount; change++) {
    const first = change * changedCount % routeCount
    const timeoutS = 1 + change % 8
    await changeUntilConfirmed(fleet, change + 2, createUpsert(names.slice(first, first + changedCount), timeoutS))
  }
}

/** Sends a change until it is confirmed: control VMs answer 503 while they have no leader. */
async function changeUntilConfirmed (fleet: MeasuredFleet, baseVersion: number, change: object): Promise<void> {
  let attempts = 0
  await waitUntil(`the change of version ${baseVersion} is confirmed`, async () => {
    attempts += 1
    const status = await sendChange(fleet, baseVersion, change)
    // No other operator changes routes, so that a conflict shows that an earlier attempt took effect.
    if (status === 200 || (status === conflictStatus && attempts > 1)) return true
    if (status !== unavailableStatus) process.stdout.write(`the change of version ${baseVersion} was answered with ${status}\n`)
    return false
  })
}

async function measureCopy (fleet: MeasuredFleet): Promise<CopyCost> {
  const leader = findLeader(fleet)
  const [lost, other] = listVms(fleet, 'control').filter(vm => vm !== leader)
  if (leader === undefined || lost === undefined || other === undefined) throw new Error('no control VM leads')
  const remaining = [leader, other]
  const idleShares = await measureIdleShares(remaining)
  using leaderStalls = watchStalls(leader)
  using otherStalls = watchStalls(other)
  const logLength = readFileSync(leader.logFile, 'utf8').length
  for (const { child } of remaining) resetPeakMemory(child.pid ?? 0)
  const before = remaining.map(({ child }) => getProcessorMs(child.pid ?? 0))
  const startedAt = performance.now()
  const copy = await restartWithEmptyDisk(fleet, lost)
  using copyStalls = watchStalls(copy)
  await waitUntil(`${copy.name} is a voter`, async () => isVoter(copy, readFileSync(leader.logFile, 'utf8').slice(logLength)), wholeTimeoutMs)
  const wholeMs = performance.now() - startedAt
  const [leaderMs = 0, otherMs = 0] = remaining.map(({ child }, index) => getProcessorMs(child.pid ?? 0) - (before[index] ?? 0) - (idleShares[index] ?? 0) * wholeMs)
  const getCost = ({ child }: MeasuredVm, stalls: { readonly longestMs: () => number }, processorMs: number): VmCost => ({ peakMb: getPeakMb(child.pid ?? 0), stallMs: stalls.longestMs(), processorMs })
  return { wholeMs, leader: getCost(leader, leaderStalls, leaderMs), other: getCost(other, otherStalls, otherMs), copy: getCost(copy, copyStalls, getProcessorMs(copy.child.pid ?? 0)) }
}

/** Returns the share of a core that each VM uses while it is only asked for something small. */
async function measureIdleShares (vms: readonly MeasuredVm[]): Promise<number[]> {
  const watches = vms.map(watchStalls)
  const getTimes = (): number[] => vms.map(({ child }) => getProcessorMs(child.pid ?? 0))
  const before = getTimes()
  const startedAt = performance.now()
  await sleep(idleMs)
  const elapsedMs = performance.now() - startedAt
  for (const watch of watches) watch[Symbol.dispose]()
  return getTimes().map((time, index) => (time - (before[index] ?? 0)) / elapsedMs)
}

/** Whether the last change of members in a log names one copy of a VM, as a voter. */
function isVoter ({ ip }: MeasuredVm, logText: string): boolean {
  const lines = logText.split('\n').filter(line => line.includes('"Members changed."'))
  const { members = '' } = JSON.parse(lines.at(-1) ?? '{}') as { members?: string }
  const copies = members.split(',').filter(member => member.startsWith(`${ip}:`))
  return copies.length === 1 && copies[0]?.includes('learner') === false
}

/** Returns the peak resident memory of a process in MB. */
function getPeakMb (pid: number): number {
  const line = readFileSync(`/proc/${pid}/status`, 'utf8').split('\n').find(text => text.startsWith('VmHWM'))
  return Number(/(\d+)/.exec(line ?? '')?.[1] ?? NaN) / 1024
}

/** Sets the peak resident memory of a process to its present value. */
function resetPeakMemory (pid: number): void {
  const resetPeak = '5'
  writeFileSync(`/proc/${pid}/clear_refs`, resetPeak)
}
