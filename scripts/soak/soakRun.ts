/** Runs the soak for one seed: starts the system, sends traffic, injects faults and checks the recorded history. */
import { getErrorMessage } from '@lynxcourse/base'
import { createResourceStack } from '@lynxcourse/daemon'
import { request } from 'undici'
import { sleep, waitUntil } from '../support/processes.js'
import { sendRequests } from './caller.js'
import { createCallers } from './callers.js'
import { callUntilAnswered } from './controlClient.js'
import type { SoakPlan, SoakSize } from './faultPlan.js'
import { setFault } from './faultProxy.js'
import { summarizeAbandoned } from './abandonedChecks.js'
import type { AbandonedSummary } from './abandonedChecks.js'
import { findViolations } from './invariants.js'
import { measureServedShare } from './history.js'
import { changeRoutes, checkFinalRoutes, pollRoutes } from './operator.js'
import { createSoakSystem } from './soakSystem.js'
import type { SoakSystem } from './soakSystem.js'
import { runStep } from './faultInjection.js'
import type { FakeServer } from './fakeServer.js'
import { getLongestStallMs, startStallMonitor } from './stallMonitor.js'
import { checkLogs } from './teamKeys.js'
import { startVm } from './vmProcess.js'
import type { SoakVm } from './vmProcess.js'

/** Result of one run. */
export interface SoakResult {
  readonly seed: number
  readonly violations: readonly string[]
  readonly requests: number
  /** Share of requests answered with a success: over the whole run, and after the last fault. */
  readonly servedShare: number
  readonly finalServedShare: number
  readonly steps: number
  /** Undefined if the run did not finish. */
  readonly gone: AbandonedSummary | undefined
  /** Longest time in which the soak's own process was late; undefined if the run did not finish. */
  readonly longestStallMs: number | undefined
}

const announceIntervalMs = 600
/** Time within which all VMs must be ready again after the last fault, and length of the fault-free phase that follows. */
const recoveryMs = 15_000
const finalPhaseMs = 4000
const minFinalServedShare = 0.9

/** Runs a plan; settings, state and logs go to the folder. */
export async function runSoak (plan: SoakPlan, size: SoakSize, folder: string): Promise<SoakResult> {
  await using stack = createResourceStack()
  using monitor = startStallMonitor()
  const system = await createSoakSystem(plan.seed, size, folder, stack)
  const { history, operator } = system
  let isOver = false
  const tasks = system.servers.map(async server => await keepAnnouncing(system, server, () => isOver))
  await startAll(system)
  for (const caller of createCallers(system, 'caller', plan.seed)) tasks.push(sendRequests(caller, () => isOver))
  tasks.push(pollRoutes(operator, () => isOver))
  await runSteps(system, plan)
  await restoreSystem(system)
  const finalServedShare = await measureFinalServedShare(system)
  await checkFinalRoutes(operator)
  isOver = true
  await Promise.all(tasks)
  const total = measureServedShare(history, 0, Infinity)
  return { seed: plan.seed, violations: [...findViolations(history), ...checkLogs(folder)], requests: total.sent, servedShare: total.share, finalServedShare, steps: plan.steps.length, gone: summarizeAbandoned(history), longestStallMs: getLongestStallMs(monitor.stalls) }
}

async function runSteps (system: SoakSystem, plan: SoakPlan): Promise<void> {
  const startedAt = performance.now()
  await Promise.all(plan.steps.map(async step => {
    await sleep(step.at)
    await runStep(system, step)
  }))
  await sleep(Math.max(0, startedAt + plan.lengthMs - performance.now()))
}

/** Measures the share of requests served once all faults have ended; a share below the minimum is a violation. */
async function measureFinalServedShare (system: SoakSystem): Promise<number> {
  const from = performance.now()
  await sleep(finalPhaseMs)
  // The most recent requests may still be in flight.
  const { share, sent } = measureServedShare(system.history, from, performance.now() - finalPhaseMs / 4)
  if (share < minFinalServedShare) system.history.recordedViolations.push(`recover: ${(share * 100).toFixed(0)} % of ${sent} requests were served after the last fault`)
  return share
}

async function startAll (system: SoakSystem): Promise<void> {
  for (const vm of system.vms) startVm(vm, system.seeds, true)
  await waitUntil('the first routes are accepted', async () => await changeRoutes(system.operator))
  for (const vm of system.vms) await waitUntil(`${vm.name} is ready`, async () => await isReady(vm))
}

async function isReady (vm: SoakVm): Promise<boolean> {
  const res = await request(`http://${vm.settings.listen.metrics}/readyz`)
  await res.body.dump()
  return res.statusCode === 200
}

/** Ends all link faults and waits until every VM is ready again. */
async function restoreSystem (system: SoakSystem): Promise<void> {
  for (const vm of system.vms) {
    setFault(vm.rpc, 'none')
    if (vm.callers !== undefined) setFault(vm.callers, 'none')
  }
  for (const server of system.servers) setFault(server.proxy, 'none')
  for (const vm of system.vms) {
    await waitUntil(`${vm.name} is ready again`, async () => await isReady(vm), recoveryMs).catch((err: unknown) => system.history.recordedViolations.push(`recover: ${getErrorMessage(err)}`))
  }
}

async function keepAnnouncing (system: SoakSystem, server: FakeServer, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    if (server.server !== undefined) await announce(system, server)
    await sleep(announceIntervalMs * (0.8 + 0.4 * server.random()))
  }
}

/** Sends one announcement; records when the drain of a draining server was first confirmed. */
async function announce (system: SoakSystem, server: FakeServer): Promise<void> {
  server.facts = { ...server.facts, seq: server.facts.seq + 1 }
  const { facts } = server
  const answer = await callUntilAnswered<object>(system.client, 'fleet.announce', { facts }, announceIntervalMs)
  const isRecorded = system.history.confirmed.some(({ type, subject }) => type === 'drain' && subject === facts.id)
  if (answer === undefined || !facts.isDraining || isRecorded) return
  system.history.confirmed.push({ type: 'drain', subject: facts.id, at: performance.now(), sentAt: performance.now(), version: 0 })
}
