/** Backend servers whose process ends when they get a certain request. */
import type { IncomingMessage } from 'node:http'
import { startTestServer } from './fleetFixture.js'
import type { TestServer } from './fleetFixture.js'

export interface CrashableServers extends AsyncDisposable {
  readonly servers: readonly TestServer[]
  /** Number of servers that have ended. */
  ended: number
}

/** Ends a server as the end of its process does: its connections close without an answer, and its port refuses new ones. */
export function endServer ({ server }: TestServer): void {
  server.close()
  server.closeAllConnections()
}

/** Starts servers that answer `ok`, except to requests for which `endsServer` returns true: these end the server. */
export async function startCrashableServers (count: number, endsServer: (req: IncomingMessage) => boolean): Promise<CrashableServers> {
  const servers: TestServer[] = []
  const crashable: CrashableServers = {
    servers,
    ended: 0,
    [Symbol.asyncDispose]: async () => {
      for (const server of servers) await server[Symbol.asyncDispose]()
    }
  }
  for (let index = 0; index < count; index++) {
    const server = await startTestServer(`s${index}`, (req, res) => {
      if (!endsServer(req)) {
        res.end('ok')
        return
      }
      crashable.ended += 1
      endServer(server)
    })
    servers.push(server)
  }
  return crashable
}
