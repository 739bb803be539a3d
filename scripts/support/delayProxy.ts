/** A TCP forwarder that delays bytes each way: stands in for the distance between regions. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** A forwarder. */
export interface DelayProxy extends AsyncDisposable {
  readonly address: string
}

function pass (from: Socket, to: Socket, delayMs: number): void {
  from.on('data', chunk => { setTimeout(() => { if (!to.destroyed) to.write(chunk) }, delayMs) })
  from.on('close', () => { setTimeout(() => to.destroy(), delayMs) })
  from.on('error', () => undefined)
}

/** Starts a forwarder to `IP:port`. */
export async function startDelayProxy (ip: string, target: string, delayMs: number): Promise<DelayProxy> {
  const [host, port] = target.split(':')
  const sockets = new Set<Socket>()
  const server = createServer(near => {
    near.setNoDelay(true)
    const far = connect({ host, port: Number(port), noDelay: true })
    for (const socket of [near, far]) {
      sockets.add(socket)
      socket.on('close', () => sockets.delete(socket))
    }
    pass(near, far, delayMs)
    pass(far, near, delayMs)
  })
  await new Promise<void>(resolve => server.listen(0, ip, resolve))
  return {
    address: `${ip}:${(server.address() as AddressInfo).port}`,
    [Symbol.asyncDispose]: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise<void>(resolve => server.close(() => resolve()))
    }
  }
}
