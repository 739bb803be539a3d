/** An entry VM's part in recognizing requests that end servers: what it may send, and what it has to report. */
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis, RequestFingerprint, ServerId } from '@lynxcourse/base'
import { getRestriction, recordReportedEnd } from '@lynxcourse/placement'
import type { RequestRestriction, TrialAnswer } from '@lynxcourse/placement'
import { isRestricted, listItems } from '@lynxcourse/state'
import type { Config } from '@lynxcourse/state'
import { maxTrialMs } from '../../types/fleetCommands.js'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import type { Logs } from '../../utils/logging.js'
import type { Metrics } from '../../utils/metrics.js'
import type { CrashChannel } from './crashChannel.js'
import { addAnswer, addEnd, createCrashReports, sendReports } from './crashReports.js'
import type { CrashReports } from './crashReports.js'
import { probeServer } from './serverProbe.js'
import type { ServerProbes } from './serverProbe.js'

export interface CrashWatch {
  readonly logs: Logs
  readonly metrics: Metrics
  readonly channel: CrashChannel
  /** Timeout of the connection that shows whether a server has ended. */
  readonly probeTimeoutMs: Millis
  readonly probes: ServerProbes
  readonly reports: CrashReports
  /** End of the block of each request that may not be sent like others. */
  restricted: ReadonlyMap<RequestFingerprint, Millis>
}

/** A request at this VM, as far as the watch needs it. */
export interface WatchedRequest {
  /** The caller's id of the attempt. */
  readonly id: string
  /** The route or service of the request. */
  readonly route: string
  readonly callerAddress: string
  readonly deadline: Millis
  readonly getFingerprint: () => RequestFingerprint
}

/** A server incarnation that got a request. */
export interface WatchedServer {
  readonly id: ServerId
  readonly address: string
  readonly bornAt: Millis
}

export function createCrashWatch (logs: Logs, metrics: Metrics, channel: CrashChannel, probeTimeoutMs: Millis): CrashWatch {
  return { logs, metrics, channel, probeTimeoutMs, probes: new Map(), reports: createCrashReports(), restricted: new Map() }
}

/** Takes the restricted requests from this VM's copy of the state. */
export function refreshRestrictions (watch: CrashWatch, config: Config): void {
  watch.restricted = new Map(listItems(config, 'crashingRequest').filter(isRestricted).map(item => [item.key, item.blockedUntil]))
}

/** Returns how a request may be sent; undefined if like any other. */
export function findRestriction ({ restricted }: CrashWatch, { getFingerprint }: Pick<WatchedRequest, 'getFingerprint'>, now: Millis): RequestRestriction | undefined {
  return restricted.size === 0 ? undefined : getRestriction(restricted.get(getFingerprint()), now)
}

/**
 * Checks whether a server that closed the connection of a request without an answer has ended, and reports its end. A lost
 * connection alone is not reported.
 */
export async function inspectFailedSend (watch: CrashWatch, watched: WatchedRequest, server: WatchedServer, isTrial: boolean): Promise<void> {
  const { logs, reports } = watch
  const { id, route, callerAddress } = watched
  const request = watched.getFingerprint()
  const probe = await probeServer(watch.probes, server, watch.probeTimeoutMs)
  const message = probe === 'ended' ? 'Server ended under a request.' : 'Server failed a request.'
  log(logs, 'route', 'warn', message, { id, request, route, caller: callerAddress, server: server.id, bornAt: server.bornAt, probe, trial: isTrial })
  if (probe !== 'ended') return
  watch.metrics.serverEnds.inc()
  recordReportedEnd(reports.reported, request, getCurrentTime())
  const isAdded = addEnd(reports, { request, route, server: server.id, bornAt: server.bornAt, isTrial })
  if (!isAdded) log(logs, 'route', 'warn', 'Report dropped, too many wait.', { request, server: server.id })
  await sendReports(reports, watch.channel, logs)
}

/** Reports that a server answered a request, if the request is restricted or this VM reported an end for it. */
export async function reportAnswered ({ restricted, reports, channel, logs }: CrashWatch, { getFingerprint }: Pick<WatchedRequest, 'getFingerprint'>): Promise<void> {
  if (restricted.size === 0 && reports.reported.size === 0) return
  const request = getFingerprint()
  const isReported = reports.reported.delete(request)
  if (!isReported && !restricted.has(request)) return
  addAnswer(reports, request)
  await sendReports(reports, channel, logs)
}

/** Retry time for callers if no control VM answers a claim of a trial. */
const noAnswerRetryMs: Millis = 500

/** Asks the leader whether this VM may send a restricted request as a trial; without an answer there is none. */
export async function claimTrial ({ channel, logs }: CrashWatch, { id, deadline, getFingerprint }: WatchedRequest, now: Millis): Promise<TrialAnswer> {
  const request = getFingerprint()
  const forMs = Math.min(maxTrialMs, Math.max(0, deadline - now))
  try {
    const answer = await channel.claimTrial(request, forMs, Math.min(deadline, now + channel.timeoutMs))
    log(logs, 'route', 'info', 'Trial claimed.', { id, request, granted: answer.isGranted })
    return answer
  } catch (err) {
    log(logs, 'route', 'warn', 'Trial could not be claimed.', { id, request, error: getErrorMessage(err) })
    return { isGranted: false, retryAfterMs: noAnswerRetryMs }
  }
}

/** Tells the leader that no server got the request of a trial. If it can't be told, the trial lasts until its time is over. */
export async function cancelTrial ({ channel, logs }: CrashWatch, { id, getFingerprint }: WatchedRequest): Promise<void> {
  const request = getFingerprint()
  try {
    await channel.cancelTrial(request, getCurrentTime() + channel.timeoutMs)
  } catch (err) {
    log(logs, 'route', 'warn', 'Trial could not be cancelled.', { id, request, error: getErrorMessage(err) })
  }
}
