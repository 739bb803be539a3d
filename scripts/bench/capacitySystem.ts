/** Slopes of a running system: what members and claims cost, how fast changes spread, how fast a VM catches up. */
import { rmSync } from 'node:fs'
import { join } from 'node:path'
import { createRandom, createRequestId } from '@lynxcourse/base'
import { callPeer, createRpcClient } from '@lynxcourse/daemon'
import type { RpcClient } from '@lynxcourse/daemon'
import { forkScript, kill, mustCli, sleep, startDaemonProcess, until, answers } from '../support/processes.js'
import { planVms, settingsOf } from '../support/topology.js'
import { leadingVm, restartVm } from '../support/system.js'
import type { SmallSystem } from '../support/system.js'
import { percentile } from '../support/tables.js'
import { askChild, cpuSeconds, metric, residentMb, round } from './measuring.js'
import type { MemberCost, MemberVersions } from './memberHost.js'
import { slope } from './capacityFigures.js'
import type { CapacityFigures } from './capacityFigures.js'
const membersPerProcess = 100

interface ControlReading { readonly cpu: number, readonly bytesIn: number, readonly bytesOut: number, readonly at: number }

async function readControl (system: SmallSystem): Promise<ControlReading[]> {
  return await Promise.all(system.daemons.map(async daemon => ({
    cpu: cpuSeconds(daemon.child.pid ?? 0),
    bytesIn: await metric(daemon.plan, 'lynxcourse_rpc_wire_bytes_total', 'in'),
    bytesOut: await metric(daemon.plan, 'lynxcourse_rpc_wire_bytes_total', 'out'),
    at: performance.now()
  })))
}

async function leaderIndex (system: SmallSystem): Promise<number> {
  const leader = await leadingVm(system.rpc)
  return Math.max(0, system.daemons.findIndex(daemon => daemon.plan.vm === leader))
}

/** Costs of control by number of members: at the leader, at all control VMs, and at the members. */
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
      if (host !== undefined) await askChild(host, { type: 'start', count, first: number, control })
      number += count
    }
    started = size
    await sleep(4000)
    const leader = await leaderIndex(system)
    const before = await readControl(system)
    const costBefore = await Promise.all(hosts.map(async host => await askChild<MemberCost>(host, { type: 'cost' })))
    await sleep(seconds * 1000)
    const after = await readControl(system)
    const costAfter = await Promise.all(hosts.map(async host => await askChild<MemberCost>(host, { type: 'cost' })))
    const lasted = ((after[0]?.at ?? 0) - (before[0]?.at ?? 0)) / 1000
    const rate = (pick: (reading: ControlReading) => number, place: number): number => (pick(after[place] as ControlReading) - pick(before[place] as ControlReading)) / lasted
    leaderCpu.push([size, rate(reading => reading.cpu, leader) * 100])
    const bytes = system.daemons.reduce((sum, _, place) => sum + rate(reading => reading.bytesIn + reading.bytesOut, place), 0)
    controlBytes.push([size, bytes])
    controlMb.push([size, Math.max(...system.daemons.map(daemon => residentMb(daemon.child.pid ?? 0)))])
    const cpu = costAfter.reduce((sum, cost, place) => sum + cost.cpuSeconds - (costBefore[place]?.cpuSeconds ?? 0), 0)
    memberCpu.push([size, cpu / lasted * 100])
    memberMb.push([size, costAfter.reduce((sum, cost) => sum + cost.rssMb, 0)])
  }
  slope(figures, 'leader processor share', '% of a core', 'member', leaderCpu)
  slope(figures, 'control traffic at all control VMs', 'bytes/s', 'member', controlBytes)
  slope(figures, 'memory of the largest control VM', 'MB', 'member', controlMb)
  slope(figures, 'processor share of members', '% of a core', 'member', memberCpu)
  slope(figures, 'memory of members in shared processes', 'MB', 'member', memberMb)
  await measureSpread(figures, system, hosts, quick)
  await measureCatchUp(figures, system, quick)
  for (const host of hosts) await kill(host)
}

/** Memory of a whole entry daemon and of a bare HTTP server, as processes of their own. */
export async function measureProcesses (figures: CapacityFigures, system: SmallSystem): Promise<void> {
  const [entryPlan] = (await planVms(6)).filter(plan => !plan.isControl)
  if (entryPlan === undefined) return
  const entry = startDaemonProcess(entryPlan, settingsOf(entryPlan, [...system.plans, entryPlan], '', { log: { level: 'error' } }), system.folder)
  await until('the entry VM is ready', async () => await answers(entryPlan, '/readyz'))
  const bare = forkScript('../bench/bareServers.js', [])
  await askChild(bare, { kind: 'fixed', ip: '127.0.90.1', bytes: 10, target: '' })
  await sleep(5000)
  figures.single['entryProcessMb'] = round(residentMb(entry.child.pid ?? 0))
  figures.single['bareProcessMb'] = round(residentMb(bare.pid ?? 0))
  await kill(entry.child)
  await kill(bare)
}

/** Time until a change has reached every member, and what it costs in bytes. */
async function measureSpread (figures: CapacityFigures, system: SmallSystem, hosts: ReadonlyArray<ReturnType<typeof forkScript>>, quick: boolean): Promise<void> {
  const client = createRpcClient({ timeoutMs: 5000, localAddress: '', tls: () => undefined, metrics: undefined })
  const times: number[] = []
  const changes = quick ? 3 : 20
  const before = await readControl(system)
  for (let number = 0; number < changes; number++) {
    const startedAt = Date.now()
    const answer = await publish(client, system, `spread-${number}`, 0)
    let last = 0
    await until('a change reaches all members', async () => {
      const states = await Promise.all(hosts.map(async host => await askChild<MemberVersions>(host, { type: 'versions' })))
      const nodes = states.reduce((sum, state) => sum + state.nodes, 0)
      const reached = states.map(state => state.versions.find(([version]) => version === answer.version))
      const count = reached.reduce((sum, entry) => sum + (entry?.[1] ?? 0), 0)
      last = Math.max(...reached.map(entry => entry?.[2] ?? 0))
      return count >= nodes
    })
    times.push(last - startedAt)
  }
  const after = await readControl(system)
  await client[Symbol.asyncDispose]()
  figures.single['spreadP50Ms'] = round(percentile(times, 0.5))
  figures.single['spreadMaxMs'] = round(Math.max(...times))
  figures.single['spreadChanges'] = changes
  figures.single['diskSyncsPerChange'] = 1
  if (before.length !== after.length) throw new Error('a control VM went')
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
  throw new Error('no VM took the change')
}

/** A control VM that was away for hundreds of changes, and one whose disk was emptied. */
async function measureCatchUp (figures: CapacityFigures, system: SmallSystem, quick: boolean): Promise<void> {
  const client = createRpcClient({ timeoutMs: 5000, localAddress: '', tls: () => undefined, metrics: undefined })
  const leader = await leaderIndex(system)
  const place = system.daemons.findIndex((daemon, number) => number !== leader && daemon.plan.isControl)
  const victim = system.daemons[place]
  if (victim === undefined) return
  const changes = quick ? 30 : 500
  const readyAfter = async (): Promise<number> => {
    const startedAt = performance.now()
    await until('the VM is ready', async () => await answers(victim.plan, '/readyz'))
    return performance.now() - startedAt
  }
  await kill(victim.child)
  const startedAt = performance.now()
  for (let number = 0; number < changes; number++) await publish(client, system, `away-${number % 100}`, Math.floor(number / 100))
  figures.single['changesPerSecondOneByOne'] = round(changes / ((performance.now() - startedAt) / 1000))
  restartVm(system, victim)
  figures.single['restartAfterChangesMs'] = round(await readyAfter())
  figures.single['restartChanges'] = changes
  await kill(victim.child)
  rmSync(join(system.folder, victim.plan.vm), { recursive: true, force: true })
  restartVm(system, victim)
  const emptiedAt = performance.now()
  await until('the emptied VM is a voter again', async () => {
    const rows = JSON.parse((await mustCli([victim.plan.rpc], ['status'])).stdout) as Array<{ log: { id: string, members: Array<{ id: string, voter: boolean }> } | null }>
    const log = rows[0]?.log
    return log?.members.some(member => member.id === log.id && member.voter) ?? false
  }, 30_000)
  figures.single['emptyDiskToVoterMs'] = round(performance.now() - emptiedAt)
  await client[Symbol.asyncDispose]()
}

/** Processor time at the leader, disk syncs and bytes by claims a second. */
export async function measureClaims (figures: CapacityFigures, system: SmallSystem, quick: boolean): Promise<void> {
  const rates = quick ? [100, 200, 400] : [250, 500, 1000, 2000]
  const seconds = quick ? 2 : 5
  const client = createRpcClient({ timeoutMs: 5000, localAddress: '', tls: () => undefined, metrics: undefined })
  const cpu: Array<[number, number]> = []
  const followerCpu: Array<[number, number]> = []
  const bytes: Array<[number, number]> = []
  const random = createRandom(5)
  // Once unmeasured, so that the compiler's work on the first claims doesn't count.
  const warm = system.daemons[await leaderIndex(system)]
  if (warm !== undefined) await claimAt(client, warm.plan.rpc, rates[0] ?? 100, seconds, random)
  for (const rate of rates) {
    const leader = await leaderIndex(system)
    const target = system.daemons[leader]
    if (target === undefined) return
    const before = await readControl(system)
    const syncsBefore = await metric(target.plan, 'lynxcourse_disk_syncs_total')
    const latencies = await claimAt(client, target.plan.rpc, rate, seconds, random)
    const after = await readControl(system)
    const lasted = ((after[leader]?.at ?? 0) - (before[leader]?.at ?? 0)) / 1000
    cpu.push([rate, ((after[leader]?.cpu ?? 0) - (before[leader]?.cpu ?? 0)) / lasted * 100])
    const follower = (leader + 1) % system.daemons.length
    followerCpu.push([rate, ((after[follower]?.cpu ?? 0) - (before[follower]?.cpu ?? 0)) / lasted * 100])
    bytes.push([rate, system.daemons.reduce((sum, _, place) => sum + ((after[place]?.bytesIn ?? 0) - (before[place]?.bytesIn ?? 0)) / lasted, 0)])
    figures.single[`claimP50MsAt${rate}`] = round(percentile(latencies, 0.5))
    figures.single[`claimP99MsAt${rate}`] = round(percentile(latencies, 0.99))
    figures.single[`diskSyncsPerSecondAt${rate}`] = round(((await metric(target.plan, 'lynxcourse_disk_syncs_total')) - syncsBefore) / lasted)
  }
  slope(figures, 'leader processor share by claims', '% of a core', 'claim/s', cpu)
  slope(figures, 'follower processor share by claims', '% of a core', 'claim/s', followerCpu)
  slope(figures, 'bytes into control VMs by claims', 'bytes/s', 'claim/s', bytes)
  await client[Symbol.asyncDispose]()
}

const claimTurnMs = 10

async function claimAt (client: RpcClient, address: string, rate: number, seconds: number, random: () => number): Promise<number[]> {
  const latencies: number[] = []
  const open = new Set<Promise<void>>()
  let owed = 0
  const end = performance.now() + seconds * 1000
  let last = performance.now()
  while (performance.now() < end) {
    await sleep(claimTurnMs)
    owed += (performance.now() - last) / 1000 * rate
    last = performance.now()
    const count = Math.min(200, Math.floor(owed))
    owed -= count
    if (count === 0) continue
    const commands = Array.from({ length: count }, () => ({ type: 'claim', id: createRequestId(Date.now(), random), holder: 'bench/1', token: 't' }))
    const sentAt = performance.now()
    const work = callPeer(client, address, 'claims.submit', { commands }).then(() => { latencies.push(performance.now() - sentAt) }, () => undefined)
    open.add(work)
    work.finally(() => open.delete(work)).catch(() => undefined)
  }
  await Promise.all(open)
  return latencies
}
