/** Tells the end of a server's process from the end of a single connection to it. */
import type { Millis, ServerId } from '@lynxcourse/base'
import { probePort } from '../../utils/portProbe.js'
import type { PortState } from '../../utils/portProbe.js'

/** `ended` if the server's port refuses connections, `unknown` if nothing answered in time. */
export type ProbeResult = 'ended' | 'running' | 'unknown'

const resultByPortState: Record<PortState, ProbeResult> = { open: 'running', refused: 'ended', silent: 'unknown' }

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
  const probe = probePort(address, timeoutMs).then(state => resultByPortState[state])
  probes.set(id, probe)
  const result = await probe
  probes.delete(id)
  return result
}
