/** Backend servers that name a limit for the requests of all VMs together. */
import { getCurrentTime } from '@lynxcourse/daemon'
import { startRecordingServer, startServingFleet } from './servingFleet.js'
import type { RecordingServer, ServingFleet } from './servingFleet.js'

/** The bound: a window may contain this multiple of what the limit allows, and some requests more. */
const windowMs = 4000
const overage = 1.5
const slack = 5
/** Time after a VM has passed on an answer with the limit from which its requests count. */
const learningMs = 500

export interface LimitedServer extends RecordingServer {
  /** Value of the header; undefined for none. */
  named: string | string[] | undefined
  /** When each entry VM first got an answer with the limit. */
  readonly learnedAt: Map<string, number>
}

async function startLimitedServer (id: string): Promise<LimitedServer> {
  const learnedAt = new Map<string, number>()
  const recording = await startRecordingServer(id, (entry, res) => {
    if (server.named !== undefined) {
      res.setHeader('lynx-server-limit', server.named)
      if (!learnedAt.has(entry)) learnedAt.set(entry, getCurrentTime())
    }
    res.end('ok')
  })
  const server: LimitedServer = { ...recording, named: undefined, learnedAt }
  return server
}

/** Starts servers and entry VMs, and waits until each VM knows all servers. */
export async function startLimitedFleet (entryCount: number, serverCount: number): Promise<ServingFleet<LimitedServer>> {
  const servers: LimitedServer[] = []
  for (let index = 0; index < serverCount; index++) servers.push(await startLimitedServer(`s${index}`))
  return await startServingFleet(entryCount, servers)
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
