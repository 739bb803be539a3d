/** Tasks of a control VM of the model other than agreement: grants, syncs, and the steps of drains and shifts. */
import { getHolderVm } from '@lynxcourse/base'
import type { HolderId, Millis } from '@lynxcourse/base'
import { createGrantor, getGrants, recordUsageReport, planShares } from '@lynxcourse/limits'
import type { Grant, Grantor, Usage } from '@lynxcourse/limits'
import { isLeaseValid, renewConfigLease } from '@lynxcourse/membership'
import { getDeltaSince, listCaps, listItems, applyDelta } from '@lynxcourse/state'
import type { ConfigDelta } from '@lynxcourse/state'
import { FixedStepRule, evaluateDrain, planShift } from '@lynxcourse/steering'
import type { VmProgress } from '@lynxcourse/steering'
import { send } from './network.js'
import { enterStep } from './checks.js'
import { times } from './times.js'
import type { ControlModel, World } from '../types/world.js'
import { isLeader, propose } from './controlLog.js'

function mayGrant (control: ControlModel, now: Millis): boolean {
  return isLeader(control) && control.replica !== undefined && now - control.replica.quorumConfirmedAt < times.electionMs
}

/** Creates the grant state of a control VM that has received no usage reports yet. */
export function createModelGrantor (): Grantor {
  return createGrantor(times.grantMs, times.deadlineMs + times.electionMs)
}

/** Periodic report of an entry VM to the leader. */
export interface Report {
  readonly holder: HolderId
  readonly serial: number
  readonly usages: readonly Usage[]
  readonly progress: Omit<VmProgress, 'at'>
  readonly load: number
}

/** Answers a report with grants, or returns undefined if this control VM may not grant. */
export function answerReport (world: World, control: ControlModel, report: Report): { serial: number, grants: Grant[] } | undefined {
  const { now } = world.network
  if (!mayGrant(control, now)) return undefined
  recordUsageReport(control.grantor, report.holder, report.serial, report.usages, now)
  control.progress.set(report.holder, { ...report.progress, at: now, loads: report.load })
  enterStep(world, 'grant', control.host)
  return { serial: control.machine.applied, grants: getGrants(control.grantor, control.machine.allocations.byResource, report.holder) }
}

/** Answers a sync with the changes since `version`, the age of the quorum's confirmation and the known leader. */
export function answerSync (world: World, control: ControlModel, version: number): { delta: ConfigDelta, ageMs: Millis | undefined, leader: string | undefined } {
  const { now } = world.network
  refreshPublishedConfig(control, now)
  const ageMs = isLeaseValid(control.configLease, now) ? now - control.configLease.confirmedAt : undefined
  const leader = control.replica?.leader
  return { delta: getDeltaSince(control.publishedConfig, version), ageMs, leader: leader === undefined ? undefined : getHolderVm(leader) }
}

function refreshPublishedConfig (control: ControlModel, now: Millis): void {
  if (!isLeader(control) || control.replica === undefined) return
  applyDelta(control.publishedConfig, getDeltaSince(control.machine.config, control.publishedConfig.version))
  renewConfigLease(control.configLease, Math.min(now, control.replica.quorumConfirmedAt), 0)
}

/** Runs the leader tasks, or syncs from the leader if this control VM is a follower or its quorum is not confirmed. */
export function runPeriodicTasks (world: World, control: ControlModel): void {
  const { now } = world.network
  if (!mayGrant(control, now)) {
    control.progress.clear()
    control.drainFirstSeenAt.clear()
    if (!isLeader(control)) control.grantor = createModelGrantor()
    syncFromLeader(world, control)
    return
  }
  refreshPublishedConfig(control, now)
  planLimits(world, control)
  advanceDrains(world, control)
  advanceShifts(world, control)
}

/** Syncs the published configuration of a follower from the leader, as entry VMs sync theirs from a control VM. */
function syncFromLeader (world: World, control: ControlModel): void {
  const leader = control.replica?.leader
  if (leader === undefined || isLeader(control)) return
  const target = world.controls.find(other => other.vm === getHolderVm(leader))
  if (target === undefined || target === control) return
  const requestedAt = world.network.now
  const { version } = control.publishedConfig
  send(world.network, control.host, target.host, () => {
    const reply = answerSync(world, target, version)
    send(world.network, target.host, control.host, () => {
      const isComplete = applyDelta(control.publishedConfig, reply.delta)
      if (isComplete && reply.ageMs !== undefined) renewConfigLease(control.configLease, requestedAt, reply.ageMs)
    })
  })
}

function planLimits (world: World, control: ControlModel): void {
  const { machine, grantor } = control
  const plan = planShares(grantor, listCaps(machine.config), machine.allocations.byResource, machine.applied, world.network.now)
  if (plan === undefined) return
  propose(world, control, { type: 'allocate', ...plan }, () => undefined)
}

function advanceDrains (world: World, control: ControlModel): void {
  const { now } = world.network
  for (const drain of listItems(control.machine.config, 'drain')) {
    if (drain.state !== 'scheduled' && drain.state !== 'draining') continue
    if (drain.state === 'draining' && !control.drainFirstSeenAt.has(drain.key)) control.drainFirstSeenAt.set(drain.key, now)
    const version = control.machine.config.items.get(`drain ${drain.key}`)?.version ?? 0
    const progress = { id: drain.key, state: drain.state, at: drain.at, version, firstSeenAt: control.drainFirstSeenAt.get(drain.key) ?? now }
    const { event } = evaluateDrain(progress, control.progress.values(), times.leaseMs, times.deadlineMs, now)
    if (event === undefined) continue
    enterStep(world, 'drainStep', control.host)
    propose(world, control, { type: 'advanceDrain', drain: drain.key, event }, () => undefined)
  }
}

function advanceShifts (world: World, control: ControlModel): void {
  const { now } = world.network
  const rule = new FixedStepRule()
  for (const shift of listItems(control.machine.config, 'shift')) {
    if (shift.state !== 'moving' && shift.state !== 'settling') continue
    const reports = [...control.progress.values()]
    const measuredAt = reports.length === 0 ? undefined : Math.min(...reports.map(report => report.at))
    const busy = reports.reduce((sum, report) => sum + report.loads, 0)
    const headroom = { measuredAt, busy, slots: 100, originBusy: 10 }
    const step = planShift(shift, headroom, rule, { lookupTtlMs: 200, reportLagMs: 200, staleMs: 1000 }, now)
    if (step.type === 'wait') continue
    enterStep(world, 'shiftStep', control.host)
    const event = step.type === 'step' ? 'stepDone' : step.type === 'finish' ? 'finish' : 'settled'
    const percent = step.type === 'step' ? step.percent : shift.percent
    propose(world, control, { type: 'advanceShift', shift: shift.key, event, fromPercent: shift.percent, percent }, () => undefined)
  }
}
