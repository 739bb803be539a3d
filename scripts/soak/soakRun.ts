/** One run of the soak: builds the system, lets callers and faults at it, and judges what was seen. */
import { mkdirSync } from 'node:fs'
import { join } from 'node:path'
import { brandId, makeRandom, messageOf } from '@lynxcourse/base'
import type { FailureDomainId, RegionId, ServiceId } from '@lynxcourse/base'
import type { FleetFileInput } from '@lynxcourse/daemon'
import { request } from 'undici'
import { sleep, until } from '../support/processes.js'
import { keepCalling } from './caller.js'
import type { Caller, EntryPlace } from './caller.js'
import { callUntilClear, createControlClient } from './controlClient.js'
import type { ControlClient } from './controlClient.js'
import type { SoakPlan, SoakSize } from './faultPlan.js'
import { setFault } from './faultProxy.js'
import { createLedger, findBroken, servedShare } from './ledger.js'
import type { Ledger } from './ledger.js'
import { changeRoutes, checkFinalRoutes, createOperator, keepReading } from './operator.js'
import type { Operator } from './operator.js'
import { strike } from './striking.js'
import { createStubServer } from './stubServer.js'
import type { StubServer } from './stubServer.js'
import { createSoakVm, startVm } from './vmProcess.js'
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

/** What a run showed. */
export interface SoakResult {
  readonly seed: number
  readonly broken: readonly string[]
  readonly requests: number
  /** Share of all requests that were answered with a success, and of those after the last fault. */
  readonly servedShare: number
  readonly lastShare: number
  readonly steps: number
}

const services = ['desk', 'ledger'].map(name => brandId<ServiceId>(name))
const regions: Record<string, string[]> = { kochi: ['kochi-a', 'kochi-b'], chennai: ['chennai-a', 'chennai-b'], mumbai: ['mumbai-a', 'mumbai-b'] }
const domains = Object.values(regions).flat().map(name => brandId<FailureDomainId>(name))
const callersPerEntry = 3
const announceMs = 600
/** After the last fault, the time until all must be well again, and then the time in which it is measured. */
const recoveryMs = 15_000
const measuredMs = 4000
const leastLastShare = 0.9

/** Plays a plan; the folder takes settings, state and logs. */
export async function runSoak (plan: SoakPlan, size: SoakSize, folder: string): Promise<SoakResult> {
  await using stack = new AsyncDisposableStackLike()
  const world = await buildWorld(plan.seed, size, folder, stack)
  const { ledger, operator } = world
  let isOver = false
  const over = (): boolean => isOver
  const work: Array<Promise<void>> = []
  for (const server of world.servers) work.push(keepAnnouncing(world, server, over))
  await startAll(world)
  const callers = makeCallers(world, plan.seed)
  for (const caller of callers) work.push(keepCalling(caller, over))
  work.push(keepReading(operator, over))
  const startedAt = performance.now()
  await Promise.all(plan.steps.map(async step => {
    await sleep(step.at)
    await strike(world, step)
  }))
  await sleep(Math.max(0, startedAt + plan.lengthMs - performance.now()))
  await recover(world)
  const measuredFrom = performance.now()
  await sleep(measuredMs)
  const last = servedShare(ledger, measuredFrom, performance.now() - measuredMs / 4)
  await checkFinalRoutes(operator)
  isOver = true
  await Promise.all(work)
  if (last.share < leastLastShare) ledger.notes.push(`recover: ${(last.share * 100).toFixed(0)} % of ${last.sent} requests were served after the last fault`)
  const whole = servedShare(ledger, 0, Infinity)
  return { seed: plan.seed, broken: findBroken(ledger), requests: whole.sent, servedShare: whole.share, lastShare: last.share, steps: plan.steps.length }
}

/** Ends what was started, the latest first, also when a run fails half-way. */
class AsyncDisposableStackLike implements AsyncDisposable {
  readonly #owned: AsyncDisposable[] = []

  add<Owned extends AsyncDisposable> (owned: Owned): Owned {
    this.#owned.push(owned)
    return owned
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const owned of this.#owned.reverse()) await owned[Symbol.asyncDispose]()
  }
}

async function buildWorld (seed: number, size: SoakSize, folder: string, stack: AsyncDisposableStackLike): Promise<SoakWorld> {
  const random = makeRandom(seed + 1)
  const ledger = createLedger()
  mkdirSync(folder, { recursive: true })
  const vms: SoakVm[] = []
  for (let place = 0; place < size.controls + size.entries; place++) {
    vms.push(stack.add(await createSoakVm(settingsOf(place, size, folder), folder, ledger)))
  }
  const controls = vms.slice(0, size.controls)
  const servers: StubServer[] = []
  for (let place = 0; place < size.servers; place++) {
    servers.push(stack.add(await createStubServer(place, services[place % services.length] as ServiceId, domains[Math.floor(place / services.length) % domains.length] as FailureDomainId, ledger, random)))
  }
  const client = createControlClient(controls.map(vm => vm.rpc.address), random)
  stack.add(client.rpc)
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

async function startAll (world: SoakWorld): Promise<void> {
  for (const vm of world.vms) startVm(vm, world.seeds, true)
  await until('the first routes are accepted', async () => await changeRoutes(world.operator))
  for (const vm of world.vms) await until(`${vm.name} is ready`, async () => await isReady(vm))
}

async function isReady (vm: SoakVm): Promise<boolean> {
  const res = await request(`http://${vm.settings.listen.metrics}/readyz`)
  await res.body.dump()
  return res.statusCode === 200
}

/** Ends all faults that still last and waits until every VM is ready again. */
async function recover (world: SoakWorld): Promise<void> {
  for (const vm of world.vms) {
    setFault(vm.rpc, 'none')
    if (vm.callers !== undefined) setFault(vm.callers, 'none')
  }
  for (const server of world.servers) setFault(server.proxy, 'none')
  for (const vm of world.vms) {
    await until(`${vm.name} is ready again`, async () => await isReady(vm), recoveryMs).catch((err: unknown) => world.ledger.notes.push(`recover: ${messageOf(err)}`))
  }
}

function makeCallers (world: SoakWorld, seed: number): Caller[] {
  const entries = world.vms.filter(vm => vm.callers !== undefined)
  const places = new Map<string, EntryPlace>(entries.map(vm => [vm.settings.listen.callers ?? '', { vm: vm.name, reachedAt: vm.callers?.address ?? '' }]))
  return Array.from({ length: entries.length * callersPerEntry }, (_, place) => ({
    name: `caller-${place}`,
    region: Object.keys(regions)[place % 3] ?? '',
    client: world.client,
    places,
    ledger: world.ledger,
    random: makeRandom(seed * 1000 + place),
    isFaithful: place % 2 === 1,
    pools: new Map(),
    avoided: new Map(),
    known: [],
    knownUntil: 0,
    current: undefined,
    sent: 0
  }))
}

async function keepAnnouncing (world: SoakWorld, server: StubServer, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    if (server.server !== undefined) await announce(world, server)
    await sleep(announceMs * (0.8 + 0.4 * server.random()))
  }
}

/** Sends one announcement; a draining server notes the moment at which its leaving was confirmed. */
async function announce (world: SoakWorld, server: StubServer): Promise<void> {
  server.facts = { ...server.facts, seq: server.facts.seq + 1 }
  const { facts } = server
  const answer = await callUntilClear<object>(world.client, 'fleet.announce', { facts }, announceMs)
  const isNoted = world.ledger.confirmed.some(({ type, subject }) => type === 'drain' && subject === facts.id)
  if (answer === undefined || !facts.isDraining || isNoted) return
  world.ledger.confirmed.push({ type: 'drain', subject: facts.id, at: performance.now(), sentAt: performance.now(), version: 0 })
}
