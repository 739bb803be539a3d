/** A small system of daemons as processes: started, founded and stopped. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { SettingsInput } from '@lynxcourse/daemon'
import { stringify } from 'yaml'
import { answers, ended, mustCli, startDaemonProcess, until } from './processes.js'
import type { CliResult, DaemonProcess } from './processes.js'
import { planVms, settingsOf } from './topology.js'
import type { VmPlan } from './topology.js'

export interface SmallSystem {
  readonly plans: readonly VmPlan[]
  readonly daemons: DaemonProcess[]
  /** Where callers reach the VMs. */
  readonly http: readonly string[]
  /** Where operators reach the VMs, control VMs first. */
  readonly rpc: readonly string[]
  readonly folder: string
  readonly extra: Partial<SettingsInput>
}

/** Starts daemons, founds the cluster and waits until all are ready. */
export async function startSystem (count: number, folder: string, extra: Partial<SettingsInput> = {}, onePerRegion = false): Promise<SmallSystem> {
  const plans = await planVms(count, onePerRegion)
  const daemons = plans.map(plan => startDaemonProcess(plan, settingsOf(plan, plans, folder, extra), folder))
  const control = plans.filter(plan => plan.isControl)
  const others = plans.filter(plan => !plan.isControl)
  const system: SmallSystem = {
    plans,
    daemons,
    http: plans.map(plan => plan.http),
    rpc: [...control, ...others].map(plan => plan.rpc),
    folder,
    extra
  }
  try {
    await foundCluster(plans)
  } catch (err) {
    await stopSystem(system)
    throw err
  }
  return system
}

/** Founds the cluster of the control VMs once all VMs answer, and waits until all are ready. */
export async function foundCluster (plans: readonly VmPlan[]): Promise<void> {
  for (const plan of plans) await until(`${plan.vm} answers`, async () => await answers(plan, '/healthz'))
  await mustCli(plans.filter(plan => plan.isControl).map(plan => plan.rpc), ['cluster', 'init'])
  for (const plan of plans) await until(`${plan.vm} is ready`, async () => await answers(plan, '/readyz'))
}

/** Name of the VM that leads; undefined if none of those at the addresses does. */
export async function leadingVm (rpc: readonly string[]): Promise<string | undefined> {
  const { stdout } = await mustCli(rpc, ['status'])
  const rows = JSON.parse(stdout) as Array<{ vm: string, log: { role: string } | null }>
  return rows.find(row => row.log?.role === 'leader')?.vm
}

/** Publishes a profile and waits until it is in force. */
export async function publishProfile ({ rpc, folder }: SmallSystem, profile: object): Promise<CliResult> {
  const file = join(folder, 'profile.yaml')
  writeFileSync(file, stringify(profile))
  return await mustCli(rpc, ['profile', 'publish', file, '--wait'])
}

/** Starts one daemon again. */
export function restartVm (system: SmallSystem, daemon: DaemonProcess): void {
  const settings = settingsOf(daemon.plan, system.plans, system.folder, system.extra)
  daemon.child = startDaemonProcess(daemon.plan, settings, system.folder).child
}

/** Ends all daemons at once. */
export async function stopSystem (system: SmallSystem): Promise<void> {
  for (const { child } of system.daemons) child.kill('SIGKILL')
  await Promise.all(system.daemons.map(async ({ child }) => await ended(child)))
}
