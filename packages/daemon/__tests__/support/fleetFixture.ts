/** A fixture for tests: a small fleet in one process, with backend servers that the tests control. */
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
  DefaultCallerDialect, DefaultServerDialect, defaultFleetTimes, delay, isFleetReady, getCurrentTime, createSilentLogs, startFleetDaemon, submitFleetCommand, handleAnnouncement
} from '@lynxcourse/daemon'
import type { Dialects, FleetCommand, FleetControl, FleetDaemon, FleetSettings, Logs } from '@lynxcourse/daemon'
import type { BackendAnnouncement, ChangeAnswer, RouteChangeId, Route, RouteCommand } from '@lynxcourse/state'
import { createRoute } from '@lynxcourse/state/testing'
import { findFreePorts } from './freePorts.js'
import { startPausableForwarder } from './pausableForwarder.js'
import type { PausableForwarder } from './pausableForwarder.js'
import { startSlowForwarder } from './slowForwarder.js'
import type { SlowLinkCfg } from './slowForwarder.js'

export const desk = brandId<ServiceId>('desk')
const region = brandId<RegionId>('kochi')
const domain = brandId<FailureDomainId>('kochi-a')
const pollMs = 20
const waitTimeoutMs = 15_000
const announceMs = 1000
const sendCheckMs = 5

export interface FleetFixture extends AsyncDisposable {
  readonly folder: string
  readonly settings: readonly FleetSettings[]
  readonly daemons: Array<FleetDaemon | undefined>
  /** The links over which other VMs reach each control VM; empty without `hasControlLinks`. */
  readonly controlLinks: readonly PausableForwarder[]
}

interface FixtureOptions {
  readonly fields?: Partial<FleetSettings>
  readonly controlCount?: number
  /** Whether other VMs reach the control VMs over links that a test can pause. */
  readonly hasControlLinks?: boolean
  /** Delay and bandwidth of the links over which other VMs reach each control VM. */
  readonly slowLinks?: SlowLinkCfg
  /** The log of all VMs; by default nothing is logged. */
  readonly logs?: Logs
  /** The headers of callers and servers; by default this system's own. */
  readonly dialects?: Dialects
}

/** Starts the control VMs, which form the initial group, and then the entry VMs; `fields` replace settings of all VMs. */
export async function startFleetFixture (entryCount: number, { fields = {}, controlCount = 3, hasControlLinks = false, slowLinks, logs, dialects }: FixtureOptions = {}): Promise<FleetFixture> {
  const ports = await findFreePorts((controlCount + entryCount) * 3)
  const folder = await mkdtemp(join(tmpdir(), 'lynx-fleet-'))
  const getAddress = (portIndex: number): string => `127.0.0.1:${ports[portIndex]}`
  const controlAddresses = Array.from({ length: controlCount }, (_, index) => getAddress(index * 3))
  const controlLinks = hasControlLinks ? await Promise.all(controlAddresses.map(async address => await startPausableForwarder(address, true))) : []
  const slowForwarders = slowLinks === undefined ? [] : await Promise.all(controlAddresses.map(async address => await startSlowForwarder(address, slowLinks)))
  const links = [...controlLinks, ...slowForwarders]
  const seeds = links.length > 0 ? links.map(({ address }) => address) : controlAddresses
  const settings = Array.from({ length: controlCount + entryCount }, (_, index): FleetSettings => ({
    name: `vm-${index}`,
    roles: index < controlCount ? ['control'] : ['entry'],
    region,
    failureDomain: domain,
    regions: new Map([[domain, region]]),
    rpc: seeds[index] ?? getAddress(index * 3),
    rpcListen: getAddress(index * 3),
    callers: index < controlCount ? undefined : getAddress(index * 3 + 1),
    metrics: getAddress(index * 3 + 2),
    seeds,
    isFirstStart: true,
    dataFolder: join(folder, `vm-${index}`),
    // Tests of other parts are not limited by the budget: each request earns more than one retry.
    retryBudget: { ratio: 2, windowMs: 10_000, slack: 50 },
    rateBound: { windowMs: 5000, overage: 0.1, slack: 20 },
    times: { ...defaultFleetTimes, stopMs: 2000 },
    log: { format: 'json', level: 'error', parts: {} },
    ...fields
  }))
  const fixture: FleetFixture = {
    folder,
    settings,
    daemons: [],
    controlLinks,
    [Symbol.asyncDispose]: async () => {
      for (const daemon of fixture.daemons) await daemon?.[Symbol.asyncDispose]()
      for (const link of links) await link[Symbol.asyncDispose]()
      await rm(folder, { recursive: true, force: true })
    }
  }
  try {
    for (const cfg of settings) fixture.daemons.push(await startVm(cfg, logs, dialects))
  } catch (err) {
    // A daemon fails to start if another process takes its port first. The other daemons would keep the test process running.
    await fixture[Symbol.asyncDispose]()
    throw err
  }
  return fixture
}

/** Starts one VM, by default without logs. */
export async function startVm (cfg: FleetSettings, logs = createSilentLogs(), dialects: Dialects = { callers: new DefaultCallerDialect(), servers: new DefaultServerDialect() }): Promise<FleetDaemon> {
  return await startFleetDaemon(cfg, dialects, { logs })
}

/** Returns the control role of a VM. */
export function getControl (fixture: FleetFixture, index: number): FleetControl {
  return fixture.daemons[index]?.control as FleetControl
}

/** Ends a VM, empties its disk and starts it again. */
export async function loseDisk (fixture: FleetFixture, index: number): Promise<void> {
  const cfg = fixture.settings[index] as FleetSettings
  await fixture.daemons[index]?.[Symbol.asyncDispose]()
  fixture.daemons[index] = undefined
  await rm(cfg.dataFolder ?? '', { recursive: true, force: true })
  fixture.daemons[index] = await startVm({ ...cfg, isFirstStart: false })
}

/** Waits until a condition is true; fails after 15 s. */
export async function waitUntil (condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = Date.now() + waitTimeoutMs
  while (!await condition()) {
    if (Date.now() > deadline) throw new Error('the condition did not become true in time')
    await new Promise(resolve => setTimeout(resolve, pollMs))
  }
}

/** Submits a command to the control VMs in turn until one of them returns an answer. */
export async function submitCommand (fixture: FleetFixture, command: FleetCommand): Promise<ChangeAnswer> {
  let answer: ChangeAnswer | undefined
  await waitUntil(async () => {
    for (const daemon of fixture.daemons) {
      if (daemon?.control === undefined) continue
      answer = await submitFleetCommand(daemon.control, command).catch(() => undefined)
      if (answer !== undefined) return true
    }
    return false
  })
  return answer as ChangeAnswer
}

/** Creates a route to the service `desk`. */
export function createRouteToDesk (name: string, fields: Partial<Route> = {}): Route {
  return createRoute(name, { timeoutMs: 1500, isSticky: false, ...fields })
}

/** Creates a command that replaces all routes, with the service `desk` as the only upstream. */
export function createReplaceRoutesCommand (order: string, baseVersion: number, routesVersion: number, routes: readonly Route[]): RouteCommand {
  const upstream = { name: desk, healthPath: '/health', maxConnections: 100, warmupMs: 0, warmupPerSecond: 1000, annotations: {} }
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  return { type: 'replaceRoutes', order: order as RouteChangeId, baseVersion, routesVersion, set: { routes, upstreams: [upstream], limits } }
}

/** A backend server whose requests are handled by the test. */
export interface TestServer extends AsyncDisposable {
  /** The server's announcement. */
  readonly facts: BackendAnnouncement
  /** All requests so far. */
  readonly requests: IncomingMessage[]
  readonly server: Server
}

/** Starts a backend server of the service `desk`. It is not announced yet. */
export async function startTestServer (id: string, handler: (req: IncomingMessage, res: ServerResponse) => void): Promise<TestServer> {
  const requests: IncomingMessage[] = []
  const server = createServer((req, res) => {
    requests.push(req)
    handler(req, res)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  return {
    facts: createAnnouncement(id, address),
    requests,
    server,
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

/** Creates the announcement of a backend server of the service `desk`. */
export function createAnnouncement (id: string, address: string): BackendAnnouncement {
  return { id: brandId<ServerId>(id), service: desk, address, failureDomain: domain, slots: 3, software: 'v1', isDraining: false, bornAt: 0, seq: 1, coldMs: 0 }
}

/** Publishes routes and announces servers, then waits until the last VM, an entry VM, has both. */
export async function publishRoutes (fixture: FleetFixture, servers: ReadonlyArray<Pick<TestServer, 'facts'>>, routes: readonly Route[]): Promise<void> {
  await submitCommand(fixture, createReplaceRoutesCommand('first', 0, 1, routes))
  for (const { facts } of servers) await waitUntil(async () => await handleAnnouncement(getControl(fixture, 0), facts, getCurrentTime()).then(() => true, () => false))
  const entry = fixture.daemons.at(-1) as FleetDaemon
  await waitUntil(() => hasServers(entry, servers.length))
}

/** Announces servers periodically until disposal: a server that is not announced again counts as lost after some seconds. */
export function keepAnnouncing (fixture: FleetFixture, servers: ReadonlyArray<Pick<TestServer, 'facts'>>): Disposable {
  const timer = setInterval(() => { for (const server of servers) announce(fixture, server) }, announceMs)
  return { [Symbol.dispose]: () => clearInterval(timer) }
}

function announce (fixture: FleetFixture, { facts }: Pick<TestServer, 'facts'>): void {
  for (const daemon of fixture.daemons) {
    // A control VM that is stopping or has no leader does not answer; the others do.
    if (daemon?.control !== undefined) handleAnnouncement(daemon.control, facts, getCurrentTime()).catch(() => undefined)
  }
}

/** Whether an entry VM is ready, and knows the routes and the given number of servers. */
export function hasServers (entry: FleetDaemon, count: number): boolean {
  return isFleetReady(entry) && entry.gateway?.fleet.byId.size === count && entry.gateway.routeTable.size > 0
}

/** A response with its whole body. */
export interface TestResponse {
  readonly status: number
  readonly body: string
  readonly headers: Record<string, string | string[] | undefined>
}

/** Sends a request to the last VM, an entry VM. */
export async function sendRequest (fixture: FleetFixture, path: string, method: 'GET' | 'POST' = 'GET', headers: Record<string, string> = {}): Promise<TestResponse> {
  return await sendRequestTo(fixture.settings.at(-1)?.callers ?? '', path, method, headers)
}

/** Sends a request to the entry VM with the given address for callers. */
export async function sendRequestTo (address: string, path: string, method: 'GET' | 'POST' = 'GET', headers: Record<string, string> = {}, body = 'offer'): Promise<TestResponse> {
  const res = await request(`http://${address}${path}`, { method, headers: { host: 'a.example', ...headers }, body: method === 'POST' ? body : null })
  return { status: res.statusCode, body: await res.body.text(), headers: res.headers }
}

/**
 * Sends requests at a steady rate for some time; returns all responses.
 *
 * @param send sends the request with the given number, counted from 0
 */
export async function sendSteadily (send: (index: number) => Promise<TestResponse>, perSecond: number, durationMs: number): Promise<TestResponse[]> {
  const responses: Array<Promise<TestResponse>> = []
  const startedAt = getCurrentTime()
  while (getCurrentTime() - startedAt < durationMs) {
    const due = (getCurrentTime() - startedAt) / 1000 * perSecond
    while (responses.length < due) responses.push(send(responses.length))
    await delay(sendCheckMs)
  }
  return await Promise.all(responses)
}
