/** Log lines and metrics of answers that stay incomplete, and of the phases of a stop. */
import type { Millis } from '@lynxcourse/base'
import { log } from '../../utils/logging.js'
import type { LogFields } from '../../utils/logging.js'
import { countConnections } from './callerConnections.js'
import type { StopClosure } from './callerConnections.js'
import type { CloseReason } from './closeReason.js'
import type { Gateway } from './gateway.js'
import { countSteps, getOpenStatus, removeOpenRequest } from './openRequests.js'
import type { OpenRequest } from './openRequests.js'

/** Incomplete answers that are logged one by one at the exit; all are counted. */
const maxLoggedAnswers = 200

/** What ended an answer before it was complete: the close of its connection, or the end of the process. */
export type IncompleteCause = CloseReason | 'exit'

/** Ends an open request, and reports it if its answer is incomplete. */
export function endOpenRequest (gateway: Gateway, request: OpenRequest, now: Millis): void {
  removeOpenRequest(gateway.openRequests, request, now)
  if (request.isSent) return
  const cause = getCause(gateway, request)
  gateway.node.metrics.incompleteAnswers.inc({ step: request.step, cause })
  // A caller that leaves early is no fault of this VM; the line of the send says so too.
  if (cause === 'caller' && request.step !== 'writing') return
  const level = cause === 'caller' || cause === 'announcedLater' ? 'info' : 'warn'
  log(gateway.node.logs, 'route', level, 'The answer is incomplete.', getFields(gateway, request, cause, now))
}

function getCause ({ pipelines }: Gateway, { req, bytesBefore }: OpenRequest): IncompleteCause {
  const pipeline = pipelines.get(req.socket)
  const isLater = pipeline?.isClosing === true && bytesBefore === undefined
  return pipeline?.closeReason ?? (isLater ? 'announcedLater' : 'caller')
}

function getFields (gateway: Gateway, request: OpenRequest, cause: IncompleteCause, now: Millis): LogFields {
  const { server, ...status } = getOpenStatus(request, now)
  return { id: gateway.callers.parseCallFacts(request.req.headers).id, cause, ...status, server, serverWorks: server !== undefined }
}

/** Logs that the listener is closed, with the connections that were closed with it and those that are left. */
export function logListenerClosed ({ node, open }: Gateway, { idle, left }: StopClosure, startedAt: Millis, now: Millis): void {
  log(node.logs, 'daemon', 'info', 'Listener closed.', { afterMs: Math.round(now - startedAt), closedIdle: idle, ...left, open })
}

/** Logs the end of the wait for open requests, with the number of those that are given up by step. */
export function logWaitEnd (gateway: Gateway, startedAt: Millis, now: Millis): void {
  const { node, openRequests: { all, lastEndedAt } } = gateway
  const lastEndMs = lastEndedAt < startedAt ? undefined : Math.round(lastEndedAt - startedAt)
  log(node.logs, 'daemon', 'info', all.size === 0 ? 'No request is open.' : 'Time to stop is over.', { afterMs: Math.round(now - startedAt), lastEndMs, ...countConnections(gateway), ...countSteps(all) })
}

/** Logs the open requests at the end of the process: their number by step, and a line for each up to a limit. */
export function reportIncomplete (gateway: Gateway, startedAt: Millis, now: Millis): void {
  const { node, openRequests: { all } } = gateway
  const requests = [...all]
  if (requests.length === 0) return
  for (const { step } of requests) node.metrics.incompleteAnswers.inc({ step, cause: 'exit' })
  const serverWorks = requests.filter(({ server }) => server !== undefined).length
  log(node.logs, 'daemon', 'warn', 'Answers are incomplete at the exit.', { afterMs: Math.round(now - startedAt), answers: requests.length, serverWorks, ...countSteps(requests) })
  for (const request of requests.slice(0, maxLoggedAnswers)) log(node.logs, 'daemon', 'warn', 'The answer is incomplete.', getFields(gateway, request, 'exit', now))
}
