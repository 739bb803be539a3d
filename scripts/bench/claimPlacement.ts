/** Compares two placements of the control VMs that store claims: one group over three regions, or a group in Kochi with a witness outside. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createRandom, createRequestId } from '@lynxcourse/base'
import { callPeer, createRpcClient } from '@lynxcourse/daemon'
import { stringify } from 'yaml'
import { startDelayProxy } from '../support/delayProxy.js'
import type { DelayProxy } from '../support/delayProxy.js'
import { waitForExit, kill, sleep, startDaemonProcess } from '../support/processes.js'
import type { DaemonProcess } from '../support/processes.js'
import { initCluster, findLeaderName } from '../support/system.js'
import { findFreePort, buildSettings, tidewiseRegions } from '../support/topology.js'
import type { VmPlan } from '../support/topology.js'
import { percentile, printTable } from '../support/tables.js'
import { round } from './measure.js'

/** The failure domains of the control VMs that store claims. */
interface Placement {
  readonly name: string
  readonly failureDomains: readonly string[]
}

const placements: readonly Placement[] = [
  { name: 'one group: Kochi, Chennai, Mumbai', failureDomains: ['kochi-a', 'chennai-a', 'mumbai-a'] },
  { name: 'Kochi\'s group: two in Kochi, witness in Chennai', failureDomains: ['kochi-a', 'kochi-b', 'chennai-a'] }
]

const interRegionDelayMs = 35
const intraRegionDelayMs = 0.5
const callTimeoutMs = 3000

interface ControlGroup {
  readonly daemons: DaemonProcess[]
  readonly proxies: DelayProxy[]
}

function getRegion (domain: string): string {
  return tidewiseRegions.find(region => region.domains.includes(domain))?.region ?? ''
}

async function planControlVms (domains: readonly string[]): Promise<VmPlan[]> {
  return await Promise.all(domains.map(async (failureDomain, index) => {
    const ip = `127.0.70.${index + 1}`
    const [http, rpc, metrics] = await Promise.all([findFreePort(ip), findFreePort(ip), findFreePort(ip)])
    return { vm: `${failureDomain}-1`, region: getRegion(failureDomain), failureDomain, isControl: true, ip, http: `${ip}:${http}`, rpc: `${ip}:${rpc}`, metrics: `${ip}:${metrics}` }
  }))
}

function getOneWayDelay (a: VmPlan, b: VmPlan): number {
  return a.region === b.region ? intraRegionDelayMs : interRegionDelayMs
}

/** Starts the control VMs; each reaches the others through proxies that add the network delay. */
async function startControlGroup (plans: readonly VmPlan[], folder: string): Promise<ControlGroup> {
  const proxies: DelayProxy[] = []
  const daemons: DaemonProcess[] = []
  for (const plan of plans) {
    const reachablePlans = await Promise.all(plans.map(async other => {
      if (other === plan) return other
      const proxy = await startDelayProxy('127.0.71.1', other.rpc, getOneWayDelay(plan, other))
      proxies.push(proxy)
      return { ...other, rpc: proxy.address }
    }))
    daemons.push(startDaemonProcess(plan, buildSettings(plan, reachablePlans, folder, { log: { level: 'warn' } }), folder))
  }
  await initCluster(plans)
  return { daemons, proxies }
}

async function findLeader (plans: readonly VmPlan[]): Promise<VmPlan> {
  const name = await findLeaderName(plans.map(plan => plan.rpc)).catch(() => undefined)
  const leader = plans.find(plan => plan.vm === name)
  if (leader === undefined) throw new Error('no leader')
  return leader
}

/** Moves leadership to a VM that matches, by stopping any other leader for 2.5 s. */
async function moveLeader (group: ControlGroup, isWanted: (plan: VmPlan) => boolean): Promise<VmPlan> {
  const plans = group.daemons.map(daemon => daemon.plan)
  for (let attempt = 0; attempt < 12; attempt++) {
    const leader = await findLeader(plans)
    if (isWanted(leader)) return leader
    const daemon = group.daemons.find(one => one.plan === leader)
    daemon?.child.kill('SIGSTOP')
    await sleep(2500)
    daemon?.child.kill('SIGCONT')
    await sleep(2500)
  }
  throw new Error('no matching VM became the leader')
}

/** Measures the latency of claims from an entry VM in Kochi; a proxy adds the network delay to the leader. */
async function measureClaimLatency (leader: VmPlan, count: number): Promise<number[]> {
  const oneWayMs = leader.region === 'kochi' ? intraRegionDelayMs : interRegionDelayMs
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

/** Kills all VMs in Kochi, and waits until another VM grants a claim. */
async function measureKochiLoss (group: ControlGroup): Promise<string> {
  const [lost, left] = [group.daemons.filter(one => one.plan.region === 'kochi'), group.daemons.filter(one => one.plan.region !== 'kochi')]
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

/** Runs the benchmark. */
export async function benchClaimPlacement (quick: boolean): Promise<void> {
  const rows: object[] = []
  for (const placement of placements) {
    const folder = mkdtempSync(join(tmpdir(), 'lynxcourse-claims-'))
    const plans = await planControlVms(placement.failureDomains)
    const group = await startControlGroup(plans, folder)
    try {
      writeFileSync(join(folder, 'p.yaml'), stringify({ name: 'p', places: ['kochi'] }))
      const localLeader = await moveLeader(group, plan => plan.region === 'kochi')
      const localTimes = await measureClaimLatency(localLeader, quick ? 20 : 60)
      const remoteLeader = placement.failureDomains.includes('mumbai-a') ? await moveLeader(group, plan => plan.region !== 'kochi') : undefined
      const remoteTimes = remoteLeader === undefined ? [] : await measureClaimLatency(remoteLeader, quick ? 20 : 60)
      rows.push({
        placement: placement.name,
        leaderInKochiP50: round(percentile(localTimes, 0.5)),
        leaderInKochiP99: round(percentile(localTimes, 0.99)),
        leaderElsewhereP50: remoteLeader === undefined ? '-' : round(percentile(remoteTimes, 0.5)),
        lossOfKochi: await measureKochiLoss(group)
      })
    } finally {
      for (const daemon of group.daemons) daemon.child.kill('SIGKILL')
      await Promise.all(group.daemons.map(async daemon => await waitForExit(daemon.child)))
      for (const proxy of group.proxies) await proxy[Symbol.asyncDispose]()
      rmSync(folder, { recursive: true, force: true })
    }
  }
  printTable('Where claims are kept: added latency of a firm offer in Kochi, ms (35 ms one way between regions)', rows)
}
