/** Finds free ports for tests. */
import { createServer } from 'node:net'

/**
 * The ports are below the operating system's ephemeral ports, and each process has its own block. It is therefore unlikely
 * that another process takes a port between its selection and its use.
 */
const firstPort = 10_240
const blockPorts = 100
const blockCount = 220

const firstPortOfProcess = firstPort + (process.pid % blockCount) * blockPorts
let nextOffset = 0

async function isFree (port: number): Promise<boolean> {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

/** Returns a free port on loopback. */
export async function findFreePort (): Promise<number> {
  for (let attempt = 0; attempt < blockPorts; attempt++) {
    const port = firstPortOfProcess + nextOffset++ % blockPorts
    if (await isFree(port)) return port
  }
  throw new Error(`no free port from ${firstPortOfProcess} on`)
}

/** Returns `count` free ports on loopback. */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) ports.push(await findFreePort())
  return ports
}
