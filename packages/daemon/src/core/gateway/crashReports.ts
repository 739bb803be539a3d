/**
 * Reports to the control VMs under which requests servers ended, and which restricted requests were answered.
 *
 * Reports are sent in batches: when a failure domain fails, a VM loses requests at many servers at the same moment.
 */
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis, RequestFingerprint } from '@lynxcourse/base'
import { recordReportedEnd } from '@lynxcourse/placement'
import type { InFlightSend, ReportedEnds } from '@lynxcourse/placement'
import type { ServerEnd } from '@lynxcourse/state'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { callAnyControl } from '../fleet/controlCalls.js'
import type { FleetNode } from '../fleet/fleetNode.js'
import { delay } from '../node/timers.js'
import type { Call } from './call.js'
import type { Gateway } from './gateway.js'
import { probeServer } from './serverProbe.js'

/** Maximum number of ends in one call, and of ends and answers that wait to be sent; more are dropped. */
export const maxEndsPerReport = 64
const maxPendingReports = 512
/** How long a VM without a path to the control VMs tries to send a report, and the pause between two tries. */
const maxSendMs: Millis = 10_000
const retryPauseMs: Millis = 200

/** Observations that are not sent yet. */
export interface CrashReports {
  ends: ServerEnd[]
  readonly answered: Set<RequestFingerprint>
  readonly reported: ReportedEnds
  isSending: boolean
}

export function createCrashReports (): CrashReports {
  return { ends: [], answered: new Set(), reported: new Map(), isSending: false }
}

/**
 * Checks whether a server that closed the connection of a request without an answer has ended, and reports its end. A lost
 * connection alone is not reported.
 */
export async function inspectFailedSend (gateway: Gateway, call: Call, { placement, isTrial }: InFlightSend): Promise<void> {
  const { node, pool, probes, crashReports } = gateway
  const { id: server, bornAt, address } = placement.server.facts
  const request = call.getFingerprint()
  const probe = await probeServer(probes, { id: server, address }, pool.connectTimeoutMs)
  const message = probe === 'ended' ? 'Server ended under a request.' : 'Server failed a request.'
  log(node.logs, 'route', 'warn', message, { id: call.facts.id, request, route: call.route.name, caller: call.callerAddress, server, bornAt, probe, trial: isTrial })
  if (probe !== 'ended') return
  node.metrics.serverEnds.inc()
  if (countPending(crashReports) >= maxPendingReports) {
    log(node.logs, 'route', 'warn', 'Report dropped, too many wait.', { request, server })
    return
  }
  recordReportedEnd(crashReports.reported, request, getCurrentTime())
  crashReports.ends.push({ request, route: call.route.name, server, bornAt, isTrial })
  await sendReports(node, crashReports)
}

/** Reports that a server answered a request, if the request is restricted or this VM reported an end for it. */
export async function reportAnswered ({ node, crashReports, restrictedRequests }: Gateway, call: Call): Promise<void> {
  const { answered, reported } = crashReports
  if (restrictedRequests.size === 0 && reported.size === 0) return
  const request = call.getFingerprint()
  const isReported = reported.delete(request)
  if (!isReported && !restrictedRequests.has(request)) return
  if (countPending(crashReports) >= maxPendingReports) return
  answered.add(request)
  await sendReports(node, crashReports)
}

function countPending ({ ends, answered }: CrashReports): number {
  return ends.length + answered.size
}

async function sendReports (node: FleetNode, reports: CrashReports): Promise<void> {
  if (reports.isSending) return
  reports.isSending = true
  while (countPending(reports) > 0) {
    const ends = reports.ends.splice(0, maxEndsPerReport)
    const answered = [...reports.answered]
    reports.answered.clear()
    await sendReport(node, { ends, answered }, getCurrentTime() + maxSendMs)
  }
  reports.isSending = false
}

interface CrashReport {
  readonly ends: readonly ServerEnd[]
  readonly answered: readonly RequestFingerprint[]
}

/** Sends one report; repeats it until a control VM has accepted it or the time is over. */
async function sendReport (node: FleetNode, report: CrashReport, deadline: Millis): Promise<void> {
  for (;;) {
    try {
      await callAnyControl(node, 'fleet.reportServerEnds', report, deadline)
      return
    } catch (err) {
      const isOver = getCurrentTime() >= deadline
      const error = getErrorMessage(err)
      log(node.logs, 'route', 'warn', isOver ? 'Report of ended servers dropped.' : 'Report of ended servers failed.', { ends: report.ends.length, answered: report.answered.length, error })
      if (isOver) return
    }
    await delay(retryPauseMs)
  }
}
