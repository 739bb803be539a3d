/** Creates the system of one soak run: VMs, backend servers, an operator and the history. */
import { mkdirSync } from 'node:fs'
import { join } from 'node:path'
import { brandId, createRandom } from '@lynxcourse/base'
import type { FailureDomainId, RegionId, ServiceId } from '@lynxcourse/base'
import { addResource } from '@lynxcourse/daemon'
import type { FleetFileInput, ResourceStack } from '@lynxcourse/daemon'
import { domains, getVmIp, regions } from '../support/fleetProcesses.js'
import { createControlClient } from './controlClient.js'
import type { ControlClient } from './controlClient.js'
import type { SoakSize } from './faultPlan.js'
import { createHistory } from './history.js'
import type { SoakHistory } from './history.js'
import { createOperator } from './operator.js'
import type { Operator } from './operator.js'
import { createFakeServer } from './fakeServer.js'
import type { FakeServer } from './fakeServer.js'
import { createSoakVm } from './vmProcess.js'
import type { SoakVm } from './vmProcess.js'

/** The system under test and the history of one run. */
export interface SoakSystem {
  readonly size: SoakSize
  readonly history: SoakHistory
  readonly vms: readonly SoakVm[]
  readonly seeds: readonly string[]
  readonly servers: readonly FakeServer[]
  readonly domains: readonly FailureDomainId[]
  readonly services: readonly ServiceId[]
  readonly client: ControlClient
  readonly operator: Operator
}

const services = ['desk', 'ledger'].map(name => brandId<ServiceId>(name))

/** Creates a system whose VMs are not started yet; the stack owns the resources that it opens. */
export async function createSoakSystem (seed: number, size: SoakSize, folder: string, stack: ResourceStack): Promise<SoakSystem> {
  const random = createRandom(seed + 1)
  const history = createHistory()
  mkdirSync(folder, { recursive: true })
  const vms: SoakVm[] = []
  for (let index = 0; index < size.controls + size.entries; index++) {
    vms.push(addResource(stack, await createSoakVm(createVmSettings(index, size, folder), folder, history)))
  }
  const controls = vms.slice(0, size.controls)
  const servers: FakeServer[] = []
  for (let index = 0; index < size.servers; index++) {
    servers.push(addResource(stack, await createFakeServer(index, services[index % services.length] as ServiceId, domains[Math.floor(index / services.length) % domains.length] as FailureDomainId, history, random)))
  }
  const client = createControlClient(controls.map(vm => vm.rpc.address), random)
  addResource(stack, client.rpc)
  const seeds = controls.slice(0, 3).map(vm => vm.rpc.address)
  return { size, history, vms, seeds, servers, domains, services, client, operator: createOperator(client, history, services) }
}

/** Second octet of the first network that VMs of a soak use. */
const firstNet = 64

function createVmSettings (index: number, size: SoakSize, folder: string): FleetFileInput {
  const isControl = index < size.controls
  const ip = getVmIp(firstNet, index)
  const [rpc, callers, metrics] = [`${ip}:7100`, `${ip}:7000`, `${ip}:7200`]
  const domain = domains[index % domains.length] as FailureDomainId
  const region = brandId<RegionId>(domain.slice(0, -2))
  const name = isControl ? `control-${index}` : `entry-${index - size.controls}`
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
    resources: { memoryMb: 250, descriptors: 1000 },
    log: { format: 'json', level: 'info' }
  }
}
