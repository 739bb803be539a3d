/** Callers that write raw bytes to an entry VM. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { FleetFixture } from './fleetFixture.js'

/** Connects to the fixture's last entry VM. */
export function connectCaller (fixture: FleetFixture): Socket {
  const [host, port] = (fixture.settings.at(-1)?.callers ?? '').split(':')
  return connect({ host: host ?? '', port: Number(port) }).on('error', () => undefined)
}

export function buildGet (id: string): string {
  return `GET /read/${id} HTTP/1.1\r\nHost: a.example\r\nIdempotency-Key: ${id}\r\n\r\n`
}

export function asDisposable (socket: Socket): Disposable & { readonly socket: Socket } {
  return { socket, [Symbol.dispose]: () => { socket.destroy() } }
}
