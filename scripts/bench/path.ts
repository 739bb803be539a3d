/** `npm run bench -- path`: compares lookups and forwarding with bare servers in one run. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { brandId, createRandom } from '@lynxcourse/base'
import type { RegionId } from '@lynxcourse/base'
import { buildBlockTable, buildLookupIndex, hashBlock, selectEntryVms, orderRegions, findRegionIndex, findRegion, getTableBytes } from '@lynxcourse/routing'
import type { BlockTable, CallerBlock } from '@lynxcourse/routing'
import { Client } from 'undici'
import { kill, runCliOrThrow, sleep } from '../support/processes.js'
import { publishProfile, startSystem, stopSystem } from '../support/system.js'
import { printTable } from '../support/tables.js'
import { forkScript } from '../support/processes.js'
import type { BareServerCommand } from './bareServers.js'
import { sendCommand, getCpuSeconds, round, runLoad } from './measure.js'
import type { LoadCommand, LoadResult } from './loadClient.js'

const connections = 32
const loadProcesses = 2
const callerIp = '127.101.1.1'
const targetIp = '127.0.90.2'

interface Measurement { readonly perSecond: number, readonly cpuMicros: number, readonly p50: number, readonly p99: number, readonly errors: number }

async function measure (pid: number, command: Omit<LoadCommand, 'connections' | 'localAddress'>, count = connections, processes = loadProcesses): Promise<Measurement> {
  const before = getCpuSeconds(pid)
  const result: LoadResult = await runLoad({ ...command, connections: count, localAddress: callerIp }, processes)
  const cpuSpent = getCpuSeconds(pid) - before
  const answersWithWarmUp = result.answers * (1 + 0.5 / command.seconds)
  return { perSecond: result.answers / result.seconds, cpuMicros: cpuSpent / answersWithWarmUp * 1e6, p50: result.p50, p99: result.p99, errors: result.errors }
}

/** Generates `count` /24 blocks, each in a random one of 41 regions, as many regions as in the target. */
export function generateBlocks (count: number): CallerBlock[] {
  const random = createRandom(1)
  const blocks: CallerBlock[] = []
  for (let index = 0; index < count; index++) {
    const network = Math.floor(index * (2 ** 24 / count))
    const text = [network >>> 16, (network >>> 8) & 255, network & 255].join('.')
    blocks.push({ cidr: `${text}.0/24`, region: brandId<RegionId>(`region-${Math.floor(random() * 41)}`) })
  }
  return blocks
}

/** Measures how often per second one core can call a lookup function. */
function measureRate (work: (address: number) => unknown): number {
  const random = createRandom(2)
  const addresses = Uint32Array.from({ length: 1 << 16 }, () => Math.floor(random() * 2 ** 32))
  let sink = 0
  const run = (rounds: number): void => { for (let n = 0; n < rounds; n++) for (const address of addresses) if (work(address) !== undefined) sink += 1 }
  run(5)
  const rounds = 60
  const startedAt = performance.now()
  run(rounds)
  const seconds = (performance.now() - startedAt) / 1000
  if (sink < 0) throw new Error('unreachable')
  return addresses.length * rounds / seconds
}

/** Creates a function that makes the whole decision of a lookup: block, caller region, order of regions, order of VMs. */
function createWholeLookup (table: BlockTable): (address: number) => unknown {
  const places = Array.from({ length: 41 }, (_, n) => brandId<RegionId>(`region-${n}`))
  const index = buildLookupIndex(places.flatMap(region => [1, 2, 3].map(n => ({ vm: brandId<never>(`${region}-${n}`), region, failureDomain: brandId<never>('d'), http: '127.0.0.1:1', suspected: false }))))
  const cache = new Map<number, unknown>()
  return address => {
    const bucket = hashBlock(address) % 512
    const key = findRegionIndex(table, address) * 512 + bucket
    const known = cache.get(key)
    if (known !== undefined) return known
    const input = { service: brandId<never>('s'), places: places.slice(0, 6), callerRegion: findRegion(table, address), drained: new Set<RegionId>(), shifts: [], callerHash: bucket, latencies: new Map<string, number>() }
    const vms = selectEntryVms(index, orderRegions(input), bucket)
    cache.set(key, vms)
    return vms
  }
}

/** Measures the lookup table and the lookup decision at the target size of 860,000 blocks. */
export function measureLookups (): object {
  const blocks = generateBlocks(860_000)
  const startedAt = performance.now()
  const table = buildBlockTable(blocks)
  const buildMs = performance.now() - startedAt
  return {
    blocks: blocks.length,
    tableMB: round(getTableBytes(table) / 1e6),
    buildMs: Math.round(buildMs),
    blockToRegionPerSecond: Math.round(measureRate(address => findRegionIndex(table, address))),
    wholeLookupPerSecond: Math.round(measureRate(createWholeLookup(table)))
  }
}

async function startBareServer (command: BareServerCommand): Promise<{ pid: number, address: string, stop: () => Promise<void> }> {
  const child = forkScript('../bench/bareServers.js', [])
  const { address } = await sendCommand<{ address: string }>(child, command)
  return { pid: child.pid ?? 0, address, stop: async () => await kill(child) }
}

/** Runs the benchmark. */
export async function benchPath (seconds: number): Promise<void> {
  printTable('Look-up in the pure function, 860,000 blocks', [measureLookups()])
  const folder = mkdtempSync(join(tmpdir(), 'lynxcourse-bench-'))
  const system = await startSystem(3, folder, { log: { level: 'info', format: 'text' } })
  try {
    await publishProfile(system, { name: 'desk', places: ['kochi', 'chennai'], queueLimit: 1000 })
    await runCliOrThrow(system.rpc, ['service', 'pick', 'offers', 'desk', '--wait'])
    const target = await startBareServer({ kind: 'target', ip: targetIp, bytes: 60, target: '' })
    const stopAnnouncing = announceTarget(system.http[0] ?? '', target.address)
    await sleep(6000)
    const daemon = system.daemons.find(one => one.plan.vm === 'kochi-a-1')
    if (daemon === undefined) throw new Error('VM kochi-a-1 has no daemon')
    const origin = `http://${daemon.plan.http}`
    const pid = daemon.child.pid ?? 0
    await benchLookups(origin, pid, seconds)
    await benchForwarding(origin, pid, target.address, seconds)
    stopAnnouncing()
    await target.stop()
  } finally {
    await stopSystem(system)
    rmSync(folder, { recursive: true, force: true })
  }
}

async function benchLookups (origin: string, pid: number, seconds: number): Promise<void> {
  const bare = await startBareServer({ kind: 'fixed', ip: '127.0.90.1', bytes: 260, target: '' })
  const bareResult = await measure(bare.pid, { origin: `http://${bare.address}`, path: '/', headers: {}, seconds })
  await bare.stop()
  const result = await measure(pid, { origin, path: '/v1/lookup?service=offers', headers: {}, seconds })
  printTable('Look-ups over HTTP (32 connections, 2 load processes)', [
    { server: 'bare http', ...formatMeasurement(bareResult), ratio: 1 },
    { server: 'lynxcoursed', ...formatMeasurement(result), ratio: round(result.perSecond / bareResult.perSecond) }
  ])
}

/** Announces the bare target as a backend server with many slots. */
function announceTarget (vm: string, address: string): () => void {
  const client = new Client(`http://${vm}`, { localAddress: targetIp })
  let seq = 0
  const announce = (): void => {
    const body = JSON.stringify({ server: 'target', service: 'offers', address, failureDomain: 'kochi-a', slots: 500, connections: 1000, state: 'serving', incarnation: 1, seq: seq++ })
    client.request({ method: 'POST', path: '/v1/announce', body }).then(async res => await res.body.dump()).catch(() => undefined)
  }
  announce()
  const timer = setInterval(announce, 1000)
  return () => {
    clearInterval(timer)
    client.destroy().catch(() => undefined)
  }
}

async function benchForwarding (origin: string, pid: number, target: string, seconds: number): Promise<void> {
  const pass = await startBareServer({ kind: 'pass', ip: '127.0.90.3', bytes: 0, target })
  const bareOne = await measure(pass.pid, { origin: `http://${pass.address}`, path: '/x', headers: { 'x-echo': 'e' }, seconds: seconds / 2 }, 1, 1)
  const bareResult = await measure(pass.pid, { origin: `http://${pass.address}`, path: '/x', headers: { 'x-echo': 'e' }, seconds })
  await pass.stop()
  const direct = await measure(pid, { origin, path: '/s/offers/x', headers: { 'x-echo': 'e' }, seconds: seconds / 2 }, 1, 1)
  const result = await measure(pid, { origin, path: '/s/offers/x', headers: { 'x-echo': 'e' }, seconds })
  printTable('Forwarding (32 connections; then one connection)', [
    { server: 'bare http + undici', ...formatMeasurement(bareResult), ratio: 1, p50AtOneConnection: round(bareOne.p50) },
    { server: 'lynxcoursed', ...formatMeasurement(result), ratio: round(result.perSecond / bareResult.perSecond), p50AtOneConnection: round(direct.p50) }
  ])
}

function formatMeasurement (measurement: Measurement): object {
  const { perSecond, cpuMicros, p50, p99, errors } = measurement
  return { perSecond: Math.round(perSecond), cpuMicros: round(cpuMicros), p50ms: round(p50), p99ms: round(p99), errors }
}
