/** A fleet whose backend servers record the entry VM of each request, and callers that send to chosen entry VMs. */
import type { ServerResponse } from 'node:http'
import { getCurrentTime } from '@lynxcourse/daemon'
import type { FleetDaemon } from '@lynxcourse/daemon'
import { createRouteToDesk, hasServers, keepAnnouncing, publishRoutes, sendRequestTo, sendSteadily, startFleetFixture, startTestServer, waitUntil } from './fleetFixture.js'
import type { FleetFixture, TestResponse, TestServer } from './fleetFixture.js'

export const controlCount = 3
const entryHeader = 'x-entry'

export interface Arrival { readonly at: number, readonly entry: string }

export interface RecordingServer {
  readonly test: TestServer
  readonly arrivals: Arrival[]
}

export interface ServingFleet<Server extends RecordingServer> extends AsyncDisposable {
  readonly fixture: FleetFixture
  readonly servers: readonly Server[]
}

/**
 * Starts a server that records its requests.
 *
 * @param respond answers a request that came from the given entry VM
 */
export async function startRecordingServer (id: string, respond: (entry: string, res: ServerResponse) => void): Promise<RecordingServer> {
  const arrivals: Arrival[] = []
  const test = await startTestServer(id, (req, res) => {
    const entry = String(req.headers[entryHeader])
    arrivals.push({ at: getCurrentTime(), entry })
    respond(entry, res)
  })
  return { test, arrivals }
}

/** Starts entry VMs and waits until each of them knows all servers. The route `read` is for requests, `sticky` for those of one object. */
export async function startServingFleet<Server extends RecordingServer> (entryCount: number, servers: readonly Server[]): Promise<ServingFleet<Server>> {
  const fixture = await startFleetFixture(entryCount)
  await publishRoutes(fixture, servers.map(({ test }) => test), [createRouteToDesk('read'), createRouteToDesk('sticky', { isSticky: true }), createRouteToDesk('write', { isIdempotent: false })])
  for (const daemon of fixture.daemons.slice(controlCount)) await waitUntil(() => hasServers(daemon as FleetDaemon, servers.length))
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

/** Stops all control VMs for good. */
export async function stopControlVms ({ daemons }: FleetFixture): Promise<void> {
  for (let index = 0; index < controlCount; index++) {
    await daemons[index]?.[Symbol.asyncDispose]()
    daemons[index] = undefined
  }
}

/** Sends a request to one entry VM. */
export async function sendTo (fixture: FleetFixture, entry: number, path = '/read/1', headers: Record<string, string> = {}): Promise<TestResponse> {
  const method = path.startsWith('/write/') ? 'POST' : 'GET'
  return await sendRequestTo(fixture.settings[controlCount + entry]?.callers ?? '', path, method, { [entryHeader]: String(entry), ...headers })
}

/** Sends requests to some entry VMs in turn at a steady rate; returns all responses. */
export async function sendForMs (fixture: FleetFixture, entries: readonly number[], perSecond: number, durationMs: number): Promise<TestResponse[]> {
  return await sendSteadily(async index => await sendTo(fixture, entries[index % entries.length] ?? 0), perSecond, durationMs)
}

/** Returns the number of requests that a server got after a time. */
export function countArrivals ({ arrivals }: RecordingServer, since: number, until = Infinity, from?: number): number {
  return arrivals.filter(({ at, entry }) => at >= since && at < until && (from === undefined || entry === String(from))).length
}
