/** Counts the bytes of a group of connections from their sockets. */
import type { Socket } from 'node:net'

/** Bytes in each direction. */
export interface TrafficBytes {
  readonly received: number
  readonly sent: number
}

/** Connections whose bytes are counted. */
export interface TrafficMeter {
  readonly open: Set<Socket>
  /** Bytes of the closed connections. */
  closed: TrafficBytes
}

export function createTrafficMeter (): TrafficMeter {
  return { open: new Set(), closed: { received: 0, sent: 0 } }
}

/** Counts the bytes of a connection from now until it closes. */
export function countTraffic (meter: TrafficMeter, socket: Socket): void {
  meter.open.add(socket)
  socket.once('close', () => {
    if (meter.open.delete(socket)) meter.closed = addBytes(meter.closed, socket)
  })
}

/** Returns the bytes of all connections so far. Bytes that the kernel has not sent yet count as sent. */
export function readTraffic ({ open, closed }: TrafficMeter): TrafficBytes {
  let sum = closed
  for (const socket of open) sum = addBytes(sum, socket)
  return sum
}

function addBytes ({ received, sent }: TrafficBytes, { bytesRead, bytesWritten, writableLength }: Socket): TrafficBytes {
  return { received: received + bytesRead, sent: sent + Math.max(0, bytesWritten - writableLength) }
}
