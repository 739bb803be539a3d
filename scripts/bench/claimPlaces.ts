/** Where claims are kept: one group over three regions, or a group in Kochi with a witness outside. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createRandom, createRequestId } from '@lynxcourse/base'
import { callPeer, createRpcClient } from '@lynxcourse/daemon'
import { stringify } from 'yaml'
import { startDelayProxy } from '../support/delayProxy.js'
import type { DelayProxy } from '../support/delayProxy.js'
import { ended, kill, sleep, startDaemonProcess } from '../support/processes.js'
import type { DaemonProcess } from '../support/processes.js'
import { foundCluster, leadingVm } from '../support/system.js'
import { freePort, settingsOf, tidewiseRegions } from '../support/topology.js'
import type { VmPlan } from '../support/topology.js'
import { percentile, printTable } from '../support/tables.js'
import { round } from './measuring.js'

/** A way of placing the keepers, by failure domain. */
interface Placement {
  readonly name: string
  readonly keepers: readonly string[]
}

const placements: readonly Placement[] = [
  { name: 'one group: Kochi, Chennai, Mumbai', keepers: ['kochi-a', 'chennai-a', 'mumbai-a'] },
  { name: 'Kochi\'s group: two in Kochi, witness in Chennai', keepers: ['kochi-a', 'kochi-b', 'chennai-a'] }
]

const betweenRegionsMs = 35
const withinRegionMs = 0.5
const callTimeoutMs = 3000

interface Rig {
  readonly daemons: DaemonProcess[]
  readonly proxies: DelayProxy[]
}

function regionOf (domain: string): string {
  return tidewiseRegions.find(region => region.domains.includes(domain))?.region ?? ''
}

async function planKeepers (domains: readonly string[]): Promise<VmPlan[]> {
  return await Promise.all(domains.map(async (failureDomain, place) => {
    const ip = `127.0.70.${place + 1}`
    const [http, rpc, metrics] = await Promise.all([freePort(ip), freePort(ip), freePort(ip)])
    return { vm: `${failureDomain}-1`, region: regionOf(failureDomain), failureDomain, isControl: true, ip, http: `${ip}:${http}`, rpc: `${ip}:${rpc}`, metrics: `${ip}:${metrics}` }
  }))
}

function delayBetween (a: VmPlan, b: VmPlan): number {
  return a.region === b.region ? withinRegionMs : betweenRegionsMs
}

/** Starts the keepers; each reaches the others through forwarders that delay. */
async function startKeepers (plans: readonly VmPlan[], folder: string): Promise<Rig> {
  const proxies: DelayProxy[] = []
  const daemons: DaemonProcess[] = []
  for (const plan of plans) {
    const seen = await Promise.all(plans.map(async other => {
      if (other === plan) return other
      const proxy = await startDelayProxy('127.0.71.1', other.rpc, delayBetween(plan, other))
      proxies.push(proxy)
      return { ...other, rpc: proxy.address }
    }))
    daemons.push(startDaemonProcess(plan, settingsOf(plan, seen, folder, { log: { level: 'warn' } }), folder))
  }
  await foundCluster(plans)
  return { daemons, proxies }
}

async function leaderOf (plans: readonly VmPlan[]): Promise<VmPlan> {
  const name = await leadingVm(plans.map(plan => plan.rpc)).catch(() => undefined)
  const leader = plans.find(plan => plan.vm === name)
  if (leader === undefined) throw new Error('no leader')
  return leader
}

/** Makes a VM lead by freezing whoever else does for a while. */
async function makeLead (rig: Rig, wanted: (plan: VmPlan) => boolean): Promise<VmPlan> {
  const plans = rig.daemons.map(daemon => daemon.plan)
  for (let tries = 0; tries < 12; tries++) {
    const leader = await leaderOf(plans)
    if (wanted(leader)) return leader
    const daemon = rig.daemons.find(one => one.plan === leader)
    daemon?.child.kill('SIGSTOP')
    await sleep(2500)
    daemon?.child.kill('SIGCONT')
    await sleep(2500)
  }
  throw new Error('the lead did not move')
}

/** Latency of claims as Kochi's entry VM sees it, with its distance to the leader added by a forwarder. */
async function claimLatency (leader: VmPlan, count: number): Promise<number[]> {
  const oneWayMs = leader.region === 'kochi' ? withinRegionMs : betweenRegionsMs
  await using proxy = await startDelayProxy('127.0.71.1', leader.rpc, oneWayMs)
  await using client = createRpcClient({ timeoutMs: callTimeoutMs, localAddress: '', tls: () => undefined, metrics: undefined })
  const random = createRandom(9)
  const times: number[] = []
  for (let number = 0; number < count; number++) {
    const startedAt = performance.now()
    await callPeer(client, proxy.address, 'claims.submit', { commands: [{ type: 'claim', id: createRequestId(Date.now(), random), holder: 'bench/1', token: 't' }] })
    if (number > 2) times.push(performance.now() - startedAt)
  }
  return times
}

/** Kills all of Kochi, and waits until a claim is granted elsewhere. */
async function loseKochi (rig: Rig): Promise<string> {
  const [lost, left] = [rig.daemons.filter(one => one.plan.region === 'kochi'), rig.daemons.filter(one => one.plan.region !== 'kochi')]
  const startedAt = Date.now()
  for (const daemon of lost) await kill(daemon.child)
  await using client = createRpcClient({ timeoutMs: 1000, localAddress: '', tls: () => undefined, metrics: undefined })
  const random = createRandom(10)
  while (Date.now() - startedAt < 15_000) {
    for (const daemon of left) {
      const id = createRequestId(Date.now(), random)
      const granted = await callPeer(client, daemon.plan.rpc, 'claims.submit', { commands: [{ type: 'claim', id, holder: 'bench/2', token: 't' }] }).then(() => true, () => false)
      if (granted) return `${Date.now() - startedAt} ms without claims`
    }
    await sleep(20)
  }
  return 'no claims until Kochi is back (waited 15 s)'
}

/** Runs the bench. */
export async function benchClaimPlaces (quick: boolean): Promise<void> {
  const rows: object[] = []
  for (const placement of placements) {
    const folder = mkdtempSync(join(tmpdir(), 'lynxcourse-claims-'))
    const plans = await planKeepers(placement.keepers)
    const rig = await startKeepers(plans, folder)
    try {
      writeFileSync(join(folder, 'p.yaml'), stringify({ name: 'p', places: ['kochi'] }))
      const near = await makeLead(rig, plan => plan.region === 'kochi')
      const nearTimes = await claimLatency(near, quick ? 20 : 60)
      const far = placement.keepers.includes('mumbai-a') ? await makeLead(rig, plan => plan.region !== 'kochi') : undefined
      const farTimes = far === undefined ? [] : await claimLatency(far, quick ? 20 : 60)
      rows.push({
        placement: placement.name,
        leaderInKochiP50: round(percentile(nearTimes, 0.5)),
        leaderInKochiP99: round(percentile(nearTimes, 0.99)),
        leaderElsewhereP50: far === undefined ? '-' : round(percentile(farTimes, 0.5)),
        lossOfKochi: await loseKochi(rig)
      })
    } finally {
      for (const daemon of rig.daemons) daemon.child.kill('SIGKILL')
      await Promise.all(rig.daemons.map(async daemon => await ended(daemon.child)))
      for (const proxy of rig.proxies) await proxy[Symbol.asyncDispose]()
      rmSync(folder, { recursive: true, force: true })
    }
  }
  printTable('Where claims are kept: added latency of a firm offer in Kochi, ms (35 ms one way between regions)', rows)
}
