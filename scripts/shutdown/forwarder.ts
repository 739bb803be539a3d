/** A TCP forwarder on loopback with a one-way delay and a bandwidth limit in each direction. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

/** Properties of a link; both directions have them independently. */
export interface LinkSettings {
  /** One-way delay in milliseconds. */
  readonly delayMs: number
  /** Bandwidth of one direction; `Infinity` for no limit. */
  readonly bytesPerSecond: number
}

/**
 * A running forwarder. Bytes keep their order, a FIN is forwarded as a half-close, and a source is paused while too many
 * of its bytes are in transit. If an end is reset, bytes that it had sent are still delivered to the other end, followed
 * by the reset; bytes on their way to the end that was reset are discarded.
 */
export interface Forwarder extends AsyncDisposable {
  /** `IP:port` at which the forwarder accepts connections. */
  readonly address: string
  /**
   * Resolves when the connection from this local port is connected to the target as well; rejects with the target's error.
   * The forwarder accepts a connection before the target does, so a caller has to wait for this before it sends.
   */
  whenConnected (port: number): Promise<void>
}

/** Bytes of one direction that are in transit or wait for the receiver, before the source is paused. */
const windowBytes = 64 * 1024
/** Chunks are split, so that a bandwidth limit spreads them evenly. */
const segmentBytes = 8 * 1024

interface TransitItem {
  readonly dueAt: number
  readonly deliver: () => void
}

/** One direction of a connection. */
class Direction {
  private readonly queue: TransitItem[] = []
  private timer: NodeJS.Timeout | undefined
  private inTransit = 0
  /** When the last byte taken so far has left the source. */
  private lineFreeAt = 0

  constructor (private readonly link: LinkSettings, private readonly from: Socket, private readonly to: Socket) {}

  start (): void {
    const { from, to } = this
    from.on('data', chunk => this.takeChunk(chunk, performance.now()))
    from.once('end', () => this.add(performance.now(), () => this.endReceiver()))
    from.once('error', () => this.add(performance.now(), () => reset(to)))
    to.once('close', () => this.discard())
  }

  private takeChunk (chunk: Buffer, now: number): void {
    for (let offset = 0; offset < chunk.length; offset += segmentBytes) {
      const segment = chunk.subarray(offset, offset + segmentBytes)
      const startAt = Math.max(now, this.lineFreeAt)
      this.lineFreeAt = startAt + segment.length / this.link.bytesPerSecond * 1000
      this.inTransit += segment.length
      this.add(now, () => this.deliverSegment(segment))
    }
    if (this.inTransit > windowBytes) this.from.pause()
  }

  private add (now: number, deliver: () => void): void {
    // Nothing is delivered to a closed end; its sender is reset from the other direction.
    if (this.to.destroyed) return
    this.queue.push({ dueAt: Math.max(now, this.lineFreeAt) + this.link.delayMs, deliver })
    this.schedule(now)
  }

  private schedule (now: number): void {
    const [first] = this.queue
    if (this.timer !== undefined || first === undefined) return
    this.timer = setTimeout(() => this.deliverDue(performance.now()), Math.max(0, first.dueAt - now))
  }

  private deliverDue (now: number): void {
    this.timer = undefined
    while (this.queue[0] !== undefined && this.queue[0].dueAt <= now) this.queue.shift()?.deliver()
    this.schedule(now)
  }

  private deliverSegment (segment: Buffer): void {
    if (!this.to.writable) {
      this.release(segment.length)
      return
    }
    this.to.write(segment, () => this.release(segment.length))
  }

  /** Frees the window when the receiver's kernel has taken the bytes. */
  private release (bytes: number): void {
    this.inTransit -= bytes
    if (this.inTransit <= windowBytes / 2 && this.from.isPaused()) this.from.resume()
  }

  private endReceiver (): void {
    if (!this.to.destroyed) this.to.end()
  }

  private discard (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    this.queue.length = 0
    this.inTransit = 0
    // The source is still read, so that its end is noticed.
    this.from.resume()
  }
}

/**
 * Closes a connection with a reset. A socket that is connecting or shutting down is destroyed instead: Node can't reset
 * a socket that is shutting down and would leave it open forever.
 */
function reset (socket: Socket): void {
  if (socket.destroyed) return
  if (socket.writableEnded || socket.connecting) socket.destroy()
  else socket.resetAndDestroy()
}

/**
 * Starts a forwarder on a free port of a loopback address.
 *
 * @param target `IP:port` to which connections are forwarded
 */
export async function startForwarder (target: string, link: LinkSettings, host = '127.0.0.1'): Promise<Forwarder> {
  const sockets = new Set<Socket>()
  const connected = new Map<number, Promise<void>>()
  const waiting = new Map<number, (ready: Promise<void>) => void>()
  const server = createServer({ allowHalfOpen: true, noDelay: true, pauseOnConnect: true }, near => {
    const port = near.remotePort ?? 0
    const ready = connectToTarget(target, link, near, sockets)
    // A failure reaches the caller through its promise or as a reset.
    ready.catch(() => undefined)
    connected.set(port, ready)
    near.once('close', () => { if (connected.get(port) === ready) connected.delete(port) })
    waiting.get(port)?.(ready)
  })
  await listen(server, host)
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    whenConnected: async port => {
      const ready = connected.get(port) ?? new Promise<void>((resolve, reject) => waiting.set(port, accepted => { accepted.then(resolve, reject) }))
      await ready.finally(() => waiting.delete(port))
    },
    [Symbol.asyncDispose]: async () => {
      const closed = new Promise<void>(resolve => server.close(() => resolve()))
      for (const socket of sockets) socket.destroy()
      await closed
    }
  }
}

async function listen (server: Server, host: string): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, host, resolve)
  })
}

/** Connects an accepted connection to the target; resolves one round trip after the target has accepted. */
async function connectToTarget (target: string, link: LinkSettings, near: Socket, sockets: Set<Socket>): Promise<void> {
  const [host, port] = target.split(':')
  const far = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true })
  for (const socket of [near, far]) {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  }
  const isConnected = new Promise<void>((resolve, reject) => {
    far.once('connect', resolve)
    far.once('error', reject)
  })
  linkSockets(link, near, far)
  near.resume()
  await isConnected
  await new Promise(resolve => setTimeout(resolve, 2 * link.delayMs))
}

function linkSockets (link: LinkSettings, near: Socket, far: Socket): void {
  new Direction(link, near, far).start()
  new Direction(link, far, near).start()
}
