/** Ports for tests. */
import { createServer } from 'node:net'

/** Ports below those that the system gives out by itself, and a block for each process, so that hardly anybody takes one between its choice and its use. */
const firstPort = 10_240
const blockPorts = 100
const blocks = 220

const block = firstPort + (process.pid % blocks) * blockPorts
let taken = 0

async function isFree (port: number): Promise<boolean> {
  return await new Promise(resolve => {
    const holder = createServer()
    holder.once('error', () => resolve(false))
    holder.listen(port, '127.0.0.1', () => holder.close(() => resolve(true)))
  })
}

/** Finds a free port on loopback. */
export async function findFreePort (): Promise<number> {
  for (let tries = 0; tries < blockPorts; tries++) {
    const port = block + taken++ % blockPorts
    if (await isFree(port)) return port
  }
  throw new Error(`no free port from ${block} on`)
}

/** Finds so many free ports. */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) ports.push(await findFreePort())
  return ports
}
