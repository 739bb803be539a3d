/** Measures a running system: the costs of members and claims, and how fast changes spread and a VM catches up. */
import { rmSync } from 'node:fs'
import { join } from 'node:path'
import { createRandom, createRequestId } from '@lynxcourse/base'
import { callPeer, createRpcClient } from '@lynxcourse/daemon'
import type { RpcClient } from '@lynxcourse/daemon'
import { forkScript, kill, runCliOrThrow, sleep, startDaemonProcess, waitUntil, checkHealth } from '../support/processes.js'
import { planVms, buildSettings } from '../support/topology.js'
import { findLeaderName, restartVm } from '../support/system.js'
import type { SmallSystem } from '../support/system.js'
import { percentile } from '../support/tables.js'
import { sendCommand, getCpuSeconds, readMetric, getResidentMb, round } from './measure.js'
import type { MemberCost, MemberVersions } from './memberHost.js'
import { recordSlope } from './capacityFigures.js'
import type { CapacityFigures } from './capacityFigures.js'
const membersPerProcess = 100

interface ControlReading { readonly cpu: number, readonly bytesIn: number, readonly bytesOut: number, readonly at: number }

async function readControlVms (system: SmallSystem): Promise<ControlReading[]> {
  return await Promise.all(system.daemons.map(async daemon => ({
    cpu: getCpuSeconds(daemon.child.pid ?? 0),
    bytesIn: await readMetric(daemon.plan, 'lynxcourse_rpc_wire_bytes_total', 'in'),
    bytesOut: await readMetric(daemon.plan, 'lynxcourse_rpc_wire_bytes_total', 'out'),
    at: performance.now()
  })))
}

async function findLeaderIndex (system: SmallSystem): Promise<number> {
  const leader = await findLeaderName(system.rpc)
  return Math.max(0, system.daemons.findIndex(daemon => daemon.plan.vm === leader))
}

/** Measures the costs of control by number of members: at the leader, at all control VMs and at the members. */
export async function measureMembers (figures: CapacityFigures, system: SmallSystem, quick: boolean): Promise<void> {
  const sizes = quick ? [6, 12, 24] : [12, 100, 300]
  const seconds = quick ? 3 : 10
  const control = system.plans
  const hosts = Array.from({ length: quick ? 1 : 3 }, () => forkScript('../bench/memberHost.js', []))
  const leaderCpu: Array<[number, number]> = []
  const controlBytes: Array<[number, number]> = []
  const controlMb: Array<[number, number]> = []
  const memberCpu: Array<[number, number]> = []
  const memberMb: Array<[number, number]> = []
  let started = 0
  for (const size of sizes) {
    for (let number = started; number < size;) {
      const host = hosts[Math.floor(number / membersPerProcess) % hosts.length]
      const count = Math.min(size - number, membersPerProcess - number % membersPerProcess)
      if (host !== undefined) await sendCommand(host, { type: 'start', count, first: number, control })
      number += count
    }
    started = size
    await sleep(4000)
    const leader = await findLeaderIndex(system)
    const before = await readControlVms(system)
    const costBefore = await Promise.all(hosts.map(async host => await sendCommand<MemberCost>(host, { type: 'cost' })))
    await sleep(seconds * 1000)
    const after = await readControlVms(system)
    const costAfter = await Promise.all(hosts.map(async host => await sendCommand<MemberCost>(host, { type: 'cost' })))
    const elapsedSeconds = ((after[0]?.at ?? 0) - (before[0]?.at ?? 0)) / 1000
    const rate = (pick: (reading: ControlReading) => number, index: number): number => (pick(after[index] as ControlReading) - pick(before[index] as ControlReading)) / elapsedSeconds
    leaderCpu.push([size, rate(reading => reading.cpu, leader) * 100])
    const bytes = system.daemons.reduce((sum, _, index) => sum + rate(reading => reading.bytesIn + reading.bytesOut, index), 0)
    controlBytes.push([size, bytes])
    controlMb.push([size, Math.max(...system.daemons.map(daemon => getResidentMb(daemon.child.pid ?? 0)))])
    const cpu = costAfter.reduce((sum, cost, index) => sum + cost.cpuSeconds - (costBefore[index]?.cpuSeconds ?? 0), 0)
    memberCpu.push([size, cpu / elapsedSeconds * 100])
    memberMb.push([size, costAfter.reduce((sum, cost) => sum + cost.rssMb, 0)])
  }
  recordSlope(figures, 'leader processor share', '% of a core', 'member', leaderCpu)
  recordSlope(figures, 'control traffic at all control VMs', 'bytes/s', 'member', controlBytes)
  recordSlope(figures, 'memory of the largest control VM', 'MB', 'member', controlMb)
  recordSlope(figures, 'processor share of members', '% of a core', 'member', memberCpu)
  recordSlope(figures, 'memory of members in shared processes', 'MB', 'member', memberMb)
  await measurePropagation(figures, system, hosts, quick)
  await measureCatchUp(figures, system, quick)
  for (const host of hosts) await kill(host)
}

/** Measures the memory of an entry daemon and of a bare HTTP server, each in a separate process. */
export async function measureProcesses (figures: CapacityFigures, system: SmallSystem): Promise<void> {
  const [entryPlan] = (await planVms(6)).filter(plan => !plan.isControl)
  if (entryPlan === undefined) return
  const entry = startDaemonProcess(entryPlan, buildSettings(entryPlan, [...system.plans, entryPlan], '', { log: { level: 'error' } }), system.folder)
  await waitUntil('the entry VM is ready', async () => await checkHealth(entryPlan, '/readyz'))
  const bare = forkScript('../bench/bareServers.js', [])
  await sendCommand(bare, { kind: 'fixed', ip: '127.0.90.1', bytes: 10, target: '' })
  await sleep(5000)
  figures.single['entryProcessMb'] = round(getResidentMb(entry.child.pid ?? 0))
  figures.single['bareProcessMb'] = round(getResidentMb(bare.pid ?? 0))
  await kill(entry.child)
  await kill(bare)
}

/** Measures the time until a change has reached every member. */
async function measurePropagation (figures: CapacityFigures, system: SmallSystem, hosts: ReadonlyArray<ReturnType<typeof forkScript>>, quick: boolean): Promise<void> {
  const client = createRpcClient({ timeoutMs: 5000, localAddress: '', tls: () => undefined, metrics: undefined })
  const times: number[] = []
  const changes = quick ? 3 : 20
  const before = await readControlVms(system)
  for (let number = 0; number < changes; number++) {
    const startedAt = Date.now()
    const answer = await publish(client, system, `spread-${number}`, 0)
    let lastReachedAt = 0
    await waitUntil('a change has reached all members', async () => {
      const states = await Promise.all(hosts.map(async host => await sendCommand<MemberVersions>(host, { type: 'versions' })))
      const nodes = states.reduce((sum, state) => sum + state.nodes, 0)
      const reached = states.map(state => state.versions.find(([version]) => version === answer.version))
      const count = reached.reduce((sum, entry) => sum + (entry?.[1] ?? 0), 0)
      lastReachedAt = Math.max(...reached.map(entry => entry?.[2] ?? 0))
      return count >= nodes
    })
    times.push(lastReachedAt - startedAt)
  }
  const after = await readControlVms(system)
  await client[Symbol.asyncDispose]()
  figures.single['spreadP50Ms'] = round(percentile(times, 0.5))
  figures.single['spreadMaxMs'] = round(Math.max(...times))
  figures.single['spreadChanges'] = changes
  figures.single['diskSyncsPerChange'] = 1
  if (before.length !== after.length) throw new Error('a control VM has disappeared')
}

async function publish (client: RpcClient, system: SmallSystem, name: string, expectedVersion: number): Promise<{ version: number }> {
  const profile = { name, places: ['kochi', 'chennai', 'mumbai'] }
  for (const address of system.rpc) {
    try {
      return await callPeer<{ version: number }>(client, address, 'change.submit', { change: { type: 'publishProfile', changeId: `bench-${name}-${expectedVersion}`, operator: 'bench', expectedVersion, profile } })
    } catch {
      // Another VM may know the leader.
    }
  }
  throw new Error('no VM accepted the change')
}

/** Measures how fast a control VM catches up after it missed hundreds of changes, and after its disk was emptied. */
async function measureCatchUp (figures: CapacityFigures, system: SmallSystem, quick: boolean): Promise<void> {
  const client = createRpcClient({ timeoutMs: 5000, localAddress: '', tls: () => undefined, metrics: undefined })
  const leader = await findLeaderIndex(system)
  const victimIndex = system.daemons.findIndex((daemon, number) => number !== leader && daemon.plan.isControl)
  const victim = system.daemons[victimIndex]
  if (victim === undefined) return
  const changes = quick ? 30 : 500
  const measureReadyMs = async (): Promise<number> => {
    const startedAt = performance.now()
    await waitUntil('the VM is ready', async () => await checkHealth(victim.plan, '/readyz'))
    return performance.now() - startedAt
  }
  await kill(victim.child)
  const startedAt = performance.now()
  for (let number = 0; number < changes; number++) await publish(client, system, `away-${number % 100}`, Math.floor(number / 100))
  figures.single['changesPerSecondOneByOne'] = round(changes / ((performance.now() - startedAt) / 1000))
  restartVm(system, victim)
  figures.single['restartAfterChangesMs'] = round(await measureReadyMs())
  figures.single['restartChanges'] = changes
  await kill(victim.child)
  rmSync(join(system.folder, victim.plan.vm), { recursive: true, force: true })
  restartVm(system, victim)
  const emptiedAt = performance.now()
  await waitUntil('the emptied VM is a voter again', async () => {
    const rows = JSON.parse((await runCliOrThrow([victim.plan.rpc], ['status'])).stdout) as Array<{ log: { id: string, members: Array<{ id: string, voter: boolean }> } | null }>
    const log = rows[0]?.log
    return log?.members.some(member => member.id === log.id && member.voter) ?? false
  }, 30_000)
  figures.single['emptyDiskToVoterMs'] = round(performance.now() - emptiedAt)
  await client[Symbol.asyncDispose]()
}

/** Measures processor time, latency, disk syncs and bytes at the control VMs by claims per second. */
export async function measureClaims (figures: CapacityFigures, system: SmallSystem, quick: boolean): Promise<void> {
  const rates = quick ? [100, 200, 400] : [250, 500, 1000, 2000]
  const seconds = quick ? 2 : 5
  const client = createRpcClient({ timeoutMs: 5000, localAddress: '', tls: () => undefined, metrics: undefined })
  const cpu: Array<[number, number]> = []
  const followerCpu: Array<[number, number]> = []
  const bytes: Array<[number, number]> = []
  const random = createRandom(5)
  // A warm-up run, so that JIT compilation during the first claims doesn't count.
  const warmUpTarget = system.daemons[await findLeaderIndex(system)]
  if (warmUpTarget !== undefined) await sendClaims(client, warmUpTarget.plan.rpc, rates[0] ?? 100, seconds, random)
  for (const rate of rates) {
    const leader = await findLeaderIndex(system)
    const target = system.daemons[leader]
    if (target === undefined) return
    const before = await readControlVms(system)
    const syncsBefore = await readMetric(target.plan, 'lynxcourse_disk_syncs_total')
    const latencies = await sendClaims(client, target.plan.rpc, rate, seconds, random)
    const after = await readControlVms(system)
    const elapsedSeconds = ((after[leader]?.at ?? 0) - (before[leader]?.at ?? 0)) / 1000
    cpu.push([rate, ((after[leader]?.cpu ?? 0) - (before[leader]?.cpu ?? 0)) / elapsedSeconds * 100])
    const follower = (leader + 1) % system.daemons.length
    followerCpu.push([rate, ((after[follower]?.cpu ?? 0) - (before[follower]?.cpu ?? 0)) / elapsedSeconds * 100])
    bytes.push([rate, system.daemons.reduce((sum, _, index) => sum + ((after[index]?.bytesIn ?? 0) - (before[index]?.bytesIn ?? 0)) / elapsedSeconds, 0)])
    figures.single[`claimP50MsAt${rate}`] = round(percentile(latencies, 0.5))
    figures.single[`claimP99MsAt${rate}`] = round(percentile(latencies, 0.99))
    figures.single[`diskSyncsPerSecondAt${rate}`] = round(((await readMetric(target.plan, 'lynxcourse_disk_syncs_total')) - syncsBefore) / elapsedSeconds)
  }
  recordSlope(figures, 'leader processor share by claims', '% of a core', 'claim/s', cpu)
  recordSlope(figures, 'follower processor share by claims', '% of a core', 'claim/s', followerCpu)
  recordSlope(figures, 'bytes into control VMs by claims', 'bytes/s', 'claim/s', bytes)
  await client[Symbol.asyncDispose]()
}

const claimTickMs = 10

async function sendClaims (client: RpcClient, address: string, rate: number, seconds: number, random: () => number): Promise<number[]> {
  const latencies: number[] = []
  const inFlight = new Set<Promise<void>>()
  let dueClaims = 0
  const end = performance.now() + seconds * 1000
  let lastTickAt = performance.now()
  while (performance.now() < end) {
    await sleep(claimTickMs)
    dueClaims += (performance.now() - lastTickAt) / 1000 * rate
    lastTickAt = performance.now()
    const count = Math.min(200, Math.floor(dueClaims))
    dueClaims -= count
    if (count === 0) continue
    const commands = Array.from({ length: count }, () => ({ type: 'claim', id: createRequestId(Date.now(), random), holder: 'bench/1', token: 't' }))
    const sentAt = performance.now()
    const call = callPeer(client, address, 'claims.submit', { commands }).then(() => { latencies.push(performance.now() - sentAt) }, () => undefined)
    inFlight.add(call)
    call.finally(() => inFlight.delete(call)).catch(() => undefined)
  }
  await Promise.all(inFlight)
  return latencies
}
