/** The system of one run of the shutdown rig: VMs, and the client that publishes routes and announces servers. */
import { mkdirSync } from 'node:fs'
import { createRandom, brandId } from '@lynxcourse/base'
import type { FailureDomainId, ServerId, ServiceId } from '@lynxcourse/base'
import { addResource } from '@lynxcourse/daemon'
import type { ResourceStack } from '@lynxcourse/daemon'
import type { BackendAnnouncement, ChangeAnswer, ReplaceRoutesCommand, Route, RouteChangeId } from '@lynxcourse/state'
import { callUntilAnswered, createControlClient } from '../soak/controlClient.js'
import type { ControlClient } from '../soak/controlClient.js'
import { domains } from '../support/fleetProcesses.js'
import { sleep, waitUntil } from '../support/processes.js'
import type { ShutdownPlan } from './plan.js'
import { hostName, longReadRoute, orderRoute, readRoute } from './routeKinds.js'
import type { RouteKind } from './routeKinds.js'
import { createVm, defaultMemoryMb, getRpcAddress, startVm, waitUntilReady } from './vms.js'
import type { RigVm } from './vms.js'
import type { ShutdownServer } from './servers.js'
import type { ShutdownHistory } from './types.js'

/** The service of all routes. */
export const service = brandId<ServiceId>('desk')

/** The system under test. */
export interface RigFleet {
  readonly plan: ShutdownPlan
  readonly controls: readonly RigVm[]
  readonly entries: readonly RigVm[]
  readonly client: ControlClient
  /** Newest version of the routes that was confirmed. */
  version: number
}

const commandTimeoutMs = 15_000
const announceIntervalMs = 600
/** Requests that a server runs at once; more than there are at any time. */
const slots = 400

/** Creates a system whose VMs are not started yet; the stack owns the resources that it opens. */
export function createFleet (plan: ShutdownPlan, history: ShutdownHistory, folder: string, stack: ResourceStack): RigFleet {
  mkdirSync(folder, { recursive: true })
  const seeds = Array.from({ length: plan.controls }, (_, index) => getRpcAddress(index))
  const create = (index: number, role: RigVm['settings']['roles'][number], memoryMb: number): RigVm =>
    addResource(stack, createVm({ index, role, folder, seeds, memoryMb, graceMs: plan.bounds.graceMs, stopMs: plan.stopMs }, history.signals))
  const controls = seeds.map((_, index) => create(index, 'control', defaultMemoryMb))
  const entries = plan.memoryMb.map((memoryMb, index) => create(plan.controls + index, 'entry', memoryMb))
  const client = createControlClient(seeds, createRandom(plan.seed))
  addResource(stack, client.rpc)
  return { plan, controls, entries, client, version: 0 }
}

/** Starts all VMs, publishes the first routes, and resolves when all VMs are ready. */
export async function startFleet (fleet: RigFleet): Promise<void> {
  const vms = [...fleet.controls, ...fleet.entries]
  for (const vm of vms) startVm(vm)
  await waitUntil('the first routes are accepted', async () => await publishRoutes(fleet))
  for (const vm of vms) await waitUntilReady(vm)
}

/** Publishes a new version of the routes; resolves with whether it was accepted. */
export async function publishRoutes (fleet: RigFleet): Promise<boolean> {
  const version = fleet.version + 1
  const answer = await callUntilAnswered<ChangeAnswer>(fleet.client, 'fleet.submit', { command: createCommand(fleet.plan, version) }, commandTimeoutMs)
  if (answer?.ok !== true) return false
  fleet.version = version
  return true
}

function createCommand ({ longTimeoutMs, passesPieces }: ShutdownPlan, version: number): ReplaceRoutesCommand {
  const routes = [
    createRoute(readRoute, readRoute.timeoutMs, passesPieces),
    createRoute(longReadRoute, longTimeoutMs, passesPieces),
    createRoute(orderRoute, orderRoute.timeoutMs, false)
  ]
  return {
    type: 'replaceRoutes',
    order: `order-${version}` as RouteChangeId,
    baseVersion: version - 1,
    routesVersion: version,
    set: {
      routes,
      upstreams: [{ name: service, healthPath: '/health', maxConnections: 400, warmupMs: 0, warmupPerSecond: 1000, annotations: {} }],
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 10_000, idleTimeoutMs: 15_000 }
    }
  }
}

function createRoute ({ name, path, isIdempotent }: RouteKind, timeoutMs: number, hasLargeAnswers: boolean): Route {
  return { name, host: hostName, pathPrefix: path, isIdempotent, hasLargeAnswers, timeoutMs, aimMs: 300, rank: 1, service, split: [], maxAttempts: 3, isSticky: false, homes: [], annotations: {} }
}

/** Announces servers at intervals until `isOver` returns true. */
export async function keepAnnouncing ({ client }: RigFleet, servers: readonly ShutdownServer[], isOver: () => boolean): Promise<void> {
  const all = servers.map(createAnnouncement)
  for (let seq = 1; !isOver(); seq++) {
    await Promise.all(all.map(async facts => await callUntilAnswered(client, 'fleet.announce', { facts: { ...facts, seq } }, announceIntervalMs)))
    await sleep(announceIntervalMs)
  }
}

function createAnnouncement ({ id, address }: ShutdownServer, place: number): BackendAnnouncement {
  const failureDomain = domains[place % domains.length] as FailureDomainId
  return { id: brandId<ServerId>(id), service, address, failureDomain, slots, software: 'stub', isDraining: false, bornAt: 0, seq: 0, coldMs: 0 }
}
