/** The answers of the gateway to callers' requests that it doesn't serve. */
import type { IncomingMessage } from 'node:http'
import { LynxError, getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { log } from '../../utils/logging.js'
import { createRefusal, createTextAnswer, unconfirmedStateRetryMs } from './answers.js'
import type { CallAnswer } from './call.js'
import type { BodyResult } from './callBody.js'
import type { Gateway } from './gateway.js'
import { logRefusal, getStateFields } from './requestLog.js'
import type { OpenRequest } from './openRequests.js'
import type { RefusedCall } from './requestLog.js'

/**
 * Shortest retry time for callers of an overloaded VM. Retry times are spread between this and twice this: other VMs
 * have capacity now, but not for all callers at the same moment.
 */
const overloadedRetryMs: Millis = 150
/** Retry time for callers of a VM that stops: other VMs can serve them at once, and lookups name only those. */
const stoppingRetryMs: Millis = 20
/** Retry time for callers of a VM that has no memory left for their bodies. */
const tooManyBodiesRetryMs: Millis = 500

/**
 * Refuses a request for lack of processor time and closes its connection, which would otherwise bring the caller's next
 * requests to this VM as well.
 */
export function refuseOverloaded (gateway: Gateway, { req, ledger }: OpenRequest, call: RefusedCall): CallAnswer {
  req.resume()
  const retryAfterMs = overloadedRetryMs * (1 + gateway.node.random())
  logRefusal(gateway, call, undefined, { type: 'refuse', reason: 'overloaded', retryAfterMs })
  // Closing a connection before its request was read completely resets the connection, and the answer is lost.
  return { ...createRefusal(gateway.callers, ledger, 'this VM is overloaded', retryAfterMs), endsConnection: req.complete }
}

/** Refuses a request that this VM might not answer before it ends. */
export function refuseStopping (gateway: Gateway, { req, ledger }: OpenRequest, call: RefusedCall): CallAnswer {
  req.resume()
  logRefusal(gateway, call, undefined, { type: 'refuse', reason: 'stopping', retryAfterMs: stoppingRetryMs })
  return createRefusal(gateway.callers, ledger, 'this VM is stopping', stoppingRetryMs)
}

/** Refuses a request that this VM can't route: its copy of the state may lack a change, or it has none yet. */
export function refuseUnconfirmed (gateway: Gateway, { req, ledger }: OpenRequest): CallAnswer {
  req.resume()
  gateway.node.metrics.refusals.inc({ reason: 'unconfirmedState' })
  log(gateway.node.logs, 'route', 'info', 'Refused before routing.', { path: req.url, reason: 'unconfirmedState', ...getStateFields(gateway) })
  return createRefusal(gateway.callers, ledger, 'the state is not confirmed', unconfirmedStateRetryMs)
}

/** Answers a request that no route matches. */
export function answerNoRoute (gateway: Gateway, req: IncomingMessage): CallAnswer {
  req.resume()
  log(gateway.node.logs, 'route', 'info', 'No route.', { host: req.headers.host, path: req.url, ...getStateFields(gateway) })
  return createTextAnswer(404, 'no route')
}

/** Returns the answer to a request whose body can't be read or buffered; undefined if the caller has disconnected. */
export function answerBodyFailure (gateway: Gateway, { ledger }: OpenRequest, end: Exclude<BodyResult, { type: 'whole' }>): CallAnswer | undefined {
  switch (end.type) {
    case 'tooMany': return createRefusal(gateway.callers, ledger, 'too many bodies are held', tooManyBodiesRetryMs)
    case 'tooLarge': return createTextAnswer(413, `body over ${gateway.limits.maxBodyBytes} bytes`)
    case 'failed': throw new LynxError('badRequest', getErrorMessage(end.err), { step: 'read body', cause: end.err })
    case 'gone': return undefined
  }
}
