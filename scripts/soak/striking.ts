/** Carries out the steps of a soak's plan, and notes in the ledger whom each disturbed and for how long. */
import type { ServiceId } from '@lynxcourse/base'
import { sleep } from '../support/processes.js'
import { keepCalling } from './caller.js'
import { makeCallers } from './callers.js'
import { callUntilClear } from './controlClient.js'
import { shortestMs } from './faultPlan.js'
import type { SoakStep, VmStep } from './faultPlan.js'
import { resetAll, setFault } from './faultProxy.js'
import type { FaultProxy, LinkFault } from './faultProxy.js'
import type { Disturbance } from './ledger.js'
import { changeRoutes, evacuate, raceChanges } from './operator.js'
import type { SoakWorld } from './soakWorld.js'
import { endLifetime, startLifetime } from './stubServer.js'
import type { StubServer } from './stubServer.js'
import { killVm, pauseVm, startVm, stopVm, tearLog, wipeDisk } from './vmProcess.js'
import type { SoakVm } from './vmProcess.js'

/** A server that leaves serves on for this long after its leaving was confirmed, longer than VMs may send to it. */
const servesOnMs = 4000
/** An address is used again after this. */
const reuseAfterMs = 2000
const resetShare = 0.6
/** Turns of a VM that gets a quarter of its time. */
const stoppedMs = 150
const runningMs = 50

type StepOf<Kind extends SoakStep['kind']> = Extract<SoakStep, { readonly kind: Kind }>

/** Carries out one step and ends what it began. */
export async function strike (world: SoakWorld, step: SoakStep): Promise<void> {
  switch (step.kind) {
    case 'kill':
    case 'wipe':
    case 'tear': return await strikeDown(world, step)
    case 'term': return await strikeStop(world, step)
    case 'pause': return await strikePause(world, step)
    case 'killCore': return await strikeCore(world, step)
    case 'link': return await strikeLink(world, step)
    case 'reset':
      strikeReset(world, step)
      return
    case 'serverLink':
    case 'serverReset':
    case 'serverCrash':
    case 'serverDrain': return await strikeServer(world, step)
    case 'change': {
      await changeRoutes(world.operator)
      return
    }
    case 'race': return await raceChanges(world.operator)
    case 'domainLink': return await strikeDomain(world, step)
    case 'shortage': return await strikeShortage(world, step)
    case 'burst': return await strikeBurst(world, step)
    case 'evacuate': return await evacuate(world.operator, world.domains[step.domain % world.domains.length] as typeof world.domains[0], step.forMs)
  }
}

/** Notes a disturbance whose end is set by the function that is given back. */
function disturb (world: SoakWorld, subjects: readonly string[], kind: string): () => void {
  const from = performance.now()
  const noted = subjects.map(subject => ({ subject, kind, from, until: Infinity }))
  world.ledger.disturbances.push(...noted)
  return () => { for (const one of noted) (one as { -readonly [Key in keyof Disturbance]: Disturbance[Key] }).until = performance.now() }
}

function subjectsOf (vm: SoakVm): string[] {
  return vm.callers === undefined ? [vm.name, 'core'] : [vm.name]
}

/** A VM on which another step is at work is left alone: ending what is ended already shows nothing. */
function freeVm (world: SoakWorld, place: number): SoakVm | undefined {
  const vm = world.vms[place]
  return vm === undefined || vm.isEnding || vm.isPaused ? undefined : vm
}

async function strikeDown (world: SoakWorld, step: VmStep): Promise<void> {
  const vm = freeVm(world, step.vm)
  if (vm === undefined) return
  const end = disturb(world, subjectsOf(vm), step.kind)
  await killVm(vm)
  if (step.kind === 'wipe') wipeDisk(vm)
  if (step.kind === 'tear') tearLog(vm)
  await sleep(step.forMs)
  startVm(vm, world.seeds, false)
  end()
}

async function strikeStop (world: SoakWorld, step: VmStep): Promise<void> {
  const vm = freeVm(world, step.vm)
  if (vm === undefined) return
  const end = disturb(world, subjectsOf(vm), 'term')
  await stopVm(vm)
  await sleep(step.forMs)
  startVm(vm, world.seeds, false)
  end()
}

async function strikePause (world: SoakWorld, step: VmStep): Promise<void> {
  const vm = freeVm(world, step.vm)
  if (vm === undefined) return
  const end = disturb(world, subjectsOf(vm), 'pause')
  pauseVm(vm, true)
  await sleep(step.forMs)
  pauseVm(vm, false)
  end()
}

/** Stops and continues a VM by turns. This is no disturbance: a VM that is short of processor time owes every promise. */
async function strikeShortage (world: SoakWorld, step: StepOf<'shortage'>): Promise<void> {
  const until = performance.now() + step.forMs
  while (performance.now() < until) {
    const vm = freeVm(world, step.vm)
    if (vm !== undefined) await stopForTurn(world, vm)
    await sleep(runningMs)
  }
}

/** A turn that a late timer makes as long as a freeze is noted as one. */
async function stopForTurn (world: SoakWorld, vm: SoakVm): Promise<void> {
  const from = performance.now()
  vm.child?.kill('SIGSTOP')
  await sleep(stoppedMs)
  if (!vm.isPaused) vm.child?.kill('SIGCONT')
  const until = performance.now()
  if (until - from >= shortestMs) world.ledger.disturbances.push({ subject: vm.name, kind: 'pause', from, until })
}

/** Kills all control VMs at one moment; their disks stay. */
async function strikeCore (world: SoakWorld, step: StepOf<'killCore'>): Promise<void> {
  const controls = world.vms.slice(0, world.size.controls).flatMap((_, place) => freeVm(world, place) ?? [])
  const end = disturb(world, [...controls.map(vm => vm.name), 'core'], 'kill')
  await Promise.all(controls.map(async vm => await killVm(vm)))
  await sleep(step.forMs)
  for (const vm of controls) startVm(vm, world.seeds, false)
  end()
}

function proxyOf (vm: SoakVm, side: 'rpc' | 'callers'): FaultProxy {
  return side === 'rpc' ? vm.rpc : vm.callers ?? vm.rpc
}

async function strikeLink (world: SoakWorld, step: StepOf<'link'>): Promise<void> {
  const vm = world.vms[step.vm] as SoakVm
  const end = disturb(world, subjectsOf(vm), `link ${step.fault}`)
  await faultFor(proxyOf(vm, step.side), step.fault, step.forMs)
  end()
}

async function faultFor (proxy: FaultProxy, fault: LinkFault, forMs: number): Promise<void> {
  setFault(proxy, fault)
  await sleep(forMs)
  setFault(proxy, 'none')
}

function strikeReset (world: SoakWorld, step: StepOf<'reset'>): void {
  const vm = world.vms[step.vm] as SoakVm
  const end = disturb(world, subjectsOf(vm), 'reset')
  resetAll(proxyOf(vm, step.side), resetShare, world.client.random)
  end()
}

async function strikeServer (world: SoakWorld, step: StepOf<'serverLink' | 'serverReset' | 'serverCrash' | 'serverDrain'>): Promise<void> {
  const server = world.servers[step.server] as StubServer
  if (server.server === undefined || server.facts.isDraining) return
  if (step.kind === 'serverDrain') return await drainServer(world, server)
  const end = disturb(world, [server.facts.id], step.kind)
  if (step.kind === 'serverLink') await faultFor(server.proxy, step.fault, step.forMs)
  else if (step.kind === 'serverReset') resetAll(server.proxy, resetShare, world.client.random)
  else await crashServer(world, server)
  end()
}

/** Disturbs the links to all servers of a failure domain at once. */
async function strikeDomain (world: SoakWorld, step: StepOf<'domainLink'>): Promise<void> {
  const domain = world.domains[step.domain % world.domains.length]
  const struck = world.servers.filter(({ facts }) => facts.failureDomain === domain)
  const end = disturb(world, struck.map(({ facts }) => facts.id), `domain ${step.fault}`)
  await Promise.all(struck.map(async ({ proxy }) => await faultFor(proxy, step.fault, step.forMs)))
  end()
}

/** Lets as many callers again come for a while, to one VM if the step names it. */
async function strikeBurst (world: SoakWorld, step: StepOf<'burst'>): Promise<void> {
  const until = performance.now() + step.forMs
  const callers = makeCallers(world, `burst-${step.at}`, step.at, step.vm === undefined ? undefined : world.vms[step.vm]?.settings.listen.callers)
  await Promise.all(callers.map(async caller => await keepCalling(caller, () => performance.now() >= until)))
}

/** Crashes a server; its address goes to a server of the other service. */
async function crashServer (world: SoakWorld, server: StubServer): Promise<void> {
  await endLifetime(server)
  await sleep(reuseAfterMs)
  await startLifetime(server, otherService(world, server))
}

function otherService (world: SoakWorld, server: StubServer): ServiceId {
  const place = world.services.indexOf(server.facts.service)
  return world.services[(place + 1) % world.services.length] as ServiceId
}

/** Lets a server leave as planned: it serves on for a while after its leaving was confirmed. */
async function drainServer (world: SoakWorld, server: StubServer): Promise<void> {
  const { id, service } = server.facts
  server.facts = { ...server.facts, isDraining: true }
  const isConfirmed = (): boolean => world.ledger.confirmed.some(({ type, subject }) => type === 'drain' && subject === id)
  for (let waited = 0; waited < servesOnMs && !isConfirmed(); waited += 100) await sleep(100)
  await sleep(servesOnMs)
  await callUntilClear(world.client, 'fleet.dismiss', { server: id }, servesOnMs)
  const end = disturb(world, [id], 'ended')
  await endLifetime(server)
  await sleep(reuseAfterMs)
  await startLifetime(server, service)
  end()
}
