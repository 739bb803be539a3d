/** Starts and stops a small cluster of daemons, each in a separate process. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { SettingsInput } from '@lynxcourse/daemon'
import { stringify } from 'yaml'
import { checkHealth, waitForExit, runCliOrThrow, startDaemonProcess, waitUntil } from './processes.js'
import type { CliResult, DaemonProcess } from './processes.js'
import { planVms, buildSettings } from './topology.js'
import type { VmPlan } from './topology.js'

export interface SmallSystem {
  readonly plans: readonly VmPlan[]
  readonly daemons: DaemonProcess[]
  /** Addresses of the VMs for callers. */
  readonly http: readonly string[]
  /** Addresses of the VMs for operators, control VMs first. */
  readonly rpc: readonly string[]
  readonly folder: string
  readonly settingsOverrides: Partial<SettingsInput>
}

/** Starts the daemons, initializes the cluster and waits until all VMs are ready. */
export async function startSystem (count: number, folder: string, settingsOverrides: Partial<SettingsInput> = {}, onePerRegion = false): Promise<SmallSystem> {
  const plans = await planVms(count, onePerRegion)
  const daemons = plans.map(plan => startDaemonProcess(plan, buildSettings(plan, plans, folder, settingsOverrides), folder))
  const controlVms = plans.filter(plan => plan.isControl)
  const entryVms = plans.filter(plan => !plan.isControl)
  const system: SmallSystem = {
    plans,
    daemons,
    http: plans.map(plan => plan.http),
    rpc: [...controlVms, ...entryVms].map(plan => plan.rpc),
    folder,
    settingsOverrides
  }
  try {
    await initCluster(plans)
  } catch (err) {
    await stopSystem(system)
    throw err
  }
  return system
}

/** Initializes the cluster of the control VMs once all VMs answer, and waits until all VMs are ready. */
export async function initCluster (plans: readonly VmPlan[]): Promise<void> {
  for (const plan of plans) await waitUntil(`${plan.vm} answers`, async () => await checkHealth(plan, '/healthz'))
  await runCliOrThrow(plans.filter(plan => plan.isControl).map(plan => plan.rpc), ['cluster', 'init'])
  for (const plan of plans) await waitUntil(`${plan.vm} is ready`, async () => await checkHealth(plan, '/readyz'))
}

/** Returns the name of the leader; undefined if none of the VMs at the addresses is the leader. */
export async function findLeaderName (rpc: readonly string[]): Promise<string | undefined> {
  const { stdout } = await runCliOrThrow(rpc, ['status'])
  const rows = JSON.parse(stdout) as Array<{ vm: string, log: { role: string } | null }>
  return rows.find(row => row.log?.role === 'leader')?.vm
}

/** Publishes a profile and waits until it is in force at every VM. */
export async function publishProfile ({ rpc, folder }: SmallSystem, profile: object): Promise<CliResult> {
  const file = join(folder, 'profile.yaml')
  writeFileSync(file, stringify(profile))
  return await runCliOrThrow(rpc, ['profile', 'publish', file, '--wait'])
}

/** Restarts a daemon that has exited, with the same settings. */
export function restartVm (system: SmallSystem, daemon: DaemonProcess): void {
  const settings = buildSettings(daemon.plan, system.plans, system.folder, system.settingsOverrides)
  daemon.child = startDaemonProcess(daemon.plan, settings, system.folder).child
}

/** Kills all daemons with SIGKILL and waits until they have exited. */
export async function stopSystem (system: SmallSystem): Promise<void> {
  for (const { child } of system.daemons) child.kill('SIGKILL')
  await Promise.all(system.daemons.map(async ({ child }) => await waitForExit(child)))
}
