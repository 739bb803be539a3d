/** One VM of a soak: the real daemon in a process of its own, reached through forwarders that can be disturbed. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { appendFileSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { FleetFileInput } from '@lynxcourse/daemon'
import { stringify } from 'yaml'
import { ended, kill, sleep } from '../support/processes.js'
import { startFaultProxy } from './faultProxy.js'
import type { FaultProxy } from './faultProxy.js'
import type { SoakHistory } from './history.js'

const daemonScript = fileURLToPath(import.meta.resolve('@lynxcourse/daemon').replace('daemon.js', 'main.js'))

/** A planned stop that takes longer is ended; longer than the daemon's own bound on it. */
const stopTimeoutMs = 8000

export interface SoakVm extends AsyncDisposable {
  readonly name: string
  readonly settings: FleetFileInput
  readonly folder: string
  readonly history: SoakHistory
  /** In front of the RPC address; other VMs know this address alone. */
  readonly rpc: FaultProxy
  /** In front of the callers' address; undefined at a control VM. */
  readonly callers: FaultProxy | undefined
  child: ChildProcess | undefined
  /** Whether the soak itself is ending the process. */
  isEnding: boolean
  isPaused: boolean
}

/** Makes a VM whose forwarders listen; its process is not started yet. */
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

/** Processes that run now: a soak that is broken off takes them with it. */
const children = new Set<ChildProcess>()
process.on('exit', () => { for (const child of children) child.kill('SIGKILL') })
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1))

/** Starts the process. */
export function startVm (vm: SoakVm, seeds: readonly string[], isFirstStart: boolean): void {
  const file = join(vm.folder, `${vm.name}.yaml`)
  writeFileSync(file, stringify({ fleet: { ...vm.settings, advertisedRpc: vm.rpc.address, seeds, isFirstStart } }))
  const out = openSync(join(vm.folder, `${vm.name}.log`), 'a')
  const child = spawn(process.execPath, ['--max-old-space-size=150', daemonScript, '--config', file], { stdio: ['ignore', out, out] })
  vm.child = child
  vm.isEnding = false
  children.add(child)
  child.once('exit', (code, signal) => {
    children.delete(child)
    if (!vm.isEnding) vm.history.recordedViolations.push(`ended: ${vm.name} ended by itself with ${code ?? signal}`)
  })
}

/** Ends the process at once. */
export async function killVm (vm: SoakVm): Promise<void> {
  if (vm.child === undefined) return
  vm.isEnding = true
  await kill(vm.child)
  vm.isPaused = false
}

/** Stops the process as planned; one that does not end in time breaks a promise. */
export async function stopVm (vm: SoakVm): Promise<void> {
  const { child } = vm
  if (child === undefined) return
  vm.isEnding = true
  child.kill('SIGTERM')
  const hasExited = await Promise.race([ended(child).then(() => true), sleep(stopTimeoutMs).then(() => false)])
  if (hasExited) return
  if (!vm.isPaused) vm.history.recordedViolations.push(`stop: ${vm.name} had not ended ${stopTimeoutMs} ms after the signal`)
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

/** Leaves half a record at the end of the log, as a loss of power in the middle of a write does. */
export function appendPartialRecord (vm: SoakVm): void {
  const partialRecord = Buffer.alloc(40)
  partialRecord.writeUInt32LE(5000, 0)
  appendFileSync(join(vm.settings.dataFolder ?? '', 'control', 'log'), partialRecord)
}
