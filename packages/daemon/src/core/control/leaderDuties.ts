/** What the leader does besides agreeing: plans shares of caps, and moves drains and shifts on. */
import { LynxError, messageOf, vmOfHolder } from '@lynxcourse/base'
import type { DrainId, HolderId, Millis, RegionId, ServiceId, ShiftId } from '@lynxcourse/base'
import { createGrantor, grantsFor, noteReport, planShares } from '@lynxcourse/limits'
import type { Grantor } from '@lynxcourse/limits'
import { listServers } from '@lynxcourse/membership'
import { listCaps, listItems, profileOf } from '@lynxcourse/state'
import type { DrainItem, ShiftItem } from '@lynxcourse/state'
import { FixedStepRule, HeadroomStepRule, addReading, judgeDrain, planShift, summarizeReadings } from '@lynxcourse/steering'
import type { DrainJudgement, Headroom, Reading, StepRule, VmProgress } from '@lynxcourse/steering'
import { z } from 'zod'
import { presentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import type { Node } from '../node/node.js'
import { repeat } from '../node/timers.js'
import type { ReportReply, VmReport } from '../node/reporting.js'
import { addMethod } from '../rpc/rpcServer.js'
import type { RpcServer } from '../rpc/rpcServer.js'
import { submitHere } from './proposing.js'
import { leads } from './hostState.js'
import type { ControlHost } from './hostState.js'

interface HeldReport {
  readonly at: Millis
  readonly report: VmReport
}

/** What the leader remembers; a new leader starts it empty. */
export interface LeaderDuties extends AsyncDisposable {
  readonly node: Node
  readonly host: ControlHost
  readonly rule: StepRule
  grantor: Grantor
  reports: Map<HolderId, HeldReport>
  /** When this leader first saw a drain draining. */
  drainsSeen: Map<DrainId, Millis>
  /** Log time at which versions were applied, oldest first. */
  versions: Array<{ readonly version: number, readonly at: Millis }>
  leadingSince: Millis | undefined
  /** Readings of each shift's two ends over the last while. */
  readings: Map<ShiftId, Reading[]>
}

const everyMs = 200
const maxVersions = 1000
const maxReports = 10_000

/** Reports lag by up to this before a shift's step shows in them. */
const reportLagMs = 1500
const staleReportMs = 2000

/** Starts the duties; they rest while this VM does not lead. */
export function startDuties (node: Node, host: ControlHost): LeaderDuties {
  const duties: LeaderDuties = {
    node,
    host,
    rule: node.cfg.stepRule === 'fixed' ? new FixedStepRule() : new HeadroomStepRule(),
    grantor: createGrantor(node.cfg.times.grantMs, 0),
    reports: new Map(),
    drainsSeen: new Map(),
    versions: [],
    leadingSince: undefined,
    readings: new Map(),
    [Symbol.asyncDispose]: async () => await timer[Symbol.asyncDispose]()
  }
  host.onProgress.push(() => noteVersion(duties))
  const timer = repeat(everyMs, async () => await doDuties(duties), err => {
    log(node.logs, 'agree', 'warn', 'A duty failed.', { error: messageOf(err) })
  })
  return duties
}

function noteVersion (duties: LeaderDuties): void {
  const { version } = duties.host.machine.config
  if (duties.versions.at(-1)?.version === version) return
  duties.versions.push({ version, at: presentTime() })
  if (duties.versions.length > maxVersions) duties.versions.shift()
}

/** Adds the method by which VMs report. */
export function addReportMethod (rpc: RpcServer, duties: LeaderDuties): void {
  addMethod(rpc, 'leader.report', ['vm'], reportSchema, (params, caller) => {
    const report = params as unknown as VmReport
    if (caller.role === 'vm' && caller.name !== vmOfHolder(report.holder)) {
      throw new LynxError('notAllowed', `vm:${caller.name} reports as ${report.holder}`, { step: 'report', field: 'holder' })
    }
    return takeReport(duties, report, presentTime())
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
  noteReport(grantor, report.holder, report.serial, report.usages, now)
  return { serial: host.machine.applied, grants: grantsFor(grantor, host.machine.allocations.byResource, report.holder) }
}

/**
 * Whether this VM may grant now. The role alone won't do: a leader that was frozen and wakes still
 * believes that it leads, and would grant from shares that its successor has changed.
 */
export function mayGrant (host: ControlHost, now: Millis): boolean {
  if (!leads(host) || host.replica === undefined) return false
  return now - host.replica.confirmedAt < host.replica.times.electionMs
}

async function doDuties (duties: LeaderDuties): Promise<void> {
  const now = presentTime()
  if (!mayGrant(duties.host, now)) {
    restDuties(duties)
    return
  }
  duties.leadingSince ??= now
  duties.grantor = { ...duties.grantor, holdMs: longestRequestMs(duties) }
  dropOldReports(duties, now)
  await planLimits(duties, now)
  for (const drain of listItems(duties.host.machine.config, 'drain')) await moveDrain(duties, drain, now)
  for (const shift of listItems(duties.host.machine.config, 'shift')) await moveShift(duties, shift, now)
}

function restDuties (duties: LeaderDuties): void {
  if (duties.leadingSince === undefined) return
  duties.leadingSince = undefined
  duties.reports.clear()
  duties.drainsSeen.clear()
  duties.readings.clear()
  duties.grantor = createGrantor(duties.node.cfg.times.grantMs, 0)
}

/**
 * How long a request may run after its grant: the longest deadline, and the time for which a leader
 * that lost its quorum may have gone on granting.
 */
function longestRequestMs (duties: LeaderDuties): Millis {
  const deadlines = listItems(duties.host.machine.config, 'profile').map(item => item.profile.maxDeadlineMs)
  return Math.max(0, ...deadlines) + duties.node.cfg.times.electionMs
}

function dropOldReports (duties: LeaderDuties, now: Millis): void {
  const keepMs = duties.node.cfg.times.leaseMs + longestRequestMs(duties)
  for (const [holder, held] of duties.reports) {
    if (now - held.at > keepMs) duties.reports.delete(holder)
  }
}

async function planLimits (duties: LeaderDuties, now: Millis): Promise<void> {
  const { machine } = duties.host
  const plan = planShares(duties.grantor, listCaps(machine.config), machine.allocations.byResource, machine.applied, now)
  if (plan === undefined) return
  await submitHere(duties.host, { type: 'allocate', ...plan })
  log(duties.node.logs, 'limit', 'info', 'Shares planned.', { changes: plan.changes.length, lapsed: plan.lapsed.length })
}

function progressList (duties: LeaderDuties): VmProgress[] {
  return [...duties.reports.values()].map(({ at, report }) => ({
    vm: vmOfHolder(report.holder),
    at,
    version: report.version,
    remaining: new Map(report.remaining.map(({ drain, count }) => [drain, count]))
  }))
}

/** Judges a drain now. */
export function judgeItem (duties: LeaderDuties, drain: DrainItem, now: Millis): DrainJudgement {
  const { config } = duties.host.machine
  const version = config.items.get(`drain ${drain.key}`)?.version ?? 0
  const seenAt = duties.drainsSeen.get(drain.key) ?? now
  const leaseMs = duties.node.cfg.times.leaseMs + cacheMs(duties, drain)
  return judgeDrain({ id: drain.key, state: drain.state, at: drain.at, version, seenAt }, progressList(duties), leaseMs, longestRequestMs(duties), now)
}

/** Callers go on using VMs that they have in their caches; servers are in no caller's cache. */
function cacheMs (duties: LeaderDuties, drain: DrainItem): Millis {
  if (drain.target.kind === 'server') return 0
  const ttls = listItems(duties.host.machine.config, 'profile').map(item => item.profile.lookupTtlS * 1000)
  return Math.max(0, ...ttls)
}

async function moveDrain (duties: LeaderDuties, drain: DrainItem, now: Millis): Promise<void> {
  if (drain.state !== 'scheduled' && drain.state !== 'draining') {
    duties.drainsSeen.delete(drain.key)
    return
  }
  if (drain.state === 'draining' && !duties.drainsSeen.has(drain.key)) duties.drainsSeen.set(drain.key, now)
  const { event, remaining } = judgeItem(duties, drain, now)
  if (event === undefined) return
  await submitHere(duties.host, { type: 'advanceDrain', drain: drain.key, event })
  log(duties.node.logs, 'drain', 'info', 'Drain moves on.', { drain: drain.key, event, remaining })
}

/** What is known of a shift's two ends. */
export function measureShift (duties: LeaderDuties, service: ServiceId, from: RegionId, to: RegionId, now: Millis): Headroom {
  let measuredAt: Millis | undefined
  let busy = 0
  let originBusy = 0
  for (const { at, report } of duties.reports.values()) {
    if (now - at > duties.node.cfg.times.lostMs) continue
    measuredAt = Math.min(measuredAt ?? at, at)
    for (const load of report.loads) {
      if (load.service !== service) continue
      if (load.region === to) busy += load.inFlight
      if (load.region === from) originBusy += load.inFlight
    }
  }
  const servers = listServers(duties.node.directory).filter(server => server.service === service && server.region === to && server.state === 'serving')
  const slots = servers.reduce((sum, server) => sum + server.slots, 0)
  return { measuredAt, busy, slots, originBusy }
}

/** The headroom by the readings of the last while; without enough of them, not measured. */
function steadyHeadroom (duties: LeaderDuties, shift: ShiftItem, now: Millis): Headroom {
  const present = measureShift(duties, shift.service, shift.from, shift.to, now)
  if (present.measuredAt === undefined) return present
  const readings = addReading(duties.readings.get(shift.key) ?? [], { at: now, busy: present.busy, originBusy: present.originBusy })
  duties.readings.set(shift.key, readings)
  const steady = summarizeReadings(readings)
  return steady === undefined ? { ...present, measuredAt: undefined } : { ...present, ...steady }
}

async function moveShift (duties: LeaderDuties, shift: ShiftItem, now: Millis): Promise<void> {
  if (shift.state !== 'moving' && shift.state !== 'settling') {
    duties.readings.delete(shift.key)
    return
  }
  const profile = profileOf(duties.host.machine.config, shift.service)
  if (profile === undefined) return
  const headroom = steadyHeadroom(duties, shift, now)
  const times = { lookupTtlMs: profile.lookupTtlS * 1000, reportLagMs, staleMs: staleReportMs }
  const step = planShift(shift, headroom, duties.rule, times, now)
  if (step.type === 'wait') return
  const percent = step.type === 'step' ? step.percent : shift.percent
  const event = step.type === 'step' ? 'stepDone' : step.type === 'finish' ? 'finish' : 'settled'
  await submitHere(duties.host, { type: 'advanceShift', shift: shift.key, event, fromPercent: shift.percent, percent })
  log(duties.node.logs, 'shift', 'info', 'Shift moves on.', { shift: shift.key, event, percent, busy: headroom.busy, slots: headroom.slots })
}

/** How far a version is in force. */
export interface InForce {
  readonly version: number
  readonly inForce: boolean
  /** VMs heard of late that have not taken it over. */
  readonly waitingFor: readonly string[]
  readonly acknowledged: number
}

/**
 * Whether a version is in force everywhere: each VM heard of late holds it, and any other has lost
 * its lease by now.
 */
export function judgeInForce (duties: LeaderDuties, version: number, now: Millis): InForce {
  const { leaseMs } = duties.node.cfg.times
  const appliedAt = duties.versions.find(known => known.version >= version)?.at ?? duties.leadingSince ?? now
  const isApplied = duties.host.machine.config.version >= version
  const leasesAreOver = now - appliedAt > leaseMs
  const fresh = [...duties.reports.values()].filter(held => now - held.at < leaseMs)
  const behind = fresh.filter(held => held.report.version < version)
  const silent = duties.reports.size - fresh.length
  const allKnown = silent === 0 && duties.leadingSince !== undefined && now - duties.leadingSince > leaseMs
  return {
    version,
    inForce: isApplied && ((behind.length === 0 && allKnown) || leasesAreOver),
    waitingFor: behind.map(held => vmOfHolder(held.report.holder)),
    acknowledged: fresh.length - behind.length
  }
}
