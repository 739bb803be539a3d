/** Topology and settings of a small Tidewise system on loopback: three regions with two failure domains each. */
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import type { SettingsInput } from '@lynxcourse/daemon'

/** Location, addresses and role of one VM. */
export interface VmPlan {
  readonly vm: string
  readonly region: string
  readonly failureDomain: string
  readonly isControl: boolean
  readonly ip: string
  readonly http: string
  readonly rpc: string
  readonly metrics: string
}

/** A region, its failure domains and the address block of its callers. */
export interface RegionPlan {
  readonly region: string
  readonly domains: readonly string[]
  readonly callerBlock: string
  /** First two octets of the addresses in `callerBlock`. */
  readonly callerNet: string
}

export const tidewiseRegions: readonly RegionPlan[] = [
  { region: 'kochi', domains: ['kochi-a', 'kochi-b'], callerBlock: '127.101.0.0/16', callerNet: '127.101' },
  { region: 'chennai', domains: ['chennai-a', 'chennai-b'], callerBlock: '127.102.0.0/16', callerNet: '127.102' },
  { region: 'mumbai', domains: ['mumbai-a', 'mumbai-b'], callerBlock: '127.103.0.0/16', callerNet: '127.103' }
]

/** Finds a TCP port that is currently free on an address. */
export async function findFreePort (ip: string): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, ip, resolve)
  })
  const { port } = server.address() as AddressInfo
  await new Promise<void>(resolve => server.close(() => resolve()))
  return port
}

/**
 * Plans VMs and assigns them to the failure domains in turn. The first VM of each region is a control VM.
 * With `onePerRegion` only the first failure domain of each region is used.
 */
export async function planVms (count: number, onePerRegion = false): Promise<VmPlan[]> {
  const domains = tidewiseRegions.flatMap((region, regionIndex) => region.domains.slice(0, onePerRegion ? 1 : undefined).map((domain, domainIndex) => ({ region: region.region, domain, id: regionIndex * 10 + domainIndex + 1 })))
  const plans: VmPlan[] = []
  for (let index = 0; index < count; index++) {
    const location = domains[index % domains.length]
    if (location === undefined) break
    const round = Math.floor(index / domains.length) + 1
    const ip = `127.0.${location.id}.${round}`
    const isControl = round === 1 && location.domain.endsWith('-a')
    plans.push({
      vm: `${location.domain}-${round}`,
      region: location.region,
      failureDomain: location.domain,
      isControl,
      ip,
      http: `${ip}:${await findFreePort(ip)}`,
      rpc: `${ip}:${await findFreePort(ip)}`,
      metrics: `${ip}:${await findFreePort(ip)}`
    })
  }
  return plans
}

/** Builds the settings of one VM. */
export function buildSettings (plan: VmPlan, all: readonly VmPlan[], dataFolder: string, overrides: Partial<SettingsInput> = {}): SettingsInput {
  const seeds = all.filter(other => other.isControl).map(({ vm, region, rpc }) => ({ vm, region, rpc }))
  const regions = Object.fromEntries(tidewiseRegions.map(region => [region.region, region.domains]))
  return {
    vm: plan.vm,
    region: plan.region,
    failureDomain: plan.failureDomain,
    roles: plan.isControl ? ['entry', 'control'] : ['entry'],
    listen: { http: plan.http, rpc: plan.rpc, metrics: plan.metrics },
    ...(plan.isControl ? { dataFolder } : {}),
    seeds,
    topology: { regions, latenciesMs: { 'kochi>chennai': 35, 'kochi>mumbai': 35, 'chennai>mumbai': 35 } },
    callerBlocks: tidewiseRegions.map(({ callerBlock, region }) => ({ cidr: callerBlock, region })),
    ...overrides
  } as SettingsInput
}
