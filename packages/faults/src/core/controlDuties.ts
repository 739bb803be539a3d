/** What a control VM of the model does besides agreeing: grants, syncs, and plans for drains and shifts. */
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
import { passStep } from './checks.js'
import { times } from './times.js'
import type { ControlModel, World } from '../types/world.js'
import { leadsNow, propose } from './controlLog.js'

function mayGrant (control: ControlModel, now: Millis): boolean {
  return leadsNow(control) && control.replica !== undefined && now - control.replica.quorumConfirmedAt < times.electionMs
}

/** What a control VM knows of grants that has heard of none yet. */
export function newGrantor (): Grantor {
  return createGrantor(times.grantMs, times.deadlineMs + times.electionMs)
}

/** What an entry VM reports. */
export interface Report {
  readonly holder: HolderId
  readonly serial: number
  readonly usages: readonly Usage[]
  readonly progress: Omit<VmProgress, 'at'>
  readonly load: number
}

/** Answers a report with grants; undefined from a VM that may not grant. */
export function answerReport (world: World, control: ControlModel, report: Report): { serial: number, grants: Grant[] } | undefined {
  const { now } = world.network
  if (!mayGrant(control, now)) return undefined
  recordUsageReport(control.grantor, report.holder, report.serial, report.usages, now)
  control.progress.set(report.holder, { ...report.progress, at: now, loads: report.load })
  passStep(world, 'grant', control.host)
  return { serial: control.machine.applied, grants: getGrants(control.grantor, control.machine.allocations.byResource, report.holder) }
}

/** Answers a VM that syncs: what it lacks, and how old the quorum's confirmation is. */
export function answerSync (world: World, control: ControlModel, version: number): { delta: ConfigDelta, ageMs: Millis | undefined, leader: string | undefined } {
  const { now } = world.network
  refreshView(control, now)
  const ageMs = isLeaseValid(control.currency, now) ? now - control.currency.confirmedAt : undefined
  const leader = control.replica?.leader
  return { delta: getDeltaSince(control.view, version), ageMs, leader: leader === undefined ? undefined : getHolderVm(leader) }
}

function refreshView (control: ControlModel, now: Millis): void {
  if (!leadsNow(control) || control.replica === undefined) return
  applyDelta(control.view, getDeltaSince(control.machine.config, control.view.version))
  renewConfigLease(control.currency, Math.min(now, control.replica.quorumConfirmedAt), 0)
}

export function doDuties (world: World, control: ControlModel): void {
  const { now } = world.network
  if (!mayGrant(control, now)) {
    control.progress.clear()
    control.drainsSeen.clear()
    if (!leadsNow(control)) control.grantor = newGrantor()
    syncFromLeader(world, control)
    return
  }
  refreshView(control, now)
  planLimits(world, control)
  moveDrains(world, control)
  moveShifts(world, control)
}

/** A control VM that does not lead gets its view from the leader, as every other VM does. */
function syncFromLeader (world: World, control: ControlModel): void {
  const leader = control.replica?.leader
  if (leader === undefined || leadsNow(control)) return
  const target = world.controls.find(other => other.vm === getHolderVm(leader))
  if (target === undefined || target === control) return
  const askedAt = world.network.now
  const { version } = control.view
  send(world.network, control.host, target.host, () => {
    const reply = answerSync(world, target, version)
    send(world.network, target.host, control.host, () => {
      const isWhole = applyDelta(control.view, reply.delta)
      if (isWhole && reply.ageMs !== undefined) renewConfigLease(control.currency, askedAt, reply.ageMs)
    })
  })
}

function planLimits (world: World, control: ControlModel): void {
  const { machine, grantor } = control
  const plan = planShares(grantor, listCaps(machine.config), machine.allocations.byResource, machine.applied, world.network.now)
  if (plan === undefined) return
  propose(world, control, { type: 'allocate', ...plan }, () => undefined)
}

function moveDrains (world: World, control: ControlModel): void {
  const { now } = world.network
  for (const drain of listItems(control.machine.config, 'drain')) {
    if (drain.state !== 'scheduled' && drain.state !== 'draining') continue
    if (drain.state === 'draining' && !control.drainsSeen.has(drain.key)) control.drainsSeen.set(drain.key, now)
    const version = control.machine.config.items.get(`drain ${drain.key}`)?.version ?? 0
    const view = { id: drain.key, state: drain.state, at: drain.at, version, firstSeenAt: control.drainsSeen.get(drain.key) ?? now }
    const { event } = evaluateDrain(view, control.progress.values(), times.leaseMs, times.deadlineMs, now)
    if (event === undefined) continue
    passStep(world, 'drainStep', control.host)
    propose(world, control, { type: 'advanceDrain', drain: drain.key, event }, () => undefined)
  }
}

function moveShifts (world: World, control: ControlModel): void {
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
    passStep(world, 'shiftStep', control.host)
    const event = step.type === 'step' ? 'stepDone' : step.type === 'finish' ? 'finish' : 'settled'
    const percent = step.type === 'step' ? step.percent : shift.percent
    propose(world, control, { type: 'advanceShift', shift: shift.key, event, fromPercent: shift.percent, percent }, () => undefined)
  }
}
