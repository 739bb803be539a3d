/** Finds free ports for tests. */
import { createServer } from 'node:net'

/**
 * The ports are below the operating system's ephemeral ports, and each process has its own block: another process would otherwise find
 * the port of a VM free while the VM is stopped.
 */
const firstPort = 10_240
const blockPorts = 100
const blockCount = 220

let block: Promise<number> | undefined
let nextOffset = 0

/** Claims a block by listening on its first port until the process ends; returns that port. */
async function claimBlock (): Promise<number> {
  for (let attempt = 0; attempt < blockCount; attempt++) {
    const port = firstPort + ((process.pid + attempt) % blockCount) * blockPorts
    const server = createServer()
    const isClaimed = await new Promise<boolean>(resolve => {
      server.once('error', () => resolve(false))
      server.listen(port, '127.0.0.1', () => resolve(true))
    })
    server.unref()
    if (isClaimed) return port
  }
  throw new Error('no free block of ports')
}

async function isFree (port: number): Promise<boolean> {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

/** Returns a free port on loopback. */
export async function findFreePort (): Promise<number> {
  block ??= claimBlock()
  const claimed = await block
  for (let attempt = 1; attempt < blockPorts; attempt++) {
    const port = claimed + 1 + nextOffset++ % (blockPorts - 1)
    if (await isFree(port)) return port
  }
  throw new Error(`no free port from ${claimed} on`)
}

/** Returns `count` free ports on loopback. */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) ports.push(await findFreePort())
  return ports
}
