/** Tells the end of a server's process from the end of a single connection to it. */
import { connect } from 'node:net'
import type { Millis, ServerId } from '@lynxcourse/base'

/** `ended` if the server's port refuses connections, `unknown` if nothing answered in time. */
export type ProbeResult = 'ended' | 'running' | 'unknown'

/** Probes in progress; all requests that a server failed at the same moment share one. */
export type ServerProbes = Map<ServerId, Promise<ProbeResult>>

export interface ProbedServer {
  readonly id: ServerId
  readonly address: string
}

/** Opens a connection to a server without sending anything, unless another probe of the server is in progress. */
export async function probeServer (probes: ServerProbes, { id, address }: ProbedServer, timeoutMs: Millis): Promise<ProbeResult> {
  const pending = probes.get(id)
  if (pending !== undefined) return await pending
  const probe = openConnection(address, timeoutMs)
  probes.set(id, probe)
  const result = await probe
  probes.delete(id)
  return result
}

async function openConnection (address: string, timeoutMs: Millis): Promise<ProbeResult> {
  const [host, port] = address.split(':')
  const socket = connect({ host, port: Number(port) })
  socket.setTimeout(timeoutMs)
  const result = await new Promise<ProbeResult>(resolve => {
    socket.once('connect', () => resolve('running'))
    socket.once('timeout', () => resolve('unknown'))
    socket.on('error', (err: NodeJS.ErrnoException) => resolve(err.code === 'ECONNREFUSED' ? 'ended' : 'unknown'))
  })
  socket.destroy()
  return result
}
