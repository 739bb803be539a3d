/** Log lines for the decisions on one request. */
import type { Millis, ServiceId } from '@lynxcourse/base'
import { getPauseMs } from '@lynxcourse/limits'
import type { ServerNotice } from '@lynxcourse/limits'
import { estimateQueueDepth, getConcurrency, getLimitShare, getCopyAge, isServerError, takeUseChanges } from '@lynxcourse/placement'
import type { Placement, Refusal, RequestState, TargetUseChange } from '@lynxcourse/placement'
import { getCurrentTime, readClocks } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import type { LogFields } from '../../utils/logging.js'
import type { Call } from './call.js'
import type { Gateway } from './gateway.js'
import { getRetryFields } from './retryReport.js'
import type { SendReport } from './sending.js'
import type { PermitRefusal } from './permitState.js'

/** The members of a request that the log line of a refusal needs; the body of the request may not have been read. */
export type RefusedCall = Pick<Call, 'facts' | 'caller' | 'route' | 'service' | 'arrivedAt' | 'readAt' | 'deadline'>

/**
 * A refusal for the state of this VM, not of the servers: it lacks processor time or connections to servers, it stops, or its copy of
 * the state may be out of date.
 */
export interface VmRefusal {
  readonly type: 'refuse'
  readonly reason: 'overloaded' | 'noConnections' | 'stopping' | 'unconfirmedState'
  readonly retryAfterMs: Millis
}

/** Logs a send with the values that its placement was based on, and its outcome. */
export function logSend (gateway: Gateway, call: Call, state: RequestState, placement: Placement, report: SendReport, startedAt: Millis, now: Millis): void {
  const { result, writtenAt, restedMs, earlierRequests, echo } = report
  const { facts, reportedAt } = placement.server
  const reportAgeMs = now - reportedAt
  const outcome = result.type === 'answered' ? String(result.status) : result.reason
  gateway.node.metrics.attempts.inc({ end: outcome })
  if (placement.server.notice.limit.perSecond !== undefined) gateway.node.metrics.limitedSends.inc()
  if (isTargetSend(gateway, placement)) gateway.node.metrics.targetSends.inc()
  logTargetUse(gateway)
  const level = result.type === 'answered' && !isServerError(result.status) ? 'info' : 'warn'
  log(gateway.node.logs, 'route', level, 'Sent.', {
    id: call.facts.id,
    team: call.caller?.name,
    route: call.route.name,
    service: call.service,
    server: facts.id,
    region: facts.region,
    version: facts.software,
    ahead: Math.round(estimateQueueDepth(placement.server, now) * 10) / 10,
    try: state.sends,
    ...getRetryFields(gateway, call.service, state, now),
    object: call.facts.object,
    place: placement.place,
    cold: placement.isCold,
    warm: placement.wasWarm,
    expectedMs: Math.round(placement.roundTripMs + placement.waitMs + placement.workMs),
    waitMs: Math.round(placement.waitMs),
    reportAgeMs: Number.isFinite(reportAgeMs) ? Math.round(reportAgeMs) : undefined,
    ...getLimitFields(gateway, placement),
    ...getNoticeFields(placement, startedAt, now),
    ...getStateFields(gateway),
    leftMs: Math.round(call.deadline - now),
    outcome,
    tookMs: Math.round(now - startedAt),
    writtenAfterMs: writtenAt === undefined ? undefined : Math.round(writtenAt - startedAt),
    restedMs: restedMs === undefined ? undefined : Math.round(restedMs),
    earlierRequests,
    echo,
    ...getStreamFields(call),
    ...getTimeFields(call),
    ...getCloseFields(call)
  })
}

function isTargetSend ({ fleet }: Gateway, { server: { facts } }: Placement): boolean {
  return facts.software !== undefined && fleet.rollouts.byService.get(facts.service)?.item.target === facts.software
}

const targetUseMessages: Record<TargetUseChange['type'], string> = {
  started: 'Sending to the target version started.',
  stopped: 'Sending to the target version stopped.',
  resumed: 'Sending to the target version resumed.'
}

/** Logs when this VM started, stopped or resumed sending to the target version of a rollout. */
export function logTargetUse ({ fleet, node }: Pick<Gateway, 'fleet' | 'node'>): void {
  for (const { item, type, reason, exposure } of takeUseChanges(fleet.rollouts)) {
    const { key, target, order, step, state, percent } = item
    log(node.logs, 'route', 'info', targetUseMessages[type], { service: key, version: target, order, step, state, percent, reason, ...exposure, stateAgeMs: Math.round(getCopyAge(node.freshness, readClocks())) })
  }
}

/** Returns the limit that the server names, and this VM's fraction of it. */
function getLimitFields ({ fleet }: Gateway, { server }: Placement): LogFields {
  const { perSecond } = server.notice.limit
  return perSecond === undefined ? {} : { serverLimit: perSecond, limitShare: getLimitShare(fleet, server) }
}

/** Returns how long the server wanted no requests, counted from the start and from the end of the send, and whether it leaves. */
function getNoticeFields ({ server: { notice } }: Placement, startedAt: Millis, now: Millis): LogFields {
  return { pausedMs: describePause(notice, startedAt), pausedNowMs: describePause(notice, now), leaving: notice.isLeaving || undefined }
}

function describePause (notice: ServerNotice, now: Millis): Millis | undefined {
  const pauseMs = getPauseMs(notice, now)
  return pauseMs > 0 ? Math.round(pauseMs) : undefined
}

/**
 * Returns the read delay of the caller's close, which shows whether the close may have arrived before the request was
 * sent.
 */
function getCloseFields ({ closeUnreadMs }: Call): LogFields {
  const readDelayMs = closeUnreadMs()
  return { closeUnreadMs: readDelayMs === undefined ? undefined : Math.round(readDelayMs) }
}

/** Returns how much of a large answer was forwarded, and for how long its server waited for the caller or the link. */
function getStreamFields ({ stream }: Call): LogFields {
  if (stream === undefined || stream.state === 'idle') return {}
  return { streamed: stream.state, streamedBytes: stream.writtenBytes, heldMs: Math.round(stream.heldMs) }
}

/**
 * Returns this VM's requests in flight to a service, their limit, their slowdown, and the utilization of the service
 * over all VMs.
 */
function getLoadFields ({ fleet }: Gateway, service: ServiceId): LogFields {
  const { underWay, limit, meanSlowdown } = getConcurrency(fleet, service)
  return { underWay, limit: Math.round(limit * 10) / 10, slowRatio: Math.round(meanSlowdown * 100) / 100, fill: fleet.sharedUtilization.get(service) }
}

/**
 * Returns the version of the state used for the decision, and the time since that state was last confirmed as current.
 */
export function getStateFields (gateway: Gateway): LogFields {
  const { node } = gateway
  return { stateVersion: node.config.version, stateAgeMs: Math.round(getCopyAge(node.freshness, readClocks())) }
}

/** Returns the upper bound of a request's read delay, and the time since the request was read. */
export function getTimeFields ({ readAt, arrivedAt }: Pick<Call, 'readAt' | 'arrivedAt'>): LogFields {
  return { unreadMs: Math.round(readAt - arrivedAt), inVmMs: Math.round(getCurrentTime() - readAt) }
}

/**
 * Logs a refusal of a request.
 *
 * @param state undefined if the request was refused before any placement
 */
export function logRefusal (gateway: Gateway, call: RefusedCall, state: RequestState | undefined, refusal: Refusal | VmRefusal | PermitRefusal): void {
  gateway.node.metrics.refusals.inc({ reason: refusal.reason })
  log(gateway.node.logs, 'route', 'info', 'Refused.', {
    id: call.facts.id,
    team: call.caller?.name,
    route: call.route.name,
    service: call.service,
    reason: refusal.reason,
    object: call.facts.object,
    retryAfterMs: Math.round(refusal.retryAfterMs),
    ...getLoadFields(gateway, call.service),
    sends: state?.sends ?? 0,
    ...(state === undefined ? {} : getRetryFields(gateway, call.service, state, getCurrentTime())),
    leftMs: Math.round(call.deadline - getCurrentTime()),
    ...getTimeFields(call),
    ...getStateFields(gateway)
  })
}
