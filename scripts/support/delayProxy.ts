/** A TCP proxy that delays bytes in both directions, to simulate the network delay between regions. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** A running proxy and the address (`IP:port`) where it listens. */
export interface DelayProxy extends AsyncDisposable {
  readonly address: string
}

function forward (from: Socket, to: Socket, delayMs: number): void {
  from.on('data', chunk => { setTimeout(() => { if (!to.destroyed) to.write(chunk) }, delayMs) })
  from.on('close', () => { setTimeout(() => to.destroy(), delayMs) })
  from.on('error', () => undefined)
}

/** Starts a proxy on the given IP address to `target` (`IP:port`) with a one-way delay of `delayMs`. */
export async function startDelayProxy (ip: string, target: string, delayMs: number): Promise<DelayProxy> {
  const [host, port] = target.split(':')
  const sockets = new Set<Socket>()
  const server = createServer(clientSocket => {
    clientSocket.setNoDelay(true)
    const targetSocket = connect({ host, port: Number(port), noDelay: true })
    for (const socket of [clientSocket, targetSocket]) {
      sockets.add(socket)
      socket.on('close', () => sockets.delete(socket))
    }
    forward(clientSocket, targetSocket, delayMs)
    forward(targetSocket, clientSocket, delayMs)
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
