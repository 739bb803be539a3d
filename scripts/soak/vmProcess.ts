/** One VM of a soak: the real daemon in a separate process, reached through proxies that can inject link faults. */
import type { ChildProcess } from 'node:child_process'
import { appendFileSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import type { FleetFileInput } from '@lynxcourse/daemon'
import { spawnDaemon } from '../support/fleetProcesses.js'
import { waitForExit, kill, sleep } from '../support/processes.js'
import { startFaultProxy } from './faultProxy.js'
import type { FaultProxy } from './faultProxy.js'
import type { SoakHistory } from './history.js'

/** A planned stop that takes longer than this is a violation; the value exceeds the daemon's own limit. */
const stopTimeoutMs = 8000

export interface SoakVm extends AsyncDisposable {
  readonly name: string
  readonly settings: FleetFileInput
  readonly folder: string
  readonly history: SoakHistory
  /** Proxy in front of the RPC address; other VMs know only the address of the proxy. */
  readonly rpc: FaultProxy
  /** Proxy in front of the address for callers; undefined for a control VM. */
  readonly callers: FaultProxy | undefined
  child: ChildProcess | undefined
  /** Whether the soak itself is ending the process. */
  isEnding: boolean
  isPaused: boolean
}

/** Creates a VM whose proxies listen; its process is not started yet. */
export async function createSoakVm (settings: FleetFileInput, folder: string, history: SoakHistory): Promise<SoakVm> {
  const rpc = await startFaultProxy(settings.listen.rpc)
  const callers = settings.listen.callers === undefined ? undefined : await startFaultProxy(settings.listen.callers)
  const vm: SoakVm = {
    name: settings.vm,
    settings,
    folder,
    history,
    rpc,
    callers,
    child: undefined,
    isEnding: false,
    isPaused: false,
    [Symbol.asyncDispose]: async () => {
      await killVm(vm)
      await rpc[Symbol.asyncDispose]()
      await callers?.[Symbol.asyncDispose]()
    }
  }
  return vm
}

const heapMb = 150

/** Writes the VM's settings and starts its daemon process. */
export function startVm (vm: SoakVm, seeds: readonly string[], isFirstStart: boolean): void {
  const child = spawnDaemon({ ...vm.settings, advertisedRpc: vm.rpc.address, seeds: [...seeds], isFirstStart }, vm.folder, heapMb)
  vm.child = child
  vm.isEnding = false
  child.once('exit', (code, signal) => {
    if (!vm.isEnding) vm.history.recordedViolations.push(`ended: ${vm.name} exited by itself with ${code ?? signal}`)
  })
}

/** Kills the process and waits until it has exited. */
export async function killVm (vm: SoakVm): Promise<void> {
  if (vm.child === undefined) return
  vm.isEnding = true
  await kill(vm.child)
  vm.isPaused = false
}

/** Stops the process with SIGTERM. If it does not exit in time, kills it, and records a violation unless it is paused. */
export async function stopVm (vm: SoakVm): Promise<void> {
  const { child } = vm
  if (child === undefined) return
  vm.isEnding = true
  child.kill('SIGTERM')
  const hasExited = await Promise.race([waitForExit(child).then(() => true), sleep(stopTimeoutMs).then(() => false)])
  if (hasExited) return
  if (!vm.isPaused) vm.history.recordedViolations.push(`stop: ${vm.name} had not exited ${stopTimeoutMs} ms after SIGTERM`)
  await killVm(vm)
}

export function pauseVm (vm: SoakVm, isPaused: boolean): void {
  vm.isPaused = isPaused
  vm.child?.kill(isPaused ? 'SIGSTOP' : 'SIGCONT')
}

/** Empties the disk of a VM whose process has ended. */
export function wipeDisk (vm: SoakVm): void {
  rmSync(vm.settings.dataFolder ?? '', { recursive: true, force: true })
}

/** Appends a partial record to the log, as a power failure during a write does. */
export function appendPartialRecord (vm: SoakVm): void {
  const partialRecord = Buffer.alloc(40)
  partialRecord.writeUInt32LE(5000, 0)
  appendFileSync(join(vm.settings.dataFolder ?? '', 'control', 'log'), partialRecord)
}
