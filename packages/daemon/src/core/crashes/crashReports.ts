/**
 * Queues an entry VM's reports about requests that end servers, and sends them in batches: when a failure domain fails, a VM
 * loses requests at many servers at the same moment.
 */
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis, RequestFingerprint } from '@lynxcourse/base'
import type { ReportedEnds } from '@lynxcourse/placement'
import type { ServerEnd } from '@lynxcourse/state'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import type { Logs } from '../../utils/logging.js'
import { delay } from '../node/timers.js'
import type { CrashChannel, CrashReport } from './crashChannel.js'

/** Maximum number of ends in one report, and of ends and answers that wait to be sent; more are dropped. */
const maxEndsPerReport = 64
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

function isFull ({ ends, answered }: CrashReports): boolean {
  return ends.length + answered.size >= maxPendingReports
}

/** Adds the end of a server to the next report; returns false if too many wait. */
export function addEnd (reports: CrashReports, end: ServerEnd): boolean {
  if (isFull(reports)) return false
  reports.ends.push(end)
  return true
}

/** Adds an answered request to the next report, unless too many wait. */
export function addAnswer (reports: CrashReports, request: RequestFingerprint): void {
  if (!isFull(reports)) reports.answered.add(request)
}

/** Sends all that waits, one report at a time. */
export async function sendReports (reports: CrashReports, channel: CrashChannel, logs: Logs): Promise<void> {
  if (reports.isSending) return
  reports.isSending = true
  while (reports.ends.length + reports.answered.size > 0) {
    const ends = reports.ends.splice(0, maxEndsPerReport)
    const answered = [...reports.answered]
    reports.answered.clear()
    await sendReport({ ends, answered }, channel, logs, getCurrentTime() + maxSendMs)
  }
  reports.isSending = false
}

/** Sends one report; repeats it until a control VM has accepted it or the time is over. */
async function sendReport (report: CrashReport, channel: CrashChannel, logs: Logs, deadline: Millis): Promise<void> {
  for (;;) {
    try {
      await channel.report(report, deadline)
      return
    } catch (err) {
      const isOver = getCurrentTime() >= deadline
      const error = getErrorMessage(err)
      log(logs, 'route', 'warn', isOver ? 'Report of ended servers dropped.' : 'Report of ended servers failed.', { ends: report.ends.length, answered: report.answered.length, error })
      if (isOver) return
    }
    await delay(retryPauseMs)
  }
}
