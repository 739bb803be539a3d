/** Backend servers that name a limit for the requests of all VMs together, and callers that send at a steady rate. */
import { getCurrentTime } from '@lynxcourse/daemon'
import type { FleetDaemon } from '@lynxcourse/daemon'
import { createRouteToDesk, hasServers, keepAnnouncing, publishRoutes, sendRequestTo, sendSteadily, startFleetFixture, startTestServer, waitUntil } from './fleetFixture.js'
import type { FleetFixture, TestResponse, TestServer } from './fleetFixture.js'

export const controlCount = 3
/** The bound: a window may contain this multiple of what the limit allows, and some requests more. */
const windowMs = 4000
const overage = 1.5
const slack = 5
/** Time after a VM has passed on an answer with the limit from which its requests count. */
const learningMs = 500
const entryHeader = 'x-entry'

interface Arrival { readonly at: number, readonly entry: string }

export interface LimitedServer {
  readonly test: TestServer
  /** Value of the header; undefined for none. */
  named: string | string[] | undefined
  readonly arrivals: Arrival[]
  /** When each entry VM first got an answer with the limit. */
  readonly learnedAt: Map<string, number>
}

export interface LimitedFleet extends AsyncDisposable {
  readonly fixture: FleetFixture
  readonly servers: readonly LimitedServer[]
}

async function startLimitedServer (id: string): Promise<LimitedServer> {
  const arrivals: Arrival[] = []
  const learnedAt = new Map<string, number>()
  const test = await startTestServer(id, (req, res) => {
    const entry = String(req.headers[entryHeader])
    arrivals.push({ at: getCurrentTime(), entry })
    if (server.named !== undefined) {
      res.setHeader('lynx-server-limit', server.named)
      if (!learnedAt.has(entry)) learnedAt.set(entry, getCurrentTime())
    }
    res.end('ok')
  })
  const server: LimitedServer = { test, named: undefined, arrivals, learnedAt }
  return server
}

/** Starts servers and entry VMs, and waits until each VM knows all servers. */
export async function startLimitedFleet (entryCount: number, serverCount: number): Promise<LimitedFleet> {
  const servers: LimitedServer[] = []
  for (let index = 0; index < serverCount; index++) servers.push(await startLimitedServer(`s${index}`))
  const fixture = await startFleetFixture(entryCount)
  await publishRoutes(fixture, servers.map(({ test }) => test), [createRouteToDesk('read')])
  for (const daemon of fixture.daemons.slice(controlCount)) await waitUntil(() => hasServers(daemon as FleetDaemon, serverCount))
  const announcing = keepAnnouncing(fixture, servers.map(({ test }) => test))
  return {
    fixture,
    servers,
    [Symbol.asyncDispose]: async () => {
      announcing[Symbol.dispose]()
      await fixture[Symbol.asyncDispose]()
      for (const { test } of servers) await test[Symbol.asyncDispose]()
    }
  }
}

/** Sends a request to one entry VM. */
export async function sendTo (fixture: FleetFixture, entry: number): Promise<TestResponse> {
  return await sendRequestTo(fixture.settings[controlCount + entry]?.callers ?? '', '/read/1', 'GET', { [entryHeader]: String(entry) })
}

/** Sends requests to some entry VMs in turn at a steady rate; returns all responses. */
export async function sendForMs (fixture: FleetFixture, entries: readonly number[], perSecond: number, durationMs: number): Promise<TestResponse[]> {
  return await sendSteadily(async index => await sendTo(fixture, entries[index % entries.length] ?? 0), perSecond, durationMs)
}

/** Returns the most requests that a server got in one window from VMs that knew its limit. */
export function countBusiestWindow ({ arrivals, learnedAt }: LimitedServer): number {
  const counted = arrivals.filter(({ at, entry }) => at > (learnedAt.get(entry) ?? Infinity) + learningMs)
  const counts = counted.map(({ at }) => counted.filter(other => other.at > at - windowMs && other.at <= at).length)
  return Math.max(0, ...counts)
}

/** Returns the most requests that a limit allows in one window. */
export function computeWindowBound (perSecond: number): number {
  return perSecond * windowMs / 1000 * overage + slack
}

/** Returns the number of requests that a server got after a time. */
export function countArrivals ({ arrivals }: LimitedServer, since: number, until = Infinity): number {
  return arrivals.filter(({ at }) => at >= since && at < until).length
}
