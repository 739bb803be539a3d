/** Starts and ends daemons and other programs of this project as processes of their own. */
import { fork, spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { openSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { SettingsInput } from '@lynxcourse/daemon'
import { request } from 'undici'
import { stringify } from 'yaml'
import type { VmPlan } from './topology.js'

const daemonProgram = fileURLToPath(import.meta.resolve('@lynxcourse/daemon').replace('daemon.js', 'main.js'))
const cliProgram = fileURLToPath(import.meta.resolve('@lynxcourse/cli').replace('cli.js', 'main.js'))

/** A daemon in a process of its own. */
export interface DaemonProcess {
  readonly plan: VmPlan
  child: ChildProcess
}

/** Waits. */
export async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Starts a daemon; its log goes to a file in the folder. */
export function startDaemonProcess (plan: VmPlan, settings: SettingsInput, folder: string): DaemonProcess {
  const file = join(folder, `${plan.vm}.yaml`)
  writeFileSync(file, stringify(settings))
  const out = openSync(join(folder, `${plan.vm}.log`), 'a')
  const child = spawn(process.execPath, [daemonProgram, '--config', file], { stdio: ['ignore', out, out] })
  return { plan, child }
}

/** Resolves when a process has ended, with its exit code. */
export async function ended (child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) return child.exitCode
  return await new Promise(resolve => child.once('exit', code => resolve(code)))
}

/** Ends a process at once. */
export async function kill (child: ChildProcess): Promise<void> {
  child.kill('SIGKILL')
  await ended(child)
}

/** Waits until something holds. */
export async function until (what: string, test: () => Promise<boolean>, withinMs = 20_000): Promise<void> {
  const end = Date.now() + withinMs
  while (Date.now() < end) {
    if (await test().catch(() => false)) return
    await sleep(50)
  }
  throw new Error(`not within ${withinMs} ms: ${what}`)
}

/** Whether a daemon's `/readyz` or `/healthz` says yes. */
export async function answers (plan: VmPlan, path: '/readyz' | '/healthz'): Promise<boolean> {
  const res = await request(`http://${plan.metrics}${path}`)
  await res.body.dump()
  return res.statusCode === 200
}

/** Result of one run of the command line. */
export interface CliResult {
  readonly code: number | null
  readonly stdout: string
  readonly stderr: string
}

/** Runs the operators' command line. */
export async function runCli (addresses: readonly string[], args: readonly string[]): Promise<CliResult> {
  const child = spawn(process.execPath, [cliProgram, '--addresses', addresses.join(','), '--operator', 'demo', '--output', 'json', ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  let stdout = ''
  let stderr = ''
  child.stdout.on('data', (chunk: Buffer) => { stdout += chunk.toString() })
  child.stderr.on('data', (chunk: Buffer) => { stderr += chunk.toString() })
  const code = await new Promise<number | null>(resolve => child.once('close', resolve))
  return { code, stdout, stderr }
}

/** How long nobody may lead before a command counts as failed; elections take a second, beside busy processes some. */
const unledMs = 20_000

/** Runs the command line and throws if it fails; while nobody leads it gives the change again, as the command line says. */
export async function mustCli (addresses: readonly string[], args: readonly string[]): Promise<CliResult> {
  const end = Date.now() + unledMs
  let result = await runCli(addresses, args)
  while (result.code === 1 && result.stderr.includes('no leader is known') && Date.now() < end) {
    await sleep(200)
    const id = /change id (\S+) \(give it again/.exec(result.stderr)?.[1]
    result = await runCli(addresses, id === undefined || args.includes('--change-id') ? args : [...args, '--change-id', id])
  }
  if (result.code !== 0) throw new Error(`lynxcourse ${args.join(' ')}: exit ${result.code}: ${result.stderr}`)
  return result
}

/** Starts a script of this folder with a message channel. */
export function forkScript (file: string, args: readonly string[]): ChildProcess {
  return fork(fileURLToPath(new URL(file, import.meta.url)), [...args], { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
}
