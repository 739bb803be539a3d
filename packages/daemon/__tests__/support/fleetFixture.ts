/** A small fleet in one process, with backend servers that tests steer. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { AddressInfo } from 'node:net'
import { request } from 'undici'
import { brandId } from '@lynxcourse/base'
import type { FailureDomainId, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import {
  DefaultCallerDialect, DefaultServerDialect, defaultFleetTimes, isFleetReady, getCurrentTime, createSilentLogs, startFleetDaemon, submitRouteCommand, handleAnnouncement
} from '@lynxcourse/daemon'
import type { FleetControl, FleetDaemon, FleetSettings } from '@lynxcourse/daemon'
import type { BackendAnnouncement, ChangeAnswer, RouteChangeId, Route, RouteCommand } from '@lynxcourse/state'
import { createRoute } from '@lynxcourse/state/testing'
import { findFreePorts } from './freePorts.js'

export const desk = brandId<ServiceId>('desk')
const region = brandId<RegionId>('kochi')
const domain = brandId<FailureDomainId>('kochi-a')
const pollMs = 20
const settleMs = 15_000

export interface FleetFixture extends AsyncDisposable {
  readonly folder: string
  readonly settings: readonly FleetSettings[]
  readonly daemons: Array<FleetDaemon | undefined>
}

/** Starts three control VMs that found the group, and so many entry VMs after them. */
export async function startFleetFixture (entries: number): Promise<FleetFixture> {
  const controls = 3
  const ports = await findFreePorts((controls + entries) * 3)
  const folder = await mkdtemp(join(tmpdir(), 'lynx-fleet-'))
  const at = (place: number): string => `127.0.0.1:${ports[place]}`
  const seeds = Array.from({ length: controls }, (_, place) => at(place * 3))
  const settings = Array.from({ length: controls + entries }, (_, place): FleetSettings => ({
    name: `vm-${place}`,
    roles: place < controls ? ['control'] : ['entry'],
    region,
    failureDomain: domain,
    regions: new Map([[domain, region]]),
    rpc: at(place * 3),
    callers: place < controls ? undefined : at(place * 3 + 1),
    metrics: at(place * 3 + 2),
    seeds,
    isFirstStart: true,
    dataFolder: join(folder, `vm-${place}`),
    retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 50 },
    times: { ...defaultFleetTimes, stopMs: 2000 },
    log: { format: 'json', level: 'error', parts: {} }
  }))
  const rig: FleetFixture = {
    folder,
    settings,
    daemons: [],
    [Symbol.asyncDispose]: async () => {
      for (const daemon of rig.daemons) await daemon?.[Symbol.asyncDispose]()
      await rm(folder, { recursive: true, force: true })
    }
  }
  try {
    for (const cfg of settings) rig.daemons.push(await startVm(cfg))
  } catch (err) {
    // Daemons that live on, since a port was taken before the next one listened, would hold the whole test file up.
    await rig[Symbol.asyncDispose]()
    throw err
  }
  return rig
}

export async function startVm (cfg: FleetSettings): Promise<FleetDaemon> {
  return await startFleetDaemon(cfg, { callers: new DefaultCallerDialect(), servers: new DefaultServerDialect() }, { logs: createSilentLogs() })
}

export function getControl (rig: FleetFixture, place: number): FleetControl {
  return rig.daemons[place]?.control as FleetControl
}

/** Waits until a question is answered with yes. */
export async function waitUntil (ask: () => boolean | Promise<boolean>): Promise<void> {
  const end = Date.now() + settleMs
  while (!await ask()) {
    if (Date.now() > end) throw new Error('did not come true in time')
    await new Promise(resolve => setTimeout(resolve, pollMs))
  }
}

/** Submits a command at any control VM until it is judged. */
export async function submitCommand (rig: FleetFixture, command: RouteCommand): Promise<ChangeAnswer> {
  let answer: ChangeAnswer | undefined
  await waitUntil(async () => {
    for (const daemon of rig.daemons) {
      if (daemon?.control === undefined) continue
      answer = await submitRouteCommand(daemon.control, command).catch(() => undefined)
      if (answer !== undefined) return true
    }
    return false
  })
  return answer as ChangeAnswer
}

export function createRouteToDesk (name: string, parts: Partial<Route> = {}): Route {
  return createRoute(name, { timeoutMs: 1500, isSticky: false, ...parts })
}

export function createReplaceRoutesCommand (order: string, baseVersion: number, routesVersion: number, routes: readonly Route[]): RouteCommand {
  const upstream = { name: desk, healthPath: '/health', maxConnections: 100, warmupMs: 0, warmupPerSecond: 1000, annotations: {} }
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  return { type: 'replaceRoutes', order: order as RouteChangeId, baseVersion, routesVersion, set: { routes, upstreams: [upstream], limits } }
}

/** A backend server whose answers the test writes. */
export interface TestServer extends AsyncDisposable {
  readonly facts: BackendAnnouncement
  readonly requests: IncomingMessage[]
  readonly server: Server
}

export async function startTestServer (id: string, answer: (req: IncomingMessage, res: ServerResponse) => void): Promise<TestServer> {
  const requests: IncomingMessage[] = []
  const server = createServer((req, res) => {
    requests.push(req)
    answer(req, res)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const facts: BackendAnnouncement = { id: brandId<ServerId>(id), service: desk, address, failureDomain: domain, slots: 3, software: 'v1', isDraining: false, bornAt: 0, seq: 1, coldMs: 0 }
  return {
    facts,
    requests,
    server,
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

/** Announces servers and publishes routes, then waits for the entry VM to know them. */
export async function publishRoutes (rig: FleetFixture, servers: readonly TestServer[], routes: readonly Route[]): Promise<void> {
  await submitCommand(rig, createReplaceRoutesCommand('first', 0, 1, routes))
  for (const { facts } of servers) await waitUntil(async () => await handleAnnouncement(getControl(rig, 0), facts, getCurrentTime()).then(() => true, () => false))
  const entry = rig.daemons.at(-1) as FleetDaemon
  await waitUntil(() => isFleetReady(entry) && entry.gateway?.fleet.byId.size === servers.length && entry.gateway.routeTable.size > 0)
}

export interface TestResponse {
  readonly status: number
  readonly body: string
  readonly headers: Record<string, string | string[] | undefined>
}

/** Sends a request to the last VM, an entry VM. */
export async function sendRequest (rig: FleetFixture, path: string, method: 'GET' | 'POST' = 'GET', headers: Record<string, string> = {}): Promise<TestResponse> {
  const address = rig.settings.at(-1)?.callers ?? ''
  const res = await request(`http://${address}${path}`, { method, headers: { host: 'a.example', ...headers }, body: method === 'POST' ? 'offer' : null })
  return { status: res.statusCode, body: await res.body.text(), headers: res.headers }
}
