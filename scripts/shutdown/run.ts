/** Runs a plan of the shutdown rig: starts the system, sends traffic, signals VMs and judges the records. */
import { createResourceStack } from '@lynxcourse/daemon'
import { getLongestStallMs, startStallMonitor } from '../soak/stallMonitor.js'
import { sleep } from '../support/processes.js'
import { createFleet, keepAnnouncing, publishRoutes, startFleet } from './fleet.js'
import type { Excuse } from './excuses.js'
import { countExcused, findLosses, findPlannedWork } from './judge.js'
import type { Loss } from './judge.js'
import { getStopDuration, listLifetimes } from './lifetimes.js'
import type { ShutdownPlan, ShutdownStep, StopStep } from './plan.js'
import { startServers } from './servers.js'
import { createTraffic, keepLookingUp, startGroup } from './traffic.js'
import type { Traffic } from './traffic.js'
import { createShutdownHistory } from './types.js'
import type { ObservedRequest, ShutdownHistory } from './types.js'
import { reloadVm, starveVm, startVm, stopVm, terminateVm, watchReady } from './vms.js'
import type { RigVm } from './vms.js'

/** Result of one run; times in milliseconds. */
export interface ShutdownResult {
  readonly seed: number
  readonly requests: number
  /** Requests with a complete answer of a server. */
  readonly served: number
  readonly losses: readonly Loss[]
  /** Broken requests around planned work that are no losses, by the reason. */
  readonly excused: Partial<Record<Excuse, number>>
  /** Number of requests by their end. */
  readonly ends: Readonly<Record<string, number>>
  /** Requests that were not answered at each stop signal, on average. */
  readonly openAtStop: number
  readonly stops: number
  readonly longestStopMs: number
  /** Requests that were cut off without planned work, by habit. */
  readonly otherBroken: Readonly<Record<string, number>>
  /** Longest time in which the rig's own process was late. */
  readonly longestStallMs: number
}

/** Callers wait this long for the answers to their last requests. */
const finalWaitMs = 4000

/** Runs a plan; settings, state and logs go to the folder. */
export async function runShutdown (plan: ShutdownPlan, folder: string): Promise<ShutdownResult> {
  await using stack = createResourceStack()
  using monitor = startStallMonitor()
  const history = createShutdownHistory()
  const fleet = createFleet(plan, history, folder, stack)
  await using servers = await startServers({ count: plan.servers, seed: plan.seed, weights: plan.weights, history })
  let isOver = false
  const tasks = [keepAnnouncing(fleet, servers.servers, () => isOver)]
  await startFleet(fleet)
  const traffic = createTraffic(fleet, history, stack)
  tasks.push(keepLookingUp(traffic, () => isOver), ...fleet.entries.map(async vm => await watchReady(vm, () => isOver)))
  await Promise.all(plan.groups.map(async (group, index) => await startGroup(traffic, group, `${group.habit}-${index}`, plan.seed * 1000 + index * 10)))
  await runSteps(traffic, plan)
  await Promise.all(traffic.callers.map(async caller => await caller.stop(finalWaitMs)))
  isOver = true
  await Promise.all(tasks)
  return summarizeRun(plan, history, getLongestStallMs(monitor.stalls))
}

async function runSteps (traffic: Traffic, plan: ShutdownPlan): Promise<void> {
  const startedAt = performance.now()
  await Promise.all(plan.steps.map(async (step, index) => {
    await sleep(step.at)
    await runStep(traffic, step, index)
  }))
  await sleep(Math.max(0, startedAt + plan.lengthMs - performance.now()))
}

async function runStep (traffic: Traffic, step: ShutdownStep, index: number): Promise<void> {
  const { fleet } = traffic
  if (step.kind === 'change') {
    await publishRoutes(fleet)
    return
  }
  const vm = fleet.entries[step.vm]
  if (vm === undefined) throw new Error(`the plan names entry VM ${step.vm}, but there are ${fleet.entries.length}`)
  if (step.kind === 'reload') reloadVm(vm)
  else if (step.kind === 'burst') await sendBurst(traffic, step, index)
  else if (step.kind === 'starve') await starveVm(vm, step.pauseMs, step.intervalMs, performance.now() + step.forMs)
  else await stopAndStart(vm, step)
}

async function sendBurst (traffic: Traffic, { vm, callers, forMs }: Extract<ShutdownStep, { kind: 'burst' }>, index: number): Promise<void> {
  const group = { vm, habit: 'pool' as const, callers, followsLookups: false, delayMs: 0, bytesPerSecond: Infinity }
  const started = await startGroup(traffic, group, `burst-${index}`, traffic.fleet.plan.seed * 1000 + 500 + index)
  await sleep(forMs)
  await Promise.all(started.map(async caller => await caller.stop(finalWaitMs)))
}

/** Stops the VM and starts it again; does nothing if an earlier step is still doing so. */
async function stopAndStart (vm: RigVm, step: StopStep): Promise<void> {
  if (vm.isCycling) return
  vm.isCycling = true
  await runCycle(vm, step)
  vm.isCycling = false
}

async function runCycle (vm: RigVm, step: StopStep): Promise<void> {
  await stopOnce(vm, step)
  await sleep(step.restartAfterMs)
  startVm(vm)
  if (step.stopAgainAfterMs === undefined) return
  await sleep(step.stopAgainAfterMs)
  await stopVm(vm)
  startVm(vm)
}

async function stopOnce (vm: RigVm, { reloadAfterMs, repeatAfterMs }: StopStep): Promise<void> {
  if (reloadAfterMs !== undefined && reloadAfterMs < 0) {
    reloadVm(vm)
    await sleep(-reloadAfterMs)
  }
  const stopped = stopVm(vm)
  const later: Array<Promise<void>> = []
  if (reloadAfterMs !== undefined && reloadAfterMs >= 0) later.push(sleep(reloadAfterMs).then(() => reloadVm(vm)))
  if (repeatAfterMs !== undefined) later.push(Promise.race([sleep(repeatAfterMs), stopped]).then(() => { terminateVm(vm) }))
  await stopped
  await Promise.all(later)
}

function summarizeRun ({ seed, bounds }: ShutdownPlan, history: ShutdownHistory, longestStallMs: number): ShutdownResult {
  const lifetimes = listLifetimes(history.signals)
  const stopped = lifetimes.filter(({ terminatedAt }) => terminatedAt.length > 0)
  const requests = [...history.requests.values()]
  const open = stopped.reduce((sum, { vm, terminatedAt: [at] }) => sum + requests.filter(request => request.vm === vm && isOpenAt(request, at ?? 0)).length, 0)
  return {
    seed,
    requests: requests.length,
    served: requests.filter(({ end }) => end?.type === 'whole' && end.isFromServer).length,
    ends: countBy(requests, describeEnd),
    losses: findLosses(history, bounds),
    excused: countExcused(history, bounds),
    openAtStop: open / Math.max(1, stopped.length),
    stops: stopped.length,
    longestStopMs: Math.max(0, ...stopped.map(lifetime => getStopDuration(lifetime) ?? 0)),
    otherBroken: countBy(requests.filter(request => request.end?.type === 'broken' && findPlannedWork(request, lifetimes, bounds) === undefined), ({ habit }) => habit),
    longestStallMs
  }
}

function describeEnd ({ end }: ObservedRequest): string {
  if (end?.type === 'whole') return `${end.status}${end.isFromServer ? '' : ' own'}`
  return end?.type ?? 'none'
}

function countBy<Item> (items: readonly Item[], getName: (item: Item) => string): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const item of items) counts[getName(item)] = (counts[getName(item)] ?? 0) + 1
  return counts
}

function isOpenAt ({ startedAt, endedAt }: { readonly startedAt: number, readonly endedAt: number | undefined }, at: number): boolean {
  return startedAt <= at && (endedAt ?? Infinity) > at
}
