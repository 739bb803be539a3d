/** Settings of a small Tidewise system on loopback: six failure domains, 8 VMs, 3 of them control. */
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import type { SettingsInput } from '@lynxcourse/daemon'

/** A VM of the small system. */
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

/** A region with its failure domains and its callers' block. */
export interface RegionPlan {
  readonly region: string
  readonly domains: readonly string[]
  readonly callerBlock: string
  /** First two octets of the block. */
  readonly callerNet: string
}

export const tidewiseRegions: readonly RegionPlan[] = [
  { region: 'kochi', domains: ['kochi-a', 'kochi-b'], callerBlock: '127.101.0.0/16', callerNet: '127.101' },
  { region: 'chennai', domains: ['chennai-a', 'chennai-b'], callerBlock: '127.102.0.0/16', callerNet: '127.102' },
  { region: 'mumbai', domains: ['mumbai-a', 'mumbai-b'], callerBlock: '127.103.0.0/16', callerNet: '127.103' }
]

/** A TCP port that is free on an address now. */
export async function freePort (ip: string): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, ip, resolve)
  })
  const { port } = server.address() as AddressInfo
  await new Promise<void>(resolve => server.close(() => resolve()))
  return port
}

/** Plans the VMs: one in each failure domain and then round again; the first of each region is control. */
export async function planVms (count: number, onePerRegion = false): Promise<VmPlan[]> {
  const domains = tidewiseRegions.flatMap((region, place) => region.domains.slice(0, onePerRegion ? 1 : undefined).map((domain, inner) => ({ region: region.region, domain, id: place * 10 + inner + 1 })))
  const plans: VmPlan[] = []
  for (let number = 0; number < count; number++) {
    const home = domains[number % domains.length]
    if (home === undefined) break
    const round = Math.floor(number / domains.length) + 1
    const ip = `127.0.${home.id}.${round}`
    const isControl = round === 1 && home.domain.endsWith('-a')
    plans.push({
      vm: `${home.domain}-${round}`,
      region: home.region,
      failureDomain: home.domain,
      isControl,
      ip,
      http: `${ip}:${await freePort(ip)}`,
      rpc: `${ip}:${await freePort(ip)}`,
      metrics: `${ip}:${await freePort(ip)}`
    })
  }
  return plans
}

/** The settings of one VM. */
export function settingsOf (plan: VmPlan, all: readonly VmPlan[], dataFolder: string, extra: Partial<SettingsInput> = {}): SettingsInput {
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
    ...extra
  } as SettingsInput
}
