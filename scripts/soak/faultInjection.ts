/** Runs the steps of a plan, and records in the history which VMs and servers each fault affected and for how long. */
import type { ServiceId } from '@lynxcourse/base'
import { sleep } from '../support/processes.js'
import { sendRequests } from './caller.js'
import { createCallers, createPathCaller } from './callers.js'
import { callUntilAnswered } from './controlClient.js'
import { runCrowd } from './crowd.js'
import { minFaultMs } from './faultPlan.js'
import type { SoakStep, VmStep } from './faultPlan.js'
import { resetConnections, setFault } from './faultProxy.js'
import type { FaultProxy, LinkFault } from './faultProxy.js'
import { crashPath } from './history.js'
import type { InjectedFault } from './history.js'
import { changeManyRoutes, changeRoutes, evacuate, raceChanges } from './operator.js'
import type { SoakSystem } from './soakSystem.js'
import { endLifetime, startLifetime } from './fakeServer.js'
import type { FakeServer } from './fakeServer.js'
import { killVm, pauseVm, startVm, stopVm, appendPartialRecord, wipeDisk } from './vmProcess.js'
import type { SoakVm } from './vmProcess.js'

/** A drained server keeps serving for this long after its drain was confirmed, longer than VMs may send requests to it. */
const serveAfterDrainMs = 4000
/** Delay before the address of an ended server is used again. */
const addressReuseDelayMs = 2000
const resetShare = 0.6
/** A VM in a shortage is alternately stopped and running, and so gets a quarter of its processor time. */
const shortageStopMs = 150
const shortageRunMs = 50

type StepOf<Kind extends SoakStep['kind']> = Extract<SoakStep, { readonly kind: Kind }>

/** Runs one step; resolves when its fault has ended. */
export async function runStep (system: SoakSystem, step: SoakStep): Promise<void> {
  switch (step.kind) {
    case 'kill':
    case 'wipe':
    case 'tear': return await injectKill(system, step)
    case 'term': return await injectPlannedStop(system, step)
    case 'pause': return await injectPause(system, step)
    case 'killCore': return await injectCoreKill(system, step)
    case 'link': return await injectLinkFault(system, step)
    case 'reset':
      injectReset(system, step)
      return
    case 'serverLink':
    case 'serverReset':
    case 'serverCrash':
    case 'serverDrain': return await injectServerFault(system, step)
    case 'change': {
      await changeRoutes(system.operator)
      return
    }
    case 'largeChanges': return await changeManyRoutes(system.operator, step.count, step.routes)
    case 'race': return await raceChanges(system.operator)
    case 'domainLink': return await injectDomainFault(system, step)
    case 'shortage': return await injectCpuShortage(system, step)
    case 'burst': return await injectBurst(system, step)
    case 'crowd': return await runCrowd(system, step)
    case 'crashingCaller': return await sendCrashingRequests(system, step)
    case 'serverLimit': return await limitServer(system, step)
    case 'serverPause': return await pauseServer(system, step)
    case 'shedding': return await shedRequests(system, step)
    case 'serverLeave': return await leaveByAnswers(system, step)
    case 'evacuate': return await evacuate(system.operator, system.domains[step.domain % system.domains.length] as typeof system.domains[0], step.forMs)
  }
}

/** Records a fault that starts now; the returned function records its end. */
function recordFault (system: SoakSystem, subjects: readonly string[], kind: string): () => void {
  const from = performance.now()
  const faults = subjects.map(subject => ({ subject, kind, from, until: Infinity }))
  system.history.disturbances.push(...faults)
  return () => { for (const fault of faults) (fault as { -readonly [Key in keyof InjectedFault]: InjectedFault[Key] }).until = performance.now() }
}

function listSubjects (vm: SoakVm): string[] {
  return vm.callers === undefined ? [vm.name, 'core'] : [vm.name]
}

/** Returns the VM unless another step has ended or paused its process; a second such fault would test nothing. */
function findFreeVm (system: SoakSystem, index: number): SoakVm | undefined {
  const vm = system.vms[index]
  return vm === undefined || vm.isEnding || vm.isPaused ? undefined : vm
}

async function injectKill (system: SoakSystem, step: VmStep): Promise<void> {
  const vm = findFreeVm(system, step.vm)
  if (vm === undefined) return
  const end = recordFault(system, listSubjects(vm), step.kind)
  await killVm(vm)
  if (step.kind === 'wipe') wipeDisk(vm)
  if (step.kind === 'tear') appendPartialRecord(vm)
  await sleep(step.forMs)
  startVm(vm, system.seeds, false)
  end()
}

async function injectPlannedStop (system: SoakSystem, step: VmStep): Promise<void> {
  const vm = findFreeVm(system, step.vm)
  if (vm === undefined) return
  const end = recordFault(system, listSubjects(vm), 'term')
  await stopVm(vm)
  await sleep(step.forMs)
  startVm(vm, system.seeds, false)
  end()
}

async function injectPause (system: SoakSystem, step: VmStep): Promise<void> {
  const vm = findFreeVm(system, step.vm)
  if (vm === undefined) return
  const end = recordFault(system, listSubjects(vm), 'pause')
  pauseVm(vm, true)
  await sleep(step.forMs)
  pauseVm(vm, false)
  end()
}

/** Alternately stops and continues a VM. This is not recorded as a fault, since the VM must still keep every promise. */
async function injectCpuShortage (system: SoakSystem, step: StepOf<'shortage'>): Promise<void> {
  const until = performance.now() + step.forMs
  while (performance.now() < until) {
    const vm = findFreeVm(system, step.vm)
    if (vm !== undefined) await pauseBriefly(system, vm)
    await sleep(shortageRunMs)
  }
}

/** Stops a VM for a moment. If a late timer makes the stop as long as a pause, the stop is recorded as one. */
async function pauseBriefly (system: SoakSystem, vm: SoakVm): Promise<void> {
  const from = performance.now()
  vm.child?.kill('SIGSTOP')
  await sleep(shortageStopMs)
  if (!vm.isPaused) vm.child?.kill('SIGCONT')
  const until = performance.now()
  if (until - from >= minFaultMs) system.history.disturbances.push({ subject: vm.name, kind: 'pause', from, until })
}

/** Kills all control VMs at the same time; their disks stay intact. */
async function injectCoreKill (system: SoakSystem, step: StepOf<'killCore'>): Promise<void> {
  const controls = system.vms.slice(0, system.size.controls).flatMap((_, index) => findFreeVm(system, index) ?? [])
  const end = recordFault(system, [...controls.map(vm => vm.name), 'core'], 'kill')
  await Promise.all(controls.map(async vm => await killVm(vm)))
  await sleep(step.forMs)
  for (const vm of controls) startVm(vm, system.seeds, false)
  end()
}

function getProxy (vm: SoakVm, side: 'rpc' | 'callers'): FaultProxy {
  return side === 'rpc' ? vm.rpc : vm.callers ?? vm.rpc
}

async function injectLinkFault (system: SoakSystem, step: StepOf<'link'>): Promise<void> {
  const vm = system.vms[step.vm] as SoakVm
  const end = recordFault(system, listSubjects(vm), `link ${step.fault}`)
  await applyFault(getProxy(vm, step.side), step.fault, step.forMs)
  end()
}

async function applyFault (proxy: FaultProxy, fault: LinkFault, forMs: number): Promise<void> {
  setFault(proxy, fault)
  await sleep(forMs)
  setFault(proxy, 'none')
}

function injectReset (system: SoakSystem, step: StepOf<'reset'>): void {
  const vm = system.vms[step.vm] as SoakVm
  const end = recordFault(system, listSubjects(vm), 'reset')
  resetConnections(getProxy(vm, step.side), resetShare, system.client.random)
  end()
}

async function injectServerFault (system: SoakSystem, step: StepOf<'serverLink' | 'serverReset' | 'serverCrash' | 'serverDrain'>): Promise<void> {
  const server = system.servers[step.server] as FakeServer
  if (server.server === undefined || server.facts.isDraining) return
  if (step.kind === 'serverDrain') return await drainServer(system, server)
  const end = recordFault(system, [server.facts.id], step.kind)
  if (step.kind === 'serverLink') await applyFault(server.proxy, step.fault, step.forMs)
  else if (step.kind === 'serverReset') resetConnections(server.proxy, resetShare, system.client.random)
  else await crashServer(system, server)
  end()
}

/** Injects a link fault at all servers of a failure domain at the same time. */
async function injectDomainFault (system: SoakSystem, step: StepOf<'domainLink'>): Promise<void> {
  const domain = system.domains[step.domain % system.domains.length]
  const affected = system.servers.filter(({ facts }) => facts.failureDomain === domain)
  const end = recordFault(system, affected.map(({ facts }) => facts.id), `domain ${step.fault}`)
  await Promise.all(affected.map(async ({ proxy }) => await applyFault(proxy, step.fault, step.forMs)))
  end()
}

/** Adds a second set of callers for a while; they call a single VM if the step names one. */
async function injectBurst (system: SoakSystem, step: StepOf<'burst'>): Promise<void> {
  const until = performance.now() + step.forMs
  const callers = createCallers(system, `burst-${step.at}`, step.at, step.vm === undefined ? undefined : system.vms[step.vm]?.settings.listen.callers)
  await Promise.all(callers.map(async caller => await sendRequests(caller, () => performance.now() >= until)))
}

/** Lets a caller send a request that ends each server that runs it. */
async function sendCrashingRequests (system: SoakSystem, { at, forMs }: StepOf<'crashingCaller'>): Promise<void> {
  const until = performance.now() + forMs
  await sendRequests(createPathCaller(system, `crashing-${at}`, at, crashPath), () => performance.now() >= until)
}

/** Lets a server name a limit; a new lifetime of the server names none. */
async function limitServer ({ servers, history }: SoakSystem, { server: index, perSecond, forMs }: StepOf<'serverLimit'>): Promise<void> {
  const server = servers[index] as FakeServer
  if (server.server === undefined || server.limit !== undefined) return
  const period = { server: server.facts.id, perSecond, from: performance.now(), until: Infinity }
  history.limits.push(period)
  server.limit = perSecond
  await sleep(forMs)
  period.until = performance.now()
  if (server.facts.id === period.server) server.limit = undefined
}

/** Lets all servers turn a part of their requests away as if they were full. */
async function shedRequests ({ servers }: SoakSystem, { fraction, forMs }: StepOf<'shedding'>): Promise<void> {
  for (const server of servers) server.shedFraction = fraction
  await sleep(forMs)
  for (const server of servers) server.shedFraction = 0
}

/** Lets a server turn all requests away, and ask for no requests for a time; a new lifetime of the server serves them. */
async function pauseServer ({ servers }: SoakSystem, { server: index, pauseMs, forMs }: StepOf<'serverPause'>): Promise<void> {
  const server = servers[index] as FakeServer
  if (server.server === undefined || server.pauseMs !== undefined) return
  const { id } = server.facts
  server.pauseMs = pauseMs
  await sleep(forMs)
  if (server.facts.id === id) server.pauseMs = undefined
}

/** Lets a server say in its answers that it leaves, while its announcements don't; then it ends. */
async function leaveByAnswers (system: SoakSystem, { server: index }: StepOf<'serverLeave'>): Promise<void> {
  const server = system.servers[index] as FakeServer
  if (server.server === undefined || server.facts.isDraining || server.saysLeaving) return
  const { id, service } = server.facts
  server.saysLeaving = true
  await sleep(2 * serveAfterDrainMs)
  if (server.facts.id === id && !server.facts.isDraining) await replaceServer(system, server, service)
}

/** Crashes a server; a server of the other service takes over its address. */
async function crashServer (system: SoakSystem, server: FakeServer): Promise<void> {
  await endLifetime(server)
  await sleep(addressReuseDelayMs)
  await startLifetime(server, getOtherService(system, server))
}

function getOtherService (system: SoakSystem, server: FakeServer): ServiceId {
  const index = system.services.indexOf(server.facts.service)
  return system.services[(index + 1) % system.services.length] as ServiceId
}

/** Drains a server: it keeps serving for a while after the drain was confirmed, then ends. */
async function drainServer (system: SoakSystem, server: FakeServer): Promise<void> {
  const { id, service } = server.facts
  server.facts = { ...server.facts, isDraining: true }
  server.saysLeaving = true
  const isConfirmed = (): boolean => system.history.confirmed.some(({ type, subject }) => type === 'drain' && subject === id)
  for (let waitedMs = 0; waitedMs < serveAfterDrainMs && !isConfirmed(); waitedMs += 100) await sleep(100)
  await sleep(serveAfterDrainMs)
  await replaceServer(system, server, service)
}

/** Ends a server that has left, and starts another one of the service at its address. */
async function replaceServer (system: SoakSystem, server: FakeServer, service: ServiceId): Promise<void> {
  const { id } = server.facts
  await callUntilAnswered(system.client, 'fleet.dismiss', { server: id }, serveAfterDrainMs)
  const end = recordFault(system, [id], 'ended')
  await endLifetime(server)
  await sleep(addressReuseDelayMs)
  await startLifetime(server, service)
  end()
}
