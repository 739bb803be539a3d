/** Finds out whether a server ended while it had a request. */
import { getErrorMessage } from '@lynxcourse/base'
import type { Placement } from '@lynxcourse/placement'
import { log } from '../../utils/logging.js'
import type { Call } from './call.js'
import type { Gateway } from './gateway.js'
import { probeServer } from './serverProbe.js'

/** Probes a server that closed the connection of a request without an answer, and logs the result. */
export function inspectFailedSend (gateway: Gateway, call: Call, placement: Placement): void {
  probeAfterFailure(gateway, call, placement)
    .catch((err: unknown) => log(gateway.node.logs, 'route', 'error', 'Probing a server failed.', { server: placement.server.facts.id, error: getErrorMessage(err) }))
}

async function probeAfterFailure (gateway: Gateway, call: Call, { server }: Placement): Promise<void> {
  const { facts } = server
  const result = await probeServer(gateway.probes, facts, gateway.pool.connectTimeoutMs)
  const message = result === 'ended' ? 'Server ended under a request.' : 'Server failed a request.'
  log(gateway.node.logs, 'route', 'warn', message, { id: call.facts.id, request: call.getFingerprint(), route: call.route.name, caller: call.callerAddress, server: facts.id, bornAt: facts.bornAt, probe: result })
}
