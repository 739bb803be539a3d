/** A TCP forwarder on loopback that can hold back requests, to simulate a temporary network partition. */
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** A running forwarder. */
export interface PausableForwarder extends AsyncDisposable {
  readonly address: string
  /** Starts the partition: data from clients is buffered. */
  readonly pause: () => void
  /** Ends the partition: the buffered data is delivered. */
  readonly resume: () => void
}

/** One forwarded connection. */
interface Link {
  readonly near: Socket
  readonly far: Socket
  /** Data that the client's kernel would resend until the partition ends. */
  pendingChunks: Buffer[]
  /** The same of the target's kernel. */
  pendingAnswers: Buffer[]
  isEnded: boolean
}

/**
 * Starts a forwarder to `IP:port`.
 *
 * @param holdsAnswers whether a partition also holds back what the target sends
 */
export async function startPausableForwarder (target: string, holdsAnswers = false): Promise<PausableForwarder> {
  const [host, port] = target.split(':')
  const links = new Set<Link>()
  let isPaused = false
  const server = createServer({ allowHalfOpen: true }, near => {
    const link: Link = { near, far: connect(Number(port), host), pendingChunks: [], pendingAnswers: [], isEnded: false }
    links.add(link)
    forward(link, () => isPaused, () => isPaused && holdsAnswers)
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    pause: () => { isPaused = true },
    resume: () => {
      isPaused = false
      for (const link of links) deliver(link)
    },
    [Symbol.asyncDispose]: async () => {
      for (const { near, far } of links) {
        near.destroy()
        far.destroy()
      }
      await new Promise(resolve => server.close(resolve))
    }
  }
}

function forward (link: Link, isPaused: () => boolean, holdsAnswers: () => boolean): void {
  const { near, far } = link
  near.on('data', chunk => {
    link.pendingChunks.push(chunk)
    if (!isPaused()) deliver(link)
  })
  near.on('end', () => {
    link.isEnded = true
    if (!isPaused()) deliver(link)
  })
  near.on('error', () => {
    // A kernel that resets a connection discards the data that was not delivered.
    link.pendingChunks = []
    far.destroy()
  })
  far.on('error', () => near.destroy())
  far.on('data', chunk => {
    if (holdsAnswers()) link.pendingAnswers.push(chunk)
    else near.write(chunk)
  })
  far.on('end', () => near.end())
}

/** Sends the buffered data on. */
function deliver (link: Link): void {
  for (const chunk of link.pendingChunks.splice(0)) link.far.write(chunk)
  for (const chunk of link.pendingAnswers.splice(0)) link.near.write(chunk)
  if (link.isEnded) link.far.end()
}
