/** A stand-in for a VM's network link of low bandwidth: all connections share one queue in each direction. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

const packetBytes = 1448
const tickMs = 1
const bytesPerMsAndMbps = 125

/** One direction of the link. */
interface Direction {
  readonly packets: Array<{ readonly packet: Buffer, readonly to: Socket, readonly onSent: () => void }>
  credit: number
}

export interface PacedLink extends AsyncDisposable {
  /** Opens a port whose connections are forwarded to an address through the link; returns its address. */
  readonly forward: (target: string, isToVm: boolean) => Promise<string>
}

/**
 * Starts a link.
 *
 * @param windowBytes bytes of one connection that can be in the queue, like the window of TCP
 */
export function startPacedLink (mbps: number, windowBytes: number): PacedLink {
  const toVm: Direction = { packets: [], credit: 0 }
  const fromVm: Direction = { packets: [], credit: 0 }
  const servers: Server[] = []
  const sockets = new Set<Socket>()
  let at = performance.now()
  const timer = setInterval(() => {
    const now = performance.now()
    for (const direction of [toVm, fromVm]) sendPackets(direction, (now - at) * mbps * bytesPerMsAndMbps)
    at = now
  }, tickMs)
  const track = (socket: Socket, other: Socket): void => {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => undefined)
    socket.on('close', () => { sockets.delete(socket); other.destroy() })
  }
  return {
    forward: async (target, isToVm) => {
      const [host, port] = target.split(':')
      const server = createServer(socket => {
        const other = connect({ host: host ?? '', port: Number(port) })
        track(socket, other)
        track(other, socket)
        queueData(socket, other, isToVm ? toVm : fromVm, windowBytes)
        queueData(other, socket, isToVm ? fromVm : toVm, windowBytes)
      })
      servers.push(server)
      await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
      return `127.0.0.1:${(server.address() as AddressInfo).port}`
    },
    [Symbol.asyncDispose]: async () => {
      clearInterval(timer)
      for (const socket of sockets) socket.destroy()
      await Promise.all(servers.map(async server => await new Promise(resolve => server.close(resolve))))
    }
  }
}

function queueData (from: Socket, to: Socket, direction: Direction, windowBytes: number): void {
  let queuedBytes = 0
  from.on('data', chunk => {
    for (let start = 0; start < chunk.length; start += packetBytes) {
      const packet = chunk.subarray(start, start + packetBytes)
      queuedBytes += packet.length
      const onSent = (): void => {
        queuedBytes -= packet.length
        if (queuedBytes < windowBytes) from.resume()
      }
      direction.packets.push({ packet, to, onSent })
    }
    if (queuedBytes >= windowBytes) from.pause()
  })
}

function sendPackets (direction: Direction, credit: number): void {
  direction.credit = direction.packets.length === 0 ? 0 : direction.credit + credit
  while (direction.packets.length > 0 && direction.credit > 0) {
    const { packet, to, onSent } = direction.packets.shift() as Direction['packets'][number]
    direction.credit -= packet.length
    if (!to.destroyed) to.write(packet)
    onSent()
  }
}
