/** VMs of the shutdown rig: real daemons in separate processes, whose signals and exits are recorded. */
import type { ChildProcess } from 'node:child_process'
import { join } from 'node:path'
import { brandId } from '@lynxcourse/base'
import type { FailureDomainId, RegionId } from '@lynxcourse/base'
import type { FleetFileInput } from '@lynxcourse/daemon'
import { request } from 'undici'
import { domains, getVmIp, regions, spawnDaemon } from '../support/fleetProcesses.js'
import { kill, sleep, waitForExit, waitUntil } from '../support/processes.js'
import type { ObservedSignal } from './types.js'

/** Second octet of the first network that VMs of the rig use. */
const firstNet = 160
const readyIntervalMs = 200
/** A VM passes large answers on in pieces only if it knows its link. */
const capacity = { cores: 1, linkMbps: 400 }
/** Heap of a VM that is not short of memory. */
export const defaultMemoryMb = 150

/** A VM and its current process. */
export interface RigVm extends AsyncDisposable {
  readonly name: string
  readonly settings: FleetFileInput
  readonly folder: string
  readonly memoryMb: number
  /** Time from the stop signal until the process is killed. */
  readonly graceMs: number
  readonly signals: ObservedSignal[]
  child: ChildProcess | undefined
  /** Whether a step of the plan is stopping and starting the VM. */
  isCycling: boolean
  /** Whether the current process has been ready. */
  hasBeenReady: boolean
}

/** Properties of a new VM. */
export interface VmProperties {
  readonly index: number
  readonly role: 'control' | 'entry'
  readonly folder: string
  readonly seeds: readonly string[]
  readonly memoryMb: number
  readonly graceMs: number
  /** The daemon's own bound on a stop. */
  readonly stopMs: number
}

/** Creates a VM; its process is not started yet. */
export function createVm (properties: VmProperties, signals: ObservedSignal[]): RigVm {
  const { folder, memoryMb, graceMs } = properties
  const settings = createSettings(properties)
  const vm: RigVm = {
    name: settings.vm,
    settings,
    folder,
    memoryMb,
    graceMs,
    signals,
    child: undefined,
    isCycling: false,
    hasBeenReady: false,
    [Symbol.asyncDispose]: async () => { if (vm.child !== undefined) await kill(vm.child) }
  }
  return vm
}

/** Returns the RPC address of the VM with the given index. */
export function getRpcAddress (index: number): string {
  return `${getVmIp(firstNet, index)}:7100`
}

function createSettings ({ index, role, folder, seeds, stopMs }: VmProperties): FleetFileInput {
  const ip = getVmIp(firstNet, index)
  const [rpc, callers, metrics] = [getRpcAddress(index), `${ip}:7000`, `${ip}:7200`]
  const domain = domains[index % domains.length] as FailureDomainId
  const name = `${role}-${index}`
  return {
    vm: name,
    roles: [role],
    region: brandId<RegionId>(domain.slice(0, -2)),
    failureDomain: domain,
    regions: regions as FleetFileInput['regions'],
    listen: role === 'control' ? { rpc, metrics } : { rpc, callers, metrics },
    seeds: [...seeds],
    isFirstStart: true,
    dataFolder: role === 'control' ? join(folder, name) : undefined,
    capacity,
    times: { stopMs },
    log: { format: 'json', level: 'info' }
  }
}

/** Writes the VM's settings and starts its process; throws an error if it runs already. */
export function startVm (vm: RigVm): void {
  if (isRunning(vm)) throw new Error(`${vm.name} runs already`)
  vm.signals.push({ vm: vm.name, type: 'start', at: performance.now() })
  const child = spawnDaemon(vm.settings, vm.folder, vm.memoryMb)
  vm.child = child
  vm.hasBeenReady = false
  child.once('exit', (code, signal) => {
    vm.signals.push({ vm: vm.name, type: 'exit', at: performance.now(), code: code ?? signal ?? undefined })
  })
}

/** Whether the VM's process runs. */
export function isRunning ({ child }: RigVm): boolean {
  return child !== undefined && child.exitCode === null && child.signalCode === null
}

/** Sends a reload signal, if the process runs and has been ready. A process that is starting may not listen for it yet. */
export function reloadVm (vm: RigVm): void {
  if (!isRunning(vm) || !vm.hasBeenReady) return
  vm.signals.push({ vm: vm.name, type: 'reload', at: performance.now() })
  vm.child?.kill('SIGHUP')
}

/** Sends a stop signal, if the process runs. */
export function terminateVm (vm: RigVm): void {
  if (!isRunning(vm)) return
  vm.signals.push({ vm: vm.name, type: 'terminate', at: performance.now() })
  vm.child?.kill('SIGTERM')
}

/** Stops the VM, kills it after the grace period, and resolves when its process has exited. */
export async function stopVm (vm: RigVm): Promise<void> {
  const { child } = vm
  if (child === undefined || !isRunning(vm)) return
  terminateVm(vm)
  const timer = setTimeout(() => child.kill('SIGKILL'), vm.graceMs)
  await waitForExit(child)
  clearTimeout(timer)
}

/** Pauses the process for short times, as a lack of processor time does. */
export async function starveVm (vm: RigVm, pauseMs: number, intervalMs: number, untilMs: number): Promise<void> {
  while (performance.now() < untilMs && isRunning(vm)) {
    vm.child?.kill('SIGSTOP')
    await sleep(pauseMs)
    vm.child?.kill('SIGCONT')
    await sleep(intervalMs)
  }
}

/** Resolves when the VM says that it is ready; throws an error after the timeout. */
export async function waitUntilReady (vm: RigVm, timeoutMs?: number): Promise<void> {
  await waitUntil(`${vm.name} is ready`, async () => await checkReady(vm), timeoutMs)
}

/** Notes at intervals whether the VM's process has been ready, until `isOver` returns true. */
export async function watchReady (vm: RigVm, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    // A VM that does not answer is not ready.
    if (!vm.hasBeenReady && isRunning(vm)) await checkReady(vm).catch(() => false)
    await sleep(readyIntervalMs)
  }
}

async function checkReady (vm: RigVm): Promise<boolean> {
  const { child } = vm
  const res = await request(`http://${vm.settings.listen.metrics}/readyz`)
  await res.body.dump()
  const isReady = res.statusCode === 200
  if (isReady && vm.child === child) vm.hasBeenReady = true
  return isReady
}
