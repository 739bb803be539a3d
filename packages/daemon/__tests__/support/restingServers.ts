/** Backend servers that turn VMs away for a time, or say that they leave. */
import type { ServerResponse } from 'node:http'
import { getCurrentTime } from '@lynxcourse/daemon'
import { startRecordingServer, startServingFleet } from './servingFleet.js'
import type { RecordingServer, ServingFleet } from './servingFleet.js'

/** Time after a refusal in which requests that were already under way may still arrive. */
const learningMs = 500
/** Requests that may arrive between then and the end of the time that a server asked for. */
export const maxStrayRequests = 2
/** Time after a VM has passed on an answer from which it sends a leaving server nothing. */
const drainMs = 2500

/** A refusal with a time for which the server wants nothing from the VM. */
interface Refusal { readonly entry: string, readonly at: number, readonly seconds: number }

export interface RestingServer extends RecordingServer {
  /** Returns the `Retry-After` with which a request of an entry VM is refused; undefined if it is served. */
  refuse: (entry: string) => string | undefined
  /** Value of the header that says whether the server leaves; undefined for none. */
  leaving: string | undefined
  readonly refusals: Refusal[]
  /** When each entry VM first got an answer which says that the server leaves. */
  readonly leftAt: Map<string, number>
}

export async function startRestingServer (id: string): Promise<RestingServer> {
  const recording = await startRecordingServer(id, (entry, res) => respond(server, entry, res))
  const server: RestingServer = { ...recording, refuse: () => undefined, leaving: undefined, refusals: [], leftAt: new Map() }
  return server
}

function respond (server: RestingServer, entry: string, res: ServerResponse): void {
  const now = getCurrentTime()
  if (server.leaving !== undefined) {
    res.setHeader('lynx-server-leaving', server.leaving)
    if (!server.leftAt.has(entry)) server.leftAt.set(entry, now)
  }
  const retryAfter = server.refuse(entry)
  if (retryAfter === undefined) {
    res.end('ok')
    return
  }
  server.refusals.push({ entry, at: now, seconds: Number(retryAfter) })
  res.writeHead(503, { 'lynx-not-started': 'busy', 'retry-after': retryAfter }).end()
}

/** Starts servers and entry VMs, and waits until each VM knows all servers. */
export async function startRestingFleet (entryCount: number, serverCount: number): Promise<ServingFleet<RestingServer>> {
  const servers: RestingServer[] = []
  for (let index = 0; index < serverCount; index++) servers.push(await startRestingServer(`s${index}`))
  return await startServingFleet(entryCount, servers)
}

/** Returns the most requests that a server got from one VM in a time for which it had asked the VM for none. */
export function countStrayRequests ({ arrivals, refusals }: RestingServer): number {
  return Math.max(0, ...refusals.map(({ entry, at, seconds }) => arrivals.filter(other => other.entry === entry && other.at > at + learningMs && other.at < at + seconds * 1000).length))
}

/** Returns how many requests a leaving server got from VMs that have known it for longer than a drain takes. */
export function countLateRequests ({ arrivals, leftAt }: RestingServer): number {
  return arrivals.filter(({ at, entry }) => at > (leftAt.get(entry) ?? Infinity) + drainMs).length
}
