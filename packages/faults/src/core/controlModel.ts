/** A control VM of the model: agreement, state machine, grants and plans, with a disk that lasts. */
import { createReplica, firstSnapshot, isSettledLeader, stepReplica } from '@lynxcourse/agreement'
import type { HardState, Output, ReplicaEvent, Snapshot } from '@lynxcourse/agreement'
import { holderOf, vmOfHolder } from '@lynxcourse/base'
import type { HolderId, Incarnation, Millis, VmId } from '@lynxcourse/base'
import { createGrantor, grantsFor, noteReport, planShares } from '@lynxcourse/limits'
import type { Grant, Usage } from '@lynxcourse/limits'
import { createCurrency, isCurrent, noteConfirmed } from '@lynxcourse/membership'
import { applyEntry, createConfig, createMachine, deltaSince, listCaps, listItems, readMachine, takeDelta, writeMachine } from '@lynxcourse/state'
import type { Answer, Command, ConfigDelta } from '@lynxcourse/state'
import { FixedStepRule, judgeDrain, planShift } from '@lynxcourse/steering'
import type { VmProgress } from '@lynxcourse/steering'
import { addHost, planAt, send } from './network.js'
import type { Host } from './network.js'
import { checkCommitted, passStep } from './checks.js'
import { times } from './times.js'
import type { ControlModel, World } from '../types/world.js'

const tickMs = 20
const dutyMs = 100
const joinMs = 500
const compactEvery = 300

/** Adds a control VM with an empty disk. */
export function addControl (world: World, vm: string, region: string): ControlModel {
  const host = addHost(world.network, vm, region)
  const control: ControlModel = {
    kind: 'control',
    host,
    vm: vm as VmId,
    disk: { incarnation: 'i1', cluster: false, stored: undefined },
    replica: undefined,
    machine: createMachine(world.charts),
    placed: new Map(),
    grantor: createGrantor(times.grantMs, times.deadlineMs + times.electionMs),
    progress: new Map(),
    drainsSeen: new Map(),
    view: createConfig(),
    currency: createCurrency(times.leaseMs)
  }
  world.controls.push(control)
  return control
}

export function idOf (control: ControlModel): HolderId {
  return holderOf(control.vm, control.disk.incarnation as Incarnation)
}

/** Founds the cluster of all control VMs. */
export function foundCluster (world: World): void {
  const snapshot = firstSnapshot(world.controls.map(idOf), '')
  for (const control of world.controls) {
    control.disk.cluster = true
    control.disk.stored = { hardState: { term: 0, votedFor: undefined }, snapshot, entries: [] }
    startControl(world, control)
  }
}

/** Starts the process from what the disk holds; all else is forgotten. */
export function startControl (world: World, control: ControlModel): void {
  const { network, charts } = world
  control.replica = undefined
  control.placed = new Map()
  control.grantor = createGrantor(times.grantMs, times.deadlineMs + times.electionMs)
  control.progress = new Map()
  control.drainsSeen = new Map()
  control.view = createConfig()
  control.currency = createCurrency(times.leaseMs)
  const { stored } = control.disk
  control.machine = readMachine(charts, stored?.snapshot.data ?? '')
  if (stored !== undefined) {
    control.replica = createReplica({
      id: idOf(control), cluster: 'c', chart: charts.role, times: { heartbeatMs: times.heartbeatMs, electionMs: times.electionMs }, random: network.random, stored
    }, network.now)
  }
  repeatAt(world, control.host, tickMs, () => feed(world, control, { type: 'tick' }))
  repeatAt(world, control.host, dutyMs, () => doDuties(world, control))
  repeatAt(world, control.host, joinMs, () => tryJoin(world, control))
}

/** Runs work at a host again and again while this life of it lasts. */
export function repeatAt (world: World, host: Host, everyMs: Millis, work: () => void): void {
  planAt(world.network, host, everyMs, () => {
    work()
    repeatAt(world, host, everyMs, work)
  })
}

/** A copy that is no member asks the others to be let in. */
function tryJoin (world: World, control: ControlModel): void {
  const isMember = control.replica?.members.some(member => member.id === idOf(control)) ?? false
  if (isMember) return
  if (control.replica === undefined) {
    const snapshot = firstSnapshot([], '')
    control.disk.cluster = true
    control.disk.stored = { hardState: { term: 0, votedFor: undefined }, snapshot, entries: [] }
    startReplicaOnly(world, control)
  }
  for (const other of world.controls) {
    if (other === control) continue
    send(world.network, control.host, other.host, () => feed(world, other, { type: 'join', id: idOf(control) }))
  }
}

function startReplicaOnly (world: World, control: ControlModel): void {
  const { stored } = control.disk
  if (stored === undefined) return
  control.replica = createReplica({
    id: idOf(control), cluster: 'c', chart: world.charts.role, times: { heartbeatMs: times.heartbeatMs, electionMs: times.electionMs }, random: world.network.random, stored
  }, world.network.now)
}

/** Feeds an event to the copy of the log and carries out what it says. */
export function feed (world: World, control: ControlModel, event: ReplicaEvent): void {
  const { replica } = control
  if (replica === undefined || !control.host.alive) return
  const membersBefore = replica.members
  const out = stepReplica(replica, event, world.network.now)
  const { life } = control.host
  if (replica.members !== membersBefore) passStep(world, 'repair', control.host)
  // A fault that struck at this step came before the sync: nothing of it was saved or sent.
  if (!control.host.alive || control.host.life !== life) return
  save(world, control, out)
  sendMessages(world, control, out)
  applyOutput(world, control, out)
  if (out.hardState === undefined && out.entries.length === 0 && out.snapshot === undefined) return
  const after = stepReplica(replica, { type: 'synced' }, world.network.now)
  sendMessages(world, control, after)
  applyOutput(world, control, after)
  compact(world, control)
}

function save (world: World, control: ControlModel, out: Output): void {
  const { replica, disk } = control
  if (replica === undefined || disk.stored === undefined) return
  if (world.without.has('preSync')) return
  const hardState: HardState = out.hardState ?? disk.stored.hardState
  const snapshot: Snapshot = out.snapshot ?? disk.stored.snapshot
  disk.stored = { hardState, snapshot, entries: [...replica.entries] }
}

function sendMessages (world: World, control: ControlModel, out: Output): void {
  for (const envelope of out.messages) {
    const target = world.controls.find(other => other.vm === vmOfHolder(envelope.to))
    if (target === undefined) continue
    send(world.network, control.host, target.host, () => feed(world, target, { type: 'receive', envelope }))
  }
}

function applyOutput (world: World, control: ControlModel, out: Output): void {
  if (out.install && out.snapshot !== undefined) control.machine = readMachine(world.charts, out.snapshot.data)
  for (const entry of out.committed) {
    checkCommitted(world, control.vm, entry)
    const before = control.machine.config.version
    const answer = applyEntry(control.machine, entry)
    if (control.machine.config.version !== before) noteApplied(world, control)
    const placed = control.placed.get(entry.index)
    control.placed.delete(entry.index)
    if (placed !== undefined && placed.term === entry.term) placed.done(answer)
  }
}

/** Notes when versions, drains and caps were first applied anywhere. */
function noteApplied (world: World, control: ControlModel): void {
  const { checks, network } = world
  const { config } = control.machine
  if (checks.applied.has(config.version)) return
  checks.applied.set(config.version, network.now)
  for (const drain of listItems(config, 'drain')) {
    const isOn = drain.state === 'draining' || drain.state === 'drained'
    if (isOn && !checks.drained.has(drain.target.name)) checks.drained.set(drain.target.name, network.now)
    if (drain.state === 'cancelled') checks.drained.delete(drain.target.name)
  }
  const cap = Math.max(0, ...listCaps(config).values())
  if (checks.caps.at(-1)?.cap !== cap) checks.caps.push({ at: network.now, cap })
}

function compact (world: World, control: ControlModel): void {
  const { replica, machine } = control
  if (replica === undefined || machine.applied - replica.snapshot.index < compactEvery) return
  const out = stepReplica(replica, { type: 'compact', index: machine.applied, data: writeMachine(machine) }, world.network.now)
  save(world, control, out)
}

export function leadsNow (control: ControlModel): boolean {
  return control.replica !== undefined && isSettledLeader(control.replica)
}

/** Proposes a command; `done` is called only if it is committed while this life lasts. */
export function propose (world: World, control: ControlModel, command: Command, done: (answer: Answer) => void): boolean {
  const { replica } = control
  if (replica === undefined || !leadsNow(control)) return false
  const index = replica.snapshot.index + replica.entries.length + 1
  control.placed.set(index, { term: replica.term, done })
  feed(world, control, { type: 'propose', commands: [command] })
  return true
}

function mayGrant (control: ControlModel, now: Millis): boolean {
  return leadsNow(control) && control.replica !== undefined && now - control.replica.confirmedAt < times.electionMs
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
  noteReport(control.grantor, report.holder, report.serial, report.usages, now)
  control.progress.set(report.holder, { ...report.progress, at: now, loads: report.load })
  passStep(world, 'grant', control.host)
  return { serial: control.machine.applied, grants: grantsFor(control.grantor, control.machine.allocations.byResource, report.holder) }
}

/** Answers a VM that syncs: what it lacks, and how old the quorum's confirmation is. */
export function answerSync (world: World, control: ControlModel, version: number): { delta: ConfigDelta, ageMs: Millis | undefined, leader: string | undefined } {
  const { now } = world.network
  refreshView(control, now)
  const ageMs = isCurrent(control.currency, now) ? now - control.currency.confirmedAt : undefined
  const leader = control.replica?.leader
  return { delta: deltaSince(control.view, version), ageMs, leader: leader === undefined ? undefined : vmOfHolder(leader) }
}

function refreshView (control: ControlModel, now: Millis): void {
  if (!leadsNow(control) || control.replica === undefined) return
  takeDelta(control.view, deltaSince(control.machine.config, control.view.version))
  noteConfirmed(control.currency, Math.min(now, control.replica.confirmedAt), 0)
}

function doDuties (world: World, control: ControlModel): void {
  const { now } = world.network
  if (!mayGrant(control, now)) {
    control.progress.clear()
    control.drainsSeen.clear()
    if (!leadsNow(control)) control.grantor = createGrantor(times.grantMs, times.deadlineMs + times.electionMs)
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
  const target = world.controls.find(other => other.vm === vmOfHolder(leader))
  if (target === undefined || target === control) return
  const askedAt = world.network.now
  const { version } = control.view
  send(world.network, control.host, target.host, () => {
    const reply = answerSync(world, target, version)
    send(world.network, target.host, control.host, () => {
      const isWhole = takeDelta(control.view, reply.delta)
      if (isWhole && reply.ageMs !== undefined) noteConfirmed(control.currency, askedAt, reply.ageMs)
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
    const view = { id: drain.key, state: drain.state, at: drain.at, version, seenAt: control.drainsSeen.get(drain.key) ?? now }
    const { event } = judgeDrain(view, control.progress.values(), times.leaseMs, times.deadlineMs, now)
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
