/** Starts and stops daemons and other programs of this project, each as a separate process. */
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

/** A daemon that runs as a separate process. */
export interface DaemonProcess {
  readonly plan: VmPlan
  child: ChildProcess
}

/** Resolves after the given time. */
export async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Starts a daemon process; its settings file and log file are in the folder. */
export function startDaemonProcess (plan: VmPlan, settings: SettingsInput, folder: string): DaemonProcess {
  const file = join(folder, `${plan.vm}.yaml`)
  writeFileSync(file, stringify(settings))
  const out = openSync(join(folder, `${plan.vm}.log`), 'a')
  const child = spawn(process.execPath, [daemonProgram, '--config', file], { stdio: ['ignore', out, out] })
  return { plan, child }
}

/** Resolves with the exit code of a process when it has exited; with null if a signal ended it. */
export async function waitForExit (child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) return child.exitCode
  return await new Promise(resolve => child.once('exit', code => resolve(code)))
}

/** Kills a process with SIGKILL and waits until it has exited. */
export async function kill (child: ChildProcess): Promise<void> {
  child.kill('SIGKILL')
  await waitForExit(child)
}

/** Polls a condition until it is true, and throws an error after the timeout. An error of the condition counts as false. */
export async function waitUntil (description: string, condition: () => Promise<boolean>, timeoutMs = 20_000): Promise<void> {
  const deadline = Date.now() + timeoutMs
  while (Date.now() < deadline) {
    if (await condition().catch(() => false)) return
    await sleep(50)
  }
  throw new Error(`timed out after ${timeoutMs} ms waiting until ${description}`)
}

/** Returns whether a daemon's `/readyz` or `/healthz` answers with status 200. */
export async function checkHealth (plan: VmPlan, path: '/readyz' | '/healthz'): Promise<boolean> {
  const res = await request(`http://${plan.metrics}${path}`)
  await res.body.dump()
  return res.statusCode === 200
}

/** Exit code and output of one run of the command line. */
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

/** How long a command is retried without a leader: an election takes one second, and several on a busy machine. */
const leaderWaitMs = 20_000

/**
 * Runs the command line and throws an error if it fails. While no leader is known, repeats the command under
 * the change id that the command line printed.
 */
export async function runCliOrThrow (addresses: readonly string[], args: readonly string[]): Promise<CliResult> {
  const deadline = Date.now() + leaderWaitMs
  let result = await runCli(addresses, args)
  while (result.code === 1 && result.stderr.includes('no leader is known') && Date.now() < deadline) {
    await sleep(200)
    const id = /change id (\S+) \(give it again/.exec(result.stderr)?.[1]
    result = await runCli(addresses, id === undefined || args.includes('--change-id') ? args : [...args, '--change-id', id])
  }
  if (result.code !== 0) throw new Error(`lynxcourse ${args.join(' ')}: exit ${result.code}: ${result.stderr}`)
  return result
}

/** Forks a script, given by its path relative to this folder, with a message channel to this process. */
export function forkScript (file: string, args: readonly string[]): ChildProcess {
  return fork(fileURLToPath(new URL(file, import.meta.url)), [...args], { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
}
