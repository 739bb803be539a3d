/** A TCP forwarder on loopback that holds requests on their way, as a network does that is cut for a while. */
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

export interface PausableForwarder extends AsyncDisposable {
  readonly address: string
  readonly pause: () => void
  /** Ends the cut: what is held arrives. */
  readonly resume: () => void
}

interface Direction {
  readonly near: Socket
  readonly far: Socket
  /** What the sender's kernel would send again until the cut is over. */
  held: Buffer[]
  isEnded: boolean
}

/** Starts a forwarder to `IP:port`. */
export async function startPausableForwarder (target: string): Promise<PausableForwarder> {
  const [host, port] = target.split(':')
  const directions = new Set<Direction>()
  let isPaused = false
  const server = createServer({ allowHalfOpen: true }, near => {
    const direction: Direction = { near, far: connect(Number(port), host), held: [], isEnded: false }
    directions.add(direction)
    forward(direction, () => isPaused)
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    pause: () => { isPaused = true },
    resume: () => {
      isPaused = false
      for (const direction of directions) arrive(direction)
    },
    [Symbol.asyncDispose]: async () => {
      for (const { near, far } of directions) {
        near.destroy()
        far.destroy()
      }
      await new Promise(resolve => server.close(resolve))
    }
  }
}

function forward (direction: Direction, isPaused: () => boolean): void {
  const { near, far } = direction
  near.on('data', chunk => {
    direction.held.push(chunk)
    if (!isPaused()) arrive(direction)
  })
  near.on('end', () => {
    direction.isEnded = true
    if (!isPaused()) arrive(direction)
  })
  near.on('error', () => {
    // A kernel that resets a connection forgets what it has not got through.
    direction.held = []
    far.destroy()
  })
  far.on('error', () => near.destroy())
  far.pipe(near)
}

function arrive (direction: Direction): void {
  for (const chunk of direction.held.splice(0)) direction.far.write(chunk)
  if (direction.isEnded) direction.far.end()
}
