/** Builds what one run of the soak consists of: VMs, backend servers, an operator and the ledger. */
import { mkdirSync } from 'node:fs'
import { join } from 'node:path'
import { brandId, createRandom } from '@lynxcourse/base'
import type { FailureDomainId, RegionId, ServiceId } from '@lynxcourse/base'
import { addResource } from '@lynxcourse/daemon'
import type { FleetFileInput, ResourceStack } from '@lynxcourse/daemon'
import { createControlClient } from './controlClient.js'
import type { ControlClient } from './controlClient.js'
import type { SoakSize } from './faultPlan.js'
import { createLedger } from './ledger.js'
import type { Ledger } from './ledger.js'
import { createOperator } from './operator.js'
import type { Operator } from './operator.js'
import { createStubServer } from './stubServer.js'
import type { StubServer } from './stubServer.js'
import { createSoakVm } from './vmProcess.js'
import type { SoakVm } from './vmProcess.js'

/** Everything that one run consists of. */
export interface SoakWorld {
  readonly size: SoakSize
  readonly ledger: Ledger
  readonly vms: readonly SoakVm[]
  readonly seeds: readonly string[]
  readonly servers: readonly StubServer[]
  readonly domains: readonly FailureDomainId[]
  readonly services: readonly ServiceId[]
  readonly client: ControlClient
  readonly operator: Operator
}

const services = ['desk', 'ledger'].map(name => brandId<ServiceId>(name))
/** Failure domains of each region. */
export const regions: Record<string, string[]> = { kochi: ['kochi-a', 'kochi-b'], chennai: ['chennai-a', 'chennai-b'], mumbai: ['mumbai-a', 'mumbai-b'] }
const domains = Object.values(regions).flat().map(name => brandId<FailureDomainId>(name))

/** Builds a world whose VMs are not started yet; what it opens is owned by the stack. */
export async function buildWorld (seed: number, size: SoakSize, folder: string, stack: ResourceStack): Promise<SoakWorld> {
  const random = createRandom(seed + 1)
  const ledger = createLedger()
  mkdirSync(folder, { recursive: true })
  const vms: SoakVm[] = []
  for (let place = 0; place < size.controls + size.entries; place++) {
    vms.push(addResource(stack, await createSoakVm(settingsOf(place, size, folder), folder, ledger)))
  }
  const controls = vms.slice(0, size.controls)
  const servers: StubServer[] = []
  for (let place = 0; place < size.servers; place++) {
    servers.push(addResource(stack, await createStubServer(place, services[place % services.length] as ServiceId, domains[Math.floor(place / services.length) % domains.length] as FailureDomainId, ledger, random)))
  }
  const client = createControlClient(controls.map(vm => vm.rpc.address), random)
  addResource(stack, client.rpc)
  const seeds = controls.slice(0, 3).map(vm => vm.rpc.address)
  return { size, ledger, vms, seeds, servers, domains, services, client, operator: createOperator(client, ledger, services) }
}

/**
 * An address of its own for each VM. Ports of the one loopback address that were free a moment ago may be taken by
 * an outgoing connection while a VM is down, and the VM then can't start again.
 */
function ipOf (place: number): string {
  return `127.${64 + process.pid % 64}.${(process.pid >> 6) % 256}.${place + 1}`
}

function settingsOf (place: number, size: SoakSize, folder: string): FleetFileInput {
  const isControl = place < size.controls
  const ip = ipOf(place)
  const [rpc, callers, metrics] = [`${ip}:7100`, `${ip}:7000`, `${ip}:7200`]
  const domain = domains[place % domains.length] as FailureDomainId
  const region = brandId<RegionId>(domain.slice(0, -2))
  const name = isControl ? `control-${place}` : `entry-${place - size.controls}`
  return {
    vm: name,
    roles: [isControl ? 'control' : 'entry'],
    region,
    failureDomain: domain,
    regions: regions as FleetFileInput['regions'],
    listen: isControl ? { rpc, metrics } : { rpc, callers, metrics },
    seeds: [rpc],
    dataFolder: isControl ? join(folder, name) : undefined,
    times: { stopMs: 5500, missMs: 2500 },
    log: { format: 'json', level: 'info' }
  }
}
