/** A TCP forwarder on loopback with the delay of a path between regions and the bandwidth of a thin link. */
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

export interface SlowLinkCfg {
  /** One-way delay. */
  readonly delayMs: number
  /** Bytes per second in each direction, over all connections together. */
  readonly bytesPerSecond: number
}

export interface SlowForwarder extends AsyncDisposable {
  readonly address: string
  /** Bytes delivered to the target. */
  readonly forwarded: () => number
}

/** Bytes of one connection that may wait for the link before its sender is held back. */
const windowBytes = 65_536

/** One direction of the link: each chunk leaves once the chunks before it, of all connections, have been sent. */
interface Direction { freeAt: number, bytes: number }

/** Starts a forwarder to `IP:port`, by default on a free port. */
export async function startSlowForwarder (target: string, cfg: SlowLinkCfg, listenAddress = '127.0.0.1:0'): Promise<SlowForwarder> {
  const [host, port] = target.split(':')
  const [listenHost, listenPort] = listenAddress.split(':')
  const sockets = new Set<Socket>()
  const towards: Direction = { freeAt: 0, bytes: 0 }
  const back: Direction = { freeAt: 0, bytes: 0 }
  const server = createServer({ noDelay: true }, near => {
    const far = connect({ port: Number(port), host, noDelay: true })
    for (const socket of [near, far]) {
      sockets.add(socket)
      socket.on('error', () => undefined)
      socket.once('close', () => sockets.delete(socket))
    }
    forward(near, far, towards, cfg)
    forward(far, near, back, cfg)
  }).listen(Number(listenPort), listenHost)
  await once(server, 'listening')
  return {
    address: `${listenHost}:${(server.address() as AddressInfo).port}`,
    forwarded: () => towards.bytes,
    [Symbol.asyncDispose]: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

function forward (from: Socket, to: Socket, direction: Direction, { delayMs, bytesPerSecond }: SlowLinkCfg): void {
  let waiting = 0
  from.on('data', chunk => {
    const now = performance.now()
    direction.freeAt = Math.max(direction.freeAt, now) + chunk.length / bytesPerSecond * 1000
    waiting += chunk.length
    if (waiting > windowBytes) from.pause()
    setTimeout(() => {
      direction.bytes += chunk.length
      waiting -= chunk.length
      if (waiting <= windowBytes) from.resume()
      if (!to.destroyed) to.write(chunk)
    }, direction.freeAt - now + delayMs)
  })
  from.once('close', () => setTimeout(() => to.destroy(), delayMs))
}
