/** The log's lines for decisions on one request. */
import type { Millis, ServiceId } from '@lynxcourse/base'
import { estimateQueueDepth, getConcurrency, isServerError } from '@lynxcourse/placement'
import type { Placement, Refusal } from '@lynxcourse/placement'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import type { LogFields } from '../../utils/logging.js'
import type { Call } from './call.js'
import type { Gateway } from './gateway.js'
import type { SendReport } from './sending.js'

/** What the line for a refusal needs of a request, which may not have been read whole. */
export type RefusedCall = Pick<Call, 'facts' | 'route' | 'service' | 'arrivedAt' | 'readAt' | 'deadline'>

/** A refusal by this VM's own processor time, before any placement. */
export interface Overloaded {
  readonly type: 'refuse'
  readonly reason: 'overloaded'
  readonly retryAfterMs: Millis
}

/** Writes the line for a send, with what decided it and how it ended. */
export function logSend (gateway: Gateway, call: Call, sends: number, placed: Placement, report: SendReport, startedAt: Millis, now: Millis): void {
  const { result, writtenAt, restedMs } = report
  const { facts, reportedAt } = placed.server
  const reportAge = now - reportedAt
  const outcome = result.type === 'answered' ? String(result.status) : result.reason
  gateway.node.metrics.attempts.inc({ end: outcome })
  const level = result.type === 'answered' && !isServerError(result.status) ? 'info' : 'warn'
  log(gateway.node.logs, 'route', level, 'Sent.', {
    id: call.facts.id,
    route: call.route.name,
    service: call.service,
    server: facts.id,
    region: facts.region,
    ahead: Math.round(estimateQueueDepth(placed.server, now) * 10) / 10,
    try: sends,
    object: call.facts.object,
    place: placed.place,
    cold: placed.isCold,
    warm: placed.wasWarm,
    expectedMs: Math.round(placed.roundTripMs + placed.waitMs + placed.workMs),
    waitMs: Math.round(placed.waitMs),
    reportAgeMs: Number.isFinite(reportAge) ? Math.round(reportAge) : undefined,
    ...stateFields(gateway),
    leftMs: Math.round(call.deadline - now),
    outcome,
    tookMs: Math.round(now - startedAt),
    writtenAfterMs: writtenAt === undefined ? undefined : Math.round(writtenAt - startedAt),
    restedMs: restedMs === undefined ? undefined : Math.round(restedMs),
    ...timeFields(call),
    ...closeFields(call)
  })
}

/** Tells a close that lay unread when the request was sent from one that came later. */
function closeFields ({ closeUnreadMs }: Call): LogFields {
  const unreadMs = closeUnreadMs()
  return { closeUnreadMs: unreadMs === undefined ? undefined : Math.round(unreadMs) }
}

/** What this VM has under way, its bound, and how full all VMs together saw the service. */
function loadFields ({ fleet }: Gateway, service: ServiceId): LogFields {
  const { underWay, limit, meanSlowdown: meanRatio } = getConcurrency(fleet, service)
  return { underWay, limit: Math.round(limit * 10) / 10, slowRatio: Math.round(meanRatio * 100) / 100, fill: fleet.sharedUtilization.get(service) }
}

/** Version of the state that decided, and how long ago it was known to be the present one. */
function stateFields (gateway: Gateway): LogFields {
  const { node } = gateway
  return { stateVersion: node.config.version, stateAgeMs: Math.round(getCurrentTime() - node.upToDateAt) }
}

/** For how long a request can have lain unread, and since when it is in this VM. */
export function timeFields ({ readAt, arrivedAt }: Pick<Call, 'readAt' | 'arrivedAt'>): LogFields {
  return { unreadMs: Math.round(readAt - arrivedAt), inVmMs: Math.round(getCurrentTime() - readAt) }
}

/** Writes the line for a request that is refused. */
export function logRefusal (gateway: Gateway, call: RefusedCall, sends: number, refused: Refusal | Overloaded): void {
  gateway.node.metrics.refusals.inc({ reason: refused.reason })
  log(gateway.node.logs, 'route', 'info', 'Refused.', {
    id: call.facts.id,
    route: call.route.name,
    service: call.service,
    reason: refused.reason,
    object: call.facts.object,
    retryAfterMs: Math.round(refused.retryAfterMs),
    ...loadFields(gateway, call.service),
    sends,
    leftMs: Math.round(call.deadline - getCurrentTime()),
    ...timeFields(call),
    ...stateFields(gateway)
  })
}
