/** Takes VMs' reports at the leader and answers with their grants. */
import { LynxError, getHolderVm } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { getGrants, recordUsageReport } from '@lynxcourse/limits'
import * as z from 'zod'
import type { ReportReply, VmReport } from '../node/reporting.js'
import { getCurrentTime } from '../../utils/clock.js'
import { addMethod } from '../rpc/rpcServer.js'
import type { RpcServer } from '../rpc/rpcServer.js'
import { mayGrant } from './leaderState.js'
import type { LeaderDuties } from './leaderState.js'

const maxReports = 10_000

/** Adds the method by which VMs report. */
export function addReportMethod (rpc: RpcServer, duties: LeaderDuties): void {
  addMethod(rpc, 'leader.report', ['vm'], reportSchema, (params, caller) => {
    const report = params as unknown as VmReport
    if (caller.role === 'vm' && caller.name !== getHolderVm(report.holder)) {
      throw new LynxError('notAllowed', `vm:${caller.name} reports as ${report.holder}`, { step: 'report', field: 'holder' })
    }
    return takeReport(duties, report, getCurrentTime())
  })
}

const count = z.number().int().min(0)
const reportSchema = z.strictObject({
  holder: z.string().regex(/^[a-z0-9.-]+\/[a-z0-9-]+$/),
  serial: count,
  usages: z.array(z.object({ resource: z.string(), inFlight: count, wanted: count })).max(10_000),
  version: count,
  remaining: z.array(z.object({ drain: z.string(), count })).max(1000),
  loads: z.array(z.object({ service: z.string(), region: z.string(), inFlight: count })).max(10_000)
})

function takeReport (duties: LeaderDuties, report: VmReport, now: Millis): ReportReply {
  const { host, grantor, reports } = duties
  if (!mayGrant(host, now)) throw new LynxError('notLeader', 'report to the leader', { step: 'report' })
  if (!reports.has(report.holder) && reports.size >= maxReports) {
    throw new LynxError('overCapacity', `${maxReports} VMs report`, { step: 'report' })
  }
  reports.set(report.holder, { at: now, report })
  recordUsageReport(grantor, report.holder, report.serial, report.usages, now)
  return { serial: host.machine.applied, grants: getGrants(grantor, host.machine.allocations.byResource, report.holder) }
}
