/** One run of the soak: builds the system, lets callers and faults at it, and judges what was seen. */
import { getErrorMessage } from '@lynxcourse/base'
import { createResourceStack } from '@lynxcourse/daemon'
import { request } from 'undici'
import { sleep, until } from '../support/processes.js'
import { keepCalling } from './caller.js'
import { makeCallers } from './callers.js'
import { callUntilClear } from './controlClient.js'
import type { SoakPlan, SoakSize } from './faultPlan.js'
import { setFault } from './faultProxy.js'
import { seeGone } from './goneChecks.js'
import type { GoneSeen } from './goneChecks.js'
import { findBroken } from './judging.js'
import { servedShare } from './ledger.js'
import { changeRoutes, checkFinalRoutes, keepReading } from './operator.js'
import { buildWorld } from './soakWorld.js'
import type { SoakWorld } from './soakWorld.js'
import { strike } from './striking.js'
import type { StubServer } from './stubServer.js'
import { startVm } from './vmProcess.js'
import type { SoakVm } from './vmProcess.js'

/** What a run showed. */
export interface SoakResult {
  readonly seed: number
  readonly broken: readonly string[]
  readonly requests: number
  /** Share of all requests that were answered with a success, and of those after the last fault. */
  readonly servedShare: number
  readonly lastShare: number
  readonly steps: number
  /** Undefined if the run was not played to its end. */
  readonly gone: GoneSeen | undefined
}

const announceMs = 600
/** After the last fault, the time until all must be well again, and then the time in which it is measured. */
const recoveryMs = 15_000
const measuredMs = 4000
const leastLastShare = 0.9

/** Plays a plan; the folder takes settings, state and logs. */
export async function runSoak (plan: SoakPlan, size: SoakSize, folder: string): Promise<SoakResult> {
  await using stack = createResourceStack()
  const world = await buildWorld(plan.seed, size, folder, stack)
  const { ledger, operator } = world
  let isOver = false
  const work = world.servers.map(async server => await keepAnnouncing(world, server, () => isOver))
  await startAll(world)
  for (const caller of makeCallers(world, 'caller', plan.seed)) work.push(keepCalling(caller, () => isOver))
  work.push(keepReading(operator, () => isOver))
  await playSteps(world, plan)
  await recover(world)
  const last = await measureLast(world)
  await checkFinalRoutes(operator)
  isOver = true
  await Promise.all(work)
  const whole = servedShare(ledger, 0, Infinity)
  return { seed: plan.seed, broken: findBroken(ledger), requests: whole.sent, servedShare: whole.share, lastShare: last, steps: plan.steps.length, gone: seeGone(ledger) }
}

async function playSteps (world: SoakWorld, plan: SoakPlan): Promise<void> {
  const startedAt = performance.now()
  await Promise.all(plan.steps.map(async step => {
    await sleep(step.at)
    await strike(world, step)
  }))
  await sleep(Math.max(0, startedAt + plan.lengthMs - performance.now()))
}

/** Share of requests served once all faults are over; a low one breaks a promise. */
async function measureLast (world: SoakWorld): Promise<number> {
  const from = performance.now()
  await sleep(measuredMs)
  // The last ones sent may still be at work.
  const { share, sent } = servedShare(world.ledger, from, performance.now() - measuredMs / 4)
  if (share < leastLastShare) world.ledger.notes.push(`recover: ${(share * 100).toFixed(0)} % of ${sent} requests were served after the last fault`)
  return share
}

async function startAll (world: SoakWorld): Promise<void> {
  for (const vm of world.vms) startVm(vm, world.seeds, true)
  await until('the first routes are accepted', async () => await changeRoutes(world.operator))
  for (const vm of world.vms) await until(`${vm.name} is ready`, async () => await isReady(vm))
}

async function isReady (vm: SoakVm): Promise<boolean> {
  const res = await request(`http://${vm.settings.listen.metrics}/readyz`)
  await res.body.dump()
  return res.statusCode === 200
}

/** Ends all faults that still last and waits until every VM is ready again. */
async function recover (world: SoakWorld): Promise<void> {
  for (const vm of world.vms) {
    setFault(vm.rpc, 'none')
    if (vm.callers !== undefined) setFault(vm.callers, 'none')
  }
  for (const server of world.servers) setFault(server.proxy, 'none')
  for (const vm of world.vms) {
    await until(`${vm.name} is ready again`, async () => await isReady(vm), recoveryMs).catch((err: unknown) => world.ledger.notes.push(`recover: ${getErrorMessage(err)}`))
  }
}

async function keepAnnouncing (world: SoakWorld, server: StubServer, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    if (server.server !== undefined) await announce(world, server)
    await sleep(announceMs * (0.8 + 0.4 * server.random()))
  }
}

/** Sends one announcement; a draining server notes the moment at which its leaving was confirmed. */
async function announce (world: SoakWorld, server: StubServer): Promise<void> {
  server.facts = { ...server.facts, seq: server.facts.seq + 1 }
  const { facts } = server
  const answer = await callUntilClear<object>(world.client, 'fleet.announce', { facts }, announceMs)
  const isNoted = world.ledger.confirmed.some(({ type, subject }) => type === 'drain' && subject === facts.id)
  if (answer === undefined || !facts.isDraining || isNoted) return
  world.ledger.confirmed.push({ type: 'drain', subject: facts.id, at: performance.now(), sentAt: performance.now(), version: 0 })
}
