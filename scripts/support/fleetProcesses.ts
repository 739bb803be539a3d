/** Daemons of a small fleet as separate processes, and where its VMs are. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { openSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { brandId } from '@lynxcourse/base'
import type { FailureDomainId } from '@lynxcourse/base'
import type { FleetFileInput } from '@lynxcourse/daemon'
import { stringify } from 'yaml'

/** Failure domains of each region. */
export const regions: Record<string, string[]> = { kochi: ['kochi-a', 'kochi-b'], chennai: ['chennai-a', 'chennai-b'], mumbai: ['mumbai-a', 'mumbai-b'] }
export const domains = Object.values(regions).flat().map(name => brandId<FailureDomainId>(name))

const daemonScript = fileURLToPath(import.meta.resolve('@lynxcourse/daemon').replace('daemon.js', 'main.js'))

/** Running daemon processes, which are killed when this process is interrupted. */
const children = new Set<ChildProcess>()
process.on('exit', () => { for (const child of children) child.kill('SIGKILL') })
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1))

/**
 * Returns a separate loopback address for each VM. On a shared address, an outgoing connection could take the port of a
 * VM that is down, and the VM could not start again.
 *
 * @param firstNet second octet of the first of 64 networks, one of which this process uses
 */
export function getVmIp (firstNet: number, index: number): string {
  return `127.${firstNet + process.pid % 64}.${(process.pid >> 6) % 256}.${index + 1}`
}

/** Writes a VM's settings and starts its daemon; the settings and the log are in the folder. */
export function spawnDaemon (settings: FleetFileInput, folder: string, heapMb: number): ChildProcess {
  const file = join(folder, `${settings.vm}.yaml`)
  writeFileSync(file, stringify({ fleet: settings }))
  const out = openSync(join(folder, `${settings.vm}.log`), 'a')
  const child = spawn(process.execPath, [`--max-old-space-size=${heapMb}`, daemonScript, '--config', file], { stdio: ['ignore', out, out] })
  children.add(child)
  child.once('exit', () => children.delete(child))
  return child
}
