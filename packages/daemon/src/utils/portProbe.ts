/** Opens a connection to a port without sending anything, to learn whether a process listens there. */
import { connect } from 'node:net'
import type { Millis } from '@lynxcourse/base'
import { parseAddress } from './httpServer.js'

/** `refused` if the port refuses connections, `silent` if nothing answered in time. */
export type PortState = 'open' | 'refused' | 'silent'

/** Probes a port, given as `IP:port`. */
export async function probePort (address: string, timeoutMs: Millis): Promise<PortState> {
  const { host, port } = parseAddress(address)
  const socket = connect({ host, port })
  socket.setTimeout(timeoutMs)
  const result = await new Promise<PortState>(resolve => {
    socket.once('connect', () => resolve('open'))
    // A connection that is open by now is read after this timer, if the event loop was blocked.
    socket.once('timeout', () => setImmediate(() => resolve('silent')))
    socket.on('error', (err: NodeJS.ErrnoException) => resolve(err.code === 'ECONNREFUSED' ? 'refused' : 'silent'))
  })
  socket.destroy()
  return result
}

/** Whether a connection to a port can be opened. The kernel answers, however busy the process is. */
export async function canOpenConnection (address: string, timeoutMs: Millis): Promise<boolean> {
  return await probePort(address, timeoutMs) === 'open'
}
